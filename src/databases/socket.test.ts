import { expect } from 'chai'
import { openSocket } from './socket.js'

describe('a socket to a database', () => {
  for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1:many', 'nowhere', '']) {
    it(`reports the address "${address}" by events, as a database that does not answer`, async () => {
      const socket = openSocket(address)
      const errors: Error[] = []
      socket.on('error', error => errors.push(error))
      await new Promise(resolve => socket.on('close', resolve))
      expect(errors.map(error => error.message)).to.deep.equal([`${address} is not an IP address and a port`])
    })
  }
})

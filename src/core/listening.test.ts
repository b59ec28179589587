import { createServer } from 'node:net'
import { expect } from 'chai'
import { startListening } from './listening.js'

describe('a listening server', () => {
  it('reports each later error, and goes on', async () => {
    const errors: string[] = []
    const server = createServer()
    await startListening(server, '127.0.0.1', 0, error => errors.push(error.message))
    for (const message of ['accept ENOBUFS', 'accept EMFILE']) server.emit('error', new Error(message))
    expect(errors).to.deep.equal(['accept ENOBUFS', 'accept EMFILE'])
    expect(server.listening).to.equal(true)
    server.close()
  })

  it('fails where the address is in use', async () => {
    const first = createServer()
    await startListening(first, '127.0.0.1', 0, () => {})
    const { port } = first.address() as { readonly port: number }
    const outcome = await startListening(createServer(), '127.0.0.1', port, () => {}).then(() => 'listening', (error: NodeJS.ErrnoException) => error.code)
    expect(outcome).to.equal('EADDRINUSE')
    first.close()
  })
})

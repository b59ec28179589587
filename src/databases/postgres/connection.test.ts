/** A database that violates the protocol loses its connection; nothing else is affected. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { expect } from 'chai'
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import { pollUntil } from '../../../test/support/poll.js'
import type { HostMessage } from '../../messages.js'
import { BACKEND } from './codes.js'
import { DatabaseConnection } from './connection.js'
import { encodePayload } from './payload.js'

const READY = Buffer.concat([new Writer().addInt32(0).flush(BACKEND.authentication), new Writer().addString('I').flush(BACKEND.ready)])
const DONE = Buffer.concat([new Writer().addCString('SELECT 1').flush(BACKEND.commandComplete), new Writer().addString('I').flush(BACKEND.ready)])
const ROW = new Writer().addInt16(1).addInt32PrefixedString('x'.repeat(60_000)).flush(BACKEND.dataRow)

describe('a connection to a database', () => {
  let server: Server
  let posted: HostMessage[] = []
  let answers: Buffer[] = []
  let sockets: Socket[] = []

  const open = async (): Promise<DatabaseConnection> => {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    return DatabaseConnection.create({ connection: 'a1#1.1', address, user: 'fulmartally', post: message => posted.push(message) })
  }
  const has = (kind: HostMessage['kind']): boolean => posted.some(message => message.kind === kind)
  const execute = (connection: DatabaseConnection): void =>
    connection.execute({ kind: 'database/execute', connection: 'a1#1.1', service: 's', workspace: 'w', intent: 'statement', readOnly: false, payload: encodePayload({ skipCount: 0, messages: Buffer.from('Q') }) })

  beforeEach(async () => {
    posted = []
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => socket.destroy())
      socket.on('data', () => { if (answers.length > 0) socket.write(answers.shift()!) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  })

  afterEach(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })

  for (const [description, malformed] of [
    ['a message shorter than its header', Buffer.from([0x44, 0, 0, 0, 2])],
    ['a message over the size limit', Buffer.from([0x44, 0x7f, 0xff, 0xff, 0xff])],
    ['an unknown message', new Writer().flush(0x21)],
    ['the start of a COPY', new Writer().addInt16(0).flush(0x47)],
    ['a refusal of the session settings', Buffer.concat([new Writer().addString('C').addCString('42501').addCString('').flush(BACKEND.error), DONE])],
    ['an unknown transaction status', Buffer.concat([DONE, new Writer().addString('Z').flush(BACKEND.ready)])],
    ['more answers than requests', Buffer.concat([DONE, DONE, DONE])]
  ] as const) {
    it(`closes the connection on ${description}`, async () => {
      answers = [READY, malformed]
      const connection = await open()
      await pollUntil('the connection', async () => has('transactions/opened'))
      execute(connection)
      await pollUntil('its end', async () => has('transactions/broken'))
      expect(posted.filter(message => message.kind === 'transactions/broken')).to.have.length(1)
    })
  }

  it('fails to open on a malformed startup answer', async () => {
    answers = [Buffer.from('HTTP/1.1 400 Bad Request\r\n\r\n')]
    await open()
    await pollUntil('the failure', async () => has('transactions/open-failed'))
  })

  it('stops reading while the caller does not read', async () => {
    answers = [READY, Buffer.concat([DONE, ...Array.from({ length: 1_000 }, () => ROW), DONE])]
    const connection = await open()
    await pollUntil('the connection', async () => has('transactions/opened'))
    execute(connection)
    const countBytes = (): number => posted.reduce((sum, message) => sum + (message.kind === 'transactions/output' ? message.payload.length : 0), 0)
    let bytes = -1
    await pollUntil('a pause', async () => {
      const before = bytes
      bytes = countBytes()
      return bytes > 0 && before === bytes
    })
    expect(bytes).to.be.lessThan(1_000_000)
    let granted = 0
    await pollUntil('the end', async () => {
      const taken = countBytes()
      connection.grantCredit(taken - granted)
      granted = taken
      return has('transactions/finished')
    })
    expect(countBytes()).to.equal(1_000 * ROW.length)
    connection.close()
  })
})

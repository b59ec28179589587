import { connect, createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import pg from 'pg'
import { serialize } from 'pg-protocol'
import { createFailure } from '../../core/errors.js'
import { pollUntil } from '../../../test/support/poll.js'
import { MemoryAccount } from '../../memory/account.js'
import type { HostMessage } from '../../messages.js'
import { CallerConnection } from './connection.js'

const CALLER = 'host-1/1'
const FAILURE = createFailure('wrong-key', 'parish')

/** Accepts callers, and ends the connection of each with a refusal when its first statement arrives. */
class RefusingServer {
  readonly #server: Server

  private constructor (server: Server) {
    this.#server = server
  }

  static async create (): Promise<RefusingServer> {
    const server = createServer(socket => {
      const connection = CallerConnection.create({ caller: CALLER, socket, messageBytes: 1_048_576, post: message => answer(message, connection) })
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    return new RefusingServer(server)
  }

  async connect (): Promise<pg.Client> {
    const client = new pg.Client({ host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port, database: 'rota', user: 'parish', password: 'k' })
    client.on('error', () => undefined)
    await client.connect()
    return client
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    await new Promise(resolve => this.#server.close(resolve))
  }
}

function answer (message: HostMessage, connection: CallerConnection): void {
  if (message.kind === 'requests/open') connection.execute({ kind: 'caller/opened', caller: CALLER })
  if (message.kind === 'requests/arrived') connection.execute({ kind: 'caller/refused', caller: CALLER, failure: FAILURE })
}

describe('a PostgreSQL connection that ends with a refusal', () => {
  // Guards against drivers that report the end of the connection instead of the refusal.
  it('gives the refusal to the driver as the answer to its statement', async () => {
    await using server = await RefusingServer.create()
    for (const values of [undefined, ['1']]) {
      const client = await server.connect()
      const error = await client.query({ text: values === undefined ? 'SELECT 1' : 'SELECT $1', values }).then(() => undefined, (thrown: unknown) => thrown)
      expect(error).to.include({ code: '28P01', severity: 'FATAL', detail: 'not run' })
    }
  })
})

describe('the stage of a PostgreSQL connection that sends requests ahead', () => {
  // Guards against a connection that is closed for its time or size while its request runs, and for the time of many messages together.
  it('is receiving only while nothing runs', async () => {
    await using account = MemoryAccount.create({ heldBytes: 1_000_000, connections: 4, peerMessageBytes: 1, startMs: 10_000, messageMs: 30_000, unreadMs: 20_000 }, () => undefined)
    const stages: Array<() => string> = []
    const connections: CallerConnection[] = []
    let arrived = 0
    const server = createServer(socket => {
      const share = account.open(socket, 'caller')!
      stages.push(() => share.use.stage)
      const post = (message: HostMessage): void => {
        if (message.kind === 'requests/open') connections[0]!.execute({ kind: 'caller/opened', caller: CALLER })
        if (message.kind === 'requests/arrived') arrived += 1
      }
      connections.push(CallerConnection.create({ caller: CALLER, socket, messageBytes: 1_048_576, post, share }))
    })
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1').resume()
    const query = serialize.query('SELECT 1')
    const half = query.length / 2 | 0
    socket.write(Buffer.concat([serialize.startup({ user: 'open', database: 'rota' }), query, query.subarray(0, half)]))
    await pollUntil('the first request', async () => arrived === 1)
    expect(stages[0]!()).to.equal('idle')
    connections[0]!.execute({ kind: 'caller/finished', caller: CALLER, payload: Buffer.alloc(0), status: 'idle' })
    await pollUntil('the rest to be missing', async () => stages[0]!() === 'receiving')
    socket.write(Buffer.concat([query.subarray(half), query.subarray(0, half)]))
    await pollUntil('the second request', async () => arrived === 2)
    expect(stages[0]!()).to.equal('idle')
    socket.destroy()
    await new Promise(resolve => server.close(resolve))
  })
})

import { createServer, type AddressInfo, type Server } from 'node:net'
import { expect } from 'chai'
import pg from 'pg'
import { createFailure } from '../../core/errors.js'
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

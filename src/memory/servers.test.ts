import { once } from 'node:events'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { connect, type AddressInfo, type Socket } from 'node:net'
import { setImmediate as runNext } from 'node:timers/promises'
import { expect } from 'chai'
import { pollUntil } from '../../test/support/poll.js'
import { MemoryAccount } from './account.js'
import { createLimitedServer } from './servers.js'

const LIMITS = { heldBytes: 1_000_000, connections: 8, peerMessageBytes: 1, startMs: 10_000, messageMs: 30_000, unreadMs: 20_000 }
const BODY = 'x'.repeat(40_000)
const HEAD = `POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ${BODY.length}\r\n\r\n`

interface Call {
  readonly request: IncomingMessage
  readonly response: ServerResponse
}

/** A server that leaves its calls to the test. */
class HeldServer {
  readonly account = MemoryAccount.create(LIMITS, () => undefined)
  readonly calls: Call[] = []
  readonly #server: Server = createLimitedServer(this.account, (request, response) => { this.calls.push({ request, response }) })

  static async create (): Promise<HeldServer> {
    const server = new HeldServer()
    server.#server.listen(0, '127.0.0.1')
    await once(server.#server, 'listening')
    return server
  }

  connect (): Socket {
    return connect({ host: '127.0.0.1', port: (this.#server.address() as AddressInfo).port }).resume()
  }

  async awaitCall (index: number): Promise<Call> {
    await pollUntil('a call', async () => this.calls.length > index)
    return this.calls[index]!
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.closeAllConnections()
    this.#server.close()
    await this.account[Symbol.asyncDispose]()
  }
}

describe('the bodies of calls at an HTTP server', () => {
  it('are released when a call is answered before its body has arrived', async () => {
    await using server = await HeldServer.create()
    const socket = server.connect()
    socket.write(HEAD)
    const { request, response } = await server.awaitCall(0)
    expect(server.account.bytes).to.equal(BODY.length)
    response.end()
    await once(response, 'close')
    socket.write(BODY)
    await once(request, 'end')
    await runNext()
    expect(server.account.bytes).to.equal(0)
  })

  it('are counted as they arrive when their length is not stated', async () => {
    await using server = await HeldServer.create()
    const socket = server.connect()
    const chunk = `${(5 * BODY.length).toString(16)}\r\n${BODY.repeat(5)}\r\n`
    socket.write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`)
    const { request, response } = await server.awaitCall(0)
    request.resume()
    await once(request, 'end')
    expect(server.account.bytes).to.equal(5 * BODY.length)
    response.end()
    await once(response, 'close')
    expect(server.account.bytes).to.equal(0)
    socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n')
    const early = await server.awaitCall(1)
    early.response.end()
    await once(early.response, 'close')
    socket.write(`${chunk}0\r\n\r\n`)
    await once(early.request, 'end')
    expect(server.account.bytes).to.equal(0)
    socket.on('error', () => undefined).write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${chunk.repeat(6)}`)
    const refused = await server.awaitCall(2)
    refused.request.on('error', () => undefined).resume()
    await once(refused.response, 'close')
    expect([server.account.bytes, refused.request.complete]).to.deep.equal([0, false])
  })

  it('are counted together when a connection sends calls ahead', async () => {
    await using server = await HeldServer.create()
    server.connect().write((HEAD + BODY).repeat(2))
    const first = await server.awaitCall(0)
    first.request.resume()
    const second = await server.awaitCall(1)
    expect(server.account.bytes).to.equal(2 * BODY.length)
    first.response.end()
    await once(first.response, 'close')
    expect(server.account.bytes).to.equal(BODY.length)
    second.request.resume()
    second.response.end()
    await once(second.response, 'close')
    expect(server.account.bytes).to.equal(0)
  })
})

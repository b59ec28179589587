/** The PostgreSQL front end: a TCP server for callers. */
import { randomBytes } from 'node:crypto'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { createFailure } from '../../core/errors.js'
import type { MemoryAccount } from '../../memory/account.js'
import type { HostPost } from '../../messages.js'
import { startListening } from '../../core/listening.js'
import { FrontEnd, type CallerEffect, type FrontEndEffect } from '../frontend.js'
import { CallerConnection } from './connection.js'

const INCARNATION_BYTES = 4

/** The dependencies of the front end. */
export interface PostgresFrontEndParts {
  readonly host: string
  readonly post: HostPost
  readonly messageBytes: number
  /** Called with each error of the listening server. */
  readonly onServerError: (error: Error) => void
  /** Counts the bytes and connections of the process; absent where nothing is counted. */
  readonly account?: MemoryAccount
}

/** Serves callers that speak the PostgreSQL protocol. */
export class PostgresFrontEnd extends FrontEnd {
  readonly #parts: PostgresFrontEndParts
  readonly #server: Server
  readonly #connections = new Map<string, CallerConnection>()
  /** Distinguishes the callers of this process from those of an earlier one. */
  readonly #incarnation = randomBytes(INCARNATION_BYTES).toString('hex')
  #accepted = 0

  private constructor (parts: PostgresFrontEndParts) {
    super()
    this.#parts = parts
    this.#server = createServer(socket => this.#accept(socket))
  }

  /**
   * Creates a front end that does not listen yet.
   * @example PostgresFrontEnd.create({ host: 'host-1', post: loop.post, messageBytes: 1_048_576, onServerError })
   */
  static create (parts: PostgresFrontEndParts): PostgresFrontEnd {
    return new PostgresFrontEnd(parts)
  }

  /** Starts to listen and returns the address, with the assigned port when `port` is 0. */
  async listen (ip: string, port: number): Promise<string> {
    await startListening(this.#server, ip, port, this.#parts.onServerError)
    return `${ip}:${(this.#server.address() as AddressInfo).port}`
  }

  execute (effect: CallerEffect | FrontEndEffect): void {
    switch (effect.kind) {
      case 'caller/stop-accepting': return this.stopAccepting()
      case 'caller/count-unsent': return this.#parts.post({ kind: 'stopping/counted', part: 'answers', busy: this.#countUnsent() })
      default: this.#connections.get(effect.caller)?.execute(effect)
    }
  }

  stopAccepting (): void {
    this.#server.close()
    for (const connection of this.#connections.values()) connection.endWhenIdle()
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    for (const connection of this.#connections.values()) connection.stop(createFailure('host-stopping'))
  }

  #countUnsent (): number {
    return [...this.#connections.values()].filter(connection => connection.hasUnsent).length
  }

  #accept (socket: Socket): void {
    const { account } = this.#parts
    const share = account?.open(socket, 'caller')
    if (account !== undefined && share === undefined) return
    socket.setNoDelay(true)
    this.#accepted += 1
    const caller = `${this.#parts.host}/${this.#incarnation}/${this.#accepted}`
    const { post, messageBytes } = this.#parts
    this.#connections.set(caller, CallerConnection.create({ caller, socket, post, messageBytes, share }))
    socket.on('close', () => this.#connections.delete(caller))
  }
}

/** A caller that sends arbitrary bytes. */
import { connect, type Socket } from 'node:net'
import { serialize } from 'pg-protocol'
import { pollUntil } from './poll.js'

/** The ReadyForQuery message in each transaction status: idle, in a transaction, failed. */
const READY_FRAMES = ['I', 'T', 'E'].map(status => Buffer.from([0x5a, 0, 0, 0, 5, status.charCodeAt(0)]).toString('latin1'))

/** A raw connection, without a client library. */
export class RawCaller {
  readonly socket: Socket
  /** Bytes received since the last reset, as Latin-1. */
  received = ''
  closed = false

  private constructor (address: string) {
    const [ip, port] = address.split(':')
    this.socket = connect({ host: ip, port: Number(port), noDelay: true })
    this.socket.on('data', chunk => { this.received += chunk.toString('latin1') })
    this.socket.on('error', () => this.socket.destroy())
    this.socket.on('close', () => { this.closed = true })
  }

  /** Connects without sending anything. */
  static create (address: string): RawCaller {
    return new RawCaller(address)
  }

  /** Connects and authenticates. */
  static async open (address: string, database: string, user: string, password: string): Promise<RawCaller> {
    const caller = new RawCaller(address)
    caller.send(serialize.startup({ user, database }))
    await caller.await('R')
    caller.send(serialize.password(password))
    await caller.await('Z')
    return caller
  }

  send (...parts: readonly Uint8Array[]): void {
    this.socket.write(Buffer.concat(parts))
  }

  /** Waits for a text; returns and clears everything received so far. */
  async await (text: string): Promise<string> {
    await pollUntil(`"${text}"`, async () => this.received.includes(text))
    const received = this.received
    this.received = ''
    return received
  }

  /** Sends a batch and returns its whole answer; the transaction status follows in brackets in place of ReadyForQuery. */
  async run (...parts: readonly Uint8Array[]): Promise<string> {
    this.received = ''
    this.send(...parts)
    await pollUntil('ReadyForQuery', async () => READY_FRAMES.some(frame => this.received.endsWith(frame)))
    return `${this.received.slice(0, -READY_FRAMES[0]!.length)}[${this.received.at(-1)}]`
  }
}

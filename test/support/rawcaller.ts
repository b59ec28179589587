/** A caller that sends whatever bytes it likes. */
import { connect, type Socket } from 'node:net'
import { serialize } from 'pg-protocol'
import { pollUntil } from './poll.js'

const READY = ['I', 'T', 'E'].map(state => Buffer.from([0x5a, 0, 0, 0, 5, state.charCodeAt(0)]).toString('latin1'))

/** A connection without a client library. */
export class RawCaller {
  readonly socket: Socket
  /** All that was received, as Latin-1. */
  received = ''
  closed = false

  private constructor (address: string) {
    const [ip, port] = address.split(':')
    this.socket = connect({ host: ip, port: Number(port), noDelay: true })
    this.socket.on('data', chunk => { this.received += chunk.toString('latin1') })
    this.socket.on('error', () => this.socket.destroy())
    this.socket.on('close', () => { this.closed = true })
  }

  /** Connects without a word. */
  static create (address: string): RawCaller {
    return new RawCaller(address)
  }

  /** Connects and presents itself. */
  static async open (address: string, database: string, user: string, password: string): Promise<RawCaller> {
    const caller = new RawCaller(address)
    caller.send(serialize.startup({ user, database }))
    await caller.await('R')
    caller.send(serialize.password(password))
    await caller.await('Z')
    return caller
  }

  /** Sends bytes. */
  send (...parts: readonly Uint8Array[]): void {
    this.socket.write(Buffer.concat(parts))
  }

  /** Awaits a text, and takes what was received so far. */
  async await (text: string): Promise<string> {
    await pollUntil(`"${text}"`, async () => this.received.includes(text))
    const received = this.received
    this.received = ''
    return received
  }

  /** Runs a batch and returns its whole answer, which ends with the state of the transaction in brackets. */
  async run (...parts: readonly Uint8Array[]): Promise<string> {
    this.received = ''
    this.send(...parts)
    await pollUntil('the end of an answer', async () => READY.some(ready => this.received.endsWith(ready)))
    return `${this.received.slice(0, -READY[0]!.length)}[${this.received.at(-1)}]`
  }
}

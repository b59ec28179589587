/** The library's connection, made safe for callers that send ahead, garbage or too much. */
import type { Socket } from 'node:net'
import { PostgresConnection, type State } from 'pg-gateway'
import { createFailure, type Failure } from '../../core/errors.js'

const LENGTH_BYTES = 4
/** The largest start-up message. */
const MAX_STARTUP_BYTES = 10_000
const CANCEL_REQUEST = 80_877_102
const GSS_REQUEST = 80_877_104
const REFUSED = 'N'

/** How a connection starts, and who takes its messages. */
export interface ProtocolOptions {
  readonly serverVersion: string
  readonly authMode: 'none' | 'cleartextPassword'
  /** The largest message that is taken in. */
  readonly messageBytes: number
  readonly onStartup: (state: State) => Promise<boolean>
  readonly onMessage: (bytes: Uint8Array, state: State) => Promise<boolean>
  /** Called when the connection can't go on; closes it. */
  readonly onRefuse: (failure: Failure) => void
}

/**
 * Takes one message at a time, and refuses what is malformed or too large.
 * The library's own splitting is passed over: it reads wrong bytes when several
 * messages arrive in one chunk, and buffers without a limit.
 */
export class SerialProtocol extends PostgresConnection {
  readonly #messageBytes: number
  readonly #onRefuse: (failure: Failure) => void
  #rest: Buffer = Buffer.alloc(0)
  #tail: Promise<void> = Promise.resolve()

  private constructor (socket: Socket, options: ProtocolOptions) {
    super(socket, options)
    this.#messageBytes = options.messageBytes
    this.#onRefuse = options.onRefuse
  }

  /**
   * Creates a connection on a socket that was just accepted.
   * @example SerialProtocol.create(socket, options)
   */
  static create (socket: Socket, options: ProtocolOptions): SerialProtocol {
    return new SerialProtocol(socket, options)
  }

  override async handleData (data: Buffer): Promise<void> {
    this.#tail = this.#tail.then(async () => await this.#takeChunk(data))
    await this.#tail
  }

  async #takeChunk (chunk: Buffer): Promise<void> {
    this.#rest = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    for (let message = this.#splitMessage(); message !== undefined; message = this.#splitMessage()) {
      await this.#takeMessage(message)
    }
  }

  #splitMessage (): Buffer | undefined {
    if (this.socket.destroyed || this.socket.writableEnded) return undefined
    const codeBytes = this.hasStarted ? 1 : 0
    if (this.#rest.length < codeBytes + LENGTH_BYTES) return undefined
    const end = codeBytes + this.#rest.readUInt32BE(codeBytes)
    const maxBytes = this.hasStarted ? this.#messageBytes : MAX_STARTUP_BYTES
    if (end > maxBytes) return this.#refuse(createFailure('message-too-large', String(maxBytes)))
    if (end < codeBytes + LENGTH_BYTES) return this.#refuse(createFailure('protocol-violation', 'its length is wrong'))
    if (end > this.#rest.length) return undefined
    const message = this.#rest.subarray(0, end)
    this.#rest = this.#rest.subarray(end)
    return message
  }

  async #takeMessage (message: Buffer): Promise<void> {
    try {
      if (!this.hasStarted && this.#answerRequest(message)) return
      await this.handleMessage(message)
    } catch {
      this.#refuse(createFailure('protocol-violation', 'it is malformed'))
    }
  }

  // A cancel request comes on a connection of its own and gets no answer; the
  // deadline of a request does its work here.
  #answerRequest (message: Buffer): boolean {
    const code = message.readInt32BE(LENGTH_BYTES)
    if (code === CANCEL_REQUEST) this.socket.end()
    if (code === GSS_REQUEST) this.socket.write(REFUSED)
    return code === CANCEL_REQUEST || code === GSS_REQUEST
  }

  #refuse (failure: Failure): undefined {
    this.#onRefuse(failure)
  }
}

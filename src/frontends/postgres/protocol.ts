/** Wraps pg-gateway's connection to handle pipelined, malformed and oversized messages safely. */
import type { Socket } from 'node:net'
import { PostgresConnection, type State } from 'pg-gateway'
import { createFailure, type Failure } from '../../core/errors.js'

const LENGTH_BYTES = 4
/** The largest startup message. */
const MAX_STARTUP_BYTES = 10_000
const CANCEL_REQUEST = 80_877_102
const GSS_REQUEST = 80_877_104
const GSS_REFUSED = 'N'

/** The startup parameters and callbacks of a connection. */
export interface ProtocolOptions {
  readonly serverVersion: string
  readonly authMode: 'none' | 'cleartextPassword'
  /** The largest message that is accepted. */
  readonly messageBytes: number
  readonly onStartup: (state: State) => Promise<boolean>
  readonly onMessage: (bytes: Uint8Array, state: State) => Promise<boolean>
  /** Called when the connection cannot continue; has to close it. */
  readonly onRefuse: (failure: Failure) => void
}

/**
 * Processes one message at a time, and refuses malformed and oversized messages.
 * Bypasses pg-gateway's own framing, which reads wrong bytes when several
 * messages arrive in one chunk and buffers without a limit.
 */
export class SerialProtocol extends PostgresConnection {
  readonly #messageBytes: number
  readonly #onRefuse: (failure: Failure) => void
  #incomplete: Buffer = Buffer.alloc(0)
  #lastChunk: Promise<void> = Promise.resolve()

  private constructor (socket: Socket, options: ProtocolOptions) {
    super(socket, options)
    this.#messageBytes = options.messageBytes
    this.#onRefuse = options.onRefuse
  }

  /**
   * Creates a connection on an accepted socket.
   * @example SerialProtocol.create(socket, options)
   */
  static create (socket: Socket, options: ProtocolOptions): SerialProtocol {
    return new SerialProtocol(socket, options)
  }

  override async handleData (data: Buffer): Promise<void> {
    this.#lastChunk = this.#lastChunk.then(async () => await this.#handleChunk(data))
    await this.#lastChunk
  }

  // The startup is answered in several steps, between which the connection may be ended.
  override sendData (data: Uint8Array): void {
    if (!this.socket.writableEnded) super.sendData(data)
  }

  async #handleChunk (chunk: Buffer): Promise<void> {
    this.#incomplete = this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk])
    for (let message = this.#splitMessage(); message !== undefined; message = this.#splitMessage()) {
      await this.#processMessage(message)
    }
  }

  #splitMessage (): Buffer | undefined {
    if (this.socket.destroyed || this.socket.writableEnded) return undefined
    const codeBytes = this.hasStarted ? 1 : 0
    if (this.#incomplete.length < codeBytes + LENGTH_BYTES) return undefined
    const end = codeBytes + this.#incomplete.readUInt32BE(codeBytes)
    const maxBytes = this.hasStarted ? this.#messageBytes : MAX_STARTUP_BYTES
    if (end > maxBytes) return this.#refuse(createFailure('message-too-large', String(maxBytes)))
    if (end < codeBytes + LENGTH_BYTES) return this.#refuse(createFailure('protocol-violation', 'the length of a message is wrong'))
    if (end > this.#incomplete.length) return undefined
    const message = this.#incomplete.subarray(0, end)
    this.#incomplete = this.#incomplete.subarray(end)
    return message
  }

  async #processMessage (message: Buffer): Promise<void> {
    try {
      if (!this.hasStarted && this.#answerSpecialRequest(message)) return
      await this.handleMessage(message)
    } catch {
      this.#refuse(createFailure('protocol-violation', 'a message is malformed'))
    }
  }

  // A cancel request arrives on its own connection and gets no answer. It is not passed on:
  // requests end at their deadline instead.
  #answerSpecialRequest (message: Buffer): boolean {
    const code = message.readInt32BE(LENGTH_BYTES)
    if (code === CANCEL_REQUEST) this.socket.end()
    if (code === GSS_REQUEST) this.socket.write(GSS_REFUSED)
    return code === CANCEL_REQUEST || code === GSS_REQUEST
  }

  #refuse (failure: Failure): undefined {
    this.#onRefuse(failure)
  }
}

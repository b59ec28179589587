/** Wraps pg-gateway's connection to handle pipelined, malformed and oversized messages safely. */
import type { Socket } from 'node:net'
import { PostgresConnection, type State } from 'pg-gateway'
import { createFailure, type Failure } from '../../core/errors.js'
import type { ConnectionShare } from '../../memory/account.js'

const LENGTH_BYTES = 4
/** The largest startup message. */
const MAX_STARTUP_BYTES = 10_000
const CANCEL_REQUEST = 80_877_102
const GSS_REQUEST = 80_877_104
const GSS_REFUSED = 'N'
const EMPTY = Buffer.alloc(0)

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
  /** The connection in the account of the process; absent where nothing is counted. */
  readonly share?: ConnectionShare
  /** Returns the bytes of handled messages that are not answered, and of those the bytes of a batch that has no end yet. */
  readonly countHeldBytes?: () => readonly [number, number]
}

/**
 * Processes one message at a time, and refuses malformed and oversized messages.
 * Bypasses pg-gateway's own framing, which reads wrong bytes when several
 * messages arrive in one chunk and buffers without a limit.
 */
export class SerialProtocol extends PostgresConnection {
  readonly #messageBytes: number
  readonly #onRefuse: (failure: Failure) => void
  readonly #share: ConnectionShare | undefined
  readonly #countHeldBytes: () => readonly [number, number]
  #incomplete: Buffer = EMPTY
  /** What the incomplete message lies at the start of, with room for more chunks. */
  #storage: Buffer = EMPTY
  /** The length that the incomplete message is known to have at least. */
  #neededBytes = 0
  #queuedBytes = 0
  #lastChunk: Promise<void> = Promise.resolve()

  private constructor (socket: Socket, options: ProtocolOptions) {
    super(socket, options)
    this.#messageBytes = options.messageBytes
    this.#onRefuse = options.onRefuse
    this.#share = options.share
    this.#countHeldBytes = options.countHeldBytes ?? (() => [0, 0])
  }

  /**
   * Creates a connection on an accepted socket.
   * @example SerialProtocol.create(socket, options)
   */
  static create (socket: Socket, options: ProtocolOptions): SerialProtocol {
    return new SerialProtocol(socket, options)
  }

  override async handleData (data: Buffer): Promise<void> {
    this.#queuedBytes += data.length
    this.updateShare()
    this.#lastChunk = this.#lastChunk.then(async () => await this.#handleChunk(data))
    await this.#lastChunk
    this.#queuedBytes -= data.length
    this.updateShare()
    this.#awaitRoom()
  }

  /** Updates the bytes of the connection in the account of the process. */
  updateShare (): void {
    if (this.#share === undefined) return
    const incompleteBytes = this.#incomplete.length
    const [heldBytes, batchBytes] = this.#countHeldBytes()
    const runs = heldBytes > batchBytes
    this.#share.update(this.#queuedBytes + incompleteBytes + heldBytes, !runs && incompleteBytes + batchBytes > 0)
  }

  #awaitRoom (): void {
    if (this.#share === undefined || this.#share.hasRoom()) return
    this.socket.pause()
    this.#share.awaitRoom(() => {
      this.socket.resume()
      this.#awaitRoom()
    })
  }

  // The startup is answered in several steps, between which the connection may be ended.
  override sendData (data: Uint8Array): void {
    if (!this.socket.writableEnded) super.sendData(data)
  }

  async #handleChunk (chunk: Buffer): Promise<void> {
    if (this.socket.destroyed || this.socket.writableEnded) return this.#drop()
    if (this.#incomplete.length === 0) this.#incomplete = chunk
    else this.#append(chunk)
    for (let message = this.#splitMessage(); message !== undefined; message = this.#splitMessage()) {
      await this.#processMessage(message)
    }
  }

  // The connection has ended: what still arrives is not kept.
  #drop (): void {
    this.#storage = EMPTY
    this.#incomplete = EMPTY
  }

  // The storage has the length that the message states, so each byte is copied once, however small the chunks are.
  #append (chunk: Buffer): void {
    const start = this.#incomplete.length
    const length = start + chunk.length
    if (length > this.#storage.length) {
      this.#storage = Buffer.allocUnsafeSlow(Math.max(length, this.#neededBytes))
      this.#incomplete.copy(this.#storage)
    }
    chunk.copy(this.#storage, start)
    this.#incomplete = this.#storage.subarray(0, length)
  }

  #splitMessage (): Buffer | undefined {
    if (this.socket.destroyed || this.socket.writableEnded) return undefined
    const codeBytes = this.hasStarted ? 1 : 0
    this.#neededBytes = codeBytes + LENGTH_BYTES
    if (this.#incomplete.length < this.#neededBytes) return undefined
    const end = codeBytes + this.#incomplete.readUInt32BE(codeBytes)
    const maxBytes = this.hasStarted ? this.#messageBytes : MAX_STARTUP_BYTES
    if (end > maxBytes) return this.#refuse(createFailure('message-too-large', String(maxBytes)))
    if (end < codeBytes + LENGTH_BYTES) return this.#refuse(createFailure('protocol-violation', 'the length of a message is wrong'))
    this.#neededBytes = end
    if (end > this.#incomplete.length) return undefined
    const message = this.#incomplete.subarray(0, end)
    const rest = this.#incomplete.subarray(end)
    // A view of the storage would keep the whole of it.
    this.#incomplete = rest.length === 0 ? EMPTY : this.#storage === EMPTY ? rest : Buffer.from(rest)
    this.#storage = EMPTY
    this.#neededBytes = 0
    return message
  }

  async #processMessage (message: Buffer): Promise<void> {
    try {
      if (!this.hasStarted && this.#answerSpecialRequest(message)) return
      await this.handleMessage(message)
      this.reader.setBuffer(0, EMPTY)
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

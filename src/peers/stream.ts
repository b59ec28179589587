/** The streams between hosts: gRPC over HTTP/2 as Connect speaks it, written and read without its chain of iterators, which costs more than the messages. */
import { constants, type ClientHttp2Stream } from 'node:http2'
import type { Readable } from 'node:stream'
import type { PackedFrame } from '../gen/fulmartally_pb.js'
import { readPacked, writePacked } from './encoding.js'

/** The path of the `Connect` method in `proto/`. */
export const PEERS_PATH = '/fulmartally.v1.Peers/Connect'
export const GRPC_CONTENT = 'application/grpc+proto'
/** The headers of a host that opens a stream. */
export const REQUEST_HEADERS = { 'content-type': GRPC_CONTENT, te: 'trailers' }
/** The trailers of a stream that ended without an error. */
export const OK_TRAILERS = { 'grpc-status': '0' }

/** The length of the flags and of the length before each message. */
const HEADER_BYTES = 5
/** The largest compressed message of a peer: a replicated log with some large documents. */
export const MAX_MESSAGE_BYTES = 16_777_216
/** What incomplete messages of all streams may hold together: the largest one, and usual ones beside it. */
export const MAX_INCOMPLETE_BYTES = 18_874_368
/** The most that waits for a peer that does not read; its link is closed when it is full. */
const MAX_WAITING_BYTES = 256 * 1_048_576
const MAX_WAITING_MESSAGES = 65_536

/**
 * Encodes a message with its header.
 * @example stream.write(encodeMessage(packer.packBatch(frames)))
 */
export function encodeMessage (packed: PackedFrame): Uint8Array {
  const bytes = writePacked(packed.content, HEADER_BYTES)
  bytes.writeUInt8(0, 0)
  bytes.writeUInt32BE(bytes.length - HEADER_BYTES, 1)
  return bytes
}

/** Splits the bytes of a stream into its messages. */
export class MessageReader {
  #chunks: Buffer[] = []
  #length = 0
  /** The length from which on the next message may be complete. */
  #neededLength = HEADER_BYTES

  private constructor () {}

  /**
   * Creates the reader of a new stream.
   * @example MessageReader.create().read(encodeMessage(packed)).length // 1
   */
  static create (): MessageReader {
    return new MessageReader()
  }

  /** What is held of a message that is not complete. */
  get incompleteBytes (): number {
    return this.#length
  }

  /**
   * Adds a chunk and returns the messages that are complete.
   * @throws RangeError when a message is compressed, too long or no packed frame.
   */
  read (chunk: Buffer): readonly PackedFrame[] {
    this.#chunks.push(chunk)
    this.#length += chunk.length
    if (this.#length < this.#neededLength) return []
    const bytes = this.#chunks.length === 1 ? chunk : Buffer.concat(this.#chunks)
    const messages: PackedFrame[] = []
    let at = 0
    this.#neededLength = HEADER_BYTES
    while (bytes.length - at >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(at + 1)
      if (bytes[at] !== 0 || length > MAX_MESSAGE_BYTES) throw new RangeError('a message of the stream is compressed or too long')
      const end = at + HEADER_BYTES + length
      this.#neededLength = end - at
      if (end > bytes.length) break
      messages.push(readPacked(bytes.subarray(at + HEADER_BYTES, end)))
      at = end
      this.#neededLength = HEADER_BYTES
    }
    // An empty rest would keep the memory of its chunk.
    this.#chunks = at === bytes.length ? [] : [bytes.subarray(at)]
    this.#length = bytes.length - at
    return messages
  }
}

/** Limits what the incomplete messages of all streams hold together: peers that stop half-way would add up. */
export class IncompleteMessages {
  readonly #limitBytes: number
  #bytes = 0

  private constructor (limitBytes: number) {
    this.#limitBytes = limitBytes
  }

  /**
   * Creates the limit of a host.
   * @example IncompleteMessages.create(MAX_INCOMPLETE_BYTES)
   */
  static create (limitBytes: number): IncompleteMessages {
    return new IncompleteMessages(limitBytes)
  }

  /**
   * Replaces what one stream holds.
   * @throws RangeError when the stream takes all of them over the limit.
   */
  replace (beforeBytes: number, afterBytes: number): void {
    this.#bytes += afterBytes - beforeBytes
    if (afterBytes > beforeBytes && this.#bytes > this.#limitBytes) throw new RangeError('the incomplete messages of all streams are too long')
  }
}

/** Passes the messages of a stream on; resolves when it ends, and rejects when it breaks, `handle` throws or incomplete messages are too long. */
export async function receiveMessages (stream: Readable, incomplete: IncompleteMessages, handle: (packed: PackedFrame) => void): Promise<void> {
  const reader = MessageReader.create()
  let heldBytes = 0
  const replaceHeld = (bytes: number): void => {
    const before = heldBytes
    heldBytes = bytes
    incomplete.replace(before, bytes)
  }
  await new Promise<void>((resolve, reject) => {
    const receive = (chunk: Buffer): void => {
      try {
        for (const packed of reader.read(chunk)) handle(packed)
        replaceHeld(reader.incompleteBytes)
      } catch (error) {
        stream.off('data', receive)
        reject(error instanceof Error ? error : new Error(String(error)))
      }
    }
    stream.on('data', receive)
    stream.on('error', reject)
    stream.once('end', resolve)
    stream.once('close', resolve)
  }).finally(() => replaceHeld(0))
}

/** Writes the messages of one stream, also before it is open; the writer never waits. */
export class MessageSender {
  #stream: ClientHttp2Stream | undefined
  #waiting: Uint8Array[] = []
  #waitingBytes = 0
  #blocked = true
  #closed = false

  private constructor () {}

  /**
   * Creates the sender of a stream that opens later.
   * @example MessageSender.create().send(encodeMessage(packed))
   */
  static create (): MessageSender {
    return new MessageSender()
  }

  /** Starts to write to the stream. */
  open (stream: ClientHttp2Stream): void {
    if (this.#closed) return stream.close(constants.NGHTTP2_CANCEL)
    this.#stream = stream
    stream.on('drain', () => this.#sendWaiting())
    this.#sendWaiting()
  }

  /** Writes a message once the stream takes it; returns false when too many wait, or the sender is closed. */
  send (message: Uint8Array): boolean {
    if (this.#closed || this.#waiting.length >= MAX_WAITING_MESSAGES || this.#waitingBytes + message.length > MAX_WAITING_BYTES) return false
    if (this.#blocked || this.#stream === undefined) {
      this.#waiting.push(message)
      this.#waitingBytes += message.length
    } else {
      this.#blocked = !this.#stream.write(message)
    }
    return true
  }

  /** Drops what waits, and ends the stream. */
  close (): void {
    this.#closed = true
    this.#waiting = []
    this.#waitingBytes = 0
    this.#stream?.close(constants.NGHTTP2_CANCEL)
  }

  #sendWaiting (): void {
    this.#blocked = false
    const waiting = this.#waiting
    if (waiting.length === 0) return
    this.#waiting = []
    this.#waitingBytes = 0
    this.#blocked = this.#stream?.write(waiting.length === 1 ? waiting[0] : Buffer.concat(waiting)) === false
  }
}

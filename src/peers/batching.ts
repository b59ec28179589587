/** Compresses the batches of one link, each against those before it: in the block format of LZ4 if that makes them short, else with deflate. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'
import { assertInvariant } from '../core/invariant.js'

/** How far back a match may lie, in this input and those before it. */
const WINDOW_BYTES = 8_192
/** What is longer than this in the format of LZ4 holds texts that do not repeat, which deflate makes shorter by coding their letters. */
const MAX_LZ_BYTES = 128
const DEFLATE_OPTIONS = { level: 1, windowBits: 13, memLevel: 4 }
const INFLATE_OPTIONS = { windowBits: 13 }
/** The largest input: larger ones are worth the setup of a better compression. */
export const MAX_INPUT_BYTES = 16_384
const HASH_BITS = 11
const HASH_SHIFT = 32 - HASH_BITS
const HASH_FACTOR = 2_654_435_761
const MIN_MATCH_BYTES = 4
/** The largest length in a half of a token; longer ones continue in the following bytes. */
const MAX_SHORT_LENGTH = 15
const MAX_BYTE = 255
/** The largest growth of an input without any match: a byte for each 255, a token, and the rest of a length. */
const MAX_GROWTH_BYTES = Math.ceil(MAX_INPUT_BYTES / MAX_BYTE) + 16

/** Shared by all links of the process: the window of a link, then the input that is being handled. */
const WORK = Buffer.alloc(WINDOW_BYTES + MAX_INPUT_BYTES)
const OUTPUT = Buffer.alloc(MAX_INPUT_BYTES + MAX_GROWTH_BYTES)

/** The last bytes that passed over a link. */
class Window {
  #bytes = Buffer.alloc(0)

  private constructor () {}

  static create (): Window {
    return new Window()
  }

  /** Copies the window to the start of the shared memory, and returns its length. */
  load (): number {
    this.#bytes.copy(WORK)
    return this.#bytes.length
  }

  /** Keeps the last bytes of the shared memory before `end`. */
  store (end: number): void {
    const start = Math.max(0, end - WINDOW_BYTES)
    if (this.#bytes.length < end - start) this.#bytes = Buffer.alloc(end - start)
    WORK.copy(this.#bytes, 0, start, end)
  }
}

/** The ways of compression. */
export type Codec = 'lz' | 'deflate'

/** A compressed input. */
export interface PackedInput {
  readonly codec: Codec
  readonly bytes: Uint8Array
}

/** Compresses the inputs of one link. */
export class BatchPacker {
  readonly #window = Window.create()
  /** For each hash of four bytes, where they were seen last, counted over all inputs. */
  readonly #positions = new Int32Array(2 ** HASH_BITS)
  /** The position of the first byte in the shared memory. */
  #base = 0

  private constructor () {}

  /**
   * Creates the packer of a new link.
   * @example BatchPacker.create().pack(bytes)
   */
  static create (): BatchPacker {
    return new BatchPacker()
  }

  /** Compresses the next input of the link. */
  pack (input: Uint8Array): PackedInput {
    const start = this.#window.load()
    assertInvariant(input.length <= MAX_INPUT_BYTES, 'an input is bounded', String(input.length))
    WORK.set(input, start)
    const end = start + input.length
    const length = this.#encode(start, end)
    const packed: PackedInput = length <= MAX_LZ_BYTES
      ? { codec: 'lz', bytes: Buffer.from(OUTPUT.subarray(0, length)) }
      : { codec: 'deflate', bytes: deflateRawSync(input, { ...DEFLATE_OPTIONS, dictionary: WORK.subarray(0, start) }) }
    this.#window.store(end)
    this.#base = (this.#base + Math.max(0, end - WINDOW_BYTES)) | 0
    return packed
  }

  // Hot path: one pass, in shared memory.
  #encode (start: number, end: number): number {
    let at = start
    let literals = start
    let written = 0
    while (at + MIN_MATCH_BYTES <= end) {
      const match = this.#findMatch(at)
      if (match < 0) {
        at++
        continue
      }
      const length = countMatching(match, at, end)
      written = writeSequence(written, literals, at, length, at - match)
      for (let next = at + 1; next < at + length && next + MIN_MATCH_BYTES <= end; next++) this.#findMatch(next)
      at += length
      literals = at
    }
    return writeLiterals(written, literals, end, 0)
  }

  // Returns where the four bytes at a place were seen last, or -1, and records the place.
  #findMatch (at: number): number {
    const four = readFour(at)
    const hash = Math.imul(four, HASH_FACTOR) >>> HASH_SHIFT
    const match = (this.#positions[hash]! - this.#base) | 0
    this.#positions[hash] = this.#base + at
    return match >= 0 && match < at && at - match <= WINDOW_BYTES && readFour(match) === four ? match : -1
  }
}

/** Decompresses the inputs of one link. */
export class BatchUnpacker {
  readonly #window = Window.create()

  private constructor () {}

  /**
   * Creates the unpacker of a new link.
   * @example BatchUnpacker.create().unpack(packed)
   */
  static create (): BatchUnpacker {
    return new BatchUnpacker()
  }

  /**
   * Decompresses the next input of the link.
   * @throws when the bytes are not the next input of the link.
   */
  unpack ({ codec, bytes }: PackedInput): Uint8Array {
    const start = this.#window.load()
    const end = codec === 'lz' ? BlockDecoder.create(bytes, start).decode() : decodeDeflated(bytes, start)
    const input = Buffer.from(WORK.subarray(start, end))
    this.#window.store(end)
    return input
  }
}

// Returns the end of what was decompressed to the shared memory.
function decodeDeflated (packed: Uint8Array, start: number): number {
  const input = inflateRawSync(packed, { ...INFLATE_OPTIONS, dictionary: WORK.subarray(0, start), maxOutputLength: MAX_INPUT_BYTES })
  WORK.set(input, start)
  return start + input.length
}

function readFour (at: number): number {
  return WORK[at]! | WORK[at + 1]! << 8 | WORK[at + 2]! << 16 | WORK[at + 3]! << 24
}

function countMatching (match: number, at: number, end: number): number {
  let length = MIN_MATCH_BYTES
  while (at + length < end && WORK[match + length] === WORK[at + length]) length++
  return length
}

function writeSequence (written: number, literals: number, at: number, length: number, distance: number): number {
  const rest = length - MIN_MATCH_BYTES
  let next = writeLiterals(written, literals, at, Math.min(rest, MAX_SHORT_LENGTH))
  OUTPUT[next++] = distance & MAX_BYTE
  OUTPUT[next++] = distance >>> 8
  return writeRest(next, rest)
}

// Writes a token and the literals after it; the token's second half is the length of the match that follows.
function writeLiterals (written: number, start: number, end: number, matchLength: number): number {
  const count = end - start
  OUTPUT[written] = Math.min(count, MAX_SHORT_LENGTH) << 4 | matchLength
  const next = writeRest(written + 1, count)
  for (let index = 0; index < count; index++) OUTPUT[next + index] = WORK[start + index]!
  return next + count
}

function writeRest (written: number, length: number): number {
  if (length < MAX_SHORT_LENGTH) return written
  let next = written
  let rest = length - MAX_SHORT_LENGTH
  for (; rest >= MAX_BYTE; rest -= MAX_BYTE) OUTPUT[next++] = MAX_BYTE
  OUTPUT[next++] = rest
  return next
}

/** Decompresses one block to the shared memory. */
class BlockDecoder {
  readonly #packed: Uint8Array
  #read = 0
  #at: number

  private constructor (packed: Uint8Array, start: number) {
    this.#packed = packed
    this.#at = start
  }

  static create (packed: Uint8Array, start: number): BlockDecoder {
    return new BlockDecoder(packed, start)
  }

  /** Returns the end of what was decompressed. */
  decode (): number {
    while (true) {
      const token = this.#readByte()
      this.#readLiterals(this.#readLength(token >>> 4))
      if (this.#read === this.#packed.length) return this.#at
      const distance = this.#readByte() | this.#readByte() << 8
      this.#repeatMatch(distance, this.#readLength(token & MAX_SHORT_LENGTH) + MIN_MATCH_BYTES)
    }
  }

  #readByte (): number {
    return this.#packed[this.#read++] ?? failToRead()
  }

  #readLength (short: number): number {
    let length = short
    if (short < MAX_SHORT_LENGTH) return length
    let byte
    do {
      byte = this.#readByte()
      length += byte
    } while (byte === MAX_BYTE)
    return length
  }

  #readLiterals (length: number): void {
    if (this.#read + length > this.#packed.length || this.#at + length > WORK.length) failToRead()
    for (let index = 0; index < length; index++) WORK[this.#at + index] = this.#packed[this.#read + index]!
    this.#read += length
    this.#at += length
  }

  #repeatMatch (distance: number, length: number): void {
    if (distance === 0 || distance > this.#at || this.#at + length > WORK.length) failToRead()
    for (const end = this.#at + length; this.#at < end; this.#at++) WORK[this.#at] = WORK[this.#at - distance]!
  }
}

function failToRead (): never {
  throw new RangeError('the bytes are not the next ones of this link')
}

/** Compresses the frames of one link, each against the previous ones, which are similar to it. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** The size of the dictionary of earlier frames on both ends: it holds some ten of them, and is cheap to index for each frame. */
const WINDOW_BYTES = 8_192
/** The base-two logarithm of the window size. */
const WINDOW_BITS = 13
/** Selects small hash tables: frames are short, and the tables are cleared for each of them. */
const DEFLATE_MEMORY_LEVEL = 4
/** Selects the fastest search: a better one saves only 1% of the bytes of such frames. */
const DEFLATE_LEVEL = 1
/** The largest decompressed frame where the memory of the process allows it; far above the size of the largest document. */
export const MAX_UNPACKED_BYTES = 64 * 1_048_576

const EMPTY = Buffer.alloc(0)

/** Compresses frames at the sending end of a link. */
export class FramePacker {
  #window: Buffer = EMPTY

  private constructor () {}

  /**
   * Creates the packer of a new link.
   * @example FramePacker.create().pack(bytes)
   */
  static create (): FramePacker {
    return new FramePacker()
  }

  /** Compresses the next frame of the link. */
  pack (frame: Uint8Array): Uint8Array {
    const packed = deflateRawSync(frame, { dictionary: this.#window, level: DEFLATE_LEVEL, windowBits: WINDOW_BITS, memLevel: DEFLATE_MEMORY_LEVEL })
    this.#window = advanceWindow(this.#window, frame)
    return packed
  }
}

/** Decompresses frames at the receiving end of a link. */
export class FrameUnpacker {
  readonly #maxBytes: number
  #window: Buffer = EMPTY

  private constructor (maxBytes: number) {
    this.#maxBytes = maxBytes
  }

  /**
   * Creates the unpacker of a new link.
   * @param maxBytes the largest decompressed frame.
   * @example FrameUnpacker.create().unpack(packed)
   */
  static create (maxBytes = MAX_UNPACKED_BYTES): FrameUnpacker {
    return new FrameUnpacker(maxBytes)
  }

  /**
   * Decompresses the next frame of the link.
   * @throws when the bytes are not the next frame of the link.
   */
  unpack (packed: Uint8Array): Uint8Array {
    const frame = inflateRawSync(packed, { dictionary: this.#window, windowBits: WINDOW_BITS, maxOutputLength: this.#maxBytes })
    this.#window = advanceWindow(this.#window, frame)
    return frame
  }
}

function advanceWindow (window: Buffer, frame: Uint8Array): Buffer {
  if (frame.length >= WINDOW_BYTES) return Buffer.from(frame.subarray(frame.length - WINDOW_BYTES))
  return Buffer.concat([window.subarray(Math.max(0, window.length + frame.length - WINDOW_BYTES)), frame])
}

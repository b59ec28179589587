/** Packs the frames of one link: each is compressed against those that went before it, which are much alike. */
import { deflateRawSync, inflateRawSync } from 'node:zlib'

/** How much of the earlier frames both ends keep: some ten of them, and cheap to index for each frame. */
const WINDOW_BYTES = 8_192
/** The base-two logarithm of the window. */
const WINDOW_BITS = 13
/** Small tables: a frame is short, and a table is cleared for each. */
const MEMORY_LEVEL = 4
/** The fastest search: a better one saves 1% of the bytes of such frames. */
const LEVEL = 1
/** The most that a frame may unpack to: far above the largest document. */
const MAX_FRAME_BYTES = 64 * 1_048_576

const EMPTY = Buffer.alloc(0)

/** The sending end of a link. */
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

  /** Packs the next frame of the link. */
  pack (frame: Uint8Array): Uint8Array {
    const packed = deflateRawSync(frame, { dictionary: this.#window, level: LEVEL, windowBits: WINDOW_BITS, memLevel: MEMORY_LEVEL })
    this.#window = advanceWindow(this.#window, frame)
    return packed
  }
}

/** The receiving end of a link. */
export class FrameUnpacker {
  #window: Buffer = EMPTY

  private constructor () {}

  /**
   * Creates the unpacker of a new link.
   * @example FrameUnpacker.create().unpack(packed)
   */
  static create (): FrameUnpacker {
    return new FrameUnpacker()
  }

  /** Unpacks the next frame of the link. Throws when the bytes are none of its frames. */
  unpack (packed: Uint8Array): Uint8Array {
    const frame = inflateRawSync(packed, { dictionary: this.#window, windowBits: WINDOW_BITS, maxOutputLength: MAX_FRAME_BYTES })
    this.#window = advanceWindow(this.#window, frame)
    return frame
  }
}

function advanceWindow (window: Buffer, frame: Uint8Array): Buffer {
  if (frame.length >= WINDOW_BYTES) return Buffer.from(frame.subarray(frame.length - WINDOW_BYTES))
  return Buffer.concat([window.subarray(Math.max(0, window.length + frame.length - WINDOW_BYTES)), frame])
}

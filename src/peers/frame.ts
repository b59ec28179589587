/** The encoding of messages between hosts. */
import type { Message } from '../core/message.js'
import type { Stamp } from '../timeline/stamp.js'
import type { PackedFrame } from '../gen/fulmartally_pb.js'
import { BatchPacker, BatchUnpacker, MAX_INPUT_BYTES, type PackedInput } from './batching.js'
import { createPacked, readBatch, readFrame, writeBatch, writeFrame } from './encoding.js'
import type { EncodedFrame } from './outbox.js'
import { FramePacker, FrameUnpacker } from './packing.js'

const NO_PAYLOAD = new Uint8Array(0)

interface WithPayload extends Message {
  readonly payload?: Uint8Array
}

/** A message from another host, with the clock of its sender. */
export interface DecodedFrame {
  readonly from: string
  readonly message: Message
  readonly stamp: Stamp
}

/**
 * Encodes a message as JSON; its payload is kept apart as bytes.
 * @example encodeFrame('host-1', { kind: 'routing/positions-asked', round: 1 }, clock.advance())
 */
export function encodeFrame (from: string, message: Message, stamp: Stamp): EncodedFrame {
  const { payload, ...body } = message as WithPayload
  return { kind: message.kind, bytes: writeFrame({ from, body: JSON.stringify(body), payload: payload ?? NO_PAYLOAD, stamp }) }
}

/**
 * Decodes a message and adds the host that sent it as `from`.
 * @throws when the bytes are not a frame.
 * @example decodeFrame(bytes).message.kind
 */
export function decodeFrame (bytes: Uint8Array): DecodedFrame {
  const { from, body, payload, stamp } = readFrame(bytes)
  const message = { ...JSON.parse(body) as Message, from, payload } as Message
  return { from, message, stamp }
}

/** Compresses the frames of one link. */
export class LinkPacker {
  readonly #frames = FramePacker.create()
  readonly #batches = BatchPacker.create()

  private constructor () {}

  /**
   * Creates the packer of a new link.
   * @example LinkPacker.create().packBatch([frame.bytes])
   */
  static create (): LinkPacker {
    return new LinkPacker()
  }

  /** Compresses a frame for a peer that may not accept batches. */
  packFrame (frame: Uint8Array): PackedFrame {
    return createPacked({ case: 'frame', value: this.#frames.pack(frame) })
  }

  /** Compresses the frames of one turn for a peer that accepts batches. */
  packBatch (frames: readonly Uint8Array[]): PackedFrame {
    const batch = writeBatch(frames)
    if (batch.length > MAX_INPUT_BYTES && frames.length === 1) return this.packFrame(frames[0]!)
    const { codec, bytes } = this.#batches.pack(batch)
    return createPacked({ case: codec === 'lz' ? 'batch' : 'deflatedBatch', value: bytes })
  }
}

/** Decompresses the frames of one link. */
export class LinkUnpacker {
  readonly #frames: FrameUnpacker
  readonly #batches = BatchUnpacker.create()

  private constructor (maxBytes: number | undefined) {
    this.#frames = FrameUnpacker.create(maxBytes)
  }

  /**
   * Creates the unpacker of a new link.
   * @example LinkUnpacker.create().unpack(packed).length // 1
   */
  static create (maxBytes?: number): LinkUnpacker {
    return new LinkUnpacker(maxBytes)
  }

  /**
   * Decompresses the next frames of the link.
   * @throws when the bytes are not the next frames.
   */
  unpack ({ content }: PackedFrame): readonly Uint8Array[] {
    switch (content.case) {
      case 'batch': return this.#unpackBatch({ codec: 'lz', bytes: content.value })
      case 'deflatedBatch': return this.#unpackBatch({ codec: 'deflate', bytes: content.value })
      default: return [this.#frames.unpack(content.value ?? new Uint8Array())]
    }
  }

  #unpackBatch (packed: PackedInput): readonly Uint8Array[] {
    return readBatch(this.#batches.unpack(packed))
  }
}

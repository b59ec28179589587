/** The encoding of messages between hosts. */
import { fromBinary, create, toBinary } from '@bufbuild/protobuf'
import type { Message } from '../core/message.js'
import type { Stamp } from '../timeline/stamp.js'
import { FrameBatchSchema, FrameSchema, PackedFrameSchema, type PackedFrame } from '../gen/fulmartally_pb.js'
import type { EncodedFrame } from './outbox.js'
import type { FramePacker, FrameUnpacker } from './packing.js'

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
  const frame = create(FrameSchema, { from, body: JSON.stringify(body), payload, stampWallMs: stamp.wallMs, stampCount: stamp.count })
  return { kind: message.kind, bytes: toBinary(FrameSchema, frame) }
}

/**
 * Decodes a message and adds the host that sent it as `from`.
 * @throws when the bytes are not a frame.
 * @example decodeFrame(bytes).message.kind
 */
export function decodeFrame (bytes: Uint8Array): DecodedFrame {
  const frame = fromBinary(FrameSchema, bytes)
  const body = JSON.parse(frame.body) as Message
  const message = { ...body, from: frame.from, payload: frame.payload } as Message
  return { from: frame.from, message, stamp: { wallMs: frame.stampWallMs, count: frame.stampCount } }
}

/**
 * Compresses the frames of one turn for their link.
 * @example packFrames(link.packer, [toBinary(FrameSchema, frame)])
 */
export function packFrames (packer: FramePacker, frames: readonly Uint8Array[]): PackedFrame {
  const [first] = frames
  if (frames.length === 1) return createPacked('frame', packer.pack(first!))
  return createPacked('batch', packer.pack(toBinary(FrameBatchSchema, create(FrameBatchSchema, { frames: [...frames] }))))
}

/**
 * Decompresses the next frames of a link.
 * @throws when the bytes are not the next frames.
 * @example unpackFrames(unpacker, packed).length // 1
 */
export function unpackFrames (unpacker: FrameUnpacker, { content }: PackedFrame): readonly Uint8Array[] {
  const unpacked = unpacker.unpack(content.value ?? new Uint8Array())
  return content.case === 'batch' ? fromBinary(FrameBatchSchema, unpacked).frames : [unpacked]
}

function createPacked (kind: 'frame' | 'batch', value: Uint8Array): PackedFrame {
  return create(PackedFrameSchema, { content: { case: kind, value } })
}

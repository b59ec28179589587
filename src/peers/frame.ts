/** The encoding of messages between hosts. */
import { fromBinary, create, toBinary } from '@bufbuild/protobuf'
import type { Message } from '../core/message.js'
import type { Stamp } from '../timeline/stamp.js'
import { FrameSchema, PackedFrameSchema, type Frame, type PackedFrame } from '../gen/fulmartally_pb.js'
import type { FramePacker, FrameUnpacker } from './packing.js'

interface WithPayload extends Message {
  readonly payload?: Uint8Array
}

/**
 * Encodes a message as JSON; its payload is kept apart as bytes.
 * @example encodeFrame('host-1', { kind: 'routing/positions-asked', round: 1 }, clock.advance())
 */
export function encodeFrame (from: string, message: Message, stamp: Stamp): Frame {
  const { payload, ...body } = message as WithPayload
  return create(FrameSchema, { from, body: JSON.stringify(body), payload, stampWallMs: stamp.wallMs, stampCount: stamp.count })
}

/**
 * Decodes a message and adds the host that sent it as `from`.
 * @example decodeFrame(frame).kind
 */
export function decodeFrame (frame: Frame): Message {
  const body = JSON.parse(frame.body) as Message
  return { ...body, from: frame.from, payload: frame.payload } as Message
}

/**
 * Compresses a frame for its link.
 * @example packFrame(link.packer, frame).frame.length
 */
export function packFrame (packer: FramePacker, frame: Frame): PackedFrame {
  return create(PackedFrameSchema, { frame: packer.pack(toBinary(FrameSchema, frame)) })
}

/**
 * Decompresses the next frame of a link.
 * @throws when the bytes are not the next frame.
 * @example unpackFrame(unpacker, packed).from // 'host-1'
 */
export function unpackFrame (unpacker: FrameUnpacker, packed: PackedFrame): Frame {
  return fromBinary(FrameSchema, unpacker.unpack(packed.frame))
}

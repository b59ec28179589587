/** Counts the bytes between hosts, separately for control messages and callers' data. */
import { readOwner } from '../core/message.js'
import type { PackedFrame } from '../gen/fulmartally_pb.js'
import type { EncodedFrame } from './outbox.js'

/** The slices whose messages contain callers' requests and answers. */
const DATA_SLICES: ReadonlySet<string> = new Set(['requests', 'transactions'])
/** The headers of HTTP/2, gRPC and the compressed frame. */
const HEADER_BYTES = 17

/** The bytes of one message between hosts; a part of a batch may be a fraction. */
export interface Traffic {
  readonly direction: 'sent' | 'received'
  readonly purpose: 'control' | 'data'
  readonly bytes: number
}

/** Called with the bytes of each message between hosts. */
export type OnTraffic = (traffic: Traffic) => void

/**
 * Counts the bytes of a packed message as it is sent over the link, with its headers, for each of its frames by its size.
 * @example countTraffic('sent', [{ kind: 'membership/beat', bytes }], packed)[0].purpose // 'control'
 */
export function countTraffic (direction: Traffic['direction'], frames: readonly EncodedFrame[], packed: PackedFrame): readonly Traffic[] {
  const bytes = HEADER_BYTES + (packed.content.value?.length ?? 0)
  if (frames.length === 1) return [{ direction, purpose: findPurpose(frames[0]!.kind), bytes }]
  const totalBytes = frames.reduce((sum, frame) => sum + frame.bytes.length, 0)
  return frames.map(frame => ({ direction, purpose: findPurpose(frame.kind), bytes: bytes * frame.bytes.length / Math.max(totalBytes, 1) }))
}

function findPurpose (kind: string): Traffic['purpose'] {
  return DATA_SLICES.has(readOwner(kind)) ? 'data' : 'control'
}

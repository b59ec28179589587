/** Counts the bytes between hosts, separately for control messages and callers' data. */
import { readOwner } from '../core/message.js'
import type { PackedFrame } from '../gen/fulmartally_pb.js'

/** The slices whose messages contain callers' requests and answers. */
const DATA_SLICES: ReadonlySet<string> = new Set(['requests', 'transactions'])
/** The headers of HTTP/2, gRPC and the compressed frame. */
const HEADER_BYTES = 17

/** The bytes of one message between hosts. */
export interface Traffic {
  readonly direction: 'sent' | 'received'
  readonly purpose: 'control' | 'data'
  readonly bytes: number
}

/** Called with the bytes of each message between hosts. */
export type OnTraffic = (traffic: Traffic) => void

/**
 * Counts the bytes of a frame as it is sent over the link, with its headers.
 * @example countTraffic('sent', 'membership/beat', packed).purpose // 'control'
 */
export function countTraffic (direction: Traffic['direction'], kind: string, packed: PackedFrame): Traffic {
  const purpose = DATA_SLICES.has(readOwner(kind)) ? 'data' : 'control'
  const bytes = HEADER_BYTES + packed.frame.length
  return { direction, purpose, bytes }
}

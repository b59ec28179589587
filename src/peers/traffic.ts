/** Counts bytes between hosts, for control and for callers' data apart. */
import { readOwner } from '../core/message.js'
import type { PackedFrame } from '../gen/fulmartally_pb.js'

/** The slices whose messages carry callers' requests and answers. */
const DATA_SLICES: ReadonlySet<string> = new Set(['requests', 'transactions'])
/** Headers of HTTP/2, gRPC and the packed frame. */
const HEADER_BYTES = 17

/** The bytes of one message between hosts. */
export interface Traffic {
  readonly direction: 'sent' | 'received'
  readonly purpose: 'control' | 'data'
  readonly bytes: number
}

/** Sees the bytes of each message between hosts. */
export type OnTraffic = (traffic: Traffic) => void

/**
 * Counts the bytes of a frame as it is on the link.
 * @example countTraffic('sent', 'membership/beat', packed).purpose // 'control'
 */
export function countTraffic (direction: Traffic['direction'], kind: string, packed: PackedFrame): Traffic {
  const purpose = DATA_SLICES.has(readOwner(kind)) ? 'data' : 'control'
  const bytes = HEADER_BYTES + packed.frame.length
  return { direction, purpose, bytes }
}

/** Counts bytes between hosts, for control and for callers' data apart. */
import { readOwner } from '../core/message.js'
import type { Frame } from '../gen/fulmartally_pb.js'

/** The slices whose messages carry callers' requests and answers. */
const DATA_SLICES: ReadonlySet<string> = new Set(['requests', 'transactions'])
/** Headers of HTTP/2, gRPC and the frame's fields around its texts. */
const HEADER_BYTES = 34

/** The bytes of one message between hosts. */
export interface Traffic {
  readonly direction: 'sent' | 'received'
  readonly purpose: 'control' | 'data'
  readonly bytes: number
}

/** Sees the bytes of each message between hosts. */
export type OnTraffic = (traffic: Traffic) => void

/**
 * Counts the bytes of a frame.
 * @example countTraffic('sent', 'membership/beat', frame).purpose // 'control'
 */
export function countTraffic (direction: Traffic['direction'], kind: string, frame: Frame): Traffic {
  const purpose = DATA_SLICES.has(readOwner(kind)) ? 'data' : 'control'
  const bytes = HEADER_BYTES + frame.from.length + Buffer.byteLength(frame.body) + frame.payload.length
  return { direction, purpose, bytes }
}

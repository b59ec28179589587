/** Hybrid logical clocks: stamps that stay close to wall time and respect causality. */

/** A timestamp that orders all events: by wall time, then by a counter. */
export interface Stamp {
  /** The latest wall time that the process read or received, in milliseconds since the epoch. */
  readonly wallMs: number
  /** Orders the events with the same `wallMs`. */
  readonly count: number
}

/** How far a received stamp may be ahead of the local clock; it is ignored beyond that, so that one wrong clock does not advance all others. */
export const MAX_AHEAD_MS = 60_000

/** The stamp before the first event. */
export const FIRST_STAMP: Stamp = { wallMs: 0, count: 0 }

/**
 * Returns the stamp of the next event of this process.
 * @example advanceStamp({ wallMs: 5, count: 0 }, 5) // { wallMs: 5, count: 1 }
 */
export function advanceStamp (last: Stamp, wallMs: number): Stamp {
  return wallMs > last.wallMs ? { wallMs, count: 0 } : { wallMs: last.wallMs, count: last.count + 1 }
}

/**
 * Returns the stamp of the receipt of a message, later than the message's own stamp unless that is too far ahead.
 * @example mergeStamp({ wallMs: 5, count: 0 }, { wallMs: 9, count: 2 }, 6) // { wallMs: 9, count: 3 }
 */
export function mergeStamp (last: Stamp, received: Stamp, wallMs: number): Stamp {
  if (received.wallMs > wallMs + MAX_AHEAD_MS) return advanceStamp(last, wallMs)
  const later = compareStamps(last, received) >= 0 ? last : received
  return advanceStamp(later, wallMs)
}

/**
 * Compares two stamps; negative when `a` comes first.
 * @example compareStamps({ wallMs: 5, count: 0 }, { wallMs: 5, count: 1 }) // < 0
 */
export function compareStamps (a: Stamp, b: Stamp): number {
  return a.wallMs - b.wallMs || a.count - b.count
}

/** Hybrid logical clock: stamps that follow wall time and never contradict cause and effect. */

/** A place in the order of all events: wall time, then a count of events within it. */
export interface Stamp {
  /** The latest wall time that the process has seen, its own or another's, in milliseconds since the epoch. */
  readonly wallMs: number
  /** Counts events at the same `wallMs`. */
  readonly count: number
}

/** How far ahead of the own clock another's may be; beyond it, the stamp is not followed. */
export const MAX_AHEAD_MS = 60_000

/** The stamp before the first event. */
export const FIRST_STAMP: Stamp = { wallMs: 0, count: 0 }

/**
 * Returns the stamp of an event of this process.
 * @example advanceStamp({ wallMs: 5, count: 0 }, 5) // { wallMs: 5, count: 1 }
 */
export function advanceStamp (last: Stamp, wallMs: number): Stamp {
  return wallMs > last.wallMs ? { wallMs, count: 0 } : { wallMs: last.wallMs, count: last.count + 1 }
}

/**
 * Returns the stamp of the arrival of a message that carried a stamp.
 * @example mergeStamp({ wallMs: 5, count: 0 }, { wallMs: 9, count: 2 }, 6) // { wallMs: 9, count: 3 }
 */
export function mergeStamp (last: Stamp, received: Stamp, wallMs: number): Stamp {
  if (received.wallMs > wallMs + MAX_AHEAD_MS) return advanceStamp(last, wallMs)
  const later = compareStamps(last, received) >= 0 ? last : received
  return advanceStamp(later, wallMs)
}

/**
 * Orders two stamps; negative when `a` comes first.
 * @example compareStamps({ wallMs: 5, count: 0 }, { wallMs: 5, count: 1 }) // < 0
 */
export function compareStamps (a: Stamp, b: Stamp): number {
  return a.wallMs - b.wallMs || a.count - b.count
}

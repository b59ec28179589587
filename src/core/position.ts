/** Log positions of a database group. */

/** A position in a group's log: the term of the primary that wrote it, and the number of entries up to it. */
export interface LogPosition {
  readonly term: number
  readonly offset: number
}

/** The position before the first entry. */
export const ORIGIN: LogPosition = { term: 0, offset: 0 }

/**
 * Compares two positions by term, then by offset. Negative when `a` comes first.
 * @example comparePositions({ term: 1, offset: 9 }, { term: 2, offset: 1 }) // < 0
 */
export function comparePositions (a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.offset - b.offset
}

/**
 * Tells whether a database at `held` has every entry up to `wanted`, given that `wanted` was acknowledged.
 * @example coversPosition({ term: 2, offset: 5 }, { term: 1, offset: 9 }) // true
 */
export function coversPosition (held: LogPosition, wanted: LogPosition): boolean {
  return comparePositions(held, wanted) >= 0
}

/**
 * Returns the later of two positions.
 * @example pickLater({ term: 1, offset: 1 }, { term: 1, offset: 2 }).offset // 2
 */
export function pickLater (a: LogPosition, b: LogPosition): LogPosition {
  return comparePositions(a, b) >= 0 ? a : b
}

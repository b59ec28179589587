/** The position that a majority of a group stores. */
import { ORIGIN, comparePositions, type LogPosition } from '../../core/position.js'

/**
 * Returns the highest position that more than half of the members store.
 * @example findMajorityPosition(['a', 'b', 'c'], stored)
 */
export function findMajorityPosition (members: readonly string[], stored: ReadonlyMap<string, LogPosition>): LogPosition {
  const positions = members.map(member => stored.get(member) ?? ORIGIN).sort((a, b) => comparePositions(b, a))
  return positions[Math.floor(members.length / 2)] ?? ORIGIN
}

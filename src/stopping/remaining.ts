/** What a host that stops still begins: work that is expected to end before the stop does. */
import type { Moment } from '../core/message.js'

/**
 * Tells whether work of an expected length would outlast the stop of this host. Nothing does while no stop is under way.
 * @param endsAtMs the monotonic time at which work has to have ended; undefined while the host is not stopping.
 * @param expectedMs how long the work is expected to take, in milliseconds.
 * @example isTooLate(5_000, 200, moment) // true from 4,800 ms on
 */
export function isTooLate (endsAtMs: number | undefined, expectedMs: number, moment: Moment): boolean {
  return endsAtMs !== undefined && moment.monotonicMs + expectedMs >= endsAtMs
}

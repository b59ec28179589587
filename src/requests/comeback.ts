/**
 * When callers that were refused come back. Covers the load pattern of many that are refused for the same reason in the same
 * moment: without a spread they come back together, and find what they found before.
 */
import type { Moment } from '../core/message.js'

/** How long a host needs to admit everything again, from where it admits nothing. */
const FULL_RECOVERY_MS = 1_000
/** The least time until a refused caller comes back. */
const MIN_RETRY_AFTER_MS = 50
/** Priorities from this one on come back together. */
const MAX_PRIORITY = 3

/**
 * Computes when a refused caller comes back: the less is admitted the later, urgent ones first, each within a time of its own.
 * @param room the share of requests that is admitted, from 0 to 1.
 * @param priority the priority of the route; the lowest when absent.
 * @example computeRetryAfterMs(0.5, 0, moment) // 50 to 550
 */
export function computeRetryAfterMs (room: number, priority: number | undefined, { random }: Moment): number {
  const spanMs = Math.max(MIN_RETRY_AFTER_MS, (1 - room) * FULL_RECOVERY_MS)
  const turn = Math.min(MAX_PRIORITY, priority ?? MAX_PRIORITY)
  return Math.ceil(MIN_RETRY_AFTER_MS + (turn + random) * spanMs)
}

/**
 * The pace of a database's queue: how fast its entries start while all slots are in use, and whether a new entry is answered
 * in time. Covers the load pattern of more requests than the slots serve, in which every request would wait until it is late.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { countEntries, countEntriesAhead } from '../fairness/queue.js'
import type { RunRequest } from './messages.js'
import { computeUrgency } from './urgency.js'
import { calculateSlotLimit, countUsedSlots, nameFlow, type OwnedDatabase, type QueuePace } from './state.js'

/** Weight of one start in the average of the intervals. */
const SAMPLE_WEIGHT = 0.1
/** Fraction of the latency target within which the estimated answer has to come: requests that arrive later take turns, too. */
const TARGET_FRACTION = 0.5

/**
 * Computes the pace after a decision.
 * @example computePace(before, after, moment).startIntervalMs // 8.3
 */
export function computePace (before: OwnedDatabase | undefined, after: OwnedDatabase, moment: Moment): QueuePace {
  const { startIntervalMs, saturatedSinceMs } = after.pace
  const saturated = countEntries(after.queue) > 0 && countUsedSlots(after) >= calculateSlotLimit(after)
  const starts = after.started - (before?.started ?? 0)
  if (saturatedSinceMs === undefined) return saturated ? { startIntervalMs, saturatedSinceMs: moment.monotonicMs } : after.pace
  if (starts === 0) return saturated ? after.pace : { startIntervalMs }
  const intervalMs = computeAverage(startIntervalMs, (moment.monotonicMs - saturatedSinceMs) / starts, starts)
  return { startIntervalMs: intervalMs, saturatedSinceMs: saturated ? moment.monotonicMs : undefined }
}

function computeAverage (averageMs: number | undefined, sampleMs: number, starts: number): number {
  if (averageMs === undefined) return sampleMs
  return averageMs + (sampleMs - averageMs) * (1 - (1 - SAMPLE_WEIGHT) ** starts)
}

/**
 * Returns the refusal of a request that would wait here until its latency target, or its deadline where that is sooner;
 * undefined where it may be answered in time. What it waited before is not its queue's fault, and a late answer is better
 * than none; one that comes after the deadline is not: its caller has left. A request without a target may wait for as long as its deadline leaves.
 * @param lagMs the delay of this host: remaining time counts from the dispatch, so the request waited that long already.
 * @example findOverload(database, message, 0, moment)?.code // 'overloaded'
 */
export function findOverload (database: OwnedDatabase, message: RunRequest, lagMs: number, moment: Moment): Failure | undefined {
  const { startIntervalMs = 0, saturatedSinceMs } = database.pace
  if (saturatedSinceMs === undefined) return undefined
  const limitMs = Math.min(message.remainingMs, (message.latencyMs ?? Infinity) * TARGET_FRACTION)
  const ahead = countEntriesAhead(database.queue, nameFlow(message), computeUrgency(database, message))
  const waitMs = Math.max(ahead * startIntervalMs, moment.monotonicMs - saturatedSinceMs)
  // Each of the slots starts one entry in this time, so it is how long a statement takes.
  const answerMs = Math.round(waitMs + startIntervalMs * database.entry.slots)
  const expiredMs = lagMs + waitMs + (database.ranMs ?? 0) - message.remainingMs
  const excessMs = Math.max(answerMs - limitMs, expiredMs)
  if (excessMs <= 0) return undefined
  const retryAfterMs = Math.ceil(excessMs * (1 + moment.random))
  return { ...createFailure('overloaded', database.entry.database), retryAfterMs, inputs: { ahead, startIntervalMs: Number(startIntervalMs.toFixed(1)), answerMs, limitMs, lagMs: Math.round(lagMs) } }
}

/**
 * The pace of a database's queue: how fast its entries start while all slots are in use, and whether a new entry is answered
 * in time. Covers the load pattern of more requests than the slots serve, in which every request would wait until it is late.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { countEntries, countEntriesAhead } from '../fairness/queue.js'
import { calculateAnswerLimitMs } from '../routing/overload.js'
import type { RunRequest } from './messages.js'
import { calculateSlotLimit, countUsedSlots, nameFlow, type OwnedDatabase, type QueuePace } from './state.js'

/** Weight of one start in the average of the intervals. */
const SAMPLE_WEIGHT = 0.1

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

/** Why a request is refused, and how long one of a workspace without queued requests would take. */
export interface Overload {
  readonly failure: Failure
  readonly answerMs: number
}

/**
 * Returns the refusal of a request that would wait here until its latency target, or its deadline where that is sooner;
 * undefined where it may be answered in time. What it waited before is not its queue's fault, and a late answer is better
 * than none. A request without a target waits until its deadline: entries ahead of it may leave the queue before.
 * @example findOverload(database, message, moment)?.failure.code // 'overloaded'
 */
export function findOverload (database: OwnedDatabase, message: RunRequest, moment: Moment): Overload | undefined {
  const { startIntervalMs = 0, saturatedSinceMs } = database.pace
  if (saturatedSinceMs === undefined || message.latencyMs === undefined) return undefined
  const limitMs = calculateAnswerLimitMs(message.latencyMs, message.remainingMs)
  const estimateAnswerMs = (ahead: number): number => Math.round(Math.max(ahead * startIntervalMs, moment.monotonicMs - saturatedSinceMs) + startIntervalMs * database.entry.slots)
  const ahead = countEntriesAhead(database.queue, nameFlow(message))
  const answerMs = estimateAnswerMs(ahead)
  if (answerMs <= limitMs) return undefined
  const retryAfterMs = Math.ceil((answerMs - limitMs) * (1 + moment.random))
  const failure = { ...createFailure('overloaded', database.entry.database), retryAfterMs, inputs: { ahead, startIntervalMs: Number(startIntervalMs.toFixed(1)), answerMs, limitMs } }
  return { failure, answerMs: estimateAnswerMs(database.queue.backloggedFlows.size) }
}

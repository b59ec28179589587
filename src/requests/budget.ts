/**
 * The budget of waiting of a whole request: until when it may wait for its start, and what is ahead of it. Covers the load
 * pattern of hosts that are late by so much that requests are held until their callers leave.
 */
import type { Moment } from '../core/message.js'
import type { InFlightRequest, KnownRules, OwnerDelay, RequestsShared } from './state.js'

/** The part of its time that a request with a latency target may wait before it starts; the rest is for its run, the way back, or another try. */
const WAIT_FRACTION = 0.5
/** How long the last delay of an owner is taken for its next one; it is tried again after it. */
const DELAY_MAX_AGE_MS = 1_000
/** Shorter delays change no decision, and are not kept. */
const MIN_DELAY_MS = 50
/** Weight of one sample in the average of an owner's delay. */
const SAMPLE_WEIGHT = 0.3
/** Weight of one sample in the average lateness of this host. */
const LAG_WEIGHT = 0.4

/** The times of a request, whether it was begun before, and what its route names. */
export type TimedRequest = Pick<InFlightRequest, 'startedAtMs' | 'deadlineAtMs' | 'mayHaveRun'> & { readonly rules?: KnownRules }

/**
 * Computes the monotonic time until which a request may wait for its start. One without a latency target, or one that may have
 * run, may wait until its deadline: the first may outlast a change of primary, the second can't be refused as not run.
 * @example computeWaitEndMs(running) // 400 ms after the arrival of a request that may take 800 ms
 */
export function computeWaitEndMs ({ startedAtMs, deadlineAtMs, mayHaveRun, rules }: TimedRequest): number {
  if (rules?.latencyMs === undefined || mayHaveRun) return deadlineAtMs
  return startedAtMs + (deadlineAtMs - startedAtMs) * WAIT_FRACTION
}

/**
 * Tells whether what is ahead of a request takes longer than it may wait: how late this host is, once before the request
 * arrived and once for its answer, and how late the owner is.
 * @example isBeyondBudget(shared, running, undefined, moment) // false
 */
export function isBeyondBudget (shared: RequestsShared, running: TimedRequest, owner: string | undefined, moment: Moment): boolean {
  return moment.monotonicMs + 2 * shared.lagMs + estimateDelayMs(shared, owner, moment) > computeWaitEndMs(running)
}

/**
 * Estimates how long a request to an owner spends in links and loops, there and back.
 * @example estimateDelayMs(shared, 'host-2', moment) // 30
 */
export function estimateDelayMs ({ ownerDelays }: RequestsShared, owner: string | undefined, moment: Moment): number {
  const known = owner === undefined ? undefined : ownerDelays.get(owner)
  if (known === undefined) return 0
  const isRecent = moment.monotonicMs - known.answeredAtMs < DELAY_MAX_AGE_MS
  return isRecent ? known.delayMs : 0
}

/**
 * Records how long a request and its answer were on their way, by the owner's times. Only the delays of late owners are kept.
 * @example recordDelay(new Map(), 'host-2', 300, moment).get('host-2')?.delayMs // 300
 */
export function recordDelay (delays: ReadonlyMap<string, OwnerDelay>, owner: string, sampleMs: number, moment: Moment): ReadonlyMap<string, OwnerDelay> {
  const before = delays.get(owner)
  const isRecent = before !== undefined && moment.monotonicMs - before.answeredAtMs < DELAY_MAX_AGE_MS
  const delayMs = isRecent ? before.delayMs + (sampleMs - before.delayMs) * SAMPLE_WEIGHT : sampleMs
  if (before === undefined && delayMs < MIN_DELAY_MS) return delays
  const next = new Map(delays)
  if (delayMs < MIN_DELAY_MS) next.delete(owner)
  else next.set(owner, { delayMs, answeredAtMs: moment.monotonicMs })
  return next
}

/**
 * Returns the average lateness of this host's loop after a timer.
 * @example updateLag(0, 1_000, moment)
 */
export function updateLag (lagMs: number, dueAtMs: number, moment: Moment): number {
  return lagMs + (Math.max(0, moment.monotonicMs - dueAtMs) - lagMs) * LAG_WEIGHT
}

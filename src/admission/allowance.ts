/** The allowance of a workspace at this host: its share as a token bucket, and what waits for more. */
import type { Workspace } from '../documents/document.js'
import { TOTAL_PARTS } from '../shares/state.js'
import { createBucket, refillBucket, resizeBucket } from './bucket.js'
import type { Allowance } from './state.js'

/** The weight of the newest count in the smoothed demand. */
const DEMAND_WEIGHT = 0.1
/** A demand below this counts as none, in requests a second. */
const LEAST_DEMAND = 0.05
const MS_PER_SECOND = 1_000

/**
 * Creates the allowance of a workspace of which this host holds no share.
 * @example createAllowance({ rate: 100, burst: 20 }, moment.monotonicMs)
 */
export function createAllowance (limit: Pick<Workspace, 'rate' | 'burst'>, nowMs: number): Allowance {
  const { rate, burst } = limit
  return { rate, burst, parts: 0, bucket: createBucket(0, 0, nowMs), arrived: 0, perSecond: 0, told: 0, waiting: [], pausedUntilMs: 0 }
}

/**
 * Brings an allowance up to date with the workspace's limit and with the time.
 * @param leaseEndsAtMs when the host's lease on its share ends; after it there are no tokens until it is renewed.
 * @example refillAllowance(allowance, workspace, lease.endsAtMs, moment.monotonicMs)
 */
export function refillAllowance (allowance: Allowance, limit: Pick<Workspace, 'rate' | 'burst'>, leaseEndsAtMs: number, nowMs: number): Allowance {
  const current = { ...allowance, rate: limit.rate, burst: limit.burst }
  if (nowMs <= leaseEndsAtMs) return changeParts(current, allowance.parts, nowMs)
  return { ...current, bucket: createBucket(0, 0, nowMs) }
}

/**
 * Changes the share; tokens over its new burst are lost.
 * @example changeParts(allowance, TOTAL_PARTS / 2, moment.monotonicMs).bucket.rate
 */
export function changeParts (allowance: Allowance, parts: number, nowMs: number): Allowance {
  const { rate, burst, bucket } = allowance
  const wanted = { rate: rate * parts / TOTAL_PARTS, burst: burst * parts / TOTAL_PARTS }
  const changed = bucket.rate !== wanted.rate || bucket.burst !== wanted.burst
  return { ...allowance, parts, bucket: changed ? resizeBucket(bucket, wanted.rate, wanted.burst, nowMs) : refillBucket(bucket, nowMs) }
}

/**
 * Adds tokens that came with a share; those over its burst are lost.
 * @example addTokens(allowance, 12).bucket.tokens
 */
export function addTokens (allowance: Allowance, tokens: number): Allowance {
  const { bucket } = allowance
  return { ...allowance, bucket: { ...bucket, tokens: Math.min(bucket.burst, bucket.tokens + tokens) } }
}

/**
 * Counts the demand since the last time.
 * @example updateDemand(allowance, 200).perSecond
 */
export function updateDemand (allowance: Allowance, elapsedMs: number): Allowance {
  const latest = allowance.arrived * MS_PER_SECOND / Math.max(1, elapsedMs)
  const smoothed = allowance.perSecond === 0 ? latest : allowance.perSecond + DEMAND_WEIGHT * (latest - allowance.perSecond)
  return { ...allowance, arrived: 0, perSecond: smoothed < LEAST_DEMAND ? 0 : smoothed }
}

/**
 * Tells whether nothing is lost when the allowance is forgotten.
 * @example isUnused(createAllowance(workspace, 0)) // true
 */
export function isUnused (allowance: Allowance): boolean {
  return allowance.parts === 0 && allowance.perSecond === 0 && allowance.arrived === 0 && allowance.told === 0 && allowance.waiting.length === 0 && allowance.loan === undefined
}

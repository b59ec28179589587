/** Local allowance of a workspace: this host's share as a token bucket, and the requests that wait for tokens. */
import type { Workspace } from '../documents/document.js'
import { TOTAL_PARTS } from '../shares/state.js'
import { createBucket, refillBucket, resizeBucket } from './bucket.js'
import type { Allowance } from './state.js'

/** Weight of the latest sample in the moving average of demand. */
const DEMAND_WEIGHT = 0.1
/** Demand below this counts as zero, in requests per second. */
const MIN_DEMAND = 0.05
const MS_PER_SECOND = 1_000

/**
 * Creates the allowance of a workspace in which this host holds no share.
 * @example createAllowance({ rate: 100, burst: 20 }, moment.monotonicMs)
 */
export function createAllowance (limit: Pick<Workspace, 'rate' | 'burst'>, nowMs: number): Allowance {
  const { rate, burst } = limit
  return { rate, burst, parts: 0, bucket: createBucket(0, 0, nowMs), arrived: 0, perSecond: 0, reportedPerSecond: 0, waiting: [], lent: [], nextLoanAtMs: 0 }
}

/**
 * Applies the workspace's current limit and adds the tokens that accrued until now.
 * @param leaseEndsAtMs when the host's lease on its share expires; the bucket then stays empty until the lease is renewed.
 * @example refillAllowance(allowance, workspace, lease.endsAtMs, moment.monotonicMs)
 */
export function refillAllowance (allowance: Allowance, limit: Pick<Workspace, 'rate' | 'burst'>, leaseEndsAtMs: number, nowMs: number): Allowance {
  const current = { ...allowance, rate: limit.rate, burst: limit.burst }
  if (nowMs <= leaseEndsAtMs) return keepRoomForLent(resizeShare(current, allowance.parts, nowMs), nowMs)
  return { ...current, bucket: createBucket(0, 0, nowMs), lent: allowance.lent.filter(loan => loan.expiresAtMs > nowMs) }
}

// A borrower may use its tokens later than the lender spent them, so their place is refilled only when it no longer can.
function keepRoomForLent (allowance: Allowance, nowMs: number): Allowance {
  if (allowance.lent.length === 0) return allowance
  const lent = allowance.lent.filter(loan => loan.expiresAtMs > nowMs)
  const lentTokens = lent.reduce((sum, loan) => sum + loan.tokens, 0)
  const { bucket } = allowance
  return { ...allowance, lent, bucket: { ...bucket, tokens: Math.min(bucket.tokens, Math.max(0, bucket.burst - lentTokens)) } }
}

/**
 * Changes the share; tokens above its new burst are discarded.
 * @example resizeShare(allowance, TOTAL_PARTS / 2, moment.monotonicMs).bucket.rate
 */
export function resizeShare (allowance: Allowance, parts: number, nowMs: number): Allowance {
  const { rate, burst, bucket } = allowance
  const wanted = { rate: rate * parts / TOTAL_PARTS, burst: burst * parts / TOTAL_PARTS }
  const changed = bucket.rate !== wanted.rate || bucket.burst !== wanted.burst
  return { ...allowance, parts, bucket: changed ? resizeBucket(bucket, wanted.rate, wanted.burst, nowMs) : refillBucket(bucket, nowMs) }
}

/**
 * Adds tokens that were granted with a share; tokens above its burst are discarded.
 * @example addTokens(allowance, 12).bucket.tokens
 */
export function addTokens (allowance: Allowance, tokens: number): Allowance {
  const { bucket } = allowance
  return { ...allowance, bucket: { ...bucket, tokens: Math.min(bucket.burst, bucket.tokens + tokens) } }
}

/**
 * Updates the demand from the requests that arrived since the last update.
 * @example updateDemand(allowance, 200).perSecond
 */
export function updateDemand (allowance: Allowance, elapsedMs: number): Allowance {
  const latest = allowance.arrived * MS_PER_SECOND / Math.max(1, elapsedMs)
  const smoothed = allowance.perSecond === 0 ? latest : allowance.perSecond + DEMAND_WEIGHT * (latest - allowance.perSecond)
  return { ...allowance, arrived: 0, perSecond: smoothed < MIN_DEMAND ? 0 : smoothed }
}

/**
 * Tells whether the allowance can be removed without losing state.
 * @example isUnused(createAllowance(workspace, 0)) // true
 */
export function isUnused (allowance: Allowance): boolean {
  return allowance.parts === 0 && allowance.perSecond === 0 && allowance.arrived === 0 && allowance.reportedPerSecond === 0 && allowance.waiting.length === 0 && allowance.loan === undefined
}

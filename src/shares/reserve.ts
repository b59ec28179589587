/** The reserve of a workspace: the part that no host holds. Its tokens and outstanding loans stay within its part of the burst. */
import { assertInvariant } from '../core/invariant.js'
import type { Limit, LoanRequested } from './messages.js'
import type { KnownLimit, WorkspaceQuota } from './state.js'
import { LOAN_DRIFT_MARGIN_MS, LOAN_MS, RESERVE_PARTS, TOTAL_PARTS } from './state.js'

const MS_PER_SECOND = 1_000
/** Demand added to that of each host, as a fraction of the rate, so that a host has a share before its first request. */
const IDLE_DEMAND_FRACTION = 0.02
/** Stands for never in a message: far beyond any wait. */
const NEVER_MS = 3_600_000
/** Smallest burst, in tokens, that is granted as a share. */
const MIN_SHARE_TOKENS = 4
/** A share grows only when its target exceeds this multiple of its size. */
const GROW_THRESHOLD = 1.25
/** A share shrinks only when its target falls below this fraction of its size; a holder with less than this fraction of its target is short. */
const SHRINK_THRESHOLD = 0.6
/** The same while another holder is short: among ten holders, what each would keep of a tenth is all that the newest one lacks. */
const SHRINK_THRESHOLD_FOR_OTHERS = 1

/** Lent tokens, and the quota without them. */
export interface LoanGrant {
  readonly quota: WorkspaceQuota
  readonly tokens: number
  /** Tokens that a leader that had led for long could have lent beyond these. */
  readonly shortfall: number
}

/** The next share of a holder. */
export interface ShareChoice {
  readonly parts: number
  /** True when others hold what this holder should have. */
  readonly isShort: boolean
}

/**
 * Creates the quota of a workspace without shares.
 * @example createQuota('rota/parish', shared.priorLoansUntilMs, shared.priorSharesUntilMs)
 */
export function createQuota (workspace: string, accruesFromMs: number, priorSharesUntilMs: number): WorkspaceQuota {
  return { kind: 'workspace', workspace, committed: 0, perSecond: 0, priorSharesUntilMs, emptySinceMs: Infinity, accruesFromMs, tokens: 0, shortfall: Infinity, refilledAtMs: accruesFromMs, loans: [] }
}

/**
 * Adds the tokens that accrued since the last refill, and removes expired loans.
 * @example refillReserve(quota, limit, moment.monotonicMs)
 */
export function refillReserve (quota: WorkspaceQuota, limit: KnownLimit, nowMs: number): WorkspaceQuota {
  const before = refillUntil(quota, limit, Math.min(nowMs, quota.priorSharesUntilMs))
  if (nowMs < quota.priorSharesUntilMs) return before
  return refillUntil({ ...before, priorSharesUntilMs: -Infinity, tokens: before.tokens + computeUnspent(before, limit) }, limit, nowMs)
}

// After a restart of all hosts, the tokens that accrued since the last of them started are unspent, except for those
// that the reserve has already counted.
function computeUnspent ({ priorSharesUntilMs, emptySinceMs, accruesFromMs }: WorkspaceQuota, limit: KnownLimit): number {
  const fromMs = Math.max(emptySinceMs, limit.knownSinceMs)
  if (fromMs >= priorSharesUntilMs) return 0
  const countedMs = Math.max(0, priorSharesUntilMs - Math.max(fromMs, accruesFromMs))
  return limit.rate * (priorSharesUntilMs - fromMs - countedMs * RESERVE_PARTS / TOTAL_PARTS) / MS_PER_SECOND
}

function refillUntil (quota: WorkspaceQuota, limit: KnownLimit, nowMs: number): WorkspaceQuota {
  const elapsedMs = Math.max(0, nowMs - quota.refilledAtMs)
  const accrued = elapsedMs * limit.rate * getReserveFraction(quota) / MS_PER_SECOND
  const tokens = quota.tokens + accrued
  // Loans that expired in this interval still occupied room during a part of it.
  const filled = truncateToBurst({ ...quota, tokens, refilledAtMs: Math.max(nowMs, quota.refilledAtMs) }, limit)
  return { ...filled, loans: quota.loans.filter(loan => loan.expiresAtMs > nowMs) }
}

/**
 * Releases loans that a holder can no longer use, since it requests a later one. What it may have lent on stays counted.
 * @example releaseLoans(quota, request)
 */
export function releaseLoans (quota: WorkspaceQuota, request: LoanRequested): WorkspaceQuota {
  if (request.lendsOn === true) return quota
  return { ...quota, loans: quota.loans.filter(loan => loan.holder !== request.holder || loan.loan >= request.loan) }
}

/**
 * Sets the parts that hosts may hold; tokens above the new reserve's burst are discarded.
 * @example setCommitted(quota, limit, committed)
 */
export function setCommitted (quota: WorkspaceQuota, limit: KnownLimit, committed: number): WorkspaceQuota {
  return truncateToBurst({ ...quota, committed }, limit)
}

/**
 * Lends whole tokens. They count against the reserve until the borrower can no longer use them.
 * @example grantLoan(refilled, limit, request, moment.monotonicMs).tokens // at most request.tokens
 */
export function grantLoan (quota: WorkspaceQuota, limit: KnownLimit, request: LoanRequested, nowMs: number): LoanGrant {
  const tokens = Math.max(0, Math.min(Math.floor(request.tokens), Math.floor(quota.tokens)))
  const shortfall = quota.priorSharesUntilMs > -Infinity ? limit.burst : quota.shortfall
  // What was not lent would have come from the missing tokens, so these explain it only once.
  const remaining: WorkspaceQuota = { ...quota, shortfall: Math.max(0, quota.shortfall - (request.tokens - tokens)) }
  if (tokens === 0) return { quota: remaining, tokens, shortfall }
  const loans = [...quota.loans, { holder: request.holder, loan: request.loan, tokens, expiresAtMs: nowMs + LOAN_MS + LOAN_DRIFT_MARGIN_MS }]
  const next: WorkspaceQuota = { ...remaining, loans, tokens: quota.tokens - tokens }
  assertInvariant(next.tokens + countLentTokens(next) <= getReserveBurst(next, limit) + Number.EPSILON * limit.burst, 'reserve and loans within burst', quota.workspace)
  return { quota: next, tokens, shortfall }
}

/**
 * Estimates the time until the reserve has a whole token; 0 when it has one.
 * @example estimateNextTokenMs(granted.quota, limit, moment.monotonicMs)
 */
export function estimateNextTokenMs (quota: WorkspaceQuota, limit: KnownLimit, nowMs: number): number {
  if (limit.rate === 0) return NEVER_MS
  if (quota.tokens >= 1) return 0
  // A full reserve has room for another token only after a loan expires.
  if (getReserveBurst(quota, limit) - countLentTokens(quota) < 1) return LOAN_MS
  return Math.max(0, quota.refilledAtMs - nowMs) + (1 - quota.tokens) * MS_PER_SECOND / (limit.rate * getReserveFraction(quota))
}

/**
 * Tells whether a holder without demand may get a share: an equal part of a small workspace among many holders is too small.
 * @example hasIdleShare({ workspace: 'rota/parish', rate: 20, burst: 20 }, 200) // false
 */
export function hasIdleShare (limit: Limit, holders: number): boolean {
  return limit.burst * (TOTAL_PARTS - RESERVE_PARTS) / TOTAL_PARTS >= MIN_SHARE_TOKENS * Math.max(1, holders)
}

/**
 * Chooses the share of a holder in proportion to its demand, from the free parts. Everything outside the reserve is
 * granted, so that an isolated host can serve at least the usual demand of its callers. While a holder is short, such
 * as a restarted host whose callers were elsewhere meanwhile, the others return what they hold beyond their part.
 * @param holder.held the most that the holder may currently hold, in parts.
 * @param holder.current the share that it was last granted, in parts.
 * @param holders the number of hosts that hold or request shares; 0 if a host gets no share without demand.
 * @example chooseParts(quota, limit, { holder: 'h', perSecond: 40, held: 0, current: 0 }, 9).parts
 */
export function chooseParts (quota: WorkspaceQuota, limit: KnownLimit, holder: { readonly holder: string, readonly perSecond: number, readonly held: number, readonly current: number }, holders: number): ShareChoice {
  if (limit.rate === 0 || limit.burst === 0) return { parts: 0, isShort: false }
  const idleDemand = limit.rate * IDLE_DEMAND_FRACTION
  const ownDemand = holder.perSecond + (holders === 0 ? 0 : idleDemand)
  const totalDemand = Math.max(quota.perSecond, holder.perSecond) + idleDemand * holders
  const fairParts = totalDemand === 0 ? 0 : (TOTAL_PARTS - RESERVE_PARTS) * ownDemand / totalDemand
  const reservedParts = Math.max(RESERVE_PARTS, Math.ceil(TOTAL_PARTS * countLentTokens(quota) / limit.burst))
  const freeParts = Math.max(0, TOTAL_PARTS - quota.committed - reservedParts) + holder.held
  const parts = Math.floor(Math.min(fairParts, freeParts))
  const minParts = MIN_SHARE_TOKENS * TOTAL_PARTS / limit.burst
  const isShort = fairParts >= minParts && parts < fairParts * SHRINK_THRESHOLD
  if (parts < minParts) return { parts: 0, isShort }
  const shrinkThreshold = quota.shortHolder === undefined || quota.shortHolder === holder.holder ? SHRINK_THRESHOLD : SHRINK_THRESHOLD_FOR_OTHERS
  const unchanged = parts >= holder.current * shrinkThreshold && parts <= holder.current * GROW_THRESHOLD
  return { parts: unchanged ? holder.current : parts, isShort }
}

function getReserveFraction (quota: WorkspaceQuota): number {
  const priorShares = quota.priorSharesUntilMs > -Infinity
  return (priorShares ? RESERVE_PARTS : TOTAL_PARTS - quota.committed) / TOTAL_PARTS
}

function getReserveBurst (quota: WorkspaceQuota, limit: KnownLimit): number {
  return limit.burst * getReserveFraction(quota)
}

function countLentTokens (quota: WorkspaceQuota): number {
  return quota.loans.reduce((sum, loan) => sum + loan.tokens, 0)
}

function truncateToBurst (quota: WorkspaceQuota, limit: KnownLimit): WorkspaceQuota {
  const available = Math.max(0, getReserveBurst(quota, limit) - countLentTokens(quota))
  const tokens = Math.min(quota.tokens, available)
  if (quota.priorSharesUntilMs > -Infinity) return { ...quota, tokens }
  return { ...quota, tokens, shortfall: Math.min(quota.shortfall, available - tokens) }
}

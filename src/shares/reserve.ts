/** The reserve of a workspace: what no host holds. Its tokens, and those lent out, stay within its part of the burst. */
import { assertInvariant } from '../core/invariant.js'
import type { Wanted } from './messages.js'
import type { KnownLimit, Allotment } from './state.js'
import { LOAN_MS, LOAN_SLACK_MS, RESERVE_PARTS, TOTAL_PARTS } from './state.js'

const MS_PER_SECOND = 1_000
/** The demand that each host counts for beside its own, as a part of the rate: a host has a share before its first request. */
const IDLE_PART = 0.02
/** What stands for never in a message: far beyond any wait. */
const NEVER_MS = 3_600_000
/** The least burst for which a host gets a share of its own. */
const USEFUL_TOKENS = 4
/** A share is left as it is until its target is this many times its size. */
const GROWS_FROM = 1.25
/** A share is left as it is until its target is this part of its size. */
const SHRINKS_FROM = 0.6

/** Tokens for a host, and the reserve without them. */
export interface Lent {
  readonly allotment: Allotment
  readonly tokens: number
}

/**
 * Creates the record of a workspace of which nobody holds a share.
 * @example createAllotment('rota/parish', shared.lendsFromMs, shared.quietUntilMs)
 */
export function createAllotment (workspace: string, sinceMs: number, quietUntilMs: number): Allotment {
  return { kind: 'workspace', workspace, committed: 0, perSecond: 0, quietUntilMs, emptySinceMs: Infinity, countsFromMs: sinceMs, tokens: 0, countedAtMs: sinceMs, loans: [] }
}

/**
 * Adds the tokens that came in since the last count, and forgets loans that surely ran out.
 * @example refillReserve(allotment, limit, moment.monotonicMs)
 */
export function refillReserve (allotment: Allotment, limit: KnownLimit, nowMs: number): Allotment {
  const quiet = refillUntil(allotment, limit, Math.min(nowMs, allotment.quietUntilMs))
  if (nowMs < allotment.quietUntilMs) return quiet
  return refillUntil({ ...quiet, quietUntilMs: -Infinity, tokens: quiet.tokens + readUnspent(quiet, limit) }, limit, nowMs)
}

// After a restart of all hosts, what came in since the last of them started was spent by nobody, but for what the
// reserve gave meanwhile.
function readUnspent ({ quietUntilMs, emptySinceMs, countsFromMs }: Allotment, limit: KnownLimit): number {
  const fromMs = Math.max(emptySinceMs, limit.sinceMs)
  if (fromMs >= quietUntilMs) return 0
  const countedMs = Math.max(0, quietUntilMs - Math.max(fromMs, countsFromMs))
  return limit.rate * (quietUntilMs - fromMs - countedMs * RESERVE_PARTS / TOTAL_PARTS) / MS_PER_SECOND
}

function refillUntil (allotment: Allotment, limit: KnownLimit, nowMs: number): Allotment {
  const elapsedMs = Math.max(0, nowMs - allotment.countedAtMs)
  const came = elapsedMs * limit.rate * readReserved(allotment) / MS_PER_SECOND
  const tokens = allotment.tokens + came
  // Loans that ended within this time still took up room in a part of it.
  const filled = keepWithinBurst({ ...allotment, tokens, countedAtMs: Math.max(nowMs, allotment.countedAtMs) }, limit)
  return { ...filled, loans: allotment.loans.filter(loan => loan.endsAtMs > nowMs) }
}

/**
 * Forgets the loans that a holder can't use any more, as it asks for a later one.
 * @example endLoans(allotment, wanted)
 */
export function endLoans (allotment: Allotment, wanted: Wanted): Allotment {
  return { ...allotment, loans: allotment.loans.filter(loan => loan.holder !== wanted.holder || loan.loan >= wanted.loan) }
}

/**
 * Changes what hosts may hold; tokens over the new reserve's burst are lost.
 * @example changeCommitted(allotment, limit, committed)
 */
export function changeCommitted (allotment: Allotment, limit: KnownLimit, committed: number): Allotment {
  return keepWithinBurst({ ...allotment, committed }, limit)
}

/**
 * Gives whole tokens as a loan. They count against the reserve until the borrower can't use them any more.
 * @example giveTokens(refilled, limit, wanted, moment.monotonicMs).tokens // at most wanted.tokens
 */
export function giveTokens (allotment: Allotment, limit: KnownLimit, wanted: Wanted, nowMs: number): Lent {
  const tokens = Math.max(0, Math.min(Math.floor(wanted.tokens), Math.floor(allotment.tokens)))
  if (tokens === 0) return { allotment, tokens }
  const loans = [...allotment.loans, { holder: wanted.holder, loan: wanted.loan, tokens, endsAtMs: nowMs + LOAN_MS + LOAN_SLACK_MS }]
  const next: Allotment = { ...allotment, loans, tokens: allotment.tokens - tokens }
  assertInvariant(next.tokens + countLent(next) <= readBurst(next, limit) + Number.EPSILON * limit.burst, 'reserve and loans within burst', allotment.workspace)
  return { allotment: next, tokens }
}

/**
 * Tells how long the reserve takes until it has a whole token; 0 when it has one.
 * @example readNextMs(lent.allotment, limit, moment.monotonicMs)
 */
export function readNextMs (allotment: Allotment, limit: KnownLimit, nowMs: number): number {
  if (limit.rate === 0) return NEVER_MS
  if (allotment.tokens >= 1) return 0
  // Without room for another token, the end of a loan makes it.
  if (readBurst(allotment, limit) - countLent(allotment) < 1) return LOAN_MS
  return Math.max(0, allotment.countedAtMs - nowMs) + (1 - allotment.tokens) * MS_PER_SECOND / (limit.rate * readReserved(allotment))
}

/**
 * Chooses the share of a holder by its part of the demand, from what is free. All that is not reserved is given,
 * so that a host which is cut off can serve what its callers usually ask for, and more.
 * @param held the most that the holder may hold at present, in parts.
 * @param current the share that it was last given.
 * @param holders how many hosts hold shares or ask for them.
 * @example chooseParts(allotment, limit, { perSecond: 40, held: 0, current: 0 }, 9)
 */
export function chooseParts (allotment: Allotment, limit: KnownLimit, holder: { readonly perSecond: number, readonly held: number, readonly current: number }, holders: number): number {
  if (limit.rate === 0) return 0
  const idle = limit.rate * IDLE_PART
  const weights = Math.max(allotment.perSecond, holder.perSecond) + idle * Math.max(1, holders)
  const fair = (TOTAL_PARTS - RESERVE_PARTS) * (holder.perSecond + idle) / weights
  const reserved = Math.max(RESERVE_PARTS, Math.ceil(TOTAL_PARTS * countLent(allotment) / limit.burst))
  const free = Math.max(0, TOTAL_PARTS - allotment.committed - reserved) + holder.held
  const parts = Math.floor(Math.min(fair, free))
  if (parts * limit.burst < USEFUL_TOKENS * TOTAL_PARTS) return 0
  const near = parts >= holder.current * SHRINKS_FROM && parts <= holder.current * GROWS_FROM
  return near ? holder.current : parts
}

function readReserved (allotment: Allotment): number {
  const quiet = allotment.quietUntilMs > -Infinity
  return (quiet ? RESERVE_PARTS : TOTAL_PARTS - allotment.committed) / TOTAL_PARTS
}

function readBurst (allotment: Allotment, limit: KnownLimit): number {
  return limit.burst * readReserved(allotment)
}

function countLent (allotment: Allotment): number {
  return allotment.loans.reduce((sum, loan) => sum + loan.tokens, 0)
}

function keepWithinBurst (allotment: Allotment, limit: KnownLimit): Allotment {
  const room = Math.max(0, readBurst(allotment, limit) - countLent(allotment))
  return { ...allotment, tokens: Math.min(allotment.tokens, room) }
}

/** Queue of requests that wait for a token: its order, and which requests to refuse. Covers bursts of a workspace and buckets that start empty. */
import type { Moment } from '../core/message.js'
import type { Allowance, WaitingRequest } from './state.js'

const MS_PER_SECOND = 1_000
/**
 * Fraction of a route's latency target that a request may wait for a token. While a workspace is constantly above its
 * rate, each of its requests waits this long, so the fraction has to leave enough time to answer within the target.
 */
const MAX_WAIT_FRACTION = 0.2
/** Fraction of the latency target after which no loan is asked for a request any more: its answer would come too late. */
const MAX_ASK_FRACTION = 0.6
/** A request without a latency target waits only for a token that is at most this far off: below what a person notices. */
const MAX_TOKEN_WAIT_MS = 250
/** Longest total wait of a request without a latency target: covers an election and its announcement. */
const MAX_TOTAL_WAIT_MS = 1_500
/** Fraction of the term of a loan that it waits at its lender: the borrower has to be left time to use it. */
const LOAN_WAIT_FRACTION = 0.4
/** Largest number of waiting requests per workspace at this host. */
const MAX_WAITING = 64
/** Priority of a route that declares none: lowest. */
const DEFAULT_PRIORITY = Number.MAX_SAFE_INTEGER
/** Retry-after time when the host can't estimate when it has a token. */
const DEFAULT_RETRY_AFTER_MS = 1_000

/** Requests that keep waiting, and those that no token reaches in time. */
export interface SplitQueue {
  readonly kept: readonly WaitingRequest[]
  readonly refused: readonly WaitingRequest[]
}

/**
 * Inserts a request into the queue, ordered by priority and then by remaining wait time.
 * @example insertWaiting([later], urgent) // [urgent, later]
 */
export function insertWaiting (waiting: readonly WaitingRequest[], request: WaitingRequest): readonly WaitingRequest[] {
  const index = waiting.findIndex(other => compareUrgency(request, other) < 0)
  return index < 0 ? [...waiting, request] : [...waiting.slice(0, index), request, ...waiting.slice(index)]
}

function compareUrgency (a: WaitingRequest, b: WaitingRequest): number {
  return (a.rules.priority ?? DEFAULT_PRIORITY) - (b.rules.priority ?? DEFAULT_PRIORITY) || computeWaitDeadlineMs(a) - computeWaitDeadlineMs(b)
}

function computeWaitDeadlineMs ({ rules, sinceMs, loan }: WaitingRequest): number {
  if (loan !== undefined) return sinceMs + loan.termMs * LOAN_WAIT_FRACTION
  return sinceMs + (rules.latencyMs === undefined ? MAX_TOTAL_WAIT_MS : rules.latencyMs * MAX_WAIT_FRACTION)
}

/**
 * Estimates how long the request at a queue position waits for a token of this host's share, or of the
 * leader's reserve as last reported.
 * @example estimateWaitMs(allowance, 0, moment)
 */
export function estimateWaitMs (allowance: Allowance, position: number, moment: Moment): number {
  const { nextLoanAtMs, unanswered, nextMs = unanswered === true ? 0 : undefined } = allowance
  const loanWaitMs = nextMs === undefined ? Infinity : Math.max(0, nextLoanAtMs - moment.monotonicMs) + position * nextMs
  return Math.min(estimateLocalWaitMs(allowance, position), loanWaitMs)
}

/**
 * Estimates how long the request at a queue position waits for a token of this host's share.
 * @example estimateLocalWaitMs(allowance, 0)
 */
export function estimateLocalWaitMs ({ bucket }: Allowance, position: number): number {
  return bucket.rate === 0 ? Infinity : (position + 1 - bucket.tokens) * MS_PER_SECOND / bucket.rate
}

/**
 * Splits the queue into requests that keep waiting and requests that are refused at once. Requests are kept while a
 * loan is in flight: its tokens are unknown, and a lender that is short of processor time answers late.
 * @example splitWaiting(allowance, moment).refused
 */
export function splitWaiting (allowance: Allowance, moment: Moment): SplitQueue {
  const kept: WaitingRequest[] = []
  const refused: WaitingRequest[] = []
  for (const request of allowance.waiting) {
    const inTime = kept.length < MAX_WAITING && isTokenInTime(allowance, request, kept.length, moment)
    if (inTime) kept.push(request)
    else refused.push(request)
  }
  return { kept, refused }
}

/**
 * Splits the queue into requests for which another loan may be asked, or whose token comes anyway, and requests that waited
 * too long for that. All are kept while a loan is in flight.
 * @example splitExpired(allowance, moment).refused
 */
export function splitExpired (allowance: Allowance, moment: Moment): SplitQueue {
  if (allowance.loan !== undefined) return { kept: allowance.waiting, refused: [] }
  const isKept = allowance.waiting.map((request, position) => moment.monotonicMs < computeAskDeadlineMs(request) || isTokenInTime(allowance, request, position, moment))
  return { kept: allowance.waiting.filter((_request, position) => isKept[position]), refused: allowance.waiting.filter((_request, position) => !isKept[position]) }
}

function computeAskDeadlineMs (request: WaitingRequest): number {
  const { latencyMs } = request.rules
  return latencyMs === undefined ? computeWaitDeadlineMs(request) : request.sinceMs + latencyMs * MAX_ASK_FRACTION
}

function isTokenInTime (allowance: Allowance, request: WaitingRequest, position: number, moment: Moment): boolean {
  const nowMs = moment.monotonicMs
  // The answer is due soon, and tells whether there is a token.
  if (allowance.loan !== undefined) return true
  const waitsForLeader = allowance.unanswered === true && request.rules.latencyMs === undefined
  if (waitsForLeader) return nowMs < computeWaitDeadlineMs(request)
  const waitMs = estimateWaitMs(allowance, position, moment)
  return nowMs + waitMs <= computeWaitDeadlineMs(request) && (request.rules.latencyMs !== undefined || waitMs <= MAX_TOKEN_WAIT_MS)
}

/**
 * Computes the retry-after time of a refused caller: after the requests ahead have their tokens, with
 * jitter so that callers do not retry at the same time.
 * @example computeRetryAfterMs(allowance, moment)
 */
export function computeRetryAfterMs (allowance: Allowance, moment: Moment): number {
  const expectedMs = estimateWaitMs(allowance, allowance.waiting.length, moment)
  return Math.max(1, Math.ceil((Number.isFinite(expectedMs) ? expectedMs : DEFAULT_RETRY_AFTER_MS) * (1 + moment.random)))
}

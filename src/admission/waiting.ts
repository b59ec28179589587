/** Who waits for a token, in which order, and for whom waiting is no use. Answers bursts of one workspace, and buckets that start empty. */
import type { Moment } from '../core/message.js'
import type { Allowance, WaitingRequest } from './state.js'

const MS_PER_SECOND = 1_000
/**
 * The part of a route's latency target that a request may wait for a token. Where a workspace asks for more than its
 * rate all the time, each of its requests waits that long: it has to be little enough to be answered in time after it.
 */
const WAIT_PART = 0.2
/** How far off the token of a request without a latency target may be: what a person does not notice. */
const NEAR_MS = 250
/** How long a request without a latency target waits in all: an election, and the news of it. */
const WAIT_MS = 1_500
/** Requests of a workspace that may wait at this host. */
const MAX_WAITING = 64
/** The priority of a route that names none: after all that do. */
const LAST_PRIORITY = Number.MAX_SAFE_INTEGER
/** When a caller may come back to a host that can't tell when it has a token. */
const UNKNOWN_RETRY_MS = 1_000

/** Those who wait on, and those for whom no token comes in time. */
export interface Hopeful {
  readonly kept: readonly WaitingRequest[]
  readonly refused: readonly WaitingRequest[]
}

/**
 * Adds a request to those who wait: by priority, then by how long each may still wait.
 * @example addWaiting([later], urgent) // [urgent, later]
 */
export function addWaiting (waiting: readonly WaitingRequest[], request: WaitingRequest): readonly WaitingRequest[] {
  const index = waiting.findIndex(other => comparePlaces(request, other) < 0)
  return index < 0 ? [...waiting, request] : [...waiting.slice(0, index), request, ...waiting.slice(index)]
}

function comparePlaces (a: WaitingRequest, b: WaitingRequest): number {
  return (a.rules.priority ?? LAST_PRIORITY) - (b.rules.priority ?? LAST_PRIORITY) || readEndMs(a) - readEndMs(b)
}

function readEndMs ({ rules, sinceMs }: WaitingRequest): number {
  return sinceMs + (rules.latencyMs === undefined ? WAIT_MS : rules.latencyMs * WAIT_PART)
}

/**
 * Tells how long the request at a place among those who wait has to wait for its token: of this host's
 * own share, or of the reserve as the leader last told.
 * @example readWaitMs(allowance, 0, moment)
 */
export function readWaitMs (allowance: Allowance, place: number, moment: Moment): number {
  const { pausedUntilMs, unanswered, nextMs = unanswered === true ? 0 : undefined } = allowance
  const lentMs = nextMs === undefined ? Infinity : Math.max(0, pausedUntilMs - moment.monotonicMs) + place * nextMs
  return Math.min(readOwnMs(allowance, place), lentMs)
}

/**
 * Tells how long the request at a place among those who wait has to wait for a token of this host's share.
 * @example readOwnMs(allowance, 0)
 */
export function readOwnMs ({ bucket }: Allowance, place: number): number {
  return bucket.rate === 0 ? Infinity : (place + 1 - bucket.tokens) * MS_PER_SECOND / bucket.rate
}

/**
 * Parts those for whom a token comes in time from those who are refused at once. While a loan is
 * under way, nobody knows yet.
 * @example keepHopeful(allowance, moment).refused
 */
export function keepHopeful (allowance: Allowance, moment: Moment): Hopeful {
  const kept: WaitingRequest[] = []
  const refused: WaitingRequest[] = []
  for (const request of allowance.waiting) {
    const hopeful = kept.length < MAX_WAITING && isHopeful(allowance, request, kept.length, moment)
    if (hopeful) kept.push(request)
    else refused.push(request)
  }
  return { kept, refused }
}

function isHopeful (allowance: Allowance, request: WaitingRequest, place: number, moment: Moment): boolean {
  const nowMs = moment.monotonicMs
  const patient = allowance.unanswered === true && request.rules.latencyMs === undefined
  if (allowance.loan !== undefined || patient) return nowMs < readEndMs(request)
  const waitMs = readWaitMs(allowance, place, moment)
  return nowMs + waitMs <= readEndMs(request) && (request.rules.latencyMs !== undefined || waitMs <= NEAR_MS)
}

/**
 * Tells when a refused caller may come back: once those before it have their tokens, spread so that
 * callers do not come back together.
 * @example readRetryMs(allowance, moment)
 */
export function readRetryMs (allowance: Allowance, moment: Moment): number {
  const expectedMs = readWaitMs(allowance, allowance.waiting.length, moment)
  return Math.max(1, Math.ceil((Number.isFinite(expectedMs) ? expectedMs : UNKNOWN_RETRY_MS) * (1 + moment.random)))
}

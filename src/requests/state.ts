/** State of the requests slice: one record per caller connection. */
import type { Failure } from '../core/errors.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import type { Session } from '../sessions/token.js'
import type { GrantEntry } from '../membership/directory.js'
import type { SequenceNumber } from '../transactions/messages.js'
import { FULL_ADMITTANCE, type Admittance } from './shedding.js'
import type { AttemptFinished, RequestInput, RouteRules, Target } from './messages.js'

/** What a route names of the time that its requests may take. */
export type KnownRules = Pick<RouteRules, 'priority' | 'latencyMs' | 'timeoutMs'>

/** Progress of an in-flight request. */
export type RequestPhase = 'admitting' | 'routing' | 'waiting' | 'running'

/** The in-flight request of a caller. */
export interface InFlightRequest {
  /** Number of the request's first attempt. */
  readonly request: number
  readonly startedAtMs: number
  /** When admission accepted it, and when its current attempt was sent to an owner; absent before. */
  readonly admittedAtMs?: number
  readonly sentAtMs?: number
  /** Number of the current attempt. */
  readonly attempt: number
  readonly input: RequestInput
  readonly payload: Uint8Array
  readonly phase: RequestPhase
  readonly deadlineAtMs: number
  readonly rules?: RouteRules
  readonly target?: Target
  /** The regions of the database and its owner, where the settings name regions. */
  readonly regions?: readonly string[]
  /** Databases that could not serve an earlier attempt. */
  readonly excluded: readonly string[]
  /** True once an owner could not determine the floor of the read: the other owners of the group can't either. */
  readonly primaryOnly?: boolean
  /** Number of answer parts sent to the caller. */
  readonly parts: number
  /** Number of refusals so far; determines the backoff before the next attempt. */
  readonly refusals: number
  /** True once an attempt ended with an unknown outcome. */
  readonly mayHaveRun: boolean
}

/** The open transaction of a caller. */
export interface OpenTransaction {
  readonly target: Target
  /** The regions of the database and its owner, where the settings name regions. */
  readonly regions?: readonly string[]
  readonly rules: RouteRules
  /** The attempt that began the transaction. */
  readonly beginAttempt: number
  /**
   * Failed: a statement failed in the database. Lost: the database no longer has the transaction; only commit and rollback are
   * accepted. Revoked: rolled back, since the caller's key was withdrawn; the caller is told with its next request.
   */
  readonly phase: 'open' | 'failed' | 'lost' | 'revoked'
  /** How long the slowest of its requests took, in milliseconds. */
  readonly longestMs: number
}

/** A caller's connection. */
export interface Caller {
  readonly caller: string
  readonly service: string
  readonly workspace?: string
  readonly keyHash?: string
  readonly session: Session
  readonly open: boolean
  /** Number of attempts over all requests of the connection; tells stale answers from current ones. */
  readonly attempts: number
  /** Sequence number of the last request that was sent to an owner. */
  readonly ticket?: SequenceNumber
  readonly transaction?: OpenTransaction
  readonly running?: InFlightRequest
  /** Set while the caller's key is withdrawn. */
  readonly revoked?: Failure
}

/** A grant with the monotonic time at which this host's lease on it expires. */
export interface LeasedGrant {
  readonly grant: GrantEntry
  readonly leaseEndsAtMs: number
}

/** How long requests to an owner and their answers were on their way lately, beyond the owner's own times. */
export interface OwnerDelay {
  readonly delayMs: number
  /** The monotonic time of its last answer. */
  readonly answeredAtMs: number
}

/** State of the slice that belongs to no single caller. */
export interface RequestsShared {
  readonly grants: ReadonlyMap<string, LeasedGrant>
  readonly requestMs: number
  readonly guarantees: DatabaseGuarantees
  /** Remaining retries of requests that may have run. */
  readonly retryBudget: number
  /** Random identifier of this process in its sequence numbers; drawn with the first one. */
  readonly sender?: string
  /** The last sequence number that was used. */
  readonly lastTicket: number
  /** How late this host's loop is, on average; 0 while nothing is measured. */
  readonly lagMs: number
  /** Requests that arrived since the lateness was measured last; absent while it is not measured. */
  readonly arrivedSinceLag?: number
  readonly admittance: Admittance
  /** What the routes of recent requests name, by service and route: what a request needs is known before it is checked. */
  readonly routeRules: ReadonlyMap<string, KnownRules>
  /** Owners whose answers came late. */
  readonly ownerDelays: ReadonlyMap<string, OwnerDelay>
  /** Answers that are withheld until the leader confirms their primary again. */
  readonly withheldAnswers: readonly AttemptFinished[]
  /** The monotonic time at which all work has to have ended; absent unless this host is stopping. */
  readonly endsAtMs?: number
}

/** Initial and largest retry budget of a host. */
export const MAX_RETRY_BUDGET = 10
/** Retries that each success adds to the budget, which limits retries to this fraction of the successful requests. */
export const RETRY_BUDGET_PER_SUCCESS = 0.1

/**
 * Creates the initial shared state: no grants and a full retry budget.
 * @example createRequestsShared(5_000)
 */
export function createRequestsShared (requestMs: number, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES): RequestsShared {
  return { grants: new Map(), requestMs, guarantees, retryBudget: MAX_RETRY_BUDGET, lastTicket: 0, lagMs: 0, admittance: FULL_ADMITTANCE, routeRules: new Map(), ownerDelays: new Map(), withheldAnswers: [] }
}

/** State of the requests slice: one record for each caller's connection. */
import type { Failure } from '../core/errors.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import type { Session } from '../sessions/token.js'
import type { GrantEntry } from '../membership/directory.js'
import type { Ticket } from '../transactions/messages.js'
import type { Finished, RequestInput, RouteRules, Target } from './messages.js'

/** How far a request has come. */
export type Phase = 'admitting' | 'routing' | 'waiting' | 'running'

/** The request that a caller waits for. */
export interface Running {
  /** The number of the request's first attempt. */
  readonly request: number
  readonly startedAtMs: number
  /** The number of its present attempt. */
  readonly attempt: number
  readonly input: RequestInput
  readonly payload: Uint8Array
  readonly phase: Phase
  readonly endsAtMs: number
  readonly rules?: RouteRules
  readonly target?: Target
  /** Databases that could not serve an earlier attempt. */
  readonly avoid: readonly string[]
  /** How many parts of the answer went to the caller. */
  readonly parts: number
  /** How many refusals the request met, which lengthens the pause before the next attempt. */
  readonly refusals: number
  /** True once an attempt ended without it being known whether it ran. */
  readonly mayHaveRun: boolean
}

/** The transaction that a caller has open. */
export interface OpenTransaction {
  readonly target: Target
  readonly rules: RouteRules
  /** The attempt that began it. */
  readonly began: number
  /** Failed: a statement failed in the database. Lost: the database's side of it is gone; only its end is accepted. */
  readonly phase: 'open' | 'failed' | 'lost'
}

/** A caller's connection. */
export interface Caller {
  readonly caller: string
  readonly service: string
  readonly workspace?: string
  readonly keyHash?: string
  readonly session: Session
  readonly open: boolean
  /** Counts attempts over all requests, so that late answers can be told apart. */
  readonly attempts: number
  /** The ticket of the last order to an owner. */
  readonly ticket?: Ticket
  readonly transaction?: OpenTransaction
  readonly running?: Running
  /** Set once the caller's key was withdrawn while a request ran. */
  readonly withdrawn?: Failure
}

/** A grant, and the monotonic time at which this host's lease on it ends. */
export interface HeldGrant {
  readonly grant: GrantEntry
  readonly leaseEndsMs: number
}

/** What the slice knows beside its callers. */
export interface RequestsShared {
  readonly grants: ReadonlyMap<string, HeldGrant>
  readonly requestMs: number
  readonly guarantees: DatabaseGuarantees
  /** Retries of requests that may have run which are still allowed. */
  readonly retries: number
  /** Names this process in its tickets; drawn with the first one. */
  readonly sender?: string
  /** Counts orders to owners. */
  readonly orders: number
  /** Answers that wait until the leader confirms again that their primary stands. */
  readonly unconfirmed: readonly Finished[]
}

/** Retries that a host may spend before any request succeeded, and the most that it saves up. */
export const MAX_RETRIES = 10
/** Retries that each success adds: retries stay within this share of the requests that succeed. */
export const RETRIES_PER_SUCCESS = 0.1

/**
 * Creates the facts of a host that holds no grant.
 * @example createRequestsShared(5_000)
 */
export function createRequestsShared (requestMs: number, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES): RequestsShared {
  return { grants: new Map(), requestMs, guarantees, retries: MAX_RETRIES, orders: 0, unconfirmed: [] }
}

/** State of the requests slice: one record for each caller's connection. */
import type { Session } from '../sessions/token.js'
import type { GrantEntry } from '../membership/directory.js'
import type { RequestInput, RouteRules, Target } from './messages.js'

/** How far a request has come. */
export type Phase = 'admitting' | 'routing' | 'waiting' | 'running'

/** The request that a caller waits for. */
export interface Running {
  /** The number of the request's first attempt. */
  readonly request: number
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
  /** True once a part of the answer went to the caller. */
  readonly answering: boolean
}

/** The transaction that a caller has open. */
export interface OpenTransaction {
  readonly target: Target
  readonly rules: RouteRules
  /** True once the database's side of it is gone; only its end is accepted. */
  readonly lost: boolean
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
  readonly transaction?: OpenTransaction
  readonly running?: Running
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
}

/**
 * Creates the facts of a host that holds no grant.
 * @example createRequestsShared(5_000)
 */
export function createRequestsShared (requestMs: number): RequestsShared {
  return { grants: new Map(), requestMs }
}

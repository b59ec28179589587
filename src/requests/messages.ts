/** Messages of the requests slice: the life of a caller's request. */
import type { Failure } from '../core/errors.js'
import type { LogPosition } from '../core/position.js'
import type { GrantEntry } from '../membership/directory.js'

/** What a statement means for the transaction of its caller. */
export type Intent = 'statement' | 'begin' | 'begin-read-only' | 'commit' | 'rollback'

/** Whether a caller's connection is in a transaction after a request. */
export type TransactionStatus = 'idle' | 'open' | 'failed'

/** One request, as the front end read it. The payload is opaque to all slices. */
export interface RequestInput {
  readonly intent: Intent
  /** What the statement does, where the protocol tells. */
  readonly action?: 'read' | 'write'
  readonly route?: string
  readonly requestId?: string
  /** Milliseconds that the caller gives the request; the host's limit when absent. */
  readonly deadlineMs?: number
}

/** What the document says of the route that a request takes. */
export interface RouteRules {
  readonly group: string
  readonly action: 'read' | 'write'
  readonly maxStalenessMs: number
  readonly idempotent: boolean
  /** How long one statement may take; the host's limit when absent. */
  readonly timeoutMs?: number
  /** Who goes first among a workspace's requests; 0 before all others. */
  readonly priority?: number
  /** Within which time callers want their answer. */
  readonly latencyMs?: number
  /** How long the transaction may wait for its caller; the host's limit when absent. */
  readonly idleTransactionMs?: number
  /** True on a route that needs no key: the request runs for no workspace. */
  readonly open?: boolean
}

/** Where a request runs. */
export interface Target {
  readonly database: string
  readonly owner: string
  readonly purpose: 'primary' | 'replica'
  /** The term of the primary's grant. */
  readonly term: number
  /** The position that a replica must hold. */
  readonly floor: LogPosition
}

/** Names one attempt of one request of one caller. */
export interface WorkName {
  readonly caller: string
  readonly attempt: number
}

/** A caller connected. */
export interface Open {
  readonly kind: 'requests/open'
  readonly caller: string
  readonly service: string
  /** The route that all requests of the caller take, where its protocol names it at the start. */
  readonly route?: string
  /** Absent with a key when the key alone tells the workspace. */
  readonly workspace?: string
  /** SHA-256 of the key. */
  readonly keyHash?: string
  /** The session token that the caller brought. */
  readonly session?: string
}

/** Admission let the caller in, or did not. */
export interface OpenChecked {
  readonly kind: 'requests/open-checked'
  readonly caller: string
  /** The workspace that the key belongs to. */
  readonly workspace?: string
  readonly failure?: Failure
}

/** A caller sent a request. */
export interface Arrived {
  readonly kind: 'requests/arrived'
  readonly caller: string
  readonly input: RequestInput
  readonly payload: Uint8Array
}

/** The front end refused what a caller sent before it became a request. */
export interface Rejected {
  readonly kind: 'requests/rejected'
  readonly caller: string
  readonly failure: Failure
}

/** A caller replaced its session token. */
export interface SessionSet {
  readonly kind: 'requests/session-set'
  readonly caller: string
  readonly session: string
}

/** Admission let the request pass. */
export interface Admitted extends WorkName {
  readonly kind: 'requests/admitted'
  readonly rules: RouteRules
}

/** Routing chose where the request runs. */
export interface Routed extends WorkName {
  readonly kind: 'requests/routed'
  readonly target: Target
}

/** The request failed before or while it ran; the failure says which. */
export interface Failed extends WorkName {
  readonly kind: 'requests/failed'
  readonly failure: Failure
  /** True when another attempt may find a place that can serve it. */
  readonly retriable?: boolean
}

/** A part of the answer, except its end. */
export interface Output extends WorkName {
  readonly kind: 'requests/output'
  /** Counts the parts of the answer from 0, so that lost and doubled ones are noticed. */
  readonly part: number
  readonly payload: Uint8Array
}

/** The answer is whole, and what it wrote is stored on a majority of its group. */
export interface Finished extends WorkName {
  readonly kind: 'requests/finished'
  readonly status: TransactionStatus
  /** True when the request changed data. */
  readonly wrote: boolean
  /** The position of the database after the request. */
  readonly position: LogPosition
  /** How many parts went before the end of the answer. */
  readonly parts: number
  /** The end of the answer. */
  readonly payload: Uint8Array
}

/** The front end wrote a part of an answer to the caller. */
export interface Drained {
  readonly kind: 'requests/drained'
  readonly caller: string
  readonly bytes: number
}

/** The request's time is over. */
export interface DeadlinePassed {
  readonly kind: 'requests/deadline-passed'
  readonly caller: string
  /** The number of the request's first attempt. */
  readonly request: number
}

/** A replica has left a read without an answer for a good part of its latency target. */
export interface Late extends WorkName {
  readonly kind: 'requests/late'
}

/** Time to look for a place again. */
export interface RetryDue extends WorkName {
  readonly kind: 'requests/retry-due'
}

/** A lease ended between the decision to acknowledge and the acknowledgement. */
export interface Overdue {
  readonly kind: 'requests/overdue'
  readonly caller: string
}

/** The key that a caller brought no longer stands in the document in force. */
export interface KeyWithdrawn {
  readonly kind: 'requests/key-withdrawn'
  readonly caller: string
  readonly failure: Failure
}

/** A caller left. */
export interface Closed {
  readonly kind: 'requests/closed'
  readonly caller: string
}

/** A link to another host broke, or the host restarted. */
export interface PeerLost {
  readonly kind: 'requests/peer-lost'
  readonly host: string
  /** False when the host could not be reached, so that nothing has left for it; true when absent. */
  readonly reached?: boolean
}

/** The grants in force, as the leader confirmed them. */
export interface GrantsConfirmed {
  readonly kind: 'requests/grants-confirmed'
  readonly grants: readonly GrantEntry[]
  /** The monotonic time at which this host asked. */
  readonly askedAtMs: number
}

/** The stopping slice wants to know how many callers have a request or a transaction. */
export interface CountAsked {
  readonly kind: 'requests/count-asked'
}

/** Any message of the requests slice. */
export type RequestsMessage =
  | CountAsked
  | Open
  | OpenChecked
  | Arrived
  | Rejected
  | SessionSet
  | Admitted
  | Routed
  | Failed
  | Output
  | Finished
  | Drained
  | DeadlinePassed
  | RetryDue
  | Late
  | Overdue
  | Closed
  | KeyWithdrawn
  | PeerLost
  | GrantsConfirmed

/** Messages of the requests slice: the life cycle of connections and requests. */
import type { LeavingReason } from '../leaving/decide.js'
import type { Failure } from '../core/errors.js'
import type { LogPosition } from '../core/position.js'
import type { GrantEntry } from '../membership/directory.js'

/** Effect of a request on the caller's transaction. */
export type Intent = 'statement' | 'begin' | 'begin-read-only' | 'commit' | 'rollback'

/** Transaction state of a caller's connection after a request. */
export type TransactionStatus = 'idle' | 'open' | 'failed'

/** One request as parsed by the front end. The payload is opaque to all slices. */
export interface RequestInput {
  readonly intent: Intent
  /** Whether the statement reads or writes, where the protocol states it. */
  readonly action?: 'read' | 'write'
  readonly route?: string
  readonly requestId?: string
  /** Time limit of the caller, in milliseconds; the host's limit when absent. */
  readonly deadlineMs?: number
}

/** Rules of the request's route, from the service's document. */
export interface RouteRules {
  readonly group: string
  readonly action: 'read' | 'write'
  readonly maxStalenessMs: number
  readonly idempotent: boolean
  /** Time limit for one statement; the host's limit when absent. */
  readonly timeoutMs?: number
  /** Priority among the workspace's requests; 0 is the highest. */
  readonly priority?: number
  /** Latency target of the route. */
  readonly latencyMs?: number
  /** How long an open transaction may stay idle; the host's limit when absent. */
  readonly idleTransactionMs?: number
  /** The regions in which the request may run; any if absent. */
  readonly homes?: readonly string[]
  /** True on a route that needs no key; the request then belongs to no workspace. */
  readonly open?: boolean
}

/** The database and owner that run a request. */
export interface Target {
  readonly database: string
  readonly owner: string
  readonly purpose: 'primary' | 'replica'
  /** The term of the primary's grant. */
  readonly term: number
  /** The log position that a replica must have applied. */
  readonly floor: LogPosition
  /** Set where the owner of the database determines the floor. */
  readonly bound?: StalenessBound
  /** Why the read leaves the failure domain of its host; absent where it stays, or a fixed cost decides. */
  readonly left?: LeavingReason
}

/** How stale a read may be, and the latest position of its group that the caller's session has seen. */
export interface StalenessBound {
  readonly maxStalenessMs: number
  readonly seen: LogPosition
}

/** Identifies one attempt of one request of one caller. */
export interface AttemptId {
  readonly caller: string
  readonly attempt: number
}

/** A caller connected. */
export interface CallerConnected {
  readonly kind: 'requests/open'
  readonly caller: string
  readonly service: string
  /** The route of all requests on this connection, where the protocol names it at connect time. */
  readonly route?: string
  /** Absent when the key alone identifies the workspace. */
  readonly workspace?: string
  /** SHA-256 of the key. */
  readonly keyHash?: string
  /** The session token that the caller sent. */
  readonly session?: string
}

/** Admission accepted or refused the connection. */
export interface ConnectionChecked {
  readonly kind: 'requests/open-checked'
  readonly caller: string
  /** The workspace that the key belongs to. */
  readonly workspace?: string
  readonly failure?: Failure
}

/** A caller sent a request. */
export interface RequestArrived {
  readonly kind: 'requests/arrived'
  readonly caller: string
  readonly input: RequestInput
  readonly payload: Uint8Array
}

/** The front end refused what a caller sent before it became a request. */
export interface InputRejected {
  readonly kind: 'requests/rejected'
  readonly caller: string
  readonly failure: Failure
}

/** A caller replaced its session token. */
export interface SessionReplaced {
  readonly kind: 'requests/session-set'
  readonly caller: string
  readonly session: string
}

/** Admission accepted the request. */
export interface RequestAdmitted extends AttemptId {
  readonly kind: 'requests/admitted'
  readonly rules: RouteRules
}

/** Routing chose the target of the request. */
export interface RequestRouted extends AttemptId {
  readonly kind: 'requests/routed'
  readonly target: Target
  /** The regions of the database and its owner, where the settings name regions. */
  readonly regions?: readonly string[]
}

/** What an owner says of a database with each answer; set by the receiving host and the owner. */
export interface OwnerReport {
  /** The owner; absent if a slice of this host ended the attempt. */
  readonly from?: string
  /** Running and queued requests per slot; absent where placement does not need it. */
  readonly load?: number
  /** How long the request waited at the owner before its database got it, and how long the database took; absent where not measured. */
  readonly waitedMs?: number
  readonly ranMs?: number
}

/** The attempt failed; the failure tells whether it may have run. */
export interface AttemptFailed extends AttemptId, OwnerReport {
  readonly kind: 'requests/failed'
  readonly failure: Failure
  /** True when another attempt may find a database that can serve the request. */
  readonly retriable?: boolean
}

/** A part of the answer, except its end. */
export interface OutputReceived extends AttemptId {
  readonly kind: 'requests/output'
  /** Sequence number of the part, from 0; reveals lost and duplicated parts. */
  readonly part: number
  readonly payload: Uint8Array
}

/** The attempt completed, and its writes are stored on a majority of the group. */
export interface AttemptFinished extends AttemptId, OwnerReport {
  readonly kind: 'requests/finished'
  readonly status: TransactionStatus
  /** True when the request changed data. */
  readonly wrote: boolean
  /** Log position of the database after the request. */
  readonly position: LogPosition
  /** Number of parts that were sent before the end of the answer. */
  readonly parts: number
  /** Last bytes of the answer. */
  readonly payload: Uint8Array
}

/** The front end wrote output to the caller, which frees buffer space (backpressure). */
export interface OutputDrained {
  readonly kind: 'requests/drained'
  readonly caller: string
  readonly bytes: number
}

/** The deadline of the request passed. */
export interface DeadlinePassed {
  readonly kind: 'requests/deadline-passed'
  readonly caller: string
  /** Number of the request's first attempt. */
  readonly request: number
}

/** A replica runs a read for longer than a fraction of its latency target, or its owner has not answered within the target. */
export interface ReplicaSlow extends AttemptId {
  readonly kind: 'requests/late'
}

/** The delay before the next attempt is over. */
export interface RetryDue extends AttemptId {
  readonly kind: 'requests/retry-due'
}

/** The lease expired between the decision to acknowledge and the acknowledgement. */
export interface AcknowledgementExpired {
  readonly kind: 'requests/overdue'
  readonly caller: string
}

/** The caller's key is no longer valid under the current document. */
export interface KeyRevoked {
  readonly kind: 'requests/key-withdrawn'
  readonly caller: string
  readonly failure: Failure
}

/** The caller of a connection whose key was revoked has sent no request for the time that it gets. */
export interface SilencePassed {
  readonly kind: 'requests/silence-passed'
  readonly caller: string
}

/** A request arrived after this host had ended its connection, so that nobody can answer it. */
export interface RequestUnanswered {
  readonly kind: 'requests/unanswered'
  readonly caller: string
  readonly requestId?: string
}

/** A caller disconnected. */
export interface CallerDisconnected {
  readonly kind: 'requests/closed'
  readonly caller: string
}

/** The connection to another host was lost, or that host restarted. */
export interface PeerLost {
  readonly kind: 'requests/peer-lost'
  readonly host: string
  /** False when the host was never reached, so that nothing was sent to it; true when absent. */
  readonly reached?: boolean
}

/** The leader confirmed the current grants. */
export interface GrantsConfirmed {
  readonly kind: 'requests/grants-confirmed'
  readonly grants: readonly GrantEntry[]
  /** Monotonic time at which this host requested the confirmation. */
  readonly askedAtMs: number
}

/** The stopping slice requests the number of callers with a request or a transaction. */
export interface CountRequested {
  readonly kind: 'requests/count-asked'
}

/** This host stops: requests that can't end in time are refused from now on. */
export interface StopRequested {
  readonly kind: 'requests/stop-asked'
  /** The monotonic time at which the work of this host has to have ended. */
  readonly endsAtMs: number
}

/** The next measurement of how late this host's loop is. */
export interface LagDue {
  readonly kind: 'requests/lag-due'
  /** The monotonic time for which its timer was set. */
  readonly dueAtMs: number
}

/** The stop of this host is at its end; whatever is in flight is answered now. */
export interface EndRequested {
  readonly kind: 'requests/end-asked'
}

/** Any message of the requests slice. */
export type RequestsMessage =
  | LagDue
  | StopRequested
  | EndRequested
  | CountRequested
  | CallerConnected
  | ConnectionChecked
  | RequestArrived
  | InputRejected
  | SessionReplaced
  | RequestAdmitted
  | RequestRouted
  | AttemptFailed
  | OutputReceived
  | AttemptFinished
  | OutputDrained
  | DeadlinePassed
  | RetryDue
  | ReplicaSlow
  | AcknowledgementExpired
  | RequestUnanswered
  | SilencePassed
  | CallerDisconnected
  | KeyRevoked
  | PeerLost
  | GrantsConfirmed

/** Messages of the transactions slice, which runs requests on the databases that this host owns. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { PrimarySample } from '../routing/state.js'
import type { Intent, Target, TransactionStatus, AttemptId } from '../requests/messages.js'

/**
 * The sequence number of a request to an owner. Links deliver in order but may lose messages,
 * so a request whose number is not above its sender's last one is a duplicate or late.
 */
export interface SequenceNumber {
  /** The id of the sending process; a new one at each start. */
  readonly sender: string
  readonly order: number
}

/** Runs a request on a database that this host owns. */
export interface RunRequest extends AttemptId {
  readonly kind: 'transactions/run'
  /** The host that the caller is connected to; set by the receiving host. */
  readonly from?: string
  /** The monotonic time at which the owner's loop handled it; set by the owner. */
  readonly receivedAtMs?: number
  readonly ticket: SequenceNumber
  readonly service: string
  readonly workspace?: string
  readonly target: Target
  readonly intent: Intent
  /** True if the statement writes, or begins or ends a transaction that may; absent otherwise. */
  readonly writes?: true
  /** The attempt that began the caller's open transaction; absent outside a transaction. */
  readonly transaction?: number
  readonly remainingMs: number
  /** How long the request is expected to take, in milliseconds. */
  readonly expectedMs?: number
  /** The latency target of the route; absent where it has none. */
  readonly latencyMs?: number
  /** What is left of the latency target, counted from the first attempt; negative once it has passed, absent without a target. */
  readonly targetLeftMs?: number
  /** How long the request may wait for its start, shorter than the remaining time; absent where it may wait until its deadline. */
  readonly waitMs?: number
  /** The priority of the route; 0 is the highest, absent where it names none. */
  readonly priority?: number
  /** How long the transaction may stay idle; the host's limit applies when absent. */
  readonly idleMs?: number
  readonly payload: Uint8Array
}

/** A read has run on a replica for a fraction of its latency target. */
export interface ReadSlow extends AttemptId {
  readonly kind: 'transactions/read-slow'
  readonly database: string
  /** True once answers that had come by then were read. */
  readonly confirmed?: boolean
}

/** Cancels a caller's attempts up to the given one and their transaction, after the caller left or the deadline passed. */
export interface CancelRequest extends AttemptId {
  readonly kind: 'transactions/cancel'
  readonly from?: string
  readonly ticket: SequenceNumber
  readonly database: string
}

/** Grants flow-control credit: the caller has read a part of its answer. */
export interface CreditGranted {
  readonly kind: 'transactions/credit'
  readonly from?: string
  readonly database: string
  readonly caller: string
  readonly bytes: number
}

/** A connection to a database is ready. */
export interface ConnectionOpened {
  readonly kind: 'transactions/opened'
  readonly connection: string
}

/** A connection to a database could not be opened. */
export interface ConnectionOpenFailed {
  readonly kind: 'transactions/open-failed'
  readonly connection: string
  readonly text: string
}

/** A database sent a part of an answer. */
export interface DatabaseOutput {
  readonly kind: 'transactions/output'
  readonly connection: string
  readonly payload: Uint8Array
}

/** The state of a database as observed from its answer to a request. */
export interface ObservedState {
  readonly position: LogPosition
  /** The monotonic time at which the request was sent. */
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** A database finished a request. */
export interface DatabaseFinished {
  readonly kind: 'transactions/finished'
  readonly connection: string
  readonly status: TransactionStatus
  /** The log position after a write; absent when nothing was written. */
  readonly position?: LogPosition
  /** True when the database refused the request before it ran. */
  readonly refused: boolean
  /** Why it refused; `not-primary` when absent. */
  readonly refusal?: 'not-primary' | 'behind' | 'busy'
  /** The database state that the answer reports; absent where the protocol does not report it. */
  readonly observed?: ObservedState
  readonly payload: Uint8Array
}

/** An open connection to a database was lost. */
export interface ConnectionBroken {
  readonly kind: 'transactions/broken'
  readonly connection: string
}

/** Reports the highest position that a majority of a group's databases stores. */
export interface PositionStored {
  readonly kind: 'transactions/stored'
  readonly database: string
  readonly position: LogPosition
}

/** The deadline of a queued or running request, or the idle limit of a transaction, has passed. */
export interface DeadlineExpired extends AttemptId {
  readonly kind: 'transactions/time-over'
  readonly database: string
  /** True for the idle limit. */
  readonly idle?: boolean
}

/** The link to another host broke: the transactions of its callers end. */
export interface HostLost {
  readonly kind: 'transactions/host-lost'
  readonly host: string
}

/** Replaces the set of databases that this host owns, with the grants of their groups. */
export interface OwnershipChanged {
  readonly kind: 'transactions/owned-changed'
  readonly databases: readonly DatabaseEntry[]
  readonly grants: readonly GrantEntry[]
  /** The name of this process in the grants. */
  readonly process?: string
  /** The evacuated failure domains; none if absent. */
  readonly evacuated?: readonly string[]
  /** A time at which none of them was evacuated that is new; absent if unknown. */
  readonly confirmedAtMs?: number
  /** The rate of requests to a cold database, by group; 0 where there is no limit. Groups that are absent keep theirs. */
  readonly coldRates?: ReadonlyMap<string, number>
}

/** Tells until when this host may take it that it missed no operators' order on a failure domain. */
export interface OrdersConfirmed {
  readonly kind: 'transactions/confirmed'
  /** A monotonic time of this host; Infinity while it is isolated. */
  readonly untilMs: number
}

/** The leader confirmed that this host's directory was current; told where documents name rates of cold databases, or hosts need a lease to commit. */
export interface DirectoryConfirmed {
  readonly kind: 'transactions/contact-confirmed'
  /** The monotonic time at which this host asked. */
  readonly askedAtMs: number
}

/** Requests wait for tokens of a cold database, and the next one is there. */
export interface RefillDue {
  readonly kind: 'transactions/refill-due'
  readonly database: string
}

/** Reports the log position that was read from an owned database. */
export interface PositionRead {
  readonly kind: 'transactions/position-read'
  readonly database: string
  readonly position: LogPosition
}

/** The backoff after a failed attempt to open a connection has ended. */
export interface OpenBackoffExpired {
  readonly kind: 'transactions/cooled'
  readonly database: string
}

/** The next poll of a replica's position is due, because reads wait for it to catch up. */
export interface PositionPollDue {
  readonly kind: 'transactions/look-due'
  readonly database: string
}

/** The stopping slice asks how much work the owned databases still have. */
export interface WorkCountRequested {
  readonly kind: 'transactions/count-asked'
  /** This host. */
  readonly host: string
}

/** This host stops: work that can't end in time is refused from now on. */
export interface StopRequested {
  readonly kind: 'transactions/stop-asked'
  /** The monotonic time at which the work of this host has to have ended. */
  readonly endsAtMs: number
}

/** The next measurement of this host's delay. */
export interface LagDue {
  readonly kind: 'transactions/lag-due'
  /** The monotonic time for which its timer was set. */
  readonly dueAtMs: number
}

/** The host is stopping and accepts no new work. */
export interface StopAcceptingWork {
  readonly kind: 'transactions/refuse-work'
}

/** Samples of the primary's position in a group; the owners of its replicas determine the floors of bounded reads from them. */
export interface PrimarySampled {
  readonly kind: 'transactions/primary-sampled'
  readonly group: string
  /** Oldest first. */
  readonly samples: readonly PrimarySample[]
}

/** Any message of the transactions slice. */
export type TransactionsMessage =
  | DirectoryConfirmed
  | RefillDue
  | LagDue
  | PrimarySampled
  | WorkCountRequested
  | PositionPollDue
  | StopRequested
  | StopAcceptingWork
  | RunRequest
  | CancelRequest
  | ReadSlow
  | CreditGranted
  | ConnectionOpened
  | ConnectionOpenFailed
  | DatabaseOutput
  | DatabaseFinished
  | ConnectionBroken
  | PositionStored
  | DeadlineExpired
  | HostLost
  | OrdersConfirmed
  | OwnershipChanged
  | PositionRead
  | OpenBackoffExpired

/** Messages of the transactions slice: the databases that this host owns, their slots and connections. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { Intent, Target, TransactionStatus, AttemptId } from '../requests/messages.js'

/**
 * The place of an order among those of its sender. Links keep the order but may lose,
 * so an order that is not later than the last one is doubled or late.
 */
export interface Ticket {
  /** Names the sending process, anew at each start. */
  readonly sender: string
  readonly order: number
}

/** Runs a request on a database that this host owns. */
export interface Run extends AttemptId {
  readonly kind: 'transactions/run'
  /** The host that the caller is connected to; filled in by the receiving host. */
  readonly from?: string
  readonly ticket: Ticket
  readonly service: string
  readonly workspace?: string
  readonly target: Target
  readonly intent: Intent
  /** The attempt that began the caller's open transaction; absent outside of one. */
  readonly transaction?: number
  readonly remainingMs: number
  /** How long the transaction may wait for its caller; the host's limit when absent. */
  readonly idleMs?: number
  readonly payload: Uint8Array
}

/** The caller left, or its time is over: its attempts up to the named one end, and their transaction. */
export interface Cancel extends AttemptId {
  readonly kind: 'transactions/cancel'
  readonly from?: string
  readonly ticket: Ticket
  readonly database: string
}

/** The caller took in a part of its answer. */
export interface Credit {
  readonly kind: 'transactions/credit'
  readonly from?: string
  readonly database: string
  readonly caller: string
  readonly bytes: number
}

/** A connection to a database is ready. */
export interface Opened {
  readonly kind: 'transactions/opened'
  readonly connection: string
}

/** A connection to a database could not be made. */
export interface OpenFailed {
  readonly kind: 'transactions/open-failed'
  readonly connection: string
  readonly text: string
}

/** A part of an answer came from a database. */
export interface DatabaseOutput {
  readonly kind: 'transactions/output'
  readonly connection: string
  readonly payload: Uint8Array
}

/** Where a database stood when it answered a request. */
export interface ShownState {
  readonly position: LogPosition
  /** When the request was sent. */
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** A database finished a request. */
export interface DatabaseFinished {
  readonly kind: 'transactions/finished'
  readonly connection: string
  readonly status: TransactionStatus
  /** The position after a write; absent when nothing was written. */
  readonly position?: LogPosition
  /** True when the database refused the request before it ran. */
  readonly refused: boolean
  /** Why it refused; that it is not the primary when absent. */
  readonly refusal?: 'not-primary' | 'behind' | 'busy'
  /** What the answer shows of the database beside; absent where answers do not tell. */
  readonly shown?: ShownState
  readonly payload: Uint8Array
}

/** A connection to a database ended. */
export interface Broken {
  readonly kind: 'transactions/broken'
  readonly connection: string
}

/** The highest position that a majority of a group's databases stores. */
export interface Stored {
  readonly kind: 'transactions/stored'
  readonly database: string
  readonly position: LogPosition
}

/** The time of a waiting or running request is over. */
export interface TimeOver extends AttemptId {
  readonly kind: 'transactions/time-over'
  readonly database: string
}

/** A link to another host broke: its callers' transactions end. */
export interface HostLost {
  readonly kind: 'transactions/host-lost'
  readonly host: string
}

/** The databases that this host owns, and the grants of their groups. */
export interface OwnedChanged {
  readonly kind: 'transactions/owned-changed'
  readonly databases: readonly DatabaseEntry[]
  readonly grants: readonly GrantEntry[]
}

/** This host read where an owned database stands. */
export interface PositionRead {
  readonly kind: 'transactions/position-read'
  readonly database: string
  readonly position: LogPosition
}

/** The pause after a connection could not be opened is over. */
export interface Cooled {
  readonly kind: 'transactions/cooled'
  readonly database: string
}

/** Time to look whether a replica has caught up with the reads that wait for it. */
export interface LookDue {
  readonly kind: 'transactions/look-due'
  readonly database: string
}

/** The stopping slice wants to know how much work there is for owned databases. */
export interface CountAsked {
  readonly kind: 'transactions/count-asked'
}

/** The host stops: it takes no new work any more. */
export interface RefuseWork {
  readonly kind: 'transactions/refuse-work'
}

/** Any message of the transactions slice. */
export type TransactionsMessage =
  | CountAsked
  | LookDue
  | RefuseWork
  | Run
  | Cancel
  | Credit
  | Opened
  | OpenFailed
  | DatabaseOutput
  | DatabaseFinished
  | Broken
  | Stored
  | TimeOver
  | HostLost
  | OwnedChanged
  | PositionRead
  | Cooled

/** State of the transactions slice: one record for each database that this host owns. */
import type { LogPosition } from '../core/position.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import type { FairQueue } from '../fairness/queue.js'
import type { DatabaseEntry } from '../membership/directory.js'
import type { TransactionStatus } from '../requests/messages.js'
import type { Run, Ticket } from './messages.js'

/** A connection to a database: opening, idle, or bound to the unit of one caller. */
export interface Connection {
  readonly connection: string
  readonly phase: 'opening' | 'idle' | 'bound'
  readonly caller?: string
  /** Whom the connection was opened for, where it belongs to one workspace. */
  readonly workspace?: string
}

/** A request or transaction that holds a slot and a connection. */
export interface Unit {
  readonly caller: string
  /** The host that the caller is connected to. */
  readonly from: string
  readonly connection: string
  readonly phase: 'running' | 'idle'
  /** The attempt that began it. */
  readonly began: number
  /** The present request; the last one while idle. */
  readonly run: Run
  /** How many parts of the present answer were sent. */
  readonly parts: number
}

/** A finished write whose position is not yet stored on a majority. */
export interface StoringWrite {
  readonly from: string
  readonly caller: string
  readonly attempt: number
  readonly status: TransactionStatus
  readonly position: LogPosition
  readonly parts: number
  readonly payload: Uint8Array
}

/** A read that waits for a replica to catch up. */
export interface BehindRead {
  readonly run: Run
  /** When it goes back, to run at the primary. */
  readonly untilMs: number
}

/** A database that this host owns. */
export interface OwnedDatabase {
  readonly entry: DatabaseEntry
  readonly guarantees: DatabaseGuarantees
  /** True once another host owns the database: what runs here ends, and then the record goes. */
  readonly leaving: boolean
  /** True after a connection could not be opened, until the next one may be tried. */
  readonly cooling: boolean
  /** The term in which the database is primary; undefined while it is a replica. */
  readonly term?: number
  /** True while a planned change lets the primary finish what it runs. */
  readonly closing?: boolean
  readonly members: readonly string[]
  readonly position: LogPosition
  readonly connections: ReadonlyMap<string, Connection>
  /** Tells this record's connections from those of an earlier one. */
  readonly generation: number
  /** Counts connections, for their names. */
  readonly opened: number
  readonly units: ReadonlyMap<string, Unit>
  readonly queue: FairQueue<Run>
  readonly behind: readonly BehindRead[]
  readonly storing: readonly StoringWrite[]
  readonly stored: LogPosition
}

/** What the slice knows beside its databases. */
export interface TransactionsShared {
  readonly queueLength: number
  /** How long a transaction may wait for its caller. */
  readonly idleTransactionMs: number
  readonly guarantees: DatabaseGuarantees
  /** The last orders of each host's latest processes. */
  readonly tickets: ReadonlyMap<string, readonly Ticket[]>
  /** Counts records of databases. */
  readonly generation: number
  /** True once the host stops and takes no new work. */
  readonly refusing: boolean
}

/**
 * Creates the facts of a host that got no order yet.
 * @example createTransactionsShared(1_000, 10_000)
 */
export function createTransactionsShared (queueLength: number, idleTransactionMs: number, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES): TransactionsShared {
  return { queueLength, idleTransactionMs, guarantees, tickets: new Map(), generation: 0, refusing: false }
}

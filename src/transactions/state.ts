/** State of the transactions slice: one record for each database that this host owns. */
import type { LogPosition } from '../core/position.js'
import type { FairQueue } from '../fairness/queue.js'
import type { DatabaseEntry } from '../membership/directory.js'
import type { Run } from './messages.js'

/** A connection to a database: opening, idle, or bound to the unit of one caller. */
export interface Connection {
  readonly connection: string
  readonly phase: 'opening' | 'idle' | 'bound'
  readonly caller?: string
}

/** A request or transaction that holds a slot and a connection. */
export interface Unit {
  readonly caller: string
  /** The host that the caller is connected to. */
  readonly from: string
  readonly connection: string
  readonly phase: 'running' | 'idle'
  /** The present request; the last one while idle. */
  readonly run: Run
}

/** A finished write whose position is not yet stored on a majority. */
export interface StoringWrite {
  readonly from: string
  readonly caller: string
  readonly attempt: number
  readonly position: LogPosition
  readonly payload: Uint8Array
}

/** A database that this host owns. */
export interface OwnedDatabase {
  readonly entry: DatabaseEntry
  /** The term in which the database is primary; undefined while it is a replica. */
  readonly term?: number
  readonly members: readonly string[]
  readonly position: LogPosition
  readonly connections: ReadonlyMap<string, Connection>
  /** Counts connections, for their names. */
  readonly opened: number
  readonly units: ReadonlyMap<string, Unit>
  readonly queue: FairQueue<Run>
  readonly storing: readonly StoringWrite[]
  readonly stored: LogPosition
}

/** What the slice knows beside its databases. */
export interface TransactionsShared {
  readonly queueLength: number
}

/** What a database driver is: it carries statements and commands to databases, and decides nothing. */
import { Adapter } from '../core/adapter.js'
import type { Effect } from '../core/message.js'
import type { LogPosition } from '../core/position.js'
import type { Intent } from '../requests/messages.js'

/** Opens a connection to a database. */
export interface OpenConnection extends Effect {
  readonly kind: 'database/open'
  readonly connection: string
  readonly database: string
  readonly address: string
  readonly group: string
  /** Whom the connection is for, where it belongs to one workspace. */
  readonly workspace?: string
}

/** Runs a request on an open connection, in the name of a workspace. */
export interface Execute extends Effect {
  readonly kind: 'database/execute'
  readonly connection: string
  readonly service: string
  readonly workspace?: string
  /** What the request means for its transaction. */
  readonly intent: Intent
  /** True when the request must not write. */
  readonly readOnly: boolean
  /** What a replica must hold to run it; absent inside a transaction and at the primary. */
  readonly floor?: LogPosition
  readonly payload: Uint8Array
}

/** Allows a connection to deliver more of its answer. */
export interface GrantCredit extends Effect {
  readonly kind: 'database/credit'
  readonly connection: string
  readonly bytes: number
}

/** Closes a connection; an open transaction rolls back. */
export interface CloseConnection extends Effect {
  readonly kind: 'database/close'
  readonly connection: string
}

/** Reads the status of a database. */
export interface Probe extends Effect {
  readonly kind: 'database/probe'
  readonly database: string
  readonly address: string
  readonly group: string
  /** The monotonic time of the decision to probe; comes back with the outcome. */
  readonly askedAtMs: number
}

/** Waits until a majority of the group stores a position, and posts what it stores. */
export interface AwaitStored extends Effect {
  readonly kind: 'database/await-stored'
  readonly database: string
  readonly address: string
  readonly members: readonly string[]
  readonly offset: number
}

/** Fences, promotes or redirects a database, and posts its status after that. */
export interface CommandDatabase extends Effect {
  readonly kind: 'database/command'
  readonly action: 'fence' | 'promote' | 'follow'
  readonly database: string
  readonly address: string
  readonly term: number
  /** The address of the primary to follow. */
  readonly source?: string
  /** The host that the outcome goes to. */
  readonly asker: string
}

/** Stops a replica from receiving, or lets it go on; one that stopped posts `succession/fenced`. */
export interface FenceReplica extends Effect {
  readonly kind: 'database/fence'
  readonly group: string
  readonly database: string
  readonly address: string
  /** Above every term that the group had. */
  readonly term: number
  readonly receives: boolean
}

/** The effects that a driver carries out. */
export type DatabaseEffect = FenceReplica | OpenConnection | Execute | GrantCredit | CloseConnection | Probe | AwaitStored | CommandDatabase

/** Carries statements and commands to databases. */
export abstract class DatabaseDriver extends Adapter {
  readonly name = 'database'

  abstract override execute (effect: DatabaseEffect): void

  /** Closes all connections. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

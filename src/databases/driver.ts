/** The interface of database drivers: they run statements and commands at databases, and take no decisions. */
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
  /** The workspace that the connection is opened for; absent when any workspace may use it. */
  readonly workspace?: string
}

/** Runs a request on an open connection on behalf of a workspace. */
export interface ExecuteRequest extends Effect {
  readonly kind: 'database/execute'
  readonly connection: string
  readonly service: string
  readonly workspace?: string
  /** The effect of the request on its transaction. */
  readonly intent: Intent
  /** True when the request must not write. */
  readonly readOnly: boolean
  /** The position that a replica must have reached to run it; absent inside a transaction and at the primary. */
  readonly floor?: LogPosition
  readonly payload: Uint8Array
}

/** Grants flow-control credit: the connection may deliver more of its answer. */
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
export interface ProbeDatabase extends Effect {
  readonly kind: 'database/probe'
  readonly database: string
  readonly address: string
  readonly group: string
  /** The monotonic time of the decision to probe; returned with the outcome. */
  readonly askedAtMs: number
  /** True for the published primary: where databases fence themselves, an answer that only a primary gives is asked for, too. */
  readonly primary: boolean
}

/** Waits for a limited time until a majority of the group stores a position, and posts the position that the majority stores by then. */
export interface AwaitStored extends Effect {
  readonly kind: 'database/await-stored'
  readonly database: string
  readonly address: string
  readonly members: readonly string[]
  readonly offset: number
}

/** Fences, promotes or redirects a database, and posts its status afterwards. */
export interface CommandDatabase extends Effect {
  readonly kind: 'database/command'
  readonly action: 'fence' | 'promote' | 'follow'
  readonly database: string
  readonly address: string
  readonly term: number
  /** The address of the primary to follow. */
  readonly source?: string
  /** The host that receives the outcome. */
  readonly asker: string
}

/** Pauses or resumes replication at a replica; once paused, `succession/fenced` is posted. */
export interface FenceReplica extends Effect {
  readonly kind: 'database/fence'
  readonly group: string
  readonly database: string
  readonly address: string
  /** The fencing term; above every earlier term of the group. */
  readonly term: number
  /** True to resume replication, false to pause it. */
  readonly receives: boolean
}

/** Reads the position of a replica, which goes on receiving; posts `succession/position-read`. */
export interface ReadPosition extends Effect {
  readonly kind: 'database/read-position'
  readonly group: string
  readonly database: string
  readonly address: string
}

/** The effects that a database driver executes. */
export type DatabaseEffect = FenceReplica | ReadPosition | OpenConnection | ExecuteRequest | GrantCredit | CloseConnection | ProbeDatabase | AwaitStored | CommandDatabase

/** Runs statements and commands at databases. */
export abstract class DatabaseDriver extends Adapter {
  readonly name = 'database'

  abstract override execute (effect: DatabaseEffect): void

  /** Closes all connections. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

/** Messages of the routing slice: which database serves a request. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, GrantEntry, HostEntry } from '../membership/directory.js'
import type { RouteRules, AttemptId } from '../requests/messages.js'

/** A request wants to know where to run. */
export interface Choose extends AttemptId {
  readonly kind: 'routing/choose'
  readonly rules: RouteRules
  /** What the caller's session has seen of the group. */
  readonly seen: LogPosition
  /** Databases that an earlier attempt found unable to serve. */
  readonly avoid: readonly string[]
}

/** Hosts, databases or grants changed. */
export interface DirectoryChanged {
  readonly kind: 'routing/directory-changed'
  readonly hosts: readonly HostEntry[]
  readonly databases: readonly DatabaseEntry[]
  readonly grants: readonly GrantEntry[]
}

/** This host read the status of a database that it owns. */
export interface StatusRead {
  readonly kind: 'routing/status-read'
  readonly status: DatabaseStatus
  /** The monotonic time before the status was read. */
  readonly askedAtMs: number
}

/** The leader confirmed that all grants of the directory were in force at a time. */
export interface GrantsConfirmed {
  readonly kind: 'routing/grants-confirmed'
  readonly askedAtMs: number
}

/** A database's position, and how long ago it was read at the latest. */
export interface ToldPosition {
  readonly database: string
  readonly position: LogPosition
  readonly ageMs: number
  /** The age of the last answer that proved the database to be primary; absent without one. */
  readonly provenAgeMs?: number
  /** What that answer proved the primary to hold. */
  readonly provenPosition?: LogPosition
  /** Requests that run or wait for each slot. */
  readonly load?: number
}

/** Time to ask the owners of databases for their positions. */
export interface AskDue {
  readonly kind: 'routing/ask-due'
}

/** Asks a host for the positions of the databases that it owns. */
export interface PositionsAsked {
  readonly kind: 'routing/positions-asked'
  readonly from?: string
  readonly round: number
}

/** The positions of the databases that a host owns. */
export interface PositionsTold {
  readonly kind: 'routing/positions-told'
  readonly from?: string
  readonly round: number
  readonly positions: readonly ToldPosition[]
}

/** A database that this host owns answered, and told where it stands. */
export interface Answered {
  readonly kind: 'routing/answered'
  readonly database: string
  readonly position: LogPosition
  /** When the request left. */
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** How much work an owned database has. */
export interface LoadChanged {
  readonly kind: 'routing/load-changed'
  readonly database: string
  readonly load: number
}

/** Any message of the routing slice. */
export type RoutingMessage = Choose | DirectoryChanged | StatusRead | AskDue | PositionsAsked | PositionsTold | GrantsConfirmed | Answered | LoadChanged

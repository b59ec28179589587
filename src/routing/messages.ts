/** Messages of the routing slice. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, GrantEntry, HostEntry } from '../membership/directory.js'
import type { RouteRules, AttemptId } from '../requests/messages.js'

/** Selects the database for an attempt of a request; answered with `requests/routed` or `requests/failed`. */
export interface ChooseTarget extends AttemptId {
  readonly kind: 'routing/choose'
  readonly rules: RouteRules
  /** The workspace that the request belongs to; absent on an open route. */
  readonly workspace?: string
  /** The latest position of the group that the caller's session has seen. */
  readonly seen: LogPosition
  /** Databases that failed an earlier attempt. */
  readonly avoid: readonly string[]
  /** True when no owner of a replica can determine the floor of the read. */
  readonly primaryOnly?: boolean
}

/** Hosts, databases or grants of the directory changed. */
export interface DirectoryChanged {
  readonly kind: 'routing/directory-changed'
  readonly hosts: readonly HostEntry[]
  readonly databases: readonly DatabaseEntry[]
  /** The owner of each database. */
  readonly owners: ReadonlyMap<string, string>
  readonly grants: readonly GrantEntry[]
}

/** The status of a database that this host owns was read. */
export interface StatusRead {
  readonly kind: 'routing/status-read'
  readonly status: DatabaseStatus
  /** The monotonic time at which the read began. */
  readonly askedAtMs: number
}

/** The leader confirmed that all grants of the directory were in force at `askedAtMs`. */
export interface GrantsConfirmed {
  readonly kind: 'routing/grants-confirmed'
  readonly askedAtMs: number
}

/** A database's position, with an upper bound of its age. */
export interface ReportedPosition {
  readonly database: string
  readonly position: LogPosition
  readonly ageMs: number
  /** The age of the last answer that proved the database to be primary; absent if there was none. */
  readonly provenAgeMs?: number
  /** The position of the primary in that answer. */
  readonly provenPosition?: LogPosition
  /** Running and queued requests per slot. */
  readonly load?: number
}

/** The timer for polling positions fired. */
export interface PollDue {
  readonly kind: 'routing/ask-due'
}

/** Requests the positions of the databases that a host owns. */
export interface PositionsRequested {
  readonly kind: 'routing/positions-asked'
  readonly from?: string
  readonly round: number
}

/** Reports the positions of the databases that a host owns. */
export interface PositionsReported {
  readonly kind: 'routing/positions-told'
  readonly from?: string
  readonly round: number
  readonly positions: readonly ReportedPosition[]
}

/** A database that this host owns answered a request and reported its position. */
export interface DatabaseAnswered {
  readonly kind: 'routing/answered'
  readonly database: string
  readonly position: LogPosition
  /** The monotonic time at which the request was sent. */
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** The load of an owned database changed. */
export interface LoadChanged {
  readonly kind: 'routing/load-changed'
  readonly database: string
  readonly load: number
}

/** The owner of a database answered a request of this host. */
export interface OwnerAnswered {
  readonly kind: 'routing/owner-answered'
  readonly owner: string
  readonly database: string
  readonly load?: number
  /** How long the attempt took, and what its owner measured; absent where an answer tells nothing of it. */
  readonly elapsedMs?: number
  readonly waitedMs?: number
  readonly ranMs?: number
  readonly bytes?: number
}

/** Any message of the routing slice. */
export type RoutingMessage = OwnerAnswered | ChooseTarget | DirectoryChanged | StatusRead | PollDue | PositionsRequested | PositionsReported | GrantsConfirmed | DatabaseAnswered | LoadChanged

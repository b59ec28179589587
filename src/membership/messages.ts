/** Messages of the membership slice. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, DirectoryChange, DirectoryEntry, HostEntry, Revision } from './directory.js'
import type { RememberedTable } from './remembered.js'

/** The process has started and knows its own addresses. */
export interface Started {
  readonly kind: 'membership/started'
  readonly self: HostEntry
  /** The control hosts, which know the leader. */
  readonly control: readonly string[]
}

/** The control hosts' leader changed, as far as this host knows. */
export interface LeaderChanged {
  readonly kind: 'membership/leader-changed'
  readonly leader: string | undefined
  /** The term of the leader; the epoch of its directory. */
  readonly epoch: number
}

/** Time to report to the leader. */
export interface BeatDue {
  readonly kind: 'membership/beat-due'
}

/** A host that does not lead tells which one does. */
export interface LeaderHint {
  readonly kind: 'membership/leader-hint'
  readonly leader: string
  readonly epoch: number
}

/** This host may act as the leader for a while longer. */
export interface LeaseExtended {
  readonly kind: 'membership/lease-extended'
  /** A monotonic time of this host. */
  readonly untilMs: number
}

/** The documents slice asks how far a version is in force. */
export interface ForceAsked {
  readonly kind: 'membership/force-asked'
  readonly watch: string
  readonly service: string
  readonly version: number
  /** The longest authority of a host under an earlier version. */
  readonly leaseMs: number
}

/** A host's regular report to the leader. */
export interface Beat {
  readonly kind: 'membership/beat'
  readonly round: number
  readonly self: HostEntry
  /** The leader's time at which the beat left, as its last answer lets the host reckon it; absent before any. */
  readonly leftAtMs?: number
  /** The revision that the host has in force. */
  readonly revision: Revision
  readonly databases: readonly DatabaseEntry[]
  readonly statuses: readonly DatabaseStatus[]
}

/** The leader's answer to a beat. */
export interface BeatAnswered {
  readonly kind: 'membership/beat-answered'
  /** The leader; filled in by the receiving host. */
  readonly from?: string
  readonly round: number
  /** The leader's time as it answered. */
  readonly leaderMs?: number
  readonly revision: Revision
  readonly changes: readonly DirectoryChange[]
}

/** Time for the leader to look for hosts that went silent. */
export interface SweepDue {
  readonly kind: 'membership/sweep-due'
}

/** A database announced itself to this host. */
export interface Announced {
  readonly kind: 'membership/announced'
  readonly entry: DatabaseEntry
  readonly term: number
  readonly primary: boolean
  /** When the database started, and its count of announcements since; a late one changes nothing. */
  readonly order?: { readonly startedAtMs: number, readonly sequence: number }
}

/** A database ended, by its own word. */
export interface Withdrawn {
  readonly kind: 'membership/withdrawn'
  /** The host that the database told; absent on that host. */
  readonly from?: string
  readonly database: string
}

/** The addresses of control hosts changed in the settings. */
export interface ControlChanged {
  readonly kind: 'membership/control-changed'
  readonly control: readonly string[]
}

/** A database answered a request, and so told how it is. */
export interface Answered {
  readonly kind: 'membership/answered'
  readonly database: string
  readonly position: LogPosition
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** The outcome of reading a database's status. */
export interface Probed {
  readonly kind: 'membership/probed'
  readonly status: DatabaseStatus
  /** The monotonic time at which the probe was decided. */
  readonly askedAtMs: number
}

/** Time to read the status of the databases that this host owns. */
export interface ProbeDue {
  readonly kind: 'membership/probe-due'
}

/** Another slice of the leader puts an entry into the directory. */
export interface Publish {
  readonly kind: 'membership/publish'
  readonly entry: DirectoryEntry
}

/** The control hosts agreed on the databases to remember. */
export interface Remembered {
  readonly kind: 'membership/remembered'
  readonly databases: RememberedTable
}

/** An operator asks what this host knows of the system. */
export interface StatusAsked {
  readonly kind: 'membership/status-asked'
  /** The host that the operator called; absent for this host. */
  readonly from?: string
  /** Names the operator's waiting call. */
  readonly operation: string
}

/** An operator takes a host out of service. */
export interface DrainAsked {
  readonly kind: 'membership/drain-asked'
  /** The host that the operator called; absent for this host. */
  readonly from?: string
  /** Names the operator's waiting call. */
  readonly operation: string
  /** The host to drain. */
  readonly host: string
}

/** This host leaves: it tells the leader. */
export interface Leave {
  readonly kind: 'membership/leave'
}

/** A host left by request. */
export interface Left {
  readonly kind: 'membership/left'
  readonly from?: string
  readonly incarnation: string
}

/** Any message of the membership slice. */
export type MembershipMessage =
  | Answered
  | ControlChanged
  | Withdrawn
  | Leave
  | Left
  | StatusAsked
  | DrainAsked
  | Publish
  | Started
  | LeaderChanged
  | LeaderHint
  | LeaseExtended
  | ForceAsked
  | BeatDue
  | Beat
  | BeatAnswered
  | SweepDue
  | Announced
  | Probed
  | ProbeDue
  | Remembered

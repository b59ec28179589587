/** Messages of the membership slice. */
import type { LogPosition } from '../core/position.js'
import type { CommitPhase, DatabaseEntry, DatabaseStatus, DirectoryChange, DirectoryEntry, HostEntry, Incarnation, Revision, WriteReport } from './directory.js'
import type { StoredDatabaseTable } from './stored.js'

/** The process started and knows its own addresses. */
export interface Started {
  readonly kind: 'membership/started'
  readonly self: HostEntry
  /** The control hosts, where this host looks for the leader. */
  readonly control: readonly string[]
}

/** This host's replica of the log has another leader, or none. */
export interface LeaderChanged {
  readonly kind: 'membership/leader-changed'
  readonly leader: string | undefined
  /** The leader's election term, which is the epoch of its directory. */
  readonly epoch: number
}

/** The heartbeat timer fired. */
export interface HeartbeatDue {
  readonly kind: 'membership/beat-due'
}

/** A host that is not the leader redirects a heartbeat's sender to the leader. */
export interface LeaderHint {
  readonly kind: 'membership/leader-hint'
  readonly leader: string
  readonly epoch: number
}

/** This host's lease as the leader was extended. */
export interface LeaseExtended {
  readonly kind: 'membership/lease-extended'
  /** The end of the lease, as a monotonic time of this host. */
  readonly untilMs: number
}

/** Requests the rollout status of a document version; answered with `documents/in-force`. */
export interface RolloutStatusRequested {
  readonly kind: 'membership/force-asked'
  readonly watch: string
  readonly service: string
  readonly version: number
  /** The longest lease for which a host may apply an earlier version, in milliseconds. */
  readonly leaseMs: number
}

/** A host's heartbeat to the leader, with the status of its databases. */
export interface Heartbeat {
  readonly kind: 'membership/beat'
  readonly round: number
  readonly self: HostEntry
  /** The send time in the leader's clock, estimated from its last answer; absent before the first answer. */
  readonly leftAtMs?: number
  /** The revision of the host's directory. */
  readonly revision: Revision
  readonly databases: readonly DatabaseEntry[]
  readonly statuses: readonly DatabaseStatus[]
  /** Where this process may commit, or could; absent where no replica's copy acknowledges a write. */
  readonly writes?: readonly WriteReport[]
  /** Heartbeats of other hosts that the sender relays. */
  readonly relayed?: readonly Heartbeat[]
}

/** The leader's answer to a heartbeat. */
export interface HeartbeatAnswered {
  readonly kind: 'membership/beat-answered'
  /** The sender, which is the leader or a relay; set by the receiving host. */
  readonly from?: string
  /** The leader, if a relay sends its answer on. */
  readonly leader?: string
  /** The hosts whose relayed heartbeats the leader answers. */
  readonly relayed?: readonly string[]
  readonly round: number
  /** The leader's monotonic time when it answered. */
  readonly leaderMs?: number
  readonly revision: Revision
  readonly changes: readonly DirectoryChange[]
}

/** The version of a document. */
export interface DocumentVersion {
  readonly service: string
  readonly version: number
}

/** A control host that reaches a majority answers `agreement/held-asked`. */
export interface VersionsHeld {
  readonly kind: 'membership/versions-held'
  /** The control host; set by the receiving host. */
  readonly from?: string
  readonly round: number
  /** The newest versions that a majority of the members may hold; absent if a majority of the control hosts answered, but not one of the members. */
  readonly versions?: readonly DocumentVersion[]
}

/** The leader's timer for evicting hosts and databases fired. */
export interface SweepDue {
  readonly kind: 'membership/sweep-due'
}

/** A database announced itself to this host. */
export interface DatabaseAnnounced {
  readonly kind: 'membership/announced'
  readonly entry: DatabaseEntry
  readonly term: number
  readonly primary: boolean
  /** How much longer the database is cold, in milliseconds; absent if it does not say. */
  readonly coldLeftMs?: number
  /** The start time of the database and its number of announcements since; an out-of-order one is ignored. */
  readonly order?: { readonly startedAtMs: number, readonly sequence: number }
}

/** A database withdrew itself because it ends. */
export interface DatabaseWithdrawn {
  readonly kind: 'membership/withdrawn'
  /** The host that the database notified; absent on that host. */
  readonly from?: string
  readonly database: string
  /** Its incarnation, if it has one. */
  readonly incarnation?: Incarnation
}

/** The control hosts in the settings changed. */
export interface ControlHostsChanged {
  readonly kind: 'membership/control-changed'
  readonly control: readonly string[]
}

/** A database answered a request, which reveals its status. */
export interface DatabaseAnswered {
  readonly kind: 'membership/answered'
  readonly database: string
  readonly position: LogPosition
  readonly askedAtMs: number
  /** True when only a primary could have given the answer. */
  readonly proven: boolean
}

/** The lease of this host to commit in a group changed. */
export interface WritesChanged {
  readonly kind: 'membership/writes-changed'
  readonly group: string
  readonly phase: CommitPhase
  readonly acknowledged?: LogPosition
  readonly copied?: LogPosition
}

/** A probe of a database's status completed. */
export interface ProbeCompleted {
  readonly kind: 'membership/probed'
  readonly status: DatabaseStatus
  /** The monotonic time before the probe was sent. */
  readonly askedAtMs: number
}

/** The timer for probing owned databases fired. */
export interface ProbeDue {
  readonly kind: 'membership/probe-due'
}

/** Inserts an entry of another slice into the leader's directory. */
export interface PublishEntry {
  readonly kind: 'membership/publish'
  readonly entry: DirectoryEntry
}

/** The stored list of databases in the control hosts' log changed. */
export interface StoredDatabasesChanged {
  readonly kind: 'membership/remembered'
  readonly databases: StoredDatabaseTable
}

/** An operator requests this host's view of the system. */
export interface StatusRequested {
  readonly kind: 'membership/status-asked'
  /** The host that the operator called; absent on that host. */
  readonly from?: string
  /** Identifies the operator's pending call. */
  readonly operation: string
}

/** An operator drains a host. */
export interface DrainRequested {
  readonly kind: 'membership/drain-asked'
  /** The host that the operator called; absent on that host. */
  readonly from?: string
  /** Identifies the operator's pending call. */
  readonly operation: string
  /** The host to drain. */
  readonly host: string
}

/** This host shuts down and notifies the leader. */
export interface LeaveRequested {
  readonly kind: 'membership/leave'
}

/** A host left deliberately. */
export interface HostLeft {
  readonly kind: 'membership/left'
  readonly from?: string
  readonly incarnation: string
}

/** Any message of the membership slice. */
export type MembershipMessage =
  | DatabaseAnswered
  | WritesChanged
  | ControlHostsChanged
  | DatabaseWithdrawn
  | LeaveRequested
  | HostLeft
  | StatusRequested
  | DrainRequested
  | PublishEntry
  | Started
  | LeaderChanged
  | LeaderHint
  | LeaseExtended
  | RolloutStatusRequested
  | HeartbeatDue
  | Heartbeat
  | HeartbeatAnswered
  | VersionsHeld
  | SweepDue
  | DatabaseAnnounced
  | ProbeCompleted
  | ProbeDue
  | StoredDatabasesChanged

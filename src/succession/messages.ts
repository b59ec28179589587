/** Messages of the succession slice, which manages the primaries of self-fencing databases. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, WriteReport } from '../membership/directory.js'
import type { ReplicaSetTable } from './replicaset.js'
import type { SuccessionCommand, AppointmentTable } from './table.js'

/** This host became the leader or stopped leading. */
export interface LeadershipChanged {
  readonly kind: 'succession/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: AppointmentTable
  readonly replicaSets?: ReplicaSetTable
}

/** A change of a replica set was committed and applied on this host. */
export interface ReplicaSetApplied {
  readonly kind: 'succession/replicas-applied'
  readonly group: string
  readonly replicaSets: ReplicaSetTable
}

/** A command was committed and applied on this host. */
export interface CommandApplied {
  readonly kind: 'succession/applied'
  readonly command: SuccessionCommand
  readonly table: AppointmentTable
}

/** A host sent a heartbeat to the leader. */
export interface HostReported {
  readonly kind: 'succession/reported'
  readonly host: string
  readonly failureDomain: string
  /** True for a host that owns no databases. */
  readonly apart: boolean
  /** The estimated send time in the leader's clock; absent if the host has no estimate. */
  readonly leftAtMs?: number
  readonly statuses: readonly DatabaseStatus[]
  readonly databases: readonly DatabaseEntry[]
  /** Where the host may commit, or could; then with the process that says so and the number of its heartbeat. */
  readonly writes?: readonly WriteReport[]
  readonly process?: string
  readonly round?: number
  /** True if the databases are known only from the log: no host has reported them since the control hosts restarted. */
  readonly remembered?: true
}

/** A database withdrew itself because it ends. */
export interface DatabaseWithdrawn {
  readonly kind: 'succession/withdrawn'
  readonly database: string
}

/** The number of replicas that have to hold a write before it is acknowledged changed, by group. */
export interface CopiesChanged {
  readonly kind: 'succession/documents'
  readonly copies: ReadonlyMap<string, number>
}

/** The evacuated failure domains changed: the primary of a group is to be elsewhere, if another database can lead. */
export interface EvacuationsChanged {
  readonly kind: 'succession/evacuated'
  readonly domains: ReadonlySet<string>
}

/** A replica stopped receiving from its primary and reported its position. */
export interface ReplicaFenced {
  readonly kind: 'succession/fenced'
  readonly group: string
  readonly database: string
  readonly position: LogPosition
}

/** A replica told its position, and goes on receiving. */
export interface PositionRead {
  readonly kind: 'succession/position-read'
  readonly group: string
  readonly database: string
  readonly position: LogPosition
}

/** The leader's timer for checking all groups fired. */
export interface CheckDue {
  readonly kind: 'succession/check-due'
}

/** The outcome of a promotion call: done, refused permanently, throttled by the platform, or unanswered. */
export type PromotionCallOutcome = 'done' | 'refused' | 'throttled' | 'unanswered'

/** A promotion call was answered or timed out. */
export interface CallAnswered {
  readonly kind: 'succession/answered'
  readonly group: string
  readonly appointment: number
  readonly outcome: PromotionCallOutcome
}

/** Any message of the succession slice. */
export type SuccessionMessage = LeadershipChanged | CommandApplied | ReplicaSetApplied | HostReported | DatabaseWithdrawn | CopiesChanged | EvacuationsChanged | ReplicaFenced | PositionRead | CheckDue | CallAnswered

/** State of the primacy slice. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, Revision } from '../membership/directory.js'
import type { GroupsTable } from './table.js'

/** A host that sends heartbeats to this leader. */
export interface ReportingHost {
  readonly lastHeartbeatAtMs: number
  readonly failureDomain: string
  /** The revision of the host's directory at its last heartbeat. */
  readonly revision: Revision
}

/** A database that hosts reported to this leader. */
export interface TrackedDatabase {
  readonly entry: DatabaseEntry
  readonly reportedAtMs: number
  /** The host that last read the status. */
  readonly owner?: string
  readonly status?: DatabaseStatus
  /** Lower bound for the time of the database's last answer; 0 if it has not answered. */
  readonly answeredAtMs: number
  /** The time from which its silence counts: the last answer, unless the owner was short of processor time since. */
  readonly silentSinceMs?: number
}

/** This leader's progress in the current step of a group. */
export interface StepProgress {
  /** The term and phase of the step. */
  readonly step: string
  readonly sinceMs: number
  /** The first directory revision with the grant's state in this step; a host that has it no longer uses the previous state. */
  readonly revision?: Revision
  /** Positions of the fenced databases. */
  readonly fencedPositions: ReadonlyMap<string, LogPosition>
  /** The old primary's position and since when it is unchanged, in a planned change. */
  readonly stablePosition?: { readonly position: LogPosition, readonly sinceMs: number }
}

/** State of the primacy slice; only the leader uses more than the table. */
export interface PrimacyState {
  /** False for self-fencing databases: the slice then ignores all messages. */
  readonly active: boolean
  readonly leads: boolean
  readonly epoch: number
  /** The time until which a host may hold a lease of the previous leader. */
  readonly leaseGraceEndsMs: number
  readonly table: GroupsTable
  /** The number of databases of each group, from the documents. */
  readonly groupSizes: ReadonlyMap<string, number>
  /** Evacuated failure domains. */
  readonly evacuated: ReadonlySet<string>
  readonly hosts: ReadonlyMap<string, ReportingHost>
  readonly databases: ReadonlyMap<string, TrackedDatabase>
  readonly progress: ReadonlyMap<string, StepProgress>
  /** The times of recent unplanned changes, by group. */
  readonly unplannedChangesAtMs: ReadonlyMap<string, readonly number[]>
  /** The last send time of each command and proposal, by name. */
  readonly lastSentAtMs: ReadonlyMap<string, number>
}

/**
 * Creates the state of a host that does not lead.
 * @example createPrimacyState().leads // false
 */
export function createPrimacyState (active = true): PrimacyState {
  return {
    active,
    leads: false,
    epoch: 0,
    leaseGraceEndsMs: 0,
    table: {},
    groupSizes: new Map(),
    evacuated: new Set(),
    hosts: new Map(),
    databases: new Map(),
    progress: new Map(),
    unplannedChangesAtMs: new Map(),
    lastSentAtMs: new Map()
  }
}

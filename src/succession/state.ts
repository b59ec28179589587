/** State of the succession slice; only the leader uses more than the table. */
import type { Effect } from '../core/message.js'
import type { LogPosition } from '../core/position.js'
import type { CommitPhase, DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import type { DatabaseEnd, LastPrimary, ReplicaSetTable } from './replicaset.js'
import type { AppointmentTable } from './table.js'

/** Calls the platform to promote a database to primary of its group; posts `succession/answered`. */
export interface AppointPrimary extends Effect {
  readonly kind: 'promotion/appoint'
  readonly group: string
  readonly database: string
  readonly appointment: number
  /** The fencing token: grows with the leader's epoch and with the appointment. */
  readonly fence: number
}

/** A database that hosts reported to this leader. */
export interface TrackedDatabase {
  readonly entry: DatabaseEntry
  readonly knownSinceMs: number
  /** The time of the last report or answer of the database. */
  readonly lastSeenAtMs: number
  /** True if, when this leader began, no host had reported the database since the control hosts restarted: it was known only from the log. */
  readonly remembered?: true
  /** The host that reported its status last; undefined once that host reports without it. */
  readonly owner?: string
  /** When the owner sent its last report with a status of the database. */
  readonly reportedAtMs?: number
  readonly status?: DatabaseStatus
  /** Lower bound for the time of its last answer; undefined if it has not answered. */
  readonly answeredAtMs?: number
  /** The time from which its silence counts: the last answer, unless the owner was short of processor time since. */
  readonly silentSinceMs?: number
  /** Lower bound for the time of its last answer that proved it to be primary. */
  readonly provenAtMs?: number
  /** When it took the place of a former start of its instance, while it may lack writes that this one acknowledged. */
  readonly restartedAtMs?: number
  /** Set once it has ended for good, while it may hold a commit that too few others hold. */
  readonly ended?: DatabaseEnding
}

/** The end of a database that stays in its replica set. */
export interface DatabaseEnding {
  readonly end: DatabaseEnd
  /** From when on it surely received nothing more. */
  readonly atMs: number
  /** The last position that it told; absent if it told none. */
  readonly position?: LogPosition
  /** A position that covers all that it holds of what was acknowledged; absent until the primary was read. */
  readonly target?: LogPosition
}

/** The latest position that any database of a group reported, and an upper bound for the time at which it was read. */
export interface HighestPosition {
  readonly position: LogPosition
  readonly seenAtMs: number
}

/** Progress of closing a group for writes and fencing its replicas before one of them is appointed. */
export interface FencingProgress {
  /** When the primary was closed. */
  readonly startedAtMs: number
  /** From when on no host can acknowledge a commit; absent before. */
  readonly quiescedAtMs?: number
  /** When replicas were last asked to stop receiving. */
  readonly askedAtMs: number
  /** When their positions were last read before that. */
  readonly readAtMs?: number
  /** True once an event says which databases the group waits for. */
  readonly waits?: true
  /** The database whose appointment is proposed. */
  readonly proposed?: string
  /** Positions that replicas told since then, while they went on receiving. */
  readonly readPositions: ReadonlyMap<string, LogPosition>
  /** Positions of the replicas that stopped receiving. */
  readonly positions: ReadonlyMap<string, LogPosition>
}

/** A process of a host that may commit in a group, or could. */
export interface Writer {
  /** The time of its last heartbeat that says so. */
  readonly heardAtMs: number
  /** The number of that heartbeat. */
  readonly round: number
  readonly phase: CommitPhase
  /** Covers each commit that it acknowledged, as of that heartbeat. */
  readonly acknowledged?: LogPosition
  /** A position up to which a replica holds all commits, as of that heartbeat. */
  readonly copied?: LogPosition
}

/** The processes that may commit in a group, or could, and what the commits of others are covered by. */
export interface GroupWriters {
  /** The highest position up to which a process that is not listed any more reported commits as copied. */
  readonly copied: LogPosition
  /** Covers each commit that was acknowledged by a process that is not listed any more. */
  readonly floor: LogPosition
  readonly processes: ReadonlyMap<string, Writer>
}

/** A host that sends heartbeats to this leader. */
export interface ReportingHost {
  readonly lastHeartbeatAtMs: number
  readonly failureDomain: string
  readonly apart: boolean
}

/** The promotion call of an appointment. */
export interface PromotionCall {
  readonly appointment: number
  readonly calledAtMs: number
  /** When the platform carried it out; absent before. */
  readonly answeredAtMs?: number
  /** The time of the next try; undefined while one is in flight. */
  readonly dueAtMs?: number
  readonly tries: number
  /** True once the appointed database has started again, so that the answer to the call no longer matters. */
  readonly superseded?: true
}

/** State of the succession slice. */
export interface SuccessionState {
  /** False for databases without self-fencing: the slice then ignores all messages. */
  readonly active: boolean
  readonly leads: boolean
  readonly epoch: number
  readonly leadingSinceMs: number
  readonly table: AppointmentTable
  readonly databases: ReadonlyMap<string, TrackedDatabase>
  readonly hosts: ReadonlyMap<string, ReportingHost>
  readonly calls: ReadonlyMap<string, PromotionCall>
  /** The groups that documents name, and the number of replicas that have to hold a write of each before it is acknowledged. */
  readonly requiredCopies: ReadonlyMap<string, number>
  /** Evacuated failure domains. */
  readonly evacuated: ReadonlySet<string>
  readonly fencing: ReadonlyMap<string, FencingProgress>
  /** When each database was last told to receive. */
  readonly resumedAtMs: ReadonlyMap<string, number>
  /** The processes of hosts that report a commit lease, by group; absent before the first such report. */
  readonly writers: ReadonlyMap<string, GroupWriters>
  /** All databases that may hold what was acknowledged, including silent ones, and ended ones that are not covered yet. */
  readonly members: ReadonlyMap<string, TrackedDatabase>
  /** The replica sets in the control hosts' log, and when a change of each was proposed that is not applied yet. */
  readonly replicaSets: ReplicaSetTable
  readonly replicasProposedAtMs: ReadonlyMap<string, number>
  /** The database that hosts could last commit at, by group. */
  readonly lastPrimaries: ReadonlyMap<string, LastPrimary>
  /** Processes that the log is to name no longer, by group: they must not commit before it names them anew. */
  readonly retiredWriters: ReadonlyMap<string, ReadonlySet<string>>
  /** The latest position of each group. */
  readonly highestPositions: ReadonlyMap<string, HighestPosition>
  /** The published primary of each group, whether it is closed for writes, whether hosts need a lease to commit, and which may hold one. */
  readonly published: ReadonlyMap<string, { readonly database: string | undefined, readonly closing: boolean, readonly leased: boolean, readonly writers: readonly string[] }>
  /** The time from which the delay between appointments counts, by group. */
  readonly appointedAtMs: ReadonlyMap<string, number>
}

/**
 * Creates the state of a host that does not lead.
 * @example createSuccessionState(true).leads // false
 */
export function createSuccessionState (active: boolean): SuccessionState {
  return {
    active,
    leads: false,
    epoch: 0,
    leadingSinceMs: 0,
    table: {},
    databases: new Map(),
    hosts: new Map(),
    calls: new Map(),
    requiredCopies: new Map(),
    evacuated: new Set(),
    fencing: new Map(),
    resumedAtMs: new Map(),
    writers: new Map(),
    members: new Map(),
    replicaSets: {},
    replicasProposedAtMs: new Map(),
    lastPrimaries: new Map(),
    retiredWriters: new Map(),
    highestPositions: new Map(),
    published: new Map(),
    appointedAtMs: new Map()
  }
}

/** State of the membership slice. */
import { NO_CONTACT, type ControlContact } from './contact.js'
import { createDirectory, type DatabaseEntry, type DatabaseStatus, type Directory, type HostEntry, type Revision, type WriteReport } from './directory.js'
import type { IncarnationTable } from './incarnations.js'
import type { Heartbeat } from './messages.js'
import type { StoredDatabaseTable } from './stored.js'

/** The last announcement of a database to this host. */
export interface Announcement {
  readonly entry: DatabaseEntry
  readonly receivedAtMs: number
  /** The monotonic time until which the database is cold; absent if it is not. */
  readonly coldUntilMs?: number
  readonly order?: { readonly startedAtMs: number, readonly sequence: number }
}

/** Intervals and timeouts of the membership slice. */
export interface MembershipTiming {
  /** Time between two heartbeats. */
  readonly beatEveryMs: number
  /** Time between two checks of which owned databases need a probe. */
  readonly probeEveryMs: number
  /** Time without an answer after which a primary is probed; 0 probes it at each check. */
  readonly quietMs: number
  /** Time without an answer after which a replica is probed; 0 probes it at each check. */
  readonly replicaQuietMs: number
  /** How long a host reports a database after its last announcement. */
  readonly announcementHoldsMs: number
  /** The time within which an evacuation is in force on every host in contact; without it, owners go on however long they are unconfirmed. */
  readonly evacuateMs?: number
}

/** Timing for databases that announce themselves several times a second and whose answers carry no position. */
export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = { beatEveryMs: 100, probeEveryMs: 100, quietMs: 0, replicaQuietMs: 0, announcementHoldsMs: 1_000 }

/** A status of a database, and a time before it was read. */
export interface TimedStatus {
  readonly status: DatabaseStatus
  readonly askedAtMs: number
  /** When the last status was asked for that was read from the database itself, rather than from an answer to a request. */
  readonly readAtMs?: number
  /** A time before the last answer that proved the database to be primary. */
  readonly provenAtMs?: number
  /** Time since the last answer, on the clock of a loop that is on time. */
  readonly silentMs: number
}

/** A host that sends heartbeats to this leader. */
export interface ReportingHost {
  readonly entry: HostEntry
  readonly lastHeartbeatAtMs: number
  /** True if it reported the status of a database, so that another host has to own it once this one is gone. */
  readonly owns: boolean
  /** The revision of the host's directory at its last heartbeat. */
  readonly confirmedRevision: Revision
  readonly databases: readonly DatabaseEntry[]
}

/** State of the leader. */
export interface LeaderState {
  readonly directory: Directory
  readonly hosts: ReadonlyMap<string, ReportingHost>
  /** The time of the last report of each database. */
  readonly databaseReportedAtMs: ReadonlyMap<string, number>
  /** When a host last reported each database as cold. */
  readonly coldReportedAtMs?: ReadonlyMap<string, number>
  /** The end of the leader's lease: no heartbeat is answered after it, since another host may lead by then. */
  readonly leaseUntilMs: number
  /** No heartbeat is answered before this time unless all awaited hosts have sent one. */
  readonly answersHeldUntilMs: number
  readonly leadingSinceMs: number
  /** The time of each host's last answered heartbeat. */
  readonly hostAnsweredAtMs: ReadonlyMap<string, number>
  /** The hosts of the directory before this host led, without the former leader. */
  readonly awaitedHosts: readonly string[]
}

/** State of the membership slice. */
export interface MembershipState {
  readonly timing: MembershipTiming
  readonly self?: HostEntry
  readonly control: readonly string[]
  readonly leader?: string
  /** The last leader that was lost or replaced. If this host leads next, it does not await that host. */
  readonly previousLeader?: string
  readonly epoch: number
  /** The time at which the leader was discovered or last answered. */
  readonly leaderAnsweredAtMs: number
  /** Lower bound of the leader's clock minus this host's, from its last answer; absent before the first answer. */
  readonly leaderClockOffsetMs?: number
  /** A time at which the directory held all operators' orders that were acknowledged; undefined before the first answer. */
  readonly ordersConfirmedAtMs?: number
  /** How long the leader has not confirmed this host. */
  readonly contact: ControlContact
  /** The number of the last heartbeat. */
  readonly heartbeatRound: number
  /** The send times of recent heartbeats, by number. */
  readonly heartbeatSentAtMs: ReadonlyMap<number, number>
  /** On a relay: the last heartbeat of each host that waits for the relay's next own one. */
  readonly heldHeartbeats: ReadonlyMap<string, Heartbeat>
  /** On a relay: the heartbeats that went with its own ones, by their number. */
  readonly relayedHeartbeats: ReadonlyMap<number, readonly Heartbeat[]>
  /** The control host that relays this host's heartbeats; undefined if they go to the leader. */
  readonly relay?: string
  /** Intervals between two heartbeats while this host has a relay and owns no database. */
  readonly quietIntervals: number
  readonly announcements: ReadonlyMap<string, Announcement>
  readonly statuses: ReadonlyMap<string, TimedStatus>
  /** Where this host may commit, or could, by group. */
  readonly writes: ReadonlyMap<string, WriteReport>
  /** This host's copy of the directory. */
  readonly directory: Directory
  /** The owner of each database of that directory. */
  readonly owners: ReadonlyMap<string, string>
  /** The databases of that directory that this host owns, with their connection limits. */
  readonly ownedDatabases: ReadonlyMap<string, DatabaseEntry>
  /** The databases stored in the control hosts' log, as far as this host has applied it. */
  readonly storedDatabases: StoredDatabaseTable
  /** Which starts of databases count. On the leader those of its directory; on other control hosts those that withdrew themselves. */
  readonly incarnations: IncarnationTable
  /** Set on the leader only. */
  readonly leaderState?: LeaderState
}

/**
 * Creates the state of a host before it has started.
 * @example createMembershipState().heartbeatRound // 0
 */
export function createMembershipState (timing: MembershipTiming = DEFAULT_MEMBERSHIP_TIMING): MembershipState {
  return {
    timing,
    control: [],
    epoch: 0,
    leaderAnsweredAtMs: 0,
    contact: NO_CONTACT,
    heartbeatRound: 0,
    heartbeatSentAtMs: new Map(),
    quietIntervals: 1,
    heldHeartbeats: new Map(),
    relayedHeartbeats: new Map(),
    announcements: new Map(),
    statuses: new Map(),
    writes: new Map(),
    directory: createDirectory(0),
    owners: new Map(),
    ownedDatabases: new Map(),
    storedDatabases: {},
    incarnations: new Map()
  }
}

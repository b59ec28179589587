/** State of the membership slice. */
import { createDirectory, type DatabaseEntry, type DatabaseStatus, type Directory, type HostEntry, type Revision } from './directory.js'
import type { RememberedTable } from './remembered.js'

/** A database that announced itself to this host, and when it last did. */
export interface Announcement {
  readonly entry: DatabaseEntry
  readonly heardAtMs: number
  readonly order?: { readonly startedAtMs: number, readonly sequence: number }
}

/** How often this host reports, and how long it relies on what it heard. */
export interface Timing {
  /** Time between two beats of a host. */
  readonly beatEveryMs: number
  /** Time between two looks at whether an owned database has to be asked. */
  readonly probeEveryMs: number
  /** How long a primary may be quiet before its status is read; 0 reads it at each look. */
  readonly quietMs: number
  /** How long a replica may be quiet before its status is read. */
  readonly replicaQuietMs: number
  /** How long a host reports a database that no longer announces itself. */
  readonly announcementHoldsMs: number
}

/** The times for databases that announce themselves several times a second and whose answers tell no position. */
export const DEFAULT_TIMING: Timing = { beatEveryMs: 100, probeEveryMs: 100, quietMs: 0, replicaQuietMs: 0, announcementHoldsMs: 1_000 }

/** A status, and a time before it was read. */
export interface HeldStatus {
  readonly status: DatabaseStatus
  readonly askedAtMs: number
  /** The same of the last answer that proved the database to be primary. */
  readonly provenAtMs?: number
}

/** A host as the leader knows it. */
export interface ReportingHost {
  readonly entry: HostEntry
  readonly heardAtMs: number
  /** The revision that the host had in force at its last beat. */
  readonly confirmed: Revision
  readonly databases: readonly DatabaseEntry[]
}

/** What a leader keeps beside the directory that it writes. */
export interface Leading {
  readonly directory: Directory
  readonly hosts: ReadonlyMap<string, ReportingHost>
  /** Databases by name, with the time at which a host last reported them. */
  readonly databases: ReadonlyMap<string, number>
  /** No beat is answered after this: another host may lead by then. */
  readonly leaseUntilMs: number
  /** No beat is answered before this, unless all awaited hosts have reported. */
  readonly heldUntilMs: number
  readonly ledAtMs: number
  /** When each host's last beat was answered. */
  readonly answered: ReadonlyMap<string, number>
  /** The hosts that were there before this host led. */
  readonly awaited: readonly string[]
}

/** State of the membership slice. */
export interface MembershipState {
  readonly timing: Timing
  readonly self?: HostEntry
  readonly control: readonly string[]
  readonly leader?: string
  /** The last leader that was lost. */
  readonly lostLeader?: string
  readonly epoch: number
  /** When the leader was learned, or last answered. */
  readonly answeredAtMs: number
  /** The leader's clock less this host's, as far as its last answer shows; absent for a leader that has not answered. */
  readonly leaderAheadMs?: number
  /** The number of the last beat, and when it left. */
  readonly round: number
  readonly askedAtMs: ReadonlyMap<number, number>
  readonly announced: ReadonlyMap<string, Announcement>
  readonly statuses: ReadonlyMap<string, HeldStatus>
  /** The directory that this host has in force. */
  readonly directory: Directory
  /** The databases that the control hosts remember, as far as this host has applied their log. */
  readonly remembered: RememberedTable
  /** Set on the leader alone. */
  readonly leading?: Leading
}

/**
 * Creates the state of a host that knows nobody.
 * @example createMembershipState().round // 0
 */
export function createMembershipState (timing: Timing = DEFAULT_TIMING): MembershipState {
  return {
    timing,
    control: [],
    epoch: 0,
    answeredAtMs: 0,
    round: 0,
    askedAtMs: new Map(),
    announced: new Map(),
    statuses: new Map(),
    directory: createDirectory(0),
    remembered: {}
  }
}

/** State of the routing slice. */
import type { LogPosition } from '../core/position.js'
import { hashName } from '../core/rendezvous.js'
import { createLeavingState, type LeavingSettings, type LeavingState } from '../leaving/state.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import type { Regions } from '../homes/homes.js'
import type { DatabaseEntry, GrantEntry, HostEntry } from '../membership/directory.js'

/** Default time between two polls of positions. */
export const POSITION_POLL_INTERVAL_MS = 100

/** A position of a primary, and a time before it was read. */
export interface PrimarySample {
  readonly database: string
  /** A monotonic time of this host before the position was read. */
  readonly askedAtMs: number
  readonly position: LogPosition
}

/** A position that a database is known to hold, and a time before it was read. */
export interface TimedPosition {
  readonly position: LogPosition
  readonly askedAtMs: number
}

/** A database of the directory with its owner. */
export interface DatabaseWithOwner {
  readonly entry: DatabaseEntry
  readonly owner: string | undefined
  /** Its region, and that of its owner unless this host owns it; absent where the settings name no regions. */
  readonly regions?: readonly string[]
}

/** State of the routing slice. */
export interface RoutingState {
  readonly self: string
  readonly failureDomain: string
  readonly guarantees: DatabaseGuarantees
  /** The region of each failure domain that has one. */
  readonly regions: Regions
  /** Time between two polls of positions. */
  readonly askEveryMs: number
  readonly hosts: readonly HostEntry[]
  readonly databases: ReadonlyMap<string, DatabaseWithOwner>
  readonly grants: ReadonlyMap<string, GrantEntry>
  /** The monotonic time up to which the leader confirmed the grants. */
  readonly grantsConfirmedAtMs: number
  /** The last known position of each database. */
  readonly latestPositions: ReadonlyMap<string, TimedPosition>
  /** Positions of the primaries by group, oldest first. */
  readonly samples: ReadonlyMap<string, readonly PrimarySample[]>
  /** On the owner: the last answer of each database that proved it to be primary. */
  readonly primaryProofs: ReadonlyMap<string, TimedPosition>
  /** Running and queued requests per slot, by database. */
  readonly loads: ReadonlyMap<string, number>
  /** When another host reported the load of a database; absent for the databases of this host. */
  readonly loadReportedAtMs: ReadonlyMap<string, number>
  /** The monotonic time of this host's last request to each group. */
  readonly groupUsedAtMs: ReadonlyMap<string, number>
  /** Owners that have not answered since a request was sent to them, and when it was. */
  readonly awaitedOwners: ReadonlyMap<string, number>
  /** Owners to which this host has sent something. */
  readonly reachedOwners: ReadonlySet<string>
  readonly pollRound: number
  /** Where this host begins to go through the owners; hosts that start together would all poll the same one otherwise. */
  readonly pollOffset: number
  readonly pollSentAtMs: ReadonlyMap<number, number>
  /** Consecutive rounds without an answer since a poll, by polled host. The latest round doesn't count yet, so an answer sets -1. */
  readonly unansweredPolls: ReadonlyMap<string, number>
  /** Figures on reads that leave the failure domain; absent where a fixed cost decides. */
  readonly leaving?: LeavingState
  /** Round-robin counter that spreads reads over equivalent replicas. */
  readonly roundRobinCounter: number
}

/**
 * Creates the state of a host before it has received the directory.
 * @example createRoutingState('host-1', 'domain-1')
 */
export function createRoutingState (self: string, failureDomain: string, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES, askEveryMs = POSITION_POLL_INTERVAL_MS, regions: Regions = new Map(), leaving?: LeavingSettings): RoutingState {
  return {
    self,
    failureDomain,
    guarantees,
    regions,
    askEveryMs,
    hosts: [],
    databases: new Map(),
    grants: new Map(),
    grantsConfirmedAtMs: 0,
    latestPositions: new Map(),
    samples: new Map(),
    primaryProofs: new Map(),
    loads: new Map(),
    loadReportedAtMs: new Map(),
    groupUsedAtMs: new Map(),
    awaitedOwners: new Map(),
    reachedOwners: new Set(),
    pollRound: 0,
    pollOffset: hashName(self),
    pollSentAtMs: new Map(),
    unansweredPolls: new Map(),
    leaving: leaving === undefined ? undefined : createLeavingState(leaving),
    roundRobinCounter: 0
  }
}

/** State of the routing slice. */
import type { LogPosition } from '../core/position.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import type { DatabaseEntry, GrantEntry, HostEntry } from '../membership/directory.js'

/** Time between two rounds of asking for positions, unless the settings say otherwise. */
export const ASK_EVERY_MS = 100

/** A primary's position, and a time at which it had at least that much. */
export interface PrimarySample {
  readonly database: string
  /** A time of this host's clock before the position was read. */
  readonly askedAtMs: number
  readonly position: LogPosition
}

/** The position that a database surely holds, and a time before it was read. */
export interface HeldPosition {
  readonly position: LogPosition
  readonly askedAtMs: number
}

/** A database as routing knows it. */
export interface KnownDatabase {
  readonly entry: DatabaseEntry
  readonly owner: string | undefined
}

/** State of the routing slice. */
export interface RoutingState {
  readonly self: string
  readonly failureDomain: string
  readonly guarantees: DatabaseGuarantees
  /** Time between two rounds of asking for positions. */
  readonly askEveryMs: number
  readonly hosts: readonly HostEntry[]
  readonly databases: ReadonlyMap<string, KnownDatabase>
  readonly grants: ReadonlyMap<string, GrantEntry>
  /** When the leader last confirmed that the grants were in force. */
  readonly confirmedAtMs: number
  /** The position that each database surely holds. */
  readonly held: ReadonlyMap<string, HeldPosition>
  /** The primaries' positions by group, oldest first. */
  readonly samples: ReadonlyMap<string, readonly PrimarySample[]>
  /** On the owner: what each primary proved to hold, and when it was asked. */
  readonly proofs: ReadonlyMap<string, HeldPosition>
  /** Requests that run or wait for each slot, by database. */
  readonly loads: ReadonlyMap<string, number>
  /** When a request of this host last asked for each group. */
  readonly usedAtMs: ReadonlyMap<string, number>
  readonly round: number
  readonly askedAtMs: ReadonlyMap<number, number>
  /** Rounds that each asked host left without an answer. */
  readonly unanswered: ReadonlyMap<string, number>
  /** Counts choices, to spread reads over equal replicas. */
  readonly turn: number
}

/**
 * Creates the state of a host that knows no database.
 * @example createRoutingState('host-1', 'domain-1')
 */
export function createRoutingState (self: string, failureDomain: string, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES, askEveryMs = ASK_EVERY_MS): RoutingState {
  return {
    self,
    failureDomain,
    guarantees,
    askEveryMs,
    hosts: [],
    databases: new Map(),
    grants: new Map(),
    confirmedAtMs: 0,
    held: new Map(),
    samples: new Map(),
    proofs: new Map(),
    loads: new Map(),
    usedAtMs: new Map(),
    round: 0,
    askedAtMs: new Map(),
    unanswered: new Map(),
    turn: 0
  }
}

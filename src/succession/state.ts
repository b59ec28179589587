/** State of the succession slice; all but the table is of use on the leader alone. */
import type { Effect } from '../core/message.js'
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import type { SuccessionTable } from './table.js'

/** Makes a database the primary of its group; posts `succession/answered`. */
export interface AppointPrimary extends Effect {
  readonly kind: 'promotion/appoint'
  readonly group: string
  readonly database: string
  readonly appointment: number
  /** Grows with the leader's epoch and with the appointment. */
  readonly fence: number
}

/** A database as hosts reported it. */
export interface KnownDatabase {
  readonly entry: DatabaseEntry
  readonly knownSinceMs: number
  /** When a host last reported its announcement. */
  readonly heardAtMs: number
  /** True where nobody had seen it since the control hosts were restarted when this leader began. */
  readonly remembered?: true
  readonly owner?: string
  readonly status?: DatabaseStatus
  /** A time before its last answer; undefined before any. */
  readonly answeredAtMs?: number
  /** A time before its last answer that proved it to be primary. */
  readonly provenAtMs?: number
}

/** The replicas of a group that are to stop receiving before one of them is appointed. */
export interface Fence {
  readonly askedAtMs: number
  /** Where those stand that stopped. */
  readonly positions: ReadonlyMap<string, LogPosition>
}

/** A host that reported to this leader. */
export interface HeardHost {
  readonly heardAtMs: number
  readonly failureDomain: string
  readonly apart: boolean
}

/** The call for an appointment. */
export interface Call {
  readonly appointment: number
  readonly calledAtMs: number
  /** When the next try is due; undefined while one is under way. */
  readonly dueAtMs?: number
  readonly tries: number
}

/** State of the succession slice. */
export interface SuccessionState {
  /** False where databases do not fence themselves: the slice then decides nothing. */
  readonly active: boolean
  readonly leads: boolean
  readonly epoch: number
  readonly ledAtMs: number
  readonly table: SuccessionTable
  readonly databases: ReadonlyMap<string, KnownDatabase>
  readonly hosts: ReadonlyMap<string, HeardHost>
  readonly calls: ReadonlyMap<string, Call>
  /** How many replicas hold a write of each group before it is acknowledged. */
  readonly copies: ReadonlyMap<string, number>
  readonly fences: ReadonlyMap<string, Fence>
  /** All members of each group that have not ended by their own word, also those that are silent. */
  readonly members: ReadonlyMap<string, KnownDatabase>
  /** The primary that each group's hosts were told of. */
  readonly published: ReadonlyMap<string, { readonly database: string | undefined }>
  /** When each group's last appointment was proposed or settled. */
  readonly changedAtMs: ReadonlyMap<string, number>
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
    ledAtMs: 0,
    table: {},
    databases: new Map(),
    hosts: new Map(),
    calls: new Map(),
    copies: new Map(),
    fences: new Map(),
    members: new Map(),
    published: new Map(),
    changedAtMs: new Map()
  }
}

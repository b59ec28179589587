/** State of the primacy slice. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus, Revision } from '../membership/directory.js'
import type { GroupsTable } from './table.js'

/** A host that reported to this leader. */
export interface HeardHost {
  readonly heardAtMs: number
  readonly failureDomain: string
  /** The revision that the host had in force. */
  readonly revision: Revision
}

/** A database that a host reported. */
export interface KnownDatabase {
  readonly entry: DatabaseEntry
  readonly heardAtMs: number
  /** The host that last read the status. */
  readonly owner?: string
  readonly status?: DatabaseStatus
  /** A time before the last status that the database answered. */
  readonly answeredAtMs: number
}

/** What this leader knows of the step that a group's change is at. */
export interface Progress {
  /** The term and phase that this is about. */
  readonly step: string
  readonly sinceMs: number
  /** The revision that ends the former grant. */
  readonly revision?: Revision
  readonly fenced: ReadonlyMap<string, LogPosition>
  /** Since when the former primary's position stands, in a planned change. */
  readonly still?: { readonly position: LogPosition, readonly sinceMs: number }
}

/** State of the primacy slice; all but the table is of use on the leader alone. */
export interface PrimacyState {
  /** False where databases fence themselves: the slice then decides nothing. */
  readonly active: boolean
  readonly leads: boolean
  readonly epoch: number
  /** Until then a host may rely on grants of the former leader. */
  readonly graceEndsMs: number
  readonly table: GroupsTable
  /** How many databases form a group, by the documents. */
  readonly counts: ReadonlyMap<string, number>
  readonly hosts: ReadonlyMap<string, HeardHost>
  readonly databases: ReadonlyMap<string, KnownDatabase>
  readonly progress: ReadonlyMap<string, Progress>
  /** When unplanned changes began, by group. */
  readonly changedAtMs: ReadonlyMap<string, readonly number[]>
  /** When a command or proposal last left, by its name. */
  readonly askedAtMs: ReadonlyMap<string, number>
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
    graceEndsMs: 0,
    table: {},
    counts: new Map(),
    hosts: new Map(),
    databases: new Map(),
    progress: new Map(),
    changedAtMs: new Map(),
    askedAtMs: new Map()
  }
}

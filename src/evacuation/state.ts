/** State of the evacuation slice. */
import type { DatabaseEntry } from '../membership/directory.js'
import { NO_EVACUATIONS, type EvacuationTable } from './table.js'

/** An operator's pending call. */
export interface PendingOrder {
  readonly from: string
  readonly operation: string
}

/** State of the evacuation slice. */
export interface EvacuationState {
  readonly leads: boolean
  readonly table: EvacuationTable
  /** The failure domains of the settings, and those of hosts and databases that this control host has seen since it started. */
  readonly domains: ReadonlySet<string>
  /** When this host got its first directory. */
  readonly learningSinceMs?: number
  /** The databases of the last directory. */
  readonly databases: readonly DatabaseEntry[]
  /** Pending calls by proposal. */
  readonly pendingOrders: ReadonlyMap<string, PendingOrder>
}

/**
 * Creates the state of a host that is not the leader.
 * @example createEvacuationState(['east', 'west']).leads // false
 */
export function createEvacuationState (domains: readonly string[] = []): EvacuationState {
  return { leads: false, table: NO_EVACUATIONS, domains: new Set(domains), databases: [], pendingOrders: new Map() }
}

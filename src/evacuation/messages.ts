/** Messages of the evacuation slice. */
import type { DatabaseEntry } from '../membership/directory.js'
import type { EvacuationTable, OrderCommand, OrderOutcome } from './table.js'

/** An operator begins or ends the evacuation of a failure domain. */
export interface OrderRequested {
  readonly kind: 'evacuation/ask'
  /** The host that the operator called. */
  readonly from?: string
  /** Identifies the operator's pending call. */
  readonly operation: string
  readonly requestId: string
  readonly domain: string
  readonly evacuated: boolean
  /** The last order on the domain that the called host knew when this one came; 0 if none. */
  readonly after: number
}

/** This host became or ceased to be the leader. */
export interface LeadershipChanged {
  readonly kind: 'evacuation/leadership'
  readonly leads: boolean
  readonly table: EvacuationTable
}

/** An order was committed, and applied on this host. */
export interface OrderApplied {
  readonly kind: 'evacuation/applied'
  /** The proposal, if this host made it. */
  readonly proposal?: string
  readonly command: OrderCommand
  readonly outcome: OrderOutcome
  readonly table: EvacuationTable
}

/** Hosts or databases of a control host's directory changed. */
export interface DirectoryChanged {
  readonly kind: 'evacuation/directory-changed'
  /** The failure domains of hosts and databases. */
  readonly domains: readonly string[]
  readonly databases: readonly DatabaseEntry[]
}

/** Any message of the evacuation slice. */
export type EvacuationMessage = OrderRequested | LeadershipChanged | OrderApplied | DirectoryChanged

/** What the databases behind a driver guarantee by themselves; decisions depend on this, not on the protocol. */

/** The guarantees of all databases of a deployment. */
export interface DatabaseGuarantees {
  /** A database that lost the lead refuses writes and plain transactions, so no lease of a host is needed. */
  readonly selfFencing: boolean
  /** A slot is held while a statement runs; an idle transaction holds its connection alone. */
  readonly slotPerStatement: boolean
  /** A connection belongs to the workspace that it was opened for, and opening it holds a slot. */
  readonly connectionPerWorkspace: boolean
}

/** PostgreSQL: leases of hosts fence a primary, and any connection serves any workspace. */
export const POSTGRES_GUARANTEES: DatabaseGuarantees = { selfFencing: false, slotPerStatement: false, connectionPerWorkspace: false }

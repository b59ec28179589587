/** The guarantees that the databases behind a driver give by themselves. Decisions depend on these guarantees, not on the protocol. */

/** The guarantees of all databases of a deployment. */
export interface DatabaseGuarantees {
  /** A replaced primary refuses writes and read-write transactions by itself, so no lease of a host has to fence it. */
  readonly selfFencing: boolean
  /** A slot is held only while a statement runs; an idle transaction holds just its connection. */
  readonly slotPerStatement: boolean
  /** A connection belongs to the workspace that it was opened for, and opening it holds a slot. */
  readonly connectionPerWorkspace: boolean
}

/** PostgreSQL: host leases fence a primary, and any connection serves any workspace. */
export const POSTGRES_GUARANTEES: DatabaseGuarantees = { selfFencing: false, slotPerStatement: false, connectionPerWorkspace: false }

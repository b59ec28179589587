/** Messages of the agreement slice. */
import type { Catalog, CatalogCommand } from './catalog.js'
import type { ReplicaMessage, ReplicaStarted } from './replica.js'

/** The process has started; the control hosts are those of its settings. */
export interface Started extends ReplicaStarted<Catalog, CatalogCommand> {
  /** Why the journal's files were set aside, if they were. */
  readonly damage?: string
}

/** Any message of the agreement slice. */
export type AgreementMessage = ReplicaMessage<Catalog, CatalogCommand> | Started

/** Messages of the agreement slice. */
import type { Catalog, CatalogCommand } from './catalog.js'
import type { ReplicaMessage, ReplicaStarted } from './replica.js'

/** The process has started; the control hosts are those of its settings. */
export interface Started extends ReplicaStarted<Catalog, CatalogCommand> {
  /** Why the journal's files were set aside, if they were. */
  readonly damage?: string
}

/** An operator asks what this host knows of its group. */
export interface StatusAsked {
  readonly kind: 'agreement/status-asked'
  /** Names the operator's waiting call. */
  readonly operation: string
}

/** What a control host knows of its group; times in milliseconds. */
export interface ControlStatus {
  readonly host: string
  /** Empty on a host that keeps no log. */
  readonly incarnation: string
  readonly group?: string
  readonly role: string
  readonly leader?: string
  readonly term: number
  readonly committed: number
  readonly last: number
  readonly members: Readonly<Record<string, string>>
  /** Set while a host is replaced. */
  readonly oldMembers?: Readonly<Record<string, string>>
  /** On the leader: how far each replica is, and when it was last in contact. */
  readonly replicas: ReadonlyArray<{ readonly host: string, readonly incarnation: string, readonly matched: number, readonly silentMs?: number }>
}

/** Any message of the agreement slice. */
export type AgreementMessage = ReplicaMessage<Catalog, CatalogCommand> | Started | StatusAsked

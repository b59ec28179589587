/** Messages of the agreement slice. */
import type { Catalog, CatalogCommand } from './catalog.js'
import type { ReplicaMessage, ReplicaStarted } from './replica.js'

/** The process has started, with the control hosts of its settings. */
export interface HostStarted extends ReplicaStarted<Catalog, CatalogCommand> {
  /** Why the journal's files were moved aside; absent if they were valid. */
  readonly damage?: string
}

/** An operator requests this host's view of its group. */
export interface StatusRequest {
  readonly kind: 'agreement/status-asked'
  /** Identifies the operator's pending call. */
  readonly operation: string
}

/** A host that the leader does not confirm asks a control host which versions it holds. */
export interface VersionsRequested {
  readonly kind: 'agreement/versions-asked'
  readonly from?: string
  readonly round: number
}

/** A control host's view of its group; times in milliseconds. */
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
  /** Present during a membership change. */
  readonly oldMembers?: Readonly<Record<string, string>>
  /** On the leader: the replication progress of each replica and the time since its last contact; empty elsewhere. */
  readonly replicas: ReadonlyArray<{ readonly host: string, readonly incarnation: string, readonly matched: number, readonly silentMs?: number }>
}

/** Any message of the agreement slice. */
export type AgreementMessage = ReplicaMessage<Catalog, CatalogCommand> | HostStarted | StatusRequest | VersionsRequested

/** Messages of the agreement slice. */
import type { DocumentVersion } from '../membership/messages.js'
import type { Catalog, CatalogCommand } from './catalog.js'
import type { Configuration } from './log.js'
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

/** A control host asks another one, or itself, which versions it holds. */
export interface VersionsRequested {
  readonly kind: 'agreement/versions-asked'
  readonly from?: string
  /** The number of the read. */
  readonly round: number
}

/** A control host tells which versions it holds, in answer to `agreement/versions-asked`. */
export interface VersionsTold {
  readonly kind: 'agreement/versions-told'
  /** The control host; set by the receiving host. */
  readonly from?: string
  readonly round: number
  /** Identifies the data folder of the control host. */
  readonly incarnation: string
  /** The members of the control group in the newest entry of its log that names them, and that entry's position. */
  readonly configuration?: Configuration
  readonly configurationTerm: number
  readonly configurationIndex: number
  /** The newest version of each document in its log, committed or not. */
  readonly versions: readonly DocumentVersion[]
}

/** A host that the leader does not confirm asks a control host which versions a majority holds. */
export interface HeldVersionsRequested {
  readonly kind: 'agreement/held-asked'
  readonly from?: string
  /** The number of the question. */
  readonly round: number
}

/** An operator reads the current text of a document; answered with `operations/answered` to the host that the operator called. */
export interface TextRequested {
  readonly kind: 'agreement/text-asked'
  readonly host: string
  readonly operation: string
  readonly service: string
}

/** The next read is due, or a majority left the one in flight unanswered. */
export interface ReadDue {
  readonly kind: 'agreement/read-due'
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
export type AgreementMessage = ReplicaMessage<Catalog, CatalogCommand> | HostStarted | StatusRequest | VersionsRequested | VersionsTold | HeldVersionsRequested | TextRequested | ReadDue

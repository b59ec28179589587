/** Messages of the documents slice. */
import type { ServiceDocument } from './document.js'
import type { DocumentOutcome, DocumentsCommand, DocumentsTable } from './table.js'

/** An operator applies a document. */
export interface ApplyDocument {
  readonly kind: 'documents/apply'
  /** The host that the operator called. */
  readonly from?: string
  /** Identifies the operator's pending call. */
  readonly operation: string
  readonly text: string
  /** The version that the edit is based on; 0 for a new service. */
  readonly version: number
  readonly requestId: string
  /** Whether to answer only when every host has the version in force or has lost its authority. */
  readonly wait?: boolean
}

/** An operator replaces a document by one of a higher version. A version that is not higher is acknowledged without effect. */
export interface ReplaceDocument {
  readonly kind: 'documents/replace-asked'
  readonly from?: string
  readonly operation: string
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** An operator requests the current text, as a linearizable read. Any control host answers it. */
export interface ReadCurrentDocument {
  readonly kind: 'documents/read-asked'
  readonly from?: string
  readonly operation: string
  readonly service: string
}

/** An operator queries the documents that the leader has. */
export interface DocumentQuery {
  readonly kind: 'documents/ask'
  readonly from?: string
  readonly operation: string
  /** The service; all services if absent. */
  readonly service?: string
  /** Whether to answer with the text or with the rollout status. */
  readonly about: 'text' | 'force'
}

/** This host became or ceased to be the leader. */
export interface LeadershipChanged {
  readonly kind: 'documents/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: DocumentsTable
}

/** A command was committed, and applied on this host. */
export interface CommandApplied {
  readonly kind: 'documents/applied'
  /** The proposal, if this host made it. */
  readonly proposal?: string
  readonly command: DocumentsCommand
  readonly outcome: DocumentOutcome
  readonly table: DocumentsTable
}

/** Rollout status of a version: on which hosts it is in force. */
export interface RolloutStatus {
  /** Hosts that confirmed the version. */
  readonly confirmed: readonly string[]
  /** Hosts that did not confirm it, and whose authority has expired. */
  readonly lapsed: readonly string[]
  /** Hosts that may still act on an earlier version. */
  readonly pending: readonly string[]
}

/** The membership slice reports the rollout status of a version. */
export interface RolloutReported extends RolloutStatus {
  readonly kind: 'documents/in-force'
  readonly watch: string
}

/** The next poll of the rollout status is due. */
export interface RolloutCheckDue {
  readonly kind: 'documents/watch-due'
  readonly watch: string
}

/** Any message of the documents slice. */
export type DocumentsMessage = ApplyDocument | ReplaceDocument | ReadCurrentDocument | DocumentQuery | LeadershipChanged | CommandApplied | RolloutReported | RolloutCheckDue

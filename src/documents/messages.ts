/** Messages of the documents slice. */
import type { DocumentCommand, DocumentOutcome, DocumentsTable } from './table.js'

/** An operator applies a document. */
export interface Apply {
  readonly kind: 'documents/apply'
  /** The host that the operator called. */
  readonly from?: string
  /** Names the operator's waiting call. */
  readonly operation: string
  readonly text: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
  readonly requestId: string
}

/** This host became or ceased to be the leader. */
export interface Leadership {
  readonly kind: 'documents/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: DocumentsTable
}

/** A command was committed and applied on this host. */
export interface Applied {
  readonly kind: 'documents/applied'
  /** The proposal that this host made, if it was this host's. */
  readonly proposal?: string
  readonly command: DocumentCommand
  readonly outcome: DocumentOutcome
  readonly table: DocumentsTable
}

/** Any message of the documents slice. */
export type DocumentsMessage = Apply | Leadership | Applied

/** Messages of the documents slice. */
import type { ServiceDocument } from './document.js'
import type { DocumentOutcome, DocumentsCommand, DocumentsTable } from './table.js'

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
  /** Answer when every host has the version in force, or has lost its authority. */
  readonly wait?: boolean
}

/** An operator replaces a document by one of a higher version; a lower one is acknowledged and changes nothing. */
export interface Replace {
  readonly kind: 'documents/replace-asked'
  readonly from?: string
  readonly operation: string
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** An operator wants the text that stands, surely no earlier than its call. */
export interface ReadCurrent {
  readonly kind: 'documents/read-asked'
  readonly from?: string
  readonly operation: string
  readonly service: string
}

/** An operator asks what stands. */
export interface Ask {
  readonly kind: 'documents/ask'
  readonly from?: string
  readonly operation: string
  /** All services when absent. */
  readonly service?: string
  /** Whether the answer holds the text, or how far the version is in force. */
  readonly about: 'text' | 'force'
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
  readonly command: DocumentsCommand
  readonly outcome: DocumentOutcome
  readonly table: DocumentsTable
}

/** How far a version is in force. */
export interface Force {
  /** Hosts that confirmed it. */
  readonly confirmed: readonly string[]
  /** Hosts that did not, and whose authority has surely run out. */
  readonly lapsed: readonly string[]
  /** Hosts that may still act on an earlier version. */
  readonly pending: readonly string[]
}

/** Membership tells how far a version is in force. */
export interface InForce extends Force {
  readonly kind: 'documents/in-force'
  readonly watch: string
}

/** Time to ask again how far a version is in force. */
export interface WatchDue {
  readonly kind: 'documents/watch-due'
  readonly watch: string
}

/** Any message of the documents slice. */
export type DocumentsMessage = Apply | Replace | ReadCurrent | Ask | Leadership | Applied | InForce | WatchDue

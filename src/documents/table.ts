/** The documents that the control hosts agree on. */
import type { ServiceDocument } from './document.js'

/** A service's document at its last accepted version. */
export interface DocumentRecord {
  readonly version: number
  /** The text as its owner wrote it. */
  readonly text: string
  readonly document: ServiceDocument
}

/** Documents by service. */
export type DocumentsTable = Readonly<Record<string, DocumentRecord>>

/** Puts a document in place of the version that its operator edited. */
export interface DocumentCommand {
  readonly kind: 'documents/put'
  readonly requestId: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Whether the document was accepted; if not, which version stands. */
export type DocumentOutcome =
  | { readonly accepted: true, readonly version: number }
  | { readonly accepted: false, readonly conflict: number }

/** The table after a command, and the command's outcome. */
export interface AppliedDocument {
  readonly state: DocumentsTable
  readonly outcome: DocumentOutcome
}

/**
 * Applies a command: compare and set by version.
 * @example applyDocumentCommand({}, command).outcome // { accepted: true, version: 1 }
 */
export function applyDocumentCommand (table: DocumentsTable, command: DocumentCommand): AppliedDocument {
  const { service } = command.document
  const current = table[service]?.version ?? 0
  if (current !== command.version) return { state: table, outcome: { accepted: false, conflict: current } }
  const version = current + 1
  const record: DocumentRecord = { version, text: command.text, document: command.document }
  return { state: { ...table, [service]: record }, outcome: { accepted: true, version } }
}

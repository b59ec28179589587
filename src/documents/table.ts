/** The documents that the control hosts agree on. */
import type { ServiceDocument } from './document.js'

/** Requests of each service whose first answer is kept. */
export const REQUESTS_KEPT = 256

/** A service's document at its last accepted version. */
export interface DocumentRecord {
  readonly version: number
  /** The text as its owner wrote it. */
  readonly text: string
  readonly document: ServiceDocument
}

/** A request and its first answer. */
export interface AnsweredRequest {
  readonly requestId: string
  readonly outcome: DocumentOutcome
}

/** Documents, and the last requests, both by service. */
export interface DocumentsTable {
  readonly services: Readonly<Record<string, DocumentRecord>>
  readonly requests: Readonly<Record<string, readonly AnsweredRequest[]>>
}

/** Puts a document in place of the version that its operator edited. */
export interface DocumentCommand {
  readonly kind: 'documents/put'
  readonly requestId: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Puts a document in place of any of a lower version; one that is not higher changes nothing. */
export interface ReplaceCommand {
  readonly kind: 'documents/replace'
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Changes nothing: what is read once it is committed is current. */
export interface ConfirmCommand {
  readonly kind: 'documents/confirm'
}

/** Any command about documents. */
export type DocumentsCommand = DocumentCommand | ReplaceCommand | ConfirmCommand

/** Whether the document was accepted; if not, which version stands. */
export type DocumentOutcome =
  | { readonly accepted: true, readonly version: number }
  | { readonly accepted: false, readonly conflict: number }

/** The table after a command, and the command's outcome. */
export interface AppliedDocument {
  readonly state: DocumentsTable
  readonly outcome: DocumentOutcome
}

/** The table without documents. */
export const NO_DOCUMENTS: DocumentsTable = { services: {}, requests: {} }

/**
 * Applies a command: compare and set by version. A request that comes again gets its first answer.
 * @example applyDocumentCommand(NO_DOCUMENTS, command).outcome // { accepted: true, version: 1 }
 */
export function applyDocumentCommand (table: DocumentsTable, command: DocumentCommand): AppliedDocument {
  const { service } = command.document
  const answered = readOwn(table.requests, service) ?? []
  const first = answered.find(request => request.requestId === command.requestId)
  if (first !== undefined) return { state: table, outcome: first.outcome }
  const current = readOwn(table.services, service)?.version ?? 0
  const accepted = current === command.version
  const outcome: DocumentOutcome = accepted ? { accepted, version: current + 1 } : { accepted, conflict: current }
  const requests = { ...table.requests, [service]: [...answered.slice(1 - REQUESTS_KEPT), { requestId: command.requestId, outcome }] }
  if (!accepted) return { state: { ...table, requests }, outcome }
  const record: DocumentRecord = { version: current + 1, text: command.text, document: command.document }
  return { state: { services: { ...table.services, [service]: record }, requests }, outcome }
}

/**
 * Applies any command about documents.
 * @example applyDocumentsCommand(NO_DOCUMENTS, { kind: 'documents/confirm' }).state // NO_DOCUMENTS
 */
export function applyDocumentsCommand (table: DocumentsTable, command: DocumentsCommand): AppliedDocument {
  switch (command.kind) {
    case 'documents/put': return applyDocumentCommand(table, command)
    case 'documents/replace': return replaceDocument(table, command)
    case 'documents/confirm': return { state: table, outcome: { accepted: true, version: 0 } }
  }
}

function replaceDocument (table: DocumentsTable, { version, text, document }: ReplaceCommand): AppliedDocument {
  const current = readOwn(table.services, document.service)?.version ?? 0
  const outcome: DocumentOutcome = { accepted: true, version: Math.max(current, version) }
  if (version <= current) return { state: table, outcome }
  return { state: { ...table, services: { ...table.services, [document.service]: { version, text, document } } }, outcome }
}

/** Returns a service's value; undefined also for names that every object has. */
export function readOwn<T> (values: Readonly<Record<string, T>>, service: string): T | undefined {
  return Object.hasOwn(values, service) ? values[service] : undefined
}

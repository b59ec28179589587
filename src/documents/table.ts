/** The replicated table of documents, and the commands that change it. */
import { getOwn } from '../core/own.js'
import type { ServiceDocument } from './document.js'

/** Number of requests per service whose outcome is kept for deduplication. */
export const MAX_ANSWERED_REQUESTS = 256

/** The last accepted version of a service's document. */
export interface DocumentRecord {
  readonly version: number
  /** The text as written by its owner, with comments. */
  readonly text: string
  readonly document: ServiceDocument
}

/** A request and its outcome. */
export interface AnsweredRequest {
  readonly requestId: string
  readonly outcome: DocumentOutcome
}

/** Documents and the last requests, both by service. */
export interface DocumentsTable {
  readonly services: Readonly<Record<string, DocumentRecord>>
  readonly requests: Readonly<Record<string, readonly AnsweredRequest[]>>
}

/** Replaces a document if its version is still the one that the edit is based on. */
export interface PutCommand {
  readonly kind: 'documents/put'
  readonly requestId: string
  /** The version that the edit is based on; 0 for a new service. */
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Replaces a document of a lower version; otherwise changes nothing. */
export interface ReplaceCommand {
  readonly kind: 'documents/replace'
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** A read barrier, which changes nothing. Only logs of earlier versions hold it. */
export interface ReadBarrierCommand {
  readonly kind: 'documents/confirm'
}

/** Any command on documents. */
export type DocumentsCommand = PutCommand | ReplaceCommand | ReadBarrierCommand

/** Whether the document was accepted; if not, `conflict` is the current version. */
export type DocumentOutcome =
  | { readonly accepted: true, readonly version: number }
  | { readonly accepted: false, readonly conflict: number }

/** The table after a command, and the command's outcome. */
export interface CommandResult {
  readonly state: DocumentsTable
  readonly outcome: DocumentOutcome
}

/** The table without documents. */
export const NO_DOCUMENTS: DocumentsTable = { services: {}, requests: {} }

/**
 * Applies a compare-and-set by version. A repeated request id gets the outcome of the first request.
 * @example putDocument(NO_DOCUMENTS, command).outcome // { accepted: true, version: 1 }
 */
export function putDocument (table: DocumentsTable, command: PutCommand): CommandResult {
  const { service } = command.document
  const answered = getOwn(table.requests, service) ?? []
  const first = answered.find(request => request.requestId === command.requestId)
  if (first !== undefined) return { state: table, outcome: first.outcome }
  const current = getOwn(table.services, service)?.version ?? 0
  const accepted = current === command.version
  const outcome: DocumentOutcome = accepted ? { accepted, version: current + 1 } : { accepted, conflict: current }
  const requests = { ...table.requests, [service]: [...answered.slice(1 - MAX_ANSWERED_REQUESTS), { requestId: command.requestId, outcome }] }
  if (!accepted) return { state: { ...table, requests }, outcome }
  const record: DocumentRecord = { version: current + 1, text: command.text, document: command.document }
  return { state: { services: { ...table.services, [service]: record }, requests }, outcome }
}

/**
 * Applies any command on documents.
 * @example applyDocumentsCommand(NO_DOCUMENTS, { kind: 'documents/confirm' }).state // NO_DOCUMENTS
 */
export function applyDocumentsCommand (table: DocumentsTable, command: DocumentsCommand): CommandResult {
  switch (command.kind) {
    case 'documents/put': return putDocument(table, command)
    case 'documents/replace': return replaceDocument(table, command)
    case 'documents/confirm': return { state: table, outcome: { accepted: true, version: 0 } }
  }
}

function replaceDocument (table: DocumentsTable, { version, text, document }: ReplaceCommand): CommandResult {
  const current = getOwn(table.services, document.service)?.version ?? 0
  const outcome: DocumentOutcome = { accepted: true, version: Math.max(current, version) }
  if (version <= current) return { state: table, outcome }
  return { state: { ...table, services: { ...table.services, [document.service]: { version, text, document } } }, outcome }
}

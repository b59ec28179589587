/** Decisions of the documents slice: which version of a service's document is accepted. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { parseDocument } from './document.js'
import type { DocumentsMessage } from './messages.js'
import { sendPeer, tell } from '../messages.js'

/** State of the documents slice: the version of each service. */
export interface DocumentsState {
  readonly versions: ReadonlyMap<string, number>
}

/**
 * Creates the state without documents.
 * @example createDocumentsState().versions.size // 0
 */
export function createDocumentsState (): DocumentsState {
  return { versions: new Map() }
}

/**
 * Decides on one message of the documents slice.
 * @example decideDocuments(state, { kind: 'documents/apply', ... }, moment)
 */
export function decideDocuments (state: DocumentsState, message: DocumentsMessage, _moment: Moment): Step<DocumentsState, CoreEffect> {
  const parsed = parseDocument(message.text)
  if (parsed.isErr) return { state, effects: [answer(message, { accepted: false, findings: parsed.error })] }
  const document = parsed.value
  const current = state.versions.get(document.service) ?? 0
  if (current !== message.version) return { state, effects: [answer(message, { accepted: false, conflict: current })] }
  const version = current + 1
  return {
    state: { versions: new Map(state.versions).set(document.service, version) },
    effects: [
      tell({ kind: 'membership/publish', entry: { kind: 'document', service: document.service, version, document } }),
      recordEvent('document-accepted', `Document of ${document.service} is accepted at version ${version}.`, { request: message.requestId }),
      answer(message, { accepted: true, version })
    ]
  }
}

function answer (message: DocumentsMessage, outcome: unknown): CoreEffect {
  return sendPeer(message.from ?? '', { kind: 'operations/answered', operation: message.operation, outcome })
}

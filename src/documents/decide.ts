/** Decisions of the documents slice, taken by the leader: operators' documents into the log, accepted ones into the directory. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
import { parseDocument } from './document.js'
import type { Applied, Apply, DocumentsMessage, Leadership } from './messages.js'
import type { DocumentsTable } from './table.js'

/** An operator's call that waits for its command. */
export interface WaitingCall {
  readonly from: string
  readonly operation: string
}

/** State of the documents slice. */
export interface DocumentsState {
  readonly leads: boolean
  /** Calls by proposal. */
  readonly waiting: ReadonlyMap<string, WaitingCall>
}

type DocumentsStep = Step<DocumentsState, CoreEffect>

/**
 * Creates the state of a host that does not lead.
 * @example createDocumentsState().leads // false
 */
export function createDocumentsState (): DocumentsState {
  return { leads: false, waiting: new Map() }
}

/**
 * Decides on one message of the documents slice.
 * @example decideDocuments(state, { kind: 'documents/apply', ... }, moment)
 */
export function decideDocuments (state: DocumentsState, message: DocumentsMessage, _moment: Moment): DocumentsStep {
  switch (message.kind) {
    case 'documents/leadership': return takeLeadership(message)
    case 'documents/apply': return propose(state, message)
    case 'documents/applied': return takeApplied(state, message)
  }
}

function takeLeadership (message: Leadership): DocumentsStep {
  const effects = message.leads ? Object.keys(message.table).map(service => publish(message.table, service)) : []
  return { state: { leads: message.leads, waiting: new Map() }, effects: [...effects, tellGroups(message.table)] }
}

function tellGroups (table: DocumentsTable): CoreEffect {
  return tell({ kind: 'primacy/documents', groups: Object.values(table).flatMap(record => record.document.groups) })
}

function propose (state: DocumentsState, message: Apply): DocumentsStep {
  const call: WaitingCall = { from: message.from ?? '', operation: message.operation }
  if (!state.leads) return { state, effects: [answer(call, { error: 'not-leader' })] }
  const parsed = parseDocument(message.text)
  if (parsed.isErr) return { state, effects: [answer(call, { accepted: false, findings: parsed.error })] }
  const proposal = `${call.from}/${call.operation}`
  const { requestId, version, text } = message
  return {
    state: { ...state, waiting: new Map(state.waiting).set(proposal, call) },
    effects: [tell({ kind: 'agreement/propose', proposal, command: { kind: 'documents/put', requestId, version, text, document: parsed.value } })]
  }
}

function takeApplied (state: DocumentsState, message: Applied): DocumentsStep {
  const { command, outcome, proposal } = message
  const { service } = command.document
  const call = proposal === undefined ? undefined : state.waiting.get(proposal)
  const waiting = new Map(state.waiting)
  if (proposal !== undefined) waiting.delete(proposal)
  const published = state.leads && outcome.accepted ? [publish(message.table, service)] : []
  const recorded = outcome.accepted
    ? [recordEvent('document-accepted', `Document of ${service} is accepted at version ${outcome.version}.`, { request: command.requestId })]
    : []
  return { state: { ...state, waiting }, effects: [tellGroups(message.table), ...published, ...recorded, ...(call === undefined ? [] : [answer(call, outcome)])] }
}

function publish (table: DocumentsTable, service: string): CoreEffect {
  const { version, document } = table[service]!
  return tell({ kind: 'membership/publish', entry: { kind: 'document', service, version, document } })
}

function answer (call: WaitingCall, outcome: unknown): CoreEffect {
  return sendPeer(call.from, { kind: 'operations/answered', operation: call.operation, outcome })
}

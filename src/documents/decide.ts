/** Decisions of the documents slice, taken by the leader: operators' documents into the log, accepted ones into the directory. */
import { assertInvariant } from '../core/invariant.js'
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import { parseDocument } from './document.js'
import type { Applied, Apply, Ask, DocumentsMessage, Force, InForce, Leadership, ReadCurrent, Replace } from './messages.js'
import type { DocumentsState, WaitingCall, Watch } from './state.js'
import { readOwn, type DocumentsCommand, type DocumentsTable } from './table.js'

export { createDocumentsState } from './state.js'

/** The longest document, in characters. */
const MAX_TEXT_LENGTH = 524_288
/** How long an answer waits until a version is in force. */
const WATCH_MS = 8_000
const ASK_AGAIN_MS = 50

const NOT_LEADER = { error: 'not-leader', text: 'The host does not lead.' }

type DocumentsStep = Step<DocumentsState, CoreEffect>

/**
 * Decides on one message of the documents slice.
 * @example decideDocuments(state, { kind: 'documents/apply', ... }, moment)
 */
export function decideDocuments (state: DocumentsState, message: DocumentsMessage, moment: Moment): DocumentsStep {
  switch (message.kind) {
    case 'documents/leadership': return takeLeadership(state, message)
    case 'documents/apply': return propose(state, message)
    case 'documents/replace-asked': return proposeReplace(state, message)
    case 'documents/read-asked': return proposeRead(state, message)
    case 'documents/applied': return takeApplied(state, message, moment)
    case 'documents/ask': return answerAsk(state, message, moment)
    case 'documents/in-force': return takeForce(state, message, moment)
    case 'documents/watch-due': return askForce(state, message.watch)
  }
}

function takeLeadership (state: DocumentsState, message: Leadership): DocumentsStep {
  const { leads, table } = message
  const published = leads ? Object.keys(table.services).map(service => publish(table, service)) : []
  const unknown = [...state.waiting.values()].map(call => answer(call, createUnknown()))
  const told = [...state.watches.values()].map(({ call, outcome }) => answer(call, outcome))
  return { state: { leads, table, waiting: new Map(), watches: new Map() }, effects: [...unknown, ...told, ...published, tellGroups(table), tellCopies(table)] }
}

function tellGroups (table: DocumentsTable): CoreEffect {
  return tell({ kind: 'primacy/documents', groups: Object.values(table.services).flatMap(record => record.document.groups) })
}

function tellCopies (table: DocumentsTable): CoreEffect {
  const groups = Object.values(table.services).flatMap(record => record.document.groups)
  return tell({ kind: 'succession/documents', copies: new Map(groups.map(group => [group.name, group.copies ?? 0])) })
}

function createUnknown (): { readonly error: string, readonly text: string } {
  return { error: 'outcome-unknown', text: 'The leader changed. Send the command again with the same request id.' }
}

function propose (state: DocumentsState, message: Apply): DocumentsStep {
  const call: WaitingCall = { from: message.from ?? '', operation: message.operation, wait: message.wait === true, leaseMs: 0 }
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const findings = message.text.length > MAX_TEXT_LENGTH
    ? [{ line: 1, column: 1, path: '', text: `The document is longer than ${MAX_TEXT_LENGTH} characters.` }]
    : undefined
  const parsed = parseDocument(findings === undefined ? message.text : '{}')
  if (findings !== undefined || parsed.isErr) return { state, effects: [answer(call, { accepted: false, findings: findings ?? (parsed.isErr ? parsed.error : []) })] }
  const document = parsed.value
  const leaseMs = Math.max(document.authorityLeaseMs, readOwn(state.table.services, document.service)?.document.authorityLeaseMs ?? 0)
  const proposal = nameCall(call)
  const { requestId, version, text } = message
  return {
    state: { ...state, waiting: new Map(state.waiting).set(proposal, { ...call, leaseMs }) },
    effects: [tell({ kind: 'agreement/propose', proposal, command: { kind: 'documents/put', requestId, version, text, document } })]
  }
}

function proposeReplace (state: DocumentsState, message: Replace): DocumentsStep {
  const { version, text, document } = message
  return proposeFor(state, createCall(message), { kind: 'documents/replace', version, text, document })
}

// A read is an entry of the log of its own, so that a leader which was replaced answers none.
function proposeRead (state: DocumentsState, message: ReadCurrent): DocumentsStep {
  return proposeFor(state, { ...createCall(message), reads: message.service }, { kind: 'documents/confirm' })
}

function createCall ({ from, operation }: Replace | ReadCurrent | Ask): WaitingCall {
  return { from: from ?? '', operation, wait: false, leaseMs: 0 }
}

function proposeFor (state: DocumentsState, call: WaitingCall, command: DocumentsCommand): DocumentsStep {
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const proposal = nameCall(call)
  return { state: { ...state, waiting: new Map(state.waiting).set(proposal, call) }, effects: [tell({ kind: 'agreement/propose', proposal, command })] }
}

function takeApplied (state: DocumentsState, message: Applied, moment: Moment): DocumentsStep {
  const { command, outcome, proposal, table } = message
  const service = command.kind === 'documents/confirm' ? '' : command.document.service
  checkVersions(state.table, table, service)
  const call = proposal === undefined ? undefined : state.waiting.get(proposal)
  const waiting = new Map(state.waiting)
  if (proposal !== undefined) waiting.delete(proposal)
  const next: DocumentsState = { ...state, table, waiting }
  const changed = readOwn(state.table.services, service)?.version !== readOwn(table.services, service)?.version
  const published = state.leads && changed
    ? [publish(table, service), recordEvent('document-accepted', `Document of ${service} is accepted at version ${table.services[service]!.version}.`, { request: command.kind === 'documents/put' ? command.requestId : undefined })]
    : []
  if (call === undefined) return { state: next, effects: [...published, tellGroups(table), tellCopies(table)] }
  if (call.reads !== undefined) return { state: next, effects: [answer(call, createText(table, call.reads))] }
  if (command.kind !== 'documents/put') return { state: next, effects: [...published, tellGroups(table), tellCopies(table), answer(call, outcome)] }
  if (!outcome.accepted) return { state: next, effects: [...published, answer(call, outcome)] }
  const watched = startWatch(next, { call, service, outcome, untilMs: moment.monotonicMs + WATCH_MS })
  return { state: watched.state, effects: [...published, tellGroups(table), tellCopies(table), ...watched.effects] }
}

function checkVersions (before: DocumentsTable, after: DocumentsTable, service: string): void {
  const known = readOwn(before.services, service)?.version ?? 0
  const next = readOwn(after.services, service)?.version ?? 0
  assertInvariant(next >= known, 'an accepted document never reverts', `${service}: ${next} after ${known}`)
}

function answerAsk (state: DocumentsState, message: Ask, moment: Moment): DocumentsStep {
  const call = createCall(message)
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const { services } = state.table
  if (message.service === undefined) {
    const list = Object.entries(services).map(([service, { version, document }]) => ({ service, version, owners: document.owners }))
    return { state, effects: [answer(call, { services: list })] }
  }
  const record = readOwn(services, message.service)
  if (record === undefined || message.about === 'text') return { state, effects: [answer(call, createText(state.table, message.service))] }
  const { version } = record
  const leaseMs = record.document.authorityLeaseMs
  return startWatch(state, { call: { ...call, leaseMs }, service: message.service, outcome: { accepted: true, version }, untilMs: moment.monotonicMs })
}

function createText (table: DocumentsTable, service: string): unknown {
  const record = readOwn(table.services, service)
  if (record === undefined) return { error: 'unknown-service', text: `Service "${service}" is not known.` }
  return { service, version: record.version, text: record.text }
}

function startWatch (state: DocumentsState, item: Watch): DocumentsStep {
  const name = nameCall(item.call)
  return askForce({ ...state, watches: new Map(state.watches).set(name, item) }, name)
}

function askForce (state: DocumentsState, name: string): DocumentsStep {
  const item = state.watches.get(name)
  if (item === undefined) return { state, effects: [] }
  return { state, effects: [tell({ kind: 'membership/force-asked', watch: name, service: item.service, version: item.outcome.version, leaseMs: item.call.leaseMs })] }
}

function takeForce (state: DocumentsState, message: InForce, moment: Moment): DocumentsStep {
  const item = state.watches.get(message.watch)
  if (item === undefined) return { state, effects: [] }
  const waits = item.call.wait && message.pending.length > 0 && moment.monotonicMs < item.untilMs
  if (waits) return { state, effects: [setTimer(`documents/watch/${message.watch}`, ASK_AGAIN_MS, { kind: 'documents/watch-due', watch: message.watch })] }
  const watches = new Map(state.watches)
  watches.delete(message.watch)
  const { confirmed, lapsed, pending } = message
  const force: Force = { confirmed, lapsed, pending }
  return { state: { ...state, watches }, effects: [answer(item.call, { ...item.outcome, inForce: pending.length === 0, force })] }
}

function nameCall (call: WaitingCall): string {
  return `${call.from}/${call.operation}`
}

function publish (table: DocumentsTable, service: string): CoreEffect {
  const { version, document } = table.services[service]!
  return tell({ kind: 'membership/publish', entry: { kind: 'document', service, version, document } })
}

function answer (call: WaitingCall, outcome: unknown): CoreEffect {
  return sendPeer(call.from, { kind: 'operations/answered', operation: call.operation, outcome })
}

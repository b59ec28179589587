/** Decisions of the documents slice: the leader proposes operators' documents to the log and publishes accepted ones in the directory. */
import { assertInvariant } from '../core/invariant.js'
import { getOwn } from '../core/own.js'
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import { createTextAnswer } from './answer.js'
import { parseDocument } from './document.js'
import type { CommandApplied, ApplyDocument, DocumentQuery, DocumentsMessage, RolloutStatus, RolloutReported, LeadershipChanged, ReadCurrentDocument, ReplaceDocument } from './messages.js'
import type { DocumentsState, PendingCall, RolloutWatch } from './state.js'
import type { DocumentsCommand, DocumentsTable } from './table.js'

export { createDocumentsState } from './state.js'

/** Maximum length of a document, in characters. */
const MAX_DOCUMENT_LENGTH = 524_288
/** How long an answer waits for a version to be in force on all hosts. */
const ROLLOUT_TIMEOUT_MS = 8_000
const ROLLOUT_POLL_INTERVAL_MS = 50

const NOT_LEADER = { error: 'not-leader', text: 'The host is not the leader.' }

type DocumentsStep = Step<DocumentsState, CoreEffect>

/**
 * Decides on one message of the documents slice.
 * @example decideDocuments(state, { kind: 'documents/apply', ... }, moment)
 */
export function decideDocuments (state: DocumentsState, message: DocumentsMessage, moment: Moment): DocumentsStep {
  switch (message.kind) {
    case 'documents/leadership': return handleLeadershipChange(state, message)
    case 'documents/apply': return proposeApply(state, message)
    case 'documents/replace-asked': return proposeReplace(state, message)
    case 'documents/read-asked': return { state, effects: [askText(message)] }
    case 'documents/applied': return handleApplied(state, message, moment)
    case 'documents/ask': return answerQuery(state, message, moment)
    case 'documents/in-force': return handleRollout(state, message, moment)
    case 'documents/watch-due': return requestRollout(state, message.watch)
  }
}

function handleLeadershipChange (state: DocumentsState, message: LeadershipChanged): DocumentsStep {
  const { leads, table } = message
  const publications = leads ? Object.keys(table.services).map(service => publishDocument(table, service)) : []
  const unknownOutcomes = [...state.pendingCalls.values()].map(call => answer(call, createOutcomeUnknown()))
  const watchAnswers = [...state.rolloutWatches.values()].map(({ call, outcome }) => answer(call, outcome))
  return { state: { leads, table, pendingCalls: new Map(), rolloutWatches: new Map() }, effects: [...unknownOutcomes, ...watchAnswers, ...publications, tellGroups(table), tellReplicaCounts(table)] }
}

function tellGroups (table: DocumentsTable): CoreEffect {
  return tell({ kind: 'primacy/documents', groups: Object.values(table.services).flatMap(record => record.document.groups) })
}

function tellReplicaCounts (table: DocumentsTable): CoreEffect {
  const groups = Object.values(table.services).flatMap(record => record.document.groups)
  return tell({ kind: 'succession/documents', copies: new Map(groups.map(group => [group.name, group.copies ?? 0])) })
}

function createOutcomeUnknown (): { readonly error: string, readonly text: string } {
  return { error: 'outcome-unknown', text: 'The leader changed before the command was answered. Retry with the same request id.' }
}

function proposeApply (state: DocumentsState, message: ApplyDocument): DocumentsStep {
  const call: PendingCall = { from: message.from ?? '', operation: message.operation, wait: message.wait === true, leaseMs: 0 }
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const findings = message.text.length > MAX_DOCUMENT_LENGTH
    ? [{ line: 1, column: 1, path: '', text: `The document is longer than ${MAX_DOCUMENT_LENGTH} characters: shorten it.` }]
    : undefined
  const parsed = parseDocument(findings === undefined ? message.text : '{}')
  if (findings !== undefined || parsed.isErr) return { state, effects: [answer(call, { accepted: false, findings: findings ?? (parsed.isErr ? parsed.error : []) })] }
  const document = parsed.value
  const leaseMs = Math.max(document.authorityLeaseMs, getOwn(state.table.services, document.service)?.document.authorityLeaseMs ?? 0)
  const proposal = nameCall(call)
  const { requestId, version, text } = message
  return {
    state: { ...state, pendingCalls: new Map(state.pendingCalls).set(proposal, { ...call, leaseMs }) },
    effects: [tell({ kind: 'agreement/propose', proposal, command: { kind: 'documents/put', requestId, version, text, document } })]
  }
}

function proposeReplace (state: DocumentsState, message: ReplaceDocument): DocumentsStep {
  const { version, text, document } = message
  return proposeCommand(state, createCall(message), { kind: 'documents/replace', version, text, document })
}

// A majority of the control hosts confirms what any of them holds, so an operator can read without the leader.
function askText ({ from, operation, service }: ReadCurrentDocument): CoreEffect {
  return tell({ kind: 'agreement/text-asked', host: from ?? '', operation, service })
}

function createCall ({ from, operation }: ReplaceDocument | DocumentQuery): PendingCall {
  return { from: from ?? '', operation, wait: false, leaseMs: 0 }
}

function proposeCommand (state: DocumentsState, call: PendingCall, command: DocumentsCommand): DocumentsStep {
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const proposal = nameCall(call)
  return { state: { ...state, pendingCalls: new Map(state.pendingCalls).set(proposal, call) }, effects: [tell({ kind: 'agreement/propose', proposal, command })] }
}

function handleApplied (state: DocumentsState, message: CommandApplied, moment: Moment): DocumentsStep {
  const { command, outcome, proposal, table } = message
  const service = command.kind === 'documents/confirm' ? '' : command.document.service
  checkVersions(state.table, table, service)
  const call = proposal === undefined ? undefined : state.pendingCalls.get(proposal)
  const pendingCalls = new Map(state.pendingCalls)
  if (proposal !== undefined) pendingCalls.delete(proposal)
  const next: DocumentsState = { ...state, table, pendingCalls }
  const versionChanged = getOwn(state.table.services, service)?.version !== getOwn(table.services, service)?.version
  const publications = state.leads && versionChanged
    ? [publishDocument(table, service), recordEvent('document-accepted', `Document of ${service} is accepted at version ${table.services[service]!.version}.`, { request: command.kind === 'documents/put' ? command.requestId : undefined })]
    : []
  if (call === undefined) return { state: next, effects: [...publications, tellGroups(table), tellReplicaCounts(table)] }
  if (command.kind !== 'documents/put') return { state: next, effects: [...publications, tellGroups(table), tellReplicaCounts(table), answer(call, outcome)] }
  if (!outcome.accepted) return { state: next, effects: [...publications, answer(call, outcome)] }
  const watch = startRolloutWatch(next, { call, service, outcome, deadlineMs: moment.monotonicMs + ROLLOUT_TIMEOUT_MS })
  return { state: watch.state, effects: [...publications, tellGroups(table), tellReplicaCounts(table), ...watch.effects] }
}

function checkVersions (before: DocumentsTable, after: DocumentsTable, service: string): void {
  const currentVersion = getOwn(before.services, service)?.version ?? 0
  const nextVersion = getOwn(after.services, service)?.version ?? 0
  assertInvariant(nextVersion >= currentVersion, 'the version of an accepted document never decreases', `${service}: ${nextVersion} after ${currentVersion}`)
}

function answerQuery (state: DocumentsState, message: DocumentQuery, moment: Moment): DocumentsStep {
  const call = createCall(message)
  if (!state.leads) return { state, effects: [answer(call, NOT_LEADER)] }
  const { services } = state.table
  if (message.service === undefined) {
    const list = Object.entries(services).map(([service, { version, document }]) => ({ service, version, owners: document.owners }))
    return { state, effects: [answer(call, { services: list })] }
  }
  const record = getOwn(services, message.service)
  if (record === undefined || message.about === 'text') return { state, effects: [answer(call, createTextAnswer(state.table, message.service))] }
  const { version } = record
  const leaseMs = record.document.authorityLeaseMs
  return startRolloutWatch(state, { call: { ...call, leaseMs }, service: message.service, outcome: { accepted: true, version }, deadlineMs: moment.monotonicMs })
}

function startRolloutWatch (state: DocumentsState, item: RolloutWatch): DocumentsStep {
  const name = nameCall(item.call)
  return requestRollout({ ...state, rolloutWatches: new Map(state.rolloutWatches).set(name, item) }, name)
}

function requestRollout (state: DocumentsState, name: string): DocumentsStep {
  const rollout = state.rolloutWatches.get(name)
  if (rollout === undefined) return { state, effects: [] }
  return { state, effects: [tell({ kind: 'membership/force-asked', watch: name, service: rollout.service, version: rollout.outcome.version, leaseMs: rollout.call.leaseMs })] }
}

function handleRollout (state: DocumentsState, message: RolloutReported, moment: Moment): DocumentsStep {
  const rollout = state.rolloutWatches.get(message.watch)
  if (rollout === undefined) return { state, effects: [] }
  const keepsWaiting = rollout.call.wait && message.pending.length > 0 && moment.monotonicMs < rollout.deadlineMs
  if (keepsWaiting) return { state, effects: [setTimer(`documents/watch/${message.watch}`, ROLLOUT_POLL_INTERVAL_MS, { kind: 'documents/watch-due', watch: message.watch })] }
  const rolloutWatches = new Map(state.rolloutWatches)
  rolloutWatches.delete(message.watch)
  const { confirmed, lapsed, pending } = message
  const force: RolloutStatus = { confirmed, lapsed, pending }
  return { state: { ...state, rolloutWatches }, effects: [answer(rollout.call, { ...rollout.outcome, inForce: pending.length === 0, force })] }
}

function nameCall (call: PendingCall): string {
  return `${call.from}/${call.operation}`
}

function publishDocument (table: DocumentsTable, service: string): CoreEffect {
  const { version, document } = table.services[service]!
  return tell({ kind: 'membership/publish', entry: { kind: 'document', service, version, document } })
}

function answer (call: PendingCall, outcome: unknown): CoreEffect {
  return sendPeer(call.from, { kind: 'operations/answered', operation: call.operation, outcome })
}

/** Decisions of the agreement slice: one replica of the catalog's log, and the notifications to other slices. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { getOwn } from '../core/own.js'
import { createTextAnswer } from '../documents/answer.js'
import type { DocumentOutcome } from '../documents/table.js'
import { NO_EVACUATIONS, type OrderOutcome } from '../evacuation/table.js'
import { ORDERS_NAME } from '../evacuation/view.js'
import { sendPeer, tell } from '../messages.js'
import { CatalogMachine, type Catalog, type CatalogCommand, type CatalogOutcome } from './catalog.js'
import { decideReplica } from './decidereplica.js'
import { calculateLeaseEnd } from './election.js'
import { findLastPoint, findTerm, type Members } from './log.js'
import type { AgreementMessage, ControlStatus, HeldVersionsRequested, HostStarted, VersionsRequested } from './messages.js'
import { addQuestion, continueReads, NO_READS, receiveVersions, repeatQuestions, type Question, type QuorumReads, type ReadStep } from './quorumread.js'
import type { DocumentVersion } from '../membership/messages.js'
import { createReplicaState, TICK_INTERVAL_MS, type AppendRecords, type CommandApplied, type ReplicaEffect, type LeaderChanged, type ReplicaMessage, type ReplicaState, type StoreSnapshot } from './replica.js'

/** State of the agreement slice: the replica, and the reads that do not need the leader. */
export interface AgreementState extends ReplicaState<Catalog, CatalogCommand> {
  readonly reads: QuorumReads
}

/** Effects of the agreement slice. */
export type AgreementEffect = CoreEffect | AppendRecords<CatalogCommand> | StoreSnapshot<Catalog, CatalogCommand>

/** How long a leader counts as heard: longer than it leads without a majority under load. */
const LEADER_CONTACT_MS = 1_500

const STATE_MACHINE = CatalogMachine.create()

/**
 * Creates the state of a replica that has not started.
 * @example createAgreementState().committed // 0
 */
export function createAgreementState (): AgreementState {
  return { ...createReplicaState<Catalog, CatalogCommand>(STATE_MACHINE.initial), reads: NO_READS }
}

/**
 * Decides on one message of the agreement slice.
 * @example decideAgreement(state, { kind: 'agreement/tick' }, moment)
 */
export function decideAgreement (state: AgreementState, message: AgreementMessage, moment: Moment): Step<AgreementState, AgreementEffect> {
  switch (message.kind) {
    case 'agreement/status-asked': return { state, effects: [tell({ kind: 'operations/answered', operation: message.operation, outcome: createStatus(state, moment) })] }
    case 'agreement/versions-asked': return tellVersions(state, message)
    case 'agreement/versions-told': return applyRead(state, receiveVersions(state.reads, message, listControl(state), moment), moment)
    case 'agreement/held-asked': return acceptQuestion(state, message, moment)
    case 'agreement/text-asked': return askMembers(state, { kind: 'text', from: message.host, operation: message.operation, service: message.service, askedAtMs: moment.monotonicMs }, moment)
    case 'agreement/read-due': return applyRead(state, continueReads(state.reads, listControl(state), moment), moment)
    default: return runReplica(state, message, moment)
  }
}

function runReplica (state: AgreementState, message: ReplicaMessage<Catalog, CatalogCommand> | HostStarted, moment: Moment): Step<AgreementState, AgreementEffect> {
  const step = decideReplica(STATE_MACHINE, state, message, moment)
  const next: AgreementState = { ...step.state, reads: state.reads }
  const effects = step.effects.flatMap(effect => tellSlices(next, effect))
  return { state: next, effects: [...effects, ...recordChanges(state, next, message, moment)] }
}

// A leader has a majority. So whoever asks a host that has heard it lately is in contact, however long the read takes.
function acceptQuestion (state: AgreementState, { from, round }: HeldVersionsRequested, moment: Moment): Step<AgreementState, AgreementEffect> {
  if (from === undefined) return { state, effects: [] }
  const asked = askMembers(state, { kind: 'versions', from, round, askedAtMs: moment.monotonicMs }, moment)
  const contact = hasLeader(state, moment) ? [sendPeer(from, { kind: 'membership/versions-held', round })] : []
  return { state: asked.state, effects: [...contact, ...asked.effects] }
}

// A host without a log is no control host. Whoever asked it asks another one.
function askMembers (state: AgreementState, question: Question, moment: Moment): Step<AgreementState, AgreementEffect> {
  if (state.incarnation === '') return { state, effects: [] }
  return applyRead(state, addQuestion(state.reads, question, listControl(state), moment), moment)
}

function listControl ({ control, log }: AgreementState): readonly string[] {
  const { members = {}, old = {} } = log.configuration ?? {}
  return [...new Set([...control, ...Object.keys(members), ...Object.keys(old)])]
}

function hasLeader ({ role, leader, leaderContactAtMs }: AgreementState, { monotonicMs }: Moment): boolean {
  return role === 'leader' || (leader !== undefined && monotonicMs - leaderContactAtMs < LEADER_CONTACT_MS)
}

function applyRead (state: AgreementState, { reads, outcome, effects }: ReadStep, moment: Moment): Step<AgreementState, AgreementEffect> {
  if (outcome === undefined) return { state: { ...state, reads }, effects }
  const { versions, questions } = outcome
  const unanswered = questions.filter(question => question.kind === 'text' && !hasVersion(state, question.service, versions))
  const answers = questions.filter(question => !unanswered.includes(question)).map(question => answerQuestion(state, question, versions))
  const repeated = repeatQuestions(reads, unanswered, listControl(state), moment)
  return { state: { ...state, reads: repeated.reads }, effects: [...answers, ...effects, ...repeated.effects] }
}

// This host may lag behind the majority, or hold a version that is not committed yet.
function hasVersion ({ applied }: AgreementState, service: string, versions: readonly DocumentVersion[] | undefined): boolean {
  if (versions === undefined) return false
  const newest = versions.find(held => held.service === service)?.version ?? 0
  return (getOwn(applied.documents.services, service)?.version ?? 0) >= newest
}

function answerQuestion ({ applied }: AgreementState, question: Question, versions: readonly DocumentVersion[] | undefined): CoreEffect {
  const { from } = question
  return question.kind === 'versions'
    ? sendPeer(from, { kind: 'membership/versions-held', round: question.round, versions })
    : sendPeer(from, { kind: 'operations/answered', operation: question.operation, outcome: createTextAnswer(applied.documents, question.service) })
}

function createStatus (state: AgreementState, moment: Moment): ControlStatus {
  const { self, incarnation, hardState, role, leader, committed, log, leaderState } = state
  const replicas = [...leaderState?.progress.values() ?? []].map(({ host, incarnation, matched, contactAtMs }) =>
    ({ host, incarnation, matched, silentMs: Number.isFinite(contactAtMs) ? moment.monotonicMs - contactAtMs : undefined }))
  return {
    host: self,
    incarnation,
    group: hardState.group,
    role,
    leader,
    term: hardState.term,
    committed,
    last: findLastPoint(log).index,
    members: log.configuration?.members ?? {},
    oldMembers: log.configuration?.old,
    replicas
  }
}

function tellVersions (state: AgreementState, { from, round }: VersionsRequested): Step<AgreementState, AgreementEffect> {
  const { incarnation, log } = state
  if (from === undefined || incarnation === '') return { state, effects: [] }
  const { configuration, configurationIndex, snapshot } = log
  const configurationTerm = findTerm(log, configurationIndex) ?? snapshot.term
  return { state, effects: [sendPeer(from, { kind: 'agreement/versions-told', round, incarnation, configuration, configurationTerm, configurationIndex, versions: listVersions(state) })] }
}

// An entry that is not committed here may be committed, and acknowledged, elsewhere.
function listVersions ({ applied, committed, log }: AgreementState): readonly DocumentVersion[] {
  const versions = new Map(Object.entries(applied.documents.services).map(([service, { version }]) => [service, version]))
  let orders = applied.evacuations?.version ?? 0
  for (const { index, command } of log.entries) {
    if (index > committed && command.kind === 'evacuation/order') orders += 1
    if (index <= committed || (command.kind !== 'documents/replace' && command.kind !== 'documents/put')) continue
    const { service } = command.document
    const version = command.kind === 'documents/put' ? command.version + 1 : command.version
    versions.set(service, Math.max(version, versions.get(service) ?? 0))
  }
  if (orders > 0) versions.set(ORDERS_NAME, orders)
  return [...versions].map(([service, version]) => ({ service, version }))
}

function tellSlices (state: AgreementState, effect: ReplicaEffect<Catalog, CatalogCommand, CatalogOutcome>): readonly AgreementEffect[] {
  switch (effect.kind) {
    case 'replica/applied': return [tellApplied(effect)]
    case 'replica/leader': return tellLeader(state, effect)
    case 'replica/lease': return [tell({ kind: 'membership/lease-extended', untilMs: effect.untilMs })]
    default: return [effect]
  }
}

function tellApplied ({ proposal, command, outcome, state }: CommandApplied<Catalog, CatalogCommand, CatalogOutcome>): AgreementEffect {
  switch (command.kind) {
    case 'documents/put':
    case 'documents/replace':
    case 'documents/confirm': return tell({ kind: 'documents/applied', proposal, command, outcome: outcome as DocumentOutcome, table: state.documents })
    case 'succession/appoint':
    case 'succession/settle': return tell({ kind: 'succession/applied', command, table: state.successions })
    case 'succession/replicas': return tell({ kind: 'succession/replicas-applied', group: command.group, replicaSets: state.replicaSets ?? {} })
    case 'shares/register': return tell({ kind: 'shares/registered', holders: state.holders })
    case 'membership/remember': return tell({ kind: 'membership/remembered', databases: state.databases ?? {} })
    case 'evacuation/order': return tell({ kind: 'evacuation/applied', proposal, command, outcome: outcome as OrderOutcome, table: state.evacuations ?? NO_EVACUATIONS })
    default: return tell({ kind: 'primacy/applied', proposal, command, table: state.groups })
  }
}

function tellLeader ({ self }: AgreementState, { leader, term: epoch, state }: LeaderChanged<Catalog>): readonly AgreementEffect[] {
  const leads = leader === self
  return [
    tell({ kind: 'shares/registered', holders: state.holders }),
    tell({ kind: 'membership/remembered', databases: state.databases ?? {} }),
    tell({ kind: 'membership/leader-changed', leader, epoch }),
    tell({ kind: 'operations/leader-known', leader }),
    tell({ kind: 'documents/leadership', leads, epoch, table: state.documents }),
    tell({ kind: 'primacy/leadership', leads, epoch, table: state.groups }),
    tell({ kind: 'succession/leadership', leads, epoch, table: state.successions, replicaSets: state.replicaSets ?? {} }),
    tell({ kind: 'evacuation/leadership', leads, table: state.evacuations ?? NO_EVACUATIONS })
  ]
}

/**
 * Describes a completed change of the control group.
 * @example describeMemberChange({ 'host-1': 'a' }, { 'host-1': 'b' }) // 'Control host host-1 counts again under a new incarnation: it had lost its disk.'
 */
export function describeMemberChange (old: Members, members: Members): string {
  const renewed = Object.keys(members).filter(host => old[host] !== undefined && old[host] !== members[host])
  const added = Object.keys(members).filter(host => old[host] === undefined)
  const removed = Object.keys(old).filter(host => members[host] === undefined)
  return [
    ...renewed.map(host => `Control host ${host} counts again under a new incarnation: it had lost its disk.`),
    ...(added.length > 0 && removed.length > 0 ? [`Control host ${removed.join(', ')} is replaced by ${added.join(', ')}.`] : []),
    ...(removed.length === 0 ? added.map(host => `Control host ${host} is added.`) : []),
    ...(added.length === 0 ? removed.map(host => `Control host ${host} is removed.`) : [])
  ].join(' ')
}

// A tick that comes late shows that the host was short of processor time or suspended, rather than cut off.
function describeEnd (before: AgreementState, after: AgreementState, moment: Moment): string {
  const lateMs = Math.max(0, Math.round(moment.monotonicMs - (before.tickedAtMs ?? moment.monotonicMs) - TICK_INTERVAL_MS))
  const cause = after.hardState.term > before.hardState.term
    ? `term ${after.hardState.term} has begun`
    : `its lease ended ${Math.round(moment.monotonicMs - calculateLeaseEnd(before))} ms ago without answers of a majority`
  return `${cause}; its loop was ${lateMs} ms late`
}

function recordChanges (before: AgreementState, after: AgreementState, message: AgreementMessage, moment: Moment): readonly CoreEffect[] {
  const events: CoreEffect[] = []
  const { self } = after
  const damage = message.kind === 'agreement/started' ? (message as HostStarted).damage : undefined
  if (damage !== undefined) events.push(recordEvent('journal-damaged', `Host ${self} restarted as a new, empty incarnation: ${damage}.`))
  if (message.kind !== 'agreement/started' && before.hardState.group === undefined && after.hardState.group === after.incarnation && after.log.configurationIndex === 1) events.push(recordEvent('group-formed', `Host ${self} formed the control group.`))
  if (after.leaderState?.established === true && before.leaderState?.established !== true) events.push(recordEvent('leader-elected', `Host ${self} leads the control hosts in term ${after.hardState.term}.`))
  if (before.leaderState !== undefined && after.leaderState === undefined) events.push(recordEvent('leader-ended', `Host ${self} no longer leads the control hosts: ${describeEnd(before, after, moment)}.`))
  const { old } = before.log.configuration ?? {}
  const { configuration } = after.log
  if (after.leaderState !== undefined && old !== undefined && configuration?.old === undefined) events.push(recordEvent('control-replaced', describeMemberChange(old, configuration?.members ?? {})))
  return events
}

/** The leader's side of replication: proposals, heartbeats, commitment and membership changes. */
import { assertInvariant } from '../core/invariant.js'
import { truncateToBytes } from '../core/bytes.js'
import { sendPeer, type CoreEffect, type Moment } from '../core/message.js'
import { learnTerm, calculateLeaseEnd, clearLeader } from './election.js'
import { appendEntries, createEntry, findEntry, findTerm, listEntriesFrom, findLastPoint, calculateQuorumValue, type ControlCommand, type LogCommand, type Members } from './log.js'
import { applyCommitted } from './commit.js'
import type { StateMachine } from './statemachine.js'
import { continueWith, isLoaded, LEADER_LEASE_MS, LEASE_FRACTION, LOADED_HOLD_MS, MIN_ELECTION_TIMEOUT_MS, keepState, HEARTBEAT_INTERVAL_MS, listOthers, nameReplica, storeRecords, type AppendRequest, type AppendResponse, type SnapshotChunk, type SnapshotChunkResponse, type LeaderState, type OutgoingSnapshot, type Progress, type ReplicaState, type ReplicaStep, type MembershipRequest } from './replica.js'

/** Unacknowledged entries allowed in flight to one follower. */
const MAX_IN_FLIGHT_ENTRIES = 256
/** How long a follower's report that it is short of processor time counts. */
const FOLLOWER_LOADED_FOR_MS = 5_000
/** How long a silent learner (a replica outside of the quorum) is tracked. */
const LEARNER_TIMEOUT_MS = 5_000
/** How long a member may be silent before a spare host replaces it: longer than a restart, shorter than a repair may take. */
const MEMBER_TIMEOUT_MS = 1_500

/** Begins a term as its leader, with an entry of its own: only entries of the current term commit by counting replicas. */
export function startLeadership<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const last = findLastPoint(state.log)
  const progress = new Map<string, Progress>()
  for (const [host, incarnation] of [[state.self, state.incarnation] as const, ...listOthers(state)]) {
    const vote = state.votes.get(host)
    const contactAtMs = vote?.incarnation === incarnation ? vote.sentAtMs : -Infinity
    progress.set(nameReplica(host, incarnation), { host, incarnation, matched: 0, nextIndex: last.index + 1, contactAtMs, leaseUntilMs: contactAtMs + LEADER_LEASE_MS })
  }
  const leaderState: LeaderState = { progress, firstIndex: last.index + 1, established: false, proposals: new Map(), electedAtMs: moment.monotonicMs, heartbeatAtMs: moment.monotonicMs, heartbeatCommitted: state.committed }
  const leader: ReplicaState<S, C> = { ...state, role: 'leader', leader: state.self, leaderState, votes: new Map() }
  return appendCommand(leader, { kind: 'agreement/lead', host: state.self }, undefined, moment)
}

/** Appends a command to the log; a host that doesn't lead drops it. */
export function appendCommand<S, C extends LogCommand, O> (state: ReplicaState<S, C>, command: C | ControlCommand, proposal: string | undefined, moment: Moment): ReplicaStep<S, C, O> {
  const { leaderState } = state
  if (leaderState === undefined) return keepState(state)
  const index = findLastPoint(state.log).index + 1
  const entry = createEntry<C>(index, state.hardState.term, command)
  const proposals = proposal === undefined ? leaderState.proposals : new Map(leaderState.proposals).set(index, proposal)
  const next: ReplicaState<S, C> = { ...state, log: appendEntries(state.log, [entry], state.committed), leaderState: { ...leaderState, proposals } }
  const ownResponse: AppendResponse = { kind: 'agreement/appended', group: state.hardState.group!, term: state.hardState.term, sentAtMs: moment.monotonicMs, incarnation: state.incarnation, accepted: true, index }
  return continueWith(storeRecords<S, C, O>(next, [{ kind: 'entry', entry }], [sendPeer(state.self, ownResponse)]), stored => sendToAll(stored, moment, false))
}

/** Runs the periodic work of a leader: steps down when its lease ends, sends heartbeats and changes members. */
export function runLeaderTick<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const { leaderState } = state
  if (leaderState === undefined) return keepState(state)
  if (calculateLeaseEnd(state) < moment.monotonicMs) return clearLeader<S, C, O>({ ...state, electionDueAtMs: moment.monotonicMs })
  const heartbeatDue = moment.monotonicMs - leaderState.heartbeatAtMs >= HEARTBEAT_INTERVAL_MS
  const heartbeat: ReplicaStep<S, C, O> = heartbeatDue
    ? sendToAll(dropSilentLearners({ ...state, leaderState: { ...leaderState, heartbeatAtMs: moment.monotonicMs, heartbeatCommitted: state.committed } }, moment), moment, true)
    : keepState(state)
  return heartbeatDue ? continueWith(heartbeat, next => changeMembers(next, leaderState.heartbeatCommitted, moment)) : heartbeat
}

/** Handles a follower's acknowledgement: commits what a majority has synced and sends further entries. */
export function handleAppendResponse<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: AppendResponse, moment: Moment): ReplicaStep<S, C, O> {
  const progress = findProgress(state, message)
  if (progress === undefined) return message.group === state.hardState.group ? learnTerm(state, message.term) : keepState(state)
  assertInvariant(!message.accepted || message.index <= findLastPoint(state.log).index, 'a follower acknowledges only entries of the leader', progress.host)
  const matched = message.accepted ? Math.max(progress.matched, message.index) : progress.matched
  const nextIndex = message.accepted ? Math.max(progress.nextIndex, matched + 1) : Math.max(matched, Math.min(progress.nextIndex - 1, message.index)) + 1
  const contacted = recordContact(progress, message)
  const heard: ReplicaState<S, C> = message.loaded === true ? { ...state, loadedUntilMs: Math.max(state.loadedUntilMs, moment.monotonicMs + FOLLOWER_LOADED_FOR_MS) } : state
  const updated = updateProgress(heard, { ...contacted, matched, nextIndex, outgoingSnapshot: message.accepted ? undefined : progress.outgoingSnapshot })
  const replica = nameReplica(progress.host, progress.incarnation)
  return continueWith(continueWith(commitMatched(machine, updated), committed => reportLease(committed)), extended => sendPending(extended, replica, moment))
}

/** Handles the acknowledgement of a snapshot chunk, and sends the next chunk. */
export function handleSnapshotChunkResponse<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: SnapshotChunkResponse, moment: Moment): ReplicaStep<S, C, O> {
  const progress = findProgress(state, message)
  if (progress === undefined) return message.group === state.hardState.group ? learnTerm(state, message.term) : keepState(state)
  const matches = progress.outgoingSnapshot?.index === message.index
  const outgoingSnapshot: OutgoingSnapshot | undefined = matches ? { ...progress.outgoingSnapshot!, offset: message.offset } : progress.outgoingSnapshot
  const updated = updateProgress(state, { ...recordContact(progress, message), outgoingSnapshot })
  const advanced = matches && message.offset > progress.outgoingSnapshot!.offset
  const replica = nameReplica(progress.host, progress.incarnation)
  return continueWith(reportLease<S, C, O>(updated), extended => (advanced ? sendNext(extended, replica, moment) : keepState(extended)))
}

/** Starts replication to a learner, which belongs to no quorum yet. */
export function addLearner<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: MembershipRequest, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.host ?? message.from ?? ''
  const otherGroup = message.group !== undefined && message.group !== state.hardState.group
  const eligible = state.voters > 0 || state.control.includes(from)
  if (state.leaderState === undefined || otherGroup || !eligible) return keepState(state)
  const replica = nameReplica(from, message.incarnation)
  if (state.leaderState.progress.has(replica)) return keepState(state)
  const learner: Progress = { host: from, incarnation: message.incarnation, matched: 0, nextIndex: findLastPoint(state.log).index + 1, contactAtMs: moment.monotonicMs, leaseUntilMs: -Infinity }
  return sendNext(updateProgress(state, learner), replica, moment)
}

function recordContact (progress: Progress, { sentAtMs, holdMs = MIN_ELECTION_TIMEOUT_MS }: AppendResponse | SnapshotChunkResponse): Progress {
  return { ...progress, contactAtMs: Math.max(progress.contactAtMs, sentAtMs), leaseUntilMs: Math.max(progress.leaseUntilMs, sentAtMs + holdMs * LEASE_FRACTION) }
}

// While hosts are short of processor time, heartbeats and their answers come late; each lost lease would add an election to that load.
function chooseHold<S, C> (state: ReplicaState<S, C>): { readonly holdMs?: number } {
  return isLoaded(state) ? { holdMs: LOADED_HOLD_MS } : {}
}

function findProgress<S, C> (state: ReplicaState<S, C>, message: AppendResponse | SnapshotChunkResponse): Progress | undefined {
  if (message.group !== state.hardState.group || message.term !== state.hardState.term) return undefined
  return state.leaderState?.progress.get(nameReplica(message.from ?? '', message.incarnation))
}

function updateProgress<S, C> (state: ReplicaState<S, C>, changed: Progress): ReplicaState<S, C> {
  const { leaderState } = state
  if (leaderState === undefined) return state
  const progress = new Map(leaderState.progress).set(nameReplica(changed.host, changed.incarnation), changed)
  return { ...state, leaderState: { ...leaderState, progress } }
}

function dropSilentLearners<S, C> (state: ReplicaState<S, C>, moment: Moment): ReplicaState<S, C> {
  const { leaderState } = state
  if (leaderState === undefined) return state
  const members = new Set([nameReplica(state.self, state.incarnation), ...listOthers(state).map(([host, incarnation]) => nameReplica(host, incarnation))])
  const kept = [...leaderState.progress].filter(([name, { contactAtMs }]) => members.has(name) || moment.monotonicMs - contactAtMs < LEARNER_TIMEOUT_MS)
  return kept.length === leaderState.progress.size ? state : { ...state, leaderState: { ...leaderState, progress: new Map(kept) } }
}

function commitMatched<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const { leaderState } = state
  if (leaderState === undefined || state.log.configuration === undefined) return keepState(state)
  const reached = calculateQuorumValue(state.log.configuration, (host, incarnation) => leaderState.progress.get(nameReplica(host, incarnation))?.matched ?? 0)
  if (reached <= state.committed || findTerm(state.log, reached) !== state.hardState.term) return keepState(state)
  return continueWith(applyCommitted(machine, state, reached), applied => markEstablished(applied))
}

function markEstablished<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const { leaderState } = state
  if (leaderState === undefined || leaderState.established || state.committed < leaderState.firstIndex) return keepState(state)
  return {
    state: { ...state, leaderState: { ...leaderState, established: true } },
    effects: [{ kind: 'replica/leader', leader: state.self, term: state.hardState.term, state: state.applied }]
  }
}

function reportLease<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  if (state.leaderState?.established !== true) return keepState(state)
  return { state, effects: [{ kind: 'replica/lease', untilMs: calculateLeaseEnd(state) }] }
}

// Joint consensus: one change at a time, and majorities of both the old and the new members must agree, so that
// any two majorities share an incarnation.
function changeMembers<S, C extends LogCommand, O> (state: ReplicaState<S, C>, caughtUpIndex: number, moment: Moment): ReplicaStep<S, C, O> {
  const { leaderState } = state
  const { configuration, configurationIndex } = state.log
  if (leaderState?.established !== true || configuration === undefined || configurationIndex > state.committed) return keepState(state)
  if (configuration.old !== undefined) return appendCommand(state, { kind: 'agreement/settle' }, undefined, moment)
  const ready = [...leaderState.progress.values()].filter(({ host, incarnation, matched, contactAtMs }) =>
    configuration.members[host] !== incarnation && matched >= caughtUpIndex && moment.monotonicMs - contactAtMs < MIN_ELECTION_TIMEOUT_MS)
  const returning = ready.find(({ host }) => configuration.members[host] !== undefined)
  const joining = returning ?? ready[0]
  if (joining === undefined) return keepState(state)
  const { host, incarnation } = joining
  if (returning !== undefined || Object.keys(configuration.members).length < state.voters) return appendCommand(state, { kind: 'agreement/replace', host, incarnation }, undefined, moment)
  const instead = findLostMember(state, configuration.members, moment)
  return instead === undefined ? keepState(state) : appendCommand(state, { kind: 'agreement/replace', host, incarnation, instead }, undefined, moment)
}

// Returns a member that has been silent for too long; a reachable spare host replaces it.
function findLostMember<S, C> ({ leaderState, self }: ReplicaState<S, C>, members: Members, moment: Moment): string | undefined {
  const lost = Object.entries(members).filter(([host, incarnation]) => {
    const contactAtMs = leaderState?.progress.get(nameReplica(host, incarnation))?.contactAtMs ?? -Infinity
    return host !== self && moment.monotonicMs - Math.max(contactAtMs, leaderState?.electedAtMs ?? 0) > MEMBER_TIMEOUT_MS
  })
  return lost[0]?.[0]
}

function sendToAll<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment, heartbeat: boolean): ReplicaStep<S, C, O> {
  const self = nameReplica(state.self, state.incarnation)
  const replicas = [...(state.leaderState?.progress.keys() ?? [])].filter(replica => replica !== self)
  return replicas.reduce<ReplicaStep<S, C, O>>((step, replica) => continueWith(step, next => (heartbeat ? sendNext(next, replica, moment) : sendPending(next, replica, moment))), keepState(state))
}

function sendPending<S, C extends LogCommand, O> (state: ReplicaState<S, C>, replica: string, moment: Moment): ReplicaStep<S, C, O> {
  const progress = state.leaderState?.progress.get(replica)
  if (progress === undefined || progress.incarnation === state.incarnation || progress.outgoingSnapshot !== undefined) return keepState(state)
  const windowFull = progress.nextIndex - progress.matched > MAX_IN_FLIGHT_ENTRIES && progress.matched > 0
  return windowFull || progress.nextIndex > findLastPoint(state.log).index ? keepState(state) : sendNext(state, replica, moment)
}

function sendNext<S, C extends LogCommand, O> (state: ReplicaState<S, C>, replica: string, moment: Moment): ReplicaStep<S, C, O> {
  const progress = state.leaderState!.progress.get(replica)!
  const previous = progress.nextIndex - 1
  const term = findTerm(state.log, previous)
  const compacted = term === undefined || (progress.nextIndex <= findLastPoint(state.log).index && findEntry(state.log, progress.nextIndex) === undefined)
  if (progress.outgoingSnapshot !== undefined || compacted) return sendSnapshot(state, progress, moment)
  const entries = progress.nextIndex - progress.matched > MAX_IN_FLIGHT_ENTRIES && progress.matched > 0 ? [] : listEntriesFrom(state.log, progress.nextIndex, state.limits.messageBytes)
  const append: AppendRequest<C> = {
    kind: 'agreement/append',
    group: state.hardState.group!,
    term: state.hardState.term,
    sentAtMs: moment.monotonicMs,
    for: progress.incarnation,
    previous: { index: previous, term },
    entries,
    committed: state.committed,
    ...chooseHold(state)
  }
  return { state: updateProgress(state, { ...progress, nextIndex: progress.nextIndex + entries.length }), effects: [sendPeer(progress.host, append)] }
}

function sendSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>, progress: Progress, moment: Moment): ReplicaStep<S, C, O> {
  const outgoingSnapshot = progress.outgoingSnapshot ?? createOutgoingSnapshot(state)
  const { messageBytes } = state.limits
  const text = truncateToBytes(outgoingSnapshot.text.slice(outgoingSnapshot.offset, outgoingSnapshot.offset + messageBytes), messageBytes)
  const chunk: SnapshotChunk = {
    kind: 'agreement/install',
    group: state.hardState.group!,
    term: state.hardState.term,
    sentAtMs: moment.monotonicMs,
    for: progress.incarnation,
    index: outgoingSnapshot.index,
    offset: outgoingSnapshot.offset,
    text,
    done: outgoingSnapshot.offset + text.length >= outgoingSnapshot.text.length,
    ...chooseHold(state)
  }
  const effects: readonly CoreEffect[] = [sendPeer(progress.host, chunk)]
  return { state: updateProgress(state, { ...progress, outgoingSnapshot }), effects }
}

function createOutgoingSnapshot<S, C> (state: ReplicaState<S, C>): OutgoingSnapshot {
  const { snapshot } = state.log
  return { index: snapshot.index, term: snapshot.term, text: JSON.stringify(snapshot), offset: 0 }
}

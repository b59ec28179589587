/** The follower's side of replication: entries and snapshots are synced before they are acknowledged. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type Moment } from '../core/message.js'
import { applyCommitted, writeSnapshot } from './commit.js'
import { createHardStateRecord, drawElectionTime, beginTerm } from './election.js'
import { appendEntries, createLog, findTerm, findLastPoint, type Entry, type LogCommand, type Snapshot } from './log.js'
import type { StateMachine } from './statemachine.js'
import { continueWith, keepState, isLoaded, matchesSelf, MIN_ELECTION_TIMEOUT_MS, sendAfterSync, storeRecords, type AppendRequest, type AppendResponse, type SnapshotChunk, type SnapshotChunkResponse, type JournalRecord, type ReplicaState, type ReplicaStep } from './replica.js'

/** Handles the leader's heartbeat and its entries. */
export function handleAppend<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: AppendRequest<C>, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message)) return keepState(state)
  if (message.term < state.hardState.term) return { state, effects: [sendPeer(message.from ?? '', createAppendResponse(state, message, false, 0))] }
  return continueWith(followLeader<S, C, O>(state, message, moment), following => appendFromLeader(machine, following, message, following.hardState !== state.hardState))
}

/** Handles one chunk of a snapshot; the last chunk replaces the log. */
export function handleSnapshotChunk<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: SnapshotChunk, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message) || message.term < state.hardState.term) return keepState(state)
  return continueWith(followLeader<S, C, O>(state, message, moment), following => {
    const stored: ReplicaStep<S, C, O> = following.hardState === state.hardState ? keepState(following) : storeRecords(following, [createHardStateRecord(following)], [])
    return continueWith(stored, next => addSnapshotChunk(next, message))
  })
}

function followLeader<S, C, O> (state: ReplicaState<S, C>, message: AppendRequest<C> | SnapshotChunk, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  return continueWith(beginTerm<S, C, O>(state, message.group, message.term), entered => {
    assertInvariant(entered.leader === undefined || entered.leader === from, 'a term has at most one leader', `${entered.leader} and ${from} in ${message.term}`)
    const { holdMs = MIN_ELECTION_TIMEOUT_MS } = message
    const promisedUntilMs = Math.max(entered.promisedUntilMs, moment.monotonicMs + holdMs)
    const next: ReplicaState<S, C> = { ...recordPromise(entered, holdMs), role: 'follower', votes: new Map(), leader: from, leaderContactAtMs: moment.monotonicMs, promisedUntilMs, coldStart: false, electionDueAtMs: drawElectionTime(moment, holdMs) }
    if (entered.leader === from) return keepState(next)
    return { state: next, effects: [{ kind: 'replica/leader', leader: from, term: message.term, state: next.applied }] }
  })
}

// The longest promise is synced before it is given, since a restarted host has to keep it.
function recordPromise<S, C> (state: ReplicaState<S, C>, holdMs: number): ReplicaState<S, C> {
  if (holdMs <= (state.hardState.promisedMs ?? MIN_ELECTION_TIMEOUT_MS)) return state
  return { ...state, hardState: { ...state.hardState, promisedMs: holdMs } }
}

function appendFromLeader<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: AppendRequest<C>, hardStateChanged: boolean): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  const hardStateRecords: ReadonlyArray<JournalRecord<C>> = hardStateChanged ? [createHardStateRecord(state)] : []
  if (!matchesPrevious(state, message)) {
    const rejection = sendPeer(from, createAppendResponse(state, message, false, Math.min(findLastPoint(state.log).index, message.previous.index - 1)))
    return hardStateChanged ? storeRecords(state, hardStateRecords, [rejection]) : sendAfterSync(state, rejection)
  }
  const newEntries = listNewEntries(state, message.entries)
  const matched = message.previous.index + message.entries.length
  const log = appendEntries(state.log, newEntries, state.committed)
  const answer = sendPeer(from, createAppendResponse(state, message, true, matched))
  const records = [...hardStateRecords, ...newEntries.map(entry => ({ kind: 'entry', entry }) as const)]
  const next: ReplicaState<S, C> = { ...state, log }
  const stored: ReplicaStep<S, C, O> = records.length === 0 ? sendAfterSync(next, answer) : storeRecords(next, records, [answer])
  return continueWith(stored, after => applyCommitted(machine, after, Math.min(message.committed, matched)))
}

function matchesPrevious<S, C> (state: ReplicaState<S, C>, message: AppendRequest<C>): boolean {
  const { previous } = message
  if (previous.index <= state.committed) return true
  return findTerm(state.log, previous.index) === previous.term
}

function listNewEntries<S, C> (state: ReplicaState<S, C>, entries: ReadonlyArray<Entry<C>>): ReadonlyArray<Entry<C>> {
  const first = entries.findIndex(entry => entry.index > state.committed && findTerm(state.log, entry.index) !== entry.term)
  return first < 0 ? [] : entries.slice(first)
}

function addSnapshotChunk<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: SnapshotChunk): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (message.index <= state.committed) return sendAfterSync(state, sendPeer(from, createAppendResponse(state, message, true, message.index)))
  const received = state.incomingSnapshot?.from === `${from}/${message.term}` && state.incomingSnapshot.index === message.index ? state.incomingSnapshot.text : ''
  const text = message.offset <= received.length ? received.slice(0, message.offset) + message.text : received
  const complete = message.done && message.offset <= received.length
  if (complete) return installSnapshot({ ...state, incomingSnapshot: undefined }, JSON.parse(text) as Snapshot<S>, message)
  const answer: SnapshotChunkResponse = { kind: 'agreement/installed', group: message.group, term: message.term, sentAtMs: message.sentAtMs, incarnation: state.incarnation, index: message.index, offset: text.length, holdMs: message.holdMs }
  return sendAfterSync({ ...state, incomingSnapshot: { from: `${from}/${message.term}`, index: message.index, text } }, sendPeer(from, answer))
}

function installSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>, snapshot: Snapshot<S>, message: SnapshotChunk): ReplicaStep<S, C, O> {
  assertInvariant(snapshot.index > state.committed, 'a snapshot never moves the commit index back', `${snapshot.index} with ${state.committed} committed`)
  const hasSnapshotEntry = findTerm(state.log, snapshot.index) === snapshot.term
  const entries = hasSnapshotEntry ? state.log.entries.filter(entry => entry.index > snapshot.index) : []
  const next: ReplicaState<S, C> = { ...state, log: createLog(snapshot, entries), committed: snapshot.index, applied: snapshot.state }
  return continueWith(writeSnapshot<S, C, O>(next), stored => sendAfterSync(stored, sendPeer(message.from ?? '', createAppendResponse(stored, message, true, snapshot.index))))
}

function createAppendResponse<S, C> (state: ReplicaState<S, C>, message: AppendRequest<C> | SnapshotChunk, accepted: boolean, index: number): AppendResponse {
  return { kind: 'agreement/appended', group: message.group, term: state.hardState.term, sentAtMs: message.sentAtMs, incarnation: state.incarnation, accepted, index, holdMs: message.holdMs, ...(isLoaded(state) ? { loaded: true } : {}) }
}

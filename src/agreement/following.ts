/** The follower's side of replication: entries and snapshots are synced before they are answered. */
import { assertInvariant } from '../core/invariant.js'
import { sendPeer, type Moment } from '../core/message.js'
import { applyCommitted, storeBase } from './applying.js'
import { createMarkRecord, drawElection, beginTerm } from './election.js'
import { appendEntries, createLog, findTerm, readLast, type Entry, type LogCommand, type Snapshot } from './log.js'
import type { StateMachine } from './machine.js'
import { continueWith, keep, matchesSelf, sendSynced, storeRecords, type Append, type Appended, type Install, type Installed, type JournalRecord, type ReplicaState, type ReplicaStep } from './replica.js'

/** Takes a leader's beat and its entries. */
export function takeAppend<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: Append<C>, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message)) return keep(state)
  if (message.term < state.mark.term) return { state, effects: [sendPeer(message.from ?? '', createAppended(state, message, false, 0))] }
  return continueWith(follow<S, C, O>(state, message, moment), following => takeEntries(machine, following, message, following.mark !== state.mark))
}

/** Takes a part of a snapshot; the last one replaces the log. */
export function takeInstall<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Install, moment: Moment): ReplicaStep<S, C, O> {
  if (!matchesSelf(state, message) || message.term < state.mark.term) return keep(state)
  return continueWith(follow<S, C, O>(state, message, moment), following => {
    const stored: ReplicaStep<S, C, O> = following.mark === state.mark ? keep(following) : storeRecords(following, [createMarkRecord(following)], [])
    return continueWith(stored, next => takePart(next, message))
  })
}

function follow<S, C, O> (state: ReplicaState<S, C>, message: Append<C> | Install, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  return continueWith(beginTerm<S, C, O>(state, message.group, message.term), entered => {
    assertInvariant(entered.leader === undefined || entered.leader === from, 'one leader in a term', `${entered.leader} and ${from} in ${message.term}`)
    const next: ReplicaState<S, C> = { ...entered, role: 'follower', votes: new Map(), leader: from, heardAtMs: moment.monotonicMs, cold: false, electionAtMs: drawElection(moment) }
    if (entered.leader === from) return keep(next)
    return { state: next, effects: [{ kind: 'replica/leader', leader: from, term: message.term, state: next.applied }] }
  })
}

function takeEntries<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, message: Append<C>, marked: boolean): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  const marks: ReadonlyArray<JournalRecord<C>> = marked ? [createMarkRecord(state)] : []
  if (!holdsPrevious(state, message)) {
    const refusal = sendPeer(from, createAppended(state, message, false, Math.min(readLast(state.log).index, message.previous.index - 1)))
    return marked ? storeRecords(state, marks, [refusal]) : sendSynced(state, refusal)
  }
  const fresh = listFresh(state, message.entries)
  const matched = message.previous.index + message.entries.length
  const log = appendEntries(state.log, fresh, state.committed)
  const answer = sendPeer(from, createAppended(state, message, true, matched))
  const records = [...marks, ...fresh.map(entry => ({ kind: 'entry', entry }) as const)]
  const next: ReplicaState<S, C> = { ...state, log }
  const stored: ReplicaStep<S, C, O> = records.length === 0 ? sendSynced(next, answer) : storeRecords(next, records, [answer])
  return continueWith(stored, after => applyCommitted(machine, after, Math.min(message.committed, matched)))
}

function holdsPrevious<S, C> (state: ReplicaState<S, C>, message: Append<C>): boolean {
  const { previous } = message
  if (previous.index <= state.committed) return true
  return findTerm(state.log, previous.index) === previous.term
}

function listFresh<S, C> (state: ReplicaState<S, C>, entries: ReadonlyArray<Entry<C>>): ReadonlyArray<Entry<C>> {
  const first = entries.findIndex(entry => entry.index > state.committed && findTerm(state.log, entry.index) !== entry.term)
  return first < 0 ? [] : entries.slice(first)
}

function takePart<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Install): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (message.index <= state.committed) return sendSynced(state, sendPeer(from, createAppended(state, message, true, message.index)))
  const known = state.incoming?.from === `${from}/${message.term}` && state.incoming.index === message.index ? state.incoming.text : ''
  const text = message.offset <= known.length ? known.slice(0, message.offset) + message.text : known
  const whole = message.done && message.offset <= known.length
  if (whole) return replaceLog({ ...state, incoming: undefined }, JSON.parse(text) as Snapshot<S>, message)
  const answer: Installed = { kind: 'agreement/installed', group: message.group, term: message.term, sentAtMs: message.sentAtMs, incarnation: state.incarnation, index: message.index, offset: text.length }
  return sendSynced({ ...state, incoming: { from: `${from}/${message.term}`, index: message.index, text } }, sendPeer(from, answer))
}

function replaceLog<S, C extends LogCommand, O> (state: ReplicaState<S, C>, snapshot: Snapshot<S>, message: Install): ReplicaStep<S, C, O> {
  assertInvariant(snapshot.index > state.committed, 'a snapshot never goes back', `${snapshot.index} with ${state.committed} committed`)
  const holds = findTerm(state.log, snapshot.index) === snapshot.term
  const entries = holds ? state.log.entries.filter(entry => entry.index > snapshot.index) : []
  const next: ReplicaState<S, C> = { ...state, log: createLog(snapshot, entries), committed: snapshot.index, applied: snapshot.state }
  return continueWith(storeBase<S, C, O>(next), stored => sendSynced(stored, sendPeer(message.from ?? '', createAppended(stored, message, true, snapshot.index))))
}

function createAppended<S, C> (state: ReplicaState<S, C>, message: Append<C> | Install, accepted: boolean, index: number): Appended {
  return { kind: 'agreement/appended', group: message.group, term: state.mark.term, sentAtMs: message.sentAtMs, incarnation: state.incarnation, accepted, index }
}

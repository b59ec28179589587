/** Forming a group, and joining one: an empty folder alone never makes a second group. */
import { sendPeer, type Moment } from '../core/message.js'
import { createMarkRecord, drawElection } from './election.js'
import { appendEntries, type Entry, type LogCommand, type Members } from './log.js'
import { isMember, keep, storeRecords, type ReplicaState, type ReplicaStep, type Waiting } from './replica.js'

/** How long a host counts as reachable and empty after it was heard. */
const EMPTY_HOLDS_MS = 1_000

/**
 * Tells the other control hosts that this incarnation counts in no quorum, or that no leader knows it:
 * the log may hold a membership that was never committed.
 */
export function announceWaiting<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  if (state.incarnation === '' || (isMember(state) && state.leader !== undefined)) return keep(state)
  const { incarnation, mark, control, self } = state
  const others = control.filter(host => host !== self)
  return {
    state,
    effects: others.map(host => sendPeer<Waiting>(host, { kind: 'agreement/waiting', incarnation, group: mark.group, heard: state.empty.get(host)?.incarnation }))
  }
}

/** Notes that another control host is empty, while this one is. */
export function takeEmpty<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: Waiting, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (state.mark.group !== undefined || !state.control.includes(from)) return keep(state)
  const empty = new Map(state.empty)
  if (message.group !== undefined) empty.delete(from)
  else empty.set(from, { incarnation: message.incarnation, heard: message.heard, atMs: moment.monotonicMs })
  return keep({ ...state, empty })
}

/**
 * Forms the group on the first control host, once each other one has said that it is empty
 * after it heard this incarnation. No other host forms a group.
 */
export function createGroup<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const { self, control, incarnation, mark } = state
  const forms = state.forms && incarnation !== '' && mark.group === undefined && control[0] === self
  if (!forms || !control.every(host => host === self || isEmpty(state, host, moment))) return keep(state)
  const members: Members = Object.fromEntries(control.map(host => [host, host === self ? incarnation : state.empty.get(host)!.incarnation]))
  const command = { kind: 'agreement/form', members } as const
  const entry: Entry<C> = { index: 1, term: 0, command, bytes: JSON.stringify(command).length }
  const formed: ReplicaState<S, C> = {
    ...state,
    mark: { ...mark, group: incarnation },
    log: appendEntries(state.log, [entry], 0),
    empty: new Map(),
    electionAtMs: drawElection(moment)
  }
  return storeRecords(formed, [createMarkRecord(formed), { kind: 'entry', entry }], [])
}

function isEmpty<S, C> (state: ReplicaState<S, C>, host: string, moment: Moment): boolean {
  const known = state.empty.get(host)
  return known?.heard === state.incarnation && moment.monotonicMs - known.atMs < EMPTY_HOLDS_MS
}

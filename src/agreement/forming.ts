/** Forming and joining a control group. A host whose data folder was lost can't form a second group on its own. */
import { sendPeer, type Moment } from '../core/message.js'
import { createHardStateRecord, drawElectionTime } from './election.js'
import { appendEntries, createEntry, type LogCommand, type Members } from './log.js'
import { isMember, keepState, storeRecords, type ReplicaState, type ReplicaStep, type MembershipRequest } from './replica.js'

/** How long a host counts as reachable and empty after its last message. */
const EMPTY_HOST_TIMEOUT_MS = 1_000

/**
 * Asks the other control hosts for membership while this incarnation is no voting member or knows no leader. A member
 * asks, too, because the membership in its log may never have been committed.
 */
export function requestMembership<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  if (state.incarnation === '' || (isMember(state) && state.leader !== undefined)) return keepState(state)
  const { incarnation, hardState, control, self } = state
  const others = control.filter(host => host !== self)
  return {
    state,
    effects: others.map(host => sendPeer<MembershipRequest>(host, { kind: 'agreement/waiting', incarnation, group: hardState.group, heard: state.emptyHosts.get(host)?.incarnation }))
  }
}

/** Records that another control host is empty, as long as this one is empty as well. */
export function recordEmptyHost<S, C extends LogCommand, O> (state: ReplicaState<S, C>, message: MembershipRequest, moment: Moment): ReplicaStep<S, C, O> {
  const from = message.from ?? ''
  if (state.hardState.group !== undefined || !state.control.includes(from)) return keepState(state)
  const emptyHosts = new Map(state.emptyHosts)
  if (message.group !== undefined) emptyHosts.delete(from)
  else emptyHosts.set(from, { incarnation: message.incarnation, heard: message.heard, atMs: moment.monotonicMs })
  return keepState({ ...state, emptyHosts })
}

/**
 * Forms the group on the first control host, once every other one has recently reported that it is empty and
 * has heard this incarnation. No other host forms a group.
 */
export function createGroup<S, C extends LogCommand, O> (state: ReplicaState<S, C>, moment: Moment): ReplicaStep<S, C, O> {
  const { self, control, incarnation, hardState } = state
  const mayForm = state.mayFormGroup && incarnation !== '' && hardState.group === undefined && control[0] === self
  if (!mayForm || !control.every(host => host === self || isKnownEmpty(state, host, moment))) return keepState(state)
  const members: Members = Object.fromEntries(control.map(host => [host, host === self ? incarnation : state.emptyHosts.get(host)!.incarnation]))
  const command = { kind: 'agreement/form', members } as const
  const entry = createEntry<C>(1, 0, command)
  const formed: ReplicaState<S, C> = {
    ...state,
    hardState: { ...hardState, group: incarnation },
    log: appendEntries(state.log, [entry], 0),
    emptyHosts: new Map(),
    electionDueAtMs: drawElectionTime(moment)
  }
  return storeRecords(formed, [createHardStateRecord(formed), { kind: 'entry', entry }], [])
}

function isKnownEmpty<S, C> (state: ReplicaState<S, C>, host: string, moment: Moment): boolean {
  const known = state.emptyHosts.get(host)
  return known?.heard === state.incarnation && moment.monotonicMs - known.atMs < EMPTY_HOST_TIMEOUT_MS
}

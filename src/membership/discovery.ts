/** Discovery: how a host finds the leader of the control hosts. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { tell } from '../messages.js'
import { listEntries } from './directory.js'
import { startLeading } from './leader.js'
import type { LeaderChanged, LeaderHint } from './messages.js'
import type { MembershipState } from './state.js'

/** A leader that is silent for this long may have been replaced. */
const LEADER_SILENT_MS = 300

type MembershipStep = Step<MembershipState, CoreEffect>

/**
 * Lists whom the next beat goes to: the leader, and while none answers, the control hosts in turn.
 * @example listTargets(state, moment)
 */
export function listTargets (state: MembershipState, moment: Moment): readonly string[] {
  const { control, leader, round, answeredAtMs } = state
  const leaders = leader === undefined ? [] : [leader]
  if (leader !== undefined && moment.monotonicMs - answeredAtMs < LEADER_SILENT_MS) return leaders
  const listed = listEntries(state.directory, 'host').filter(host => host.control === true).map(host => host.host)
  const others = [...new Set([...control, ...listed])].filter(host => host !== leader && host !== state.self?.host)
  const next = others[round % others.length]
  return next === undefined ? leaders : [...leaders, next]
}

/**
 * Takes what this host's own replica knows of the leader.
 * @example followLeader(state, { kind: 'membership/leader-changed', leader: 'host-1', epoch: 3 }, moment)
 */
export function followLeader (state: MembershipState, message: LeaderChanged, moment: Moment): MembershipStep {
  const { leader, epoch } = message
  if (epoch < state.epoch) return { state: { ...state, leading: undefined }, effects: [tell({ kind: 'shares/leadership', leads: false, epoch })] }
  const lostLeader = state.leader !== undefined && state.leader !== leader ? state.leader : state.lostLeader
  const following: MembershipState = { ...state, leader, lostLeader, epoch, leading: undefined, leaderAheadMs: undefined, answeredAtMs: moment.monotonicMs }
  const leads = leader !== undefined && leader === state.self?.host
  const told = [tell({ kind: 'shares/leadership', leads, epoch }), tell({ kind: 'admission/leader-changed', leader, epoch })]
  const step = leads ? startLeading(following, epoch, moment) : { state: following, effects: [] }
  return { state: step.state, effects: [...told, ...step.effects] }
}

/**
 * Takes another host's word for who leads, if it is later than what this host knows.
 * @example takeHint(state, { kind: 'membership/leader-hint', leader: 'host-1', epoch: 3 }, moment)
 */
export function takeHint (state: MembershipState, { leader, epoch }: LeaderHint, moment: Moment): MembershipStep {
  const later = epoch > state.epoch || (epoch === state.epoch && state.leader === undefined)
  if (!later || leader === state.self?.host) return { state, effects: [] }
  const followed = followLeader(state, { kind: 'membership/leader-changed', leader, epoch }, moment)
  return { state: followed.state, effects: [...followed.effects, tell({ kind: 'operations/leader-known', leader })] }
}

/** Leader discovery: how a host finds the leader of the control hosts. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { rankCandidates } from '../core/rendezvous.js'
import { sendPeer, tell } from '../messages.js'
import { listEntries } from './directory.js'
import { listWithdrawals } from './incarnations.js'
import { startLeading } from './leader.js'
import type { LeaderChanged, LeaderHint } from './messages.js'
import type { MembershipState } from './state.js'

/** Without an answer for this long, the leader may have been replaced. */
const LEADER_TIMEOUT_MS = 300
/** Without an answer for this long beyond two intervals of a host without databases, the relay may be down. */
const RELAY_TIMEOUT_MS = 200
/** Heartbeats to one control host before a host that has just started tries the next one: time for a link to open, and for a relay. */
const FIRST_TARGET_ROUNDS = 4

type MembershipStep = Step<MembershipState, CoreEffect>

/**
 * Lists the targets of the next heartbeat: the relay, or the leader and, while it does not answer, also one control host in
 * turn. A relay that does not answer takes turns with the other control hosts, each of which relays heartbeats. It may be
 * late for lack of processor time, as the leader may be, so a large fleet must not send them more.
 * @example listHeartbeatTargets(state, moment)
 */
export function listHeartbeatTargets (state: MembershipState, moment: Moment): readonly string[] {
  const { relay, leaderAnsweredAtMs, heartbeatRound } = state
  const unansweredMs = moment.monotonicMs - leaderAnsweredAtMs
  if (relay === undefined) return listLeaderTargets(state, unansweredMs, heartbeatRound)
  if (unansweredMs < 2 * state.quietIntervals * state.timing.beatEveryMs + RELAY_TIMEOUT_MS) return [relay]
  const turns = rankControlHosts(state)
  return [turns[heartbeatRound % turns.length]!]
}

function listLeaderTargets (state: MembershipState, unansweredMs: number, turn: number): readonly string[] {
  const { control, leader } = state
  const leaderTargets = leader === undefined ? [] : [leader]
  if (leader !== undefined && unansweredMs < LEADER_TIMEOUT_MS) return leaderTargets
  const controlHosts = listKnownControlHosts(state)
  const others = rankCandidates(state.self?.host ?? '', [...new Set([...control, ...controlHosts])].filter(host => host !== leader && host !== state.self?.host))
  const rounds = state.directory.changes.size === 0 ? FIRST_TARGET_ROUNDS : 1
  const next = others[Math.floor(turn / rounds) % others.length]
  return next === undefined ? leaderTargets : [...leaderTargets, next]
}

function listKnownControlHosts ({ directory }: MembershipState): readonly string[] {
  return listEntries(directory, 'host').filter(host => host.control === true).map(host => host.host)
}

/**
 * Lists the control hosts: those of the directory, or those of the settings while it names none.
 * @example listControlHosts(state) // ['host-1', 'host-2', 'host-3']
 */
export function listControlHosts (state: MembershipState): readonly string[] {
  const known = listKnownControlHosts(state)
  return known.length > 0 ? known : state.control
}

/**
 * Ranks the control hosts in the order in which this host asks them: itself or its relay, then the others.
 * @example rankControlHosts(state)[0] // 'host-2'
 */
export function rankControlHosts (state: MembershipState): readonly string[] {
  const { self, relay } = state
  const hosts = rankCandidates(self?.host ?? '', listControlHosts(state))
  const [first] = hosts.filter(host => host === relay || host === self?.host)
  return first === undefined ? hosts : [first, ...hosts.filter(host => host !== first)]
}

/**
 * Follows the leader that this host learned from its own replica of the log or from a hint. Starts to lead if it is
 * this host; an earlier epoch only ends its leadership.
 * @example followLeader(state, { kind: 'membership/leader-changed', leader: 'host-1', epoch: 3 }, moment)
 */
export function followLeader (state: MembershipState, message: LeaderChanged, moment: Moment): MembershipStep {
  const { leader, epoch } = message
  if (epoch < state.epoch) return { state: { ...state, leaderState: undefined }, effects: [tell({ kind: 'shares/leadership', leads: false, epoch })] }
  const previousLeader = state.leader !== undefined && state.leader !== leader ? state.leader : state.previousLeader
  const following: MembershipState = { ...state, leader, previousLeader, epoch, leaderState: undefined, heldHeartbeats: new Map(), leaderClockOffsetMs: undefined, leaderAnsweredAtMs: moment.monotonicMs }
  const leads = leader !== undefined && leader === state.self?.host
  const notifications = [tell({ kind: 'shares/leadership', leads, epoch }), tell({ kind: 'admission/leader-changed', leader, epoch })]
  const step = leads ? startLeading(following, epoch, moment) : { state: following, effects: tellWithdrawals(state, message) }
  return { state: step.state, effects: [...notifications, ...step.effects] }
}

// The new leader may have started again since a database withdrew itself, and knows of it no more.
function tellWithdrawals (state: MembershipState, { leader, epoch }: LeaderChanged): readonly CoreEffect[] {
  if (leader === undefined || (leader === state.leader && epoch === state.epoch)) return []
  return listWithdrawals(state.incarnations).map(withdrawal => sendPeer(leader, { kind: 'membership/withdrawn', ...withdrawal }))
}

/**
 * Follows the leader named by another host, if its epoch is later than the known one.
 * @example followHint(state, { kind: 'membership/leader-hint', leader: 'host-1', epoch: 3 }, moment)
 */
export function followHint (state: MembershipState, { leader, epoch }: LeaderHint, moment: Moment): MembershipStep {
  const isLater = epoch > state.epoch || (epoch === state.epoch && state.leader === undefined)
  if (!isLater || leader === state.self?.host) return { state, effects: [] }
  const followed = followLeader(state, { kind: 'membership/leader-changed', leader, epoch }, moment)
  return { state: followed.state, effects: [...followed.effects, tell({ kind: 'operations/leader-known', leader })] }
}

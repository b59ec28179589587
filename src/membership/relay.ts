/**
 * Relays of a large fleet: control hosts that pass heartbeats on to the leader with their own ones. The leader then
 * receives a few messages in place of one from every host, and only a relay's answer crosses between failure domains.
 * Leases stay what they are, since each counts from the time at which its own host sent a heartbeat.
 */
import { pickHeaviest } from '../core/rendezvous.js'
import type { CoreEffect, Step } from '../core/message.js'
import { sendPeer } from '../messages.js'
import { listChangesSince, listEntries, type Directory, type HostEntry } from './directory.js'
import type { Heartbeat, HeartbeatAnswered } from './messages.js'
import type { MembershipState } from './state.js'

/** The number of hosts from which on a fleet is large and heartbeats are relayed; a leader serves fewer directly, which is faster. */
export const MIN_RELAYED_HOSTS = 16
/** The hosts of the fleet for each interval of a host without databases: the heartbeats that reach the leader grow no further with it. */
const HOSTS_PER_INTERVAL = 50
/** Intervals between two heartbeats of a host with a relay and without databases. */
const MIN_QUIET_INTERVALS = 2
const MAX_QUIET_INTERVALS = 4
/** The number of own heartbeats for which an answer of the leader is awaited. */
const MAX_PENDING_ROUNDS = 20

/**
 * Lists the control hosts that serve the other hosts of a large fleet; none in a small one.
 * @example listRelays(directory).map(entry => entry.host)
 */
function listRelays (directory: Directory): readonly HostEntry[] {
  const hosts = listEntries(directory, 'host')
  return hosts.length < MIN_RELAYED_HOSTS ? [] : hosts.filter(host => host.control === true && !host.draining)
}

/**
 * Returns the control host that relays this host's heartbeats: one of its failure domain if there is any. Undefined in a
 * small fleet, and on a control host.
 * @example findRelay(directory, self) // 'host-2'
 */
export function findRelay (directory: Directory, self: MembershipState['self']): string | undefined {
  if (self === undefined || self.control === true) return undefined
  const relays = listRelays(directory)
  const near = relays.filter(host => host.failureDomain === self.failureDomain)
  return pickHeaviest(self.host, (near.length > 0 ? near : relays).map(host => host.host))
}

/**
 * Returns the number of intervals between two heartbeats of a host with a relay and without databases: it reports nothing
 * that is urgent, and a larger fleet must not send its leader as many more reports.
 * @example countQuietIntervals(directory) // 2
 */
export function countQuietIntervals (directory: Directory): number {
  const hosts = listEntries(directory, 'host').length
  return Math.max(MIN_QUIET_INTERVALS, Math.min(MAX_QUIET_INTERVALS, Math.ceil(hosts / HOSTS_PER_INTERVAL)))
}

/**
 * Tells whether this host relays a heartbeat, rather than redirecting its sender to the leader. It relays while the leader
 * does not answer, too: a leader that is short of processor time must not get a message from every host instead.
 * @example isRelayed(state, heartbeat)
 */
export function isRelayed (state: MembershipState, heartbeat: Heartbeat): boolean {
  if (state.self?.control !== true || state.leader === undefined || heartbeat.self.control === true) return false
  return isNewcomer(state.directory, heartbeat.self) || listEntries(state.directory, 'host').length >= MIN_RELAYED_HOSTS
}

// When a whole fleet starts at once, redirecting each host would open a link from all of them to the leader.
function isNewcomer (directory: Directory, { host, incarnation }: HostEntry): boolean {
  const known = directory.changes.get(`host/${host}`)?.entry
  return known?.kind !== 'host' || known.incarnation !== incarnation
}

/**
 * Holds a heartbeat until this host sends its own.
 * @example holdHeartbeat(state, heartbeat)
 */
export function holdHeartbeat (state: MembershipState, heartbeat: Heartbeat): Step<MembershipState, CoreEffect> {
  return { state: { ...state, heldHeartbeats: new Map(state.heldHeartbeats).set(heartbeat.self.host, heartbeat) }, effects: [] }
}

/**
 * Moves the held heartbeats into this host's own one of a round.
 * @example forwardHeld(state, 7).relayedHeartbeats.get(7)
 */
export function forwardHeld (state: MembershipState, round: number): MembershipState {
  const pending = [...state.relayedHeartbeats].filter(([earlier]) => earlier > round - MAX_PENDING_ROUNDS)
  if (state.heldHeartbeats.size === 0 && pending.length === state.relayedHeartbeats.size) return state
  return { ...state, heldHeartbeats: new Map(), relayedHeartbeats: new Map([...pending, [round, [...state.heldHeartbeats.values()]]]) }
}

/**
 * Answers the relayed heartbeats that the leader answered, from this host's copy of the directory.
 * @example answerRelayed(state, answered).effects.length
 */
export function answerRelayed (state: MembershipState, { round, relayed = [], leaderMs }: HeartbeatAnswered): Step<MembershipState, CoreEffect> {
  const sent = state.relayedHeartbeats.get(round)
  if (sent === undefined) return { state, effects: [] }
  const answered = new Set(relayed)
  const { directory, leader } = state
  const answers = sent.filter(heartbeat => answered.has(heartbeat.self.host)).map(heartbeat => sendPeer(heartbeat.self.host, {
    kind: 'membership/beat-answered',
    leader,
    round: heartbeat.round,
    leaderMs,
    revision: directory.revision,
    changes: listChangesSince(directory, heartbeat.revision)
  }))
  const relayedHeartbeats = new Map(state.relayedHeartbeats)
  relayedHeartbeats.delete(round)
  return { state: { ...state, relayedHeartbeats }, effects: answers }
}

/** Rollout status of a document version, as known to the leader. */
import { tell } from '../messages.js'
import type { CoreEffect, Moment, Step } from '../core/message.js'
import type { RolloutStatusRequested } from './messages.js'
import type { LeaderState, MembershipState } from './state.js'

/** Upper bound on the ratio of two clocks' rates. */
const CLOCK_DRIFT_FACTOR = 1.05

/**
 * Reports which hosts confirmed a version. Any other host has lapsed if the lease, extended by clock drift, has passed
 * since its last answered heartbeat, or since this leader began if it never answered that host.
 * @example reportRollout(state, leaderState, { kind: 'membership/force-asked', ... }, moment)
 */
export function reportRollout (state: MembershipState, leaderState: LeaderState, asked: RolloutStatusRequested, moment: Moment): Step<MembershipState, CoreEffect> {
  const change = leaderState.directory.changes.get(`document/${asked.service}`)
  const published = change?.entry?.kind === 'document' && change.entry.version >= asked.version
  const hosts = [...new Set([...leaderState.hostAnsweredAtMs.keys(), ...leaderState.awaitedHosts, ...leaderState.hosts.keys()])]
  const confirmed = hosts.filter(host => {
    const revision = leaderState.hosts.get(host)?.confirmedRevision
    return published && revision?.epoch === leaderState.directory.revision.epoch && revision.count >= change.count
  })
  const others = hosts.filter(host => !confirmed.includes(host))
  const lapsed = others.filter(host => moment.monotonicMs > (leaderState.hostAnsweredAtMs.get(host) ?? leaderState.leadingSinceMs) + asked.leaseMs * CLOCK_DRIFT_FACTOR)
  const pending = others.filter(host => !lapsed.includes(host))
  return { state, effects: [tell({ kind: 'documents/in-force', watch: asked.watch, confirmed, lapsed, pending })] }
}

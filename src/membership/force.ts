/** How far a document's version is in force, as its leader knows it. */
import { tell } from '../messages.js'
import type { CoreEffect, Moment, Step } from '../core/message.js'
import type { ForceAsked } from './messages.js'
import type { Leading, MembershipState } from './state.js'

/** Two clocks' rates differ by at most a twentieth of the time. */
const DRIFT = 1.05

/**
 * Tells which hosts confirmed a version. A host that did not has lost its authority once the lease has
 * passed since its last beat was answered; that of hosts which no beat told of, since this leader began.
 * @example answerForce(state, leading, { kind: 'membership/force-asked', ... }, moment)
 */
export function answerForce (state: MembershipState, leading: Leading, asked: ForceAsked, moment: Moment): Step<MembershipState, CoreEffect> {
  const change = leading.directory.changes.get(`document/${asked.service}`)
  const published = change?.entry?.kind === 'document' && change.entry.version >= asked.version
  const hosts = [...new Set([...leading.answered.keys(), ...leading.awaited, ...leading.hosts.keys()])]
  const confirmed = hosts.filter(host => {
    const revision = leading.hosts.get(host)?.confirmed
    return published && revision?.epoch === leading.directory.revision.epoch && revision.count >= change.count
  })
  const others = hosts.filter(host => !confirmed.includes(host))
  const lapsed = others.filter(host => moment.monotonicMs > (leading.answered.get(host) ?? leading.ledAtMs) + asked.leaseMs * DRIFT)
  const pending = others.filter(host => !lapsed.includes(host))
  return { state, effects: [tell({ kind: 'documents/in-force', watch: asked.watch, confirmed, lapsed, pending })] }
}

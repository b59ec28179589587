/** The hosts that may commit at a group's primary, as the leader knows them from their heartbeats. */
import { MAX_CLOCK_DRIFT } from '../primacy/tools.js'
import { COMMIT_LEASE_MS } from '../transactions/commits.js'
import type { HostReported } from './messages.js'
import type { SuccessionState, Writer } from './state.js'

/** Time after a heartbeat at which the commit lease that its answer granted has ended, even with clock drift. */
export const COMMIT_LEASE_EXPIRY_MS = COMMIT_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + 1

/** Stands for the hosts that only the former leader answered. */
const FORMER_WRITERS = 'former'

/**
 * Records what a host reports of its commit leases. Each process of a host counts by itself: a later one knows nothing of
 * what an earlier one sent.
 * @example recordWriters(state, message, nowMs).get('a')?.size
 */
export function recordWriters (state: SuccessionState, { host, process, round = 0, writes = [] }: HostReported, nowMs: number): SuccessionState['writers'] {
  if (writes.length === 0) return state.writers
  const next = new Map(state.writers)
  const name = `${host}/${process}`
  for (const { group, phase, acknowledged } of writes) {
    const writers = next.get(group) ?? listWriters(state, group)
    // A relay may hold an earlier heartbeat for longer than a later one.
    if ((writers.get(name)?.round ?? -1) > round) continue
    next.set(group, new Map(writers).set(name, { heardAtMs: nowMs, round, phase, acknowledged }))
  }
  return next
}

/**
 * Tells whether no host can acknowledge a commit of a group any more: each one has reported that it stopped, or its lease has
 * surely ended. Holds from then on, unless a primary of the group is published without being closed.
 * @example isQuiesced(state, 'a', nowMs)
 */
export function isQuiesced (state: SuccessionState, group: string, nowMs: number): boolean {
  return [...listWriters(state, group).values()].every(writer => writer.phase === 'closed' || hasLapsed(writer, nowMs))
}

function hasLapsed ({ heardAtMs }: Writer, nowMs: number): boolean {
  return nowMs >= heardAtMs + COMMIT_LEASE_EXPIRY_MS
}

function listWriters ({ writers, leadingSinceMs }: SuccessionState, group: string): ReadonlyMap<string, Writer> {
  return writers.get(group) ?? new Map([[FORMER_WRITERS, { heardAtMs: leadingSinceMs, round: 0, phase: 'open' }]])
}

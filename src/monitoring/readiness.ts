/** Whether the platform's balancer should send callers to this host. */
import type { HostMessage } from '../messages.js'

/** How long a confirmation by the leader stands for readiness. */
export const CONFIRMATION_HOLDS_MS = 2_000

/** What readiness follows from. */
export interface ReadinessFacts {
  /** The monotonic time at which this host asked for what the leader last confirmed. */
  readonly confirmedAtMs?: number
  readonly draining: boolean
  /** True where a host that is cut off goes on with the last documents that it knows. */
  readonly keepsAuthority?: boolean
}

/** Ready, or why not. */
export interface Readiness {
  readonly ready: boolean
  /** True while the leader confirms what the host has in force. */
  readonly inTouch: boolean
  readonly reason?: 'starting' | 'draining' | 'no authority'
}

/** The facts of a host that has just started. */
export const STARTING: ReadinessFacts = { draining: false }

/**
 * Tells whether a host is ready.
 * @example checkReadiness({ draining: false, confirmedAtMs: 1_000 }, 1_500) // { ready: true, inTouch: true }
 */
export function checkReadiness (facts: ReadinessFacts, monotonicMs: number): Readiness {
  const inTouch = facts.confirmedAtMs !== undefined && monotonicMs - facts.confirmedAtMs <= CONFIRMATION_HOLDS_MS
  if (facts.draining) return { ready: false, inTouch, reason: 'draining' }
  if (facts.confirmedAtMs === undefined) return { ready: false, inTouch, reason: 'starting' }
  return inTouch || facts.keepsAuthority === true ? { ready: true, inTouch } : { ready: false, inTouch, reason: 'no authority' }
}

/**
 * Returns the facts after a message of the loop.
 * @example updateReadiness(STARTING, 'host-1', { kind: 'requests/grants-confirmed', grants: [], askedAtMs: 5 })
 */
export function updateReadiness (facts: ReadinessFacts, self: string, message: HostMessage): ReadinessFacts {
  switch (message.kind) {
    case 'requests/grants-confirmed': return { ...facts, confirmedAtMs: message.askedAtMs }
    case 'membership/drain-asked': return message.host === self ? { ...facts, draining: true } : facts
    default: return facts
  }
}

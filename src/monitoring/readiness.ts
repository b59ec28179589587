/** Readiness: whether the platform's load balancer should send callers to this host. */
import type { HostMessage } from '../messages.js'

/** How long a confirmation by the leader keeps the host ready. */
export const CONFIRMATION_VALID_MS = 2_000

/** How long a confirmation of its documents keeps a host ready that may be isolated: the longest authority lease. */
const DOCUMENTS_VALID_MS = 5_000

/** The facts that readiness is derived from. */
export interface ReadinessFacts {
  /** The monotonic time at which this host sent the request that the leader confirmed last. */
  readonly confirmedAtMs?: number
  /** When this host asked a majority of the control hosts last which versions they hold. */
  readonly versionsAskedAtMs?: number
  readonly draining: boolean
  /** True when a partitioned host keeps serving callers with the last documents that it received. */
  readonly keepsAuthority?: boolean
  /** True while no majority of the control hosts can be reached. */
  readonly isolated?: boolean
}

/** Whether a host is ready, and the reason when it is not. */
export interface Readiness {
  readonly ready: boolean
  /** True while the leader confirms the documents that the host applies. */
  readonly inTouch: boolean
  readonly reason?: 'starting' | 'draining' | 'no authority'
}

/** The facts of a host at start-up. */
export const INITIAL_FACTS: ReadinessFacts = { draining: false }

/**
 * Decides whether a host is ready.
 * @example checkReadiness({ draining: false, confirmedAtMs: 1_000 }, 1_500) // { ready: true, inTouch: true }
 */
export function checkReadiness (facts: ReadinessFacts, monotonicMs: number): Readiness {
  const inTouch = facts.confirmedAtMs !== undefined && monotonicMs - facts.confirmedAtMs <= CONFIRMATION_VALID_MS
  if (facts.draining) return { ready: false, inTouch, reason: 'draining' }
  if (facts.confirmedAtMs === undefined) return { ready: false, inTouch, reason: 'starting' }
  return inTouch || isServingWithoutLeader(facts, monotonicMs) ? { ready: true, inTouch } : { ready: false, inTouch, reason: 'no authority' }
}

// A host that is in contact with the control hosts, but not confirmed, refuses all requests.
function isServingWithoutLeader ({ keepsAuthority, isolated, confirmedAtMs = -Infinity, versionsAskedAtMs = -Infinity }: ReadinessFacts, monotonicMs: number): boolean {
  return keepsAuthority === true && (isolated === true || monotonicMs - Math.max(confirmedAtMs, versionsAskedAtMs) <= DOCUMENTS_VALID_MS)
}

/**
 * Returns the facts after a message of the loop.
 * @example updateReadiness(INITIAL_FACTS, 'host-1', { kind: 'requests/grants-confirmed', grants: [], askedAtMs: 5 })
 */
export function updateReadiness (facts: ReadinessFacts, self: string, message: HostMessage): ReadinessFacts {
  switch (message.kind) {
    case 'requests/grants-confirmed': return { ...facts, confirmedAtMs: message.askedAtMs }
    case 'admission/versions-held': return { ...facts, versionsAskedAtMs: message.askedAtMs }
    case 'admission/contact-changed': return { ...facts, isolated: message.isolated }
    case 'membership/drain-asked': return message.host === self ? { ...facts, draining: true } : facts
    default: return facts
  }
}

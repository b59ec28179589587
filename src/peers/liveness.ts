/**
 * When a link is pinged, and when it is lost. Covers links that go silent without an end: what was sent over one is confirmed
 * soon, while links that nothing is sent over cost neither processor time nor bytes.
 */

/** How long something that was sent may stay unconfirmed before a ping asks for it. */
const PING_AFTER_MS = 1_000
/** How long the answer to a ping may take. */
const PING_TIMEOUT_MS = 1_000
/** Checks in a row that find an answer overdue before the link is lost: after a suspension the answer may wait to be read. */
const MAX_OVERDUE_CHECKS = 2

/** What is known of a link, as monotonic times. */
export interface Liveness {
  /** When the first message since the last sign of the peer was sent; absent if there is none. */
  readonly unconfirmedSinceMs?: number
  /** When the ping that is not answered yet was sent. */
  readonly pingedAtMs?: number
  readonly overdueChecks: number
}

/** What to do about a link. */
export interface LivenessCheck {
  readonly liveness: Liveness
  readonly action: 'none' | 'ping' | 'lose'
}

/** A link that has shown that its peer is there. */
export const CONFIRMED: Liveness = { overdueChecks: 0 }

/**
 * Records that a message was sent.
 * @example recordSent(CONFIRMED, 1_000).unconfirmedSinceMs // 1_000
 */
export function recordSent (liveness: Liveness, nowMs: number): Liveness {
  return liveness.unconfirmedSinceMs === undefined ? { ...liveness, unconfirmedSinceMs: nowMs } : liveness
}

/**
 * Decides whether a link is to be pinged, or is lost.
 * @example checkLiveness(recordSent(CONFIRMED, 0), 1_000).action // 'ping'
 */
export function checkLiveness (liveness: Liveness, nowMs: number): LivenessCheck {
  const { unconfirmedSinceMs, pingedAtMs, overdueChecks } = liveness
  if (pingedAtMs !== undefined) {
    const checks = nowMs - pingedAtMs >= PING_TIMEOUT_MS ? overdueChecks + 1 : 0
    return { liveness: { ...liveness, overdueChecks: checks }, action: checks >= MAX_OVERDUE_CHECKS ? 'lose' : 'none' }
  }
  const isDue = unconfirmedSinceMs !== undefined && nowMs - unconfirmedSinceMs >= PING_AFTER_MS
  return isDue ? { liveness: { pingedAtMs: nowMs, overdueChecks: 0 }, action: 'ping' } : { liveness, action: 'none' }
}

/**
 * Records that a ping was answered: what was sent after it is unconfirmed still.
 * @example recordPong({ pingedAtMs: 1_000, overdueChecks: 0 }).pingedAtMs // undefined
 */
export function recordPong ({ unconfirmedSinceMs }: Liveness): Liveness {
  return { unconfirmedSinceMs, overdueChecks: 0 }
}

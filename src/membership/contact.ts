/**
 * A host's contact with the control hosts. While the leader does not confirm what the host applies, the host asks one control
 * host which versions of documents a majority of them holds. Three cases follow:
 *
 * - The host holds no older version: that confirms it as well as the leader would, since an acknowledged version is stored by
 *   a majority.
 * - A control host that reaches a majority answers, but does not confirm: the host may have missed a version.
 * - None of the control hosts that it asks in turn answers: the host is isolated.
 *
 * Only time in which the host's own loop was on time counts towards isolation. A host that is short of processor time finds
 * answers late that arrived long ago.
 */
import { recordEvent, type CoreEffect, type Moment } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
import type { VersionsHeld } from './messages.js'

/** Age of the last confirmation from which on the leader counts as silent: two heartbeats of a quiet host of a large fleet, and a relay. */
const SILENT_AFTER_MS = 1_000
/** Interval between two questions. */
const ASK_INTERVAL_MS = 1_000
/** How long a control host may take before the next one is asked: the interval between two reads, and a round trip. */
const ASK_NEXT_AFTER_MS = 300
/** How many control hosts are asked so soon, one after the other: one more than may be down at once. */
const SOON_ASKED = 3
/** How long an answer to a question is accepted. */
const ROUND_TTL_MS = 10_000
/** Time without contact with a majority of the control hosts after which a host is isolated: several of them were asked by then. */
const ISOLATED_AFTER_MS = 2_000
/** The first question has a number up to this: an answer to an earlier process of this host is for none of this one's. */
const MAX_FIRST_ROUND = 2 ** 32
/** The most that one heartbeat counts towards isolation, in intervals: a late one shows that this host was not on time. */
const MAX_TICK_INTERVALS = 2

/** What a host knows of its contact with the control hosts. */
export interface ControlContact {
  /** When this host sent the last heartbeat that the leader answered; undefined before the first answer. */
  readonly confirmedAtMs?: number
  /** When the last heartbeat was due and sent. */
  readonly tickedAtMs?: number
  /** The longest delay of a heartbeat since the last answer: it tells a slow leader from a host that is short of processor time. */
  readonly lateMs: number
  /** True once the leader counted as silent, until it answers. */
  readonly silent: boolean
  /** The number of the last question; 0 before the first one. */
  readonly round: number
  /** The send times of recent questions, by number. */
  readonly sentAtMsByRound: ReadonlyMap<number, number>
  /** The questions since the last answer. */
  readonly unanswered: number
  /** The number of control hosts that were passed over, since they did not answer. */
  readonly passedOver: number
  /** Time on the clock of a loop that is on time since the last contact with the leader or a majority of the control hosts. */
  readonly quietMs: number
  /** True while no majority of the control hosts can be reached. */
  readonly isolated: boolean
}

/** The next contact, and what is told of it. */
export interface ContactStep {
  readonly contact: ControlContact
  readonly effects: readonly CoreEffect[]
}

/** The contact of a host that has just started. */
export const NO_CONTACT: ControlContact = { lateMs: 0, silent: false, round: 0, sentAtMsByRound: new Map(), unanswered: 0, passedOver: 0, quietMs: 0, isolated: false }

/**
 * Records that a heartbeat is sent, and asks a control host while the leader is silent.
 * @param controlHosts the control hosts in the order in which they are asked.
 * @param intervalMs the time after the last heartbeat at which this one was due.
 * @example recordTick(contact, ['control-1'], 100, moment).contact.isolated
 */
export function recordTick (contact: ControlContact, controlHosts: readonly string[], intervalMs: number, moment: Moment): ContactStep {
  const nowMs = moment.monotonicMs
  const elapsedMs = nowMs - (contact.tickedAtMs ?? nowMs)
  const lateMs = Math.max(contact.lateMs, elapsedMs - intervalMs)
  const quietMs = contact.quietMs + computeTimelyMs(elapsedMs, intervalMs)
  const ticked: ControlContact = { ...contact, tickedAtMs: nowMs, lateMs, quietMs }
  const isSilent = nowMs - (contact.confirmedAtMs ?? nowMs) >= SILENT_AFTER_MS
  if (!isSilent) return { contact: ticked, effects: [] }
  const asked = askVersions(ticked, controlHosts, moment)
  const judged = setIsolated(asked.contact, contact.isolated || (quietMs >= ISOLATED_AFTER_MS && isAnswerOverdue(contact, nowMs)))
  return { contact: { ...judged.contact, silent: true }, effects: [...recordSilence(ticked, nowMs), ...asked.effects, ...judged.effects] }
}

/**
 * Returns how much of the time between two heartbeats counts towards the silence of others: a late heartbeat shows that this
 * host was not on time, so that answers may wait.
 * @example computeTimelyMs(1_500, 100) // 200
 */
export function computeTimelyMs (elapsedMs: number, intervalMs: number): number {
  return Math.min(elapsedMs, MAX_TICK_INTERVALS * intervalMs)
}

// The control hosts that were asked soon, one after the other, all had time to answer.
function isAnswerOverdue ({ round, sentAtMsByRound, unanswered }: ControlContact, nowMs: number): boolean {
  return unanswered >= SOON_ASKED && nowMs - (sentAtMsByRound.get(round) ?? nowMs) >= ASK_NEXT_AFTER_MS
}

function recordSilence ({ silent, confirmedAtMs = 0, lateMs }: ControlContact, nowMs: number): readonly CoreEffect[] {
  if (silent) return []
  return [recordEvent('confirmation-missing', `The leader has confirmed nothing for ${Math.round(nowMs - confirmedAtMs)} ms; the loop of this host was ${Math.round(lateMs)} ms late.`)]
}

function askVersions (contact: ControlContact, controlHosts: readonly string[], { monotonicMs: nowMs, random }: Moment): ContactStep {
  const { round, sentAtMsByRound, unanswered } = contact
  const intervalMs = unanswered > 0 && unanswered < SOON_ASKED ? ASK_NEXT_AFTER_MS : ASK_INTERVAL_MS
  if (nowMs - (sentAtMsByRound.get(round) ?? -Infinity) < intervalMs) return { contact, effects: [] }
  const passedOver = contact.passedOver + (unanswered > 0 ? 1 : 0)
  const target = controlHosts[passedOver % controlHosts.length]
  if (target === undefined) return { contact, effects: [] }
  const recent = [...sentAtMsByRound].filter(([, sentAtMs]) => nowMs - sentAtMs < ROUND_TTL_MS)
  const next = round === 0 ? 1 + Math.floor(random * MAX_FIRST_ROUND) : round + 1
  return {
    contact: { ...contact, round: next, sentAtMsByRound: new Map([...recent, [next, nowMs]]), unanswered: unanswered + 1, passedOver },
    effects: [sendPeer(target, { kind: 'agreement/held-asked', round: next })]
  }
}

/**
 * Records that the leader answered a heartbeat.
 * @example recordConfirmation(contact, askedAtMs, moment).contact.silent // false
 */
export function recordConfirmation (contact: ControlContact, askedAtMs: number, { monotonicMs: nowMs }: Moment): ContactStep {
  const reached = setIsolated(contact, false)
  const next: ControlContact = { ...reached.contact, confirmedAtMs: Math.max(contact.confirmedAtMs ?? askedAtMs, askedAtMs), lateMs: 0, silent: false, quietMs: 0, unanswered: 0 }
  if (!contact.silent) return { contact: next, effects: reached.effects }
  const silentMs = Math.round(nowMs - (contact.confirmedAtMs ?? nowMs))
  const event = recordEvent('confirmation-regained', `The leader confirms this host again after ${silentMs} ms, by an answer that took ${Math.round(nowMs - askedAtMs)} ms; the loop was ${Math.round(contact.lateMs)} ms late.`)
  return { contact: next, effects: [event, ...reached.effects] }
}

/**
 * Records the answer of a control host that reaches a majority.
 * @example recordVersions(contact, held).contact.quietMs // 0
 */
export function recordVersions (contact: ControlContact, { round, versions }: VersionsHeld): ContactStep {
  const askedAtMs = contact.sentAtMsByRound.get(round)
  if (askedAtMs === undefined) return { contact, effects: [] }
  const reached = setIsolated({ ...contact, quietMs: 0, unanswered: 0 }, false)
  const held = versions === undefined ? [] : [tell({ kind: 'admission/versions-held', versions, askedAtMs })]
  return { contact: reached.contact, effects: [...reached.effects, ...held] }
}

function setIsolated (contact: ControlContact, isolated: boolean): ContactStep {
  if (contact.isolated === isolated) return { contact, effects: [] }
  const text = isolated
    ? 'This host is isolated: no majority of the control hosts answers.'
    : 'This host is in contact with a majority of the control hosts again.'
  return { contact: { ...contact, isolated }, effects: [recordEvent(isolated ? 'isolated' : 'contact-regained', text), tell({ kind: 'admission/contact-changed', isolated })] }
}

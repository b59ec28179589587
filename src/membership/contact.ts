/**
 * A host's contact with the control hosts. While the leader does not confirm what the host applies, the host asks all control
 * hosts which versions of documents they hold. Three cases follow:
 *
 * - A majority of the members holds no newer version: that confirms the host as well as the leader would, since an acknowledged
 *   version is stored by a majority.
 * - A majority of the control hosts answers, but does not confirm: the host may have missed a version.
 * - No majority answers for some time: the host is isolated.
 *
 * Only time in which the host's own loop was on time counts towards isolation. A host that is short of processor time finds
 * answers late that arrived long ago.
 */
import { calculateQuorumValue } from '../agreement/log.js'
import { recordEvent, type CoreEffect, type Moment } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
import type { VersionsTold } from './messages.js'

/** Age of the last confirmation from which on the leader counts as silent: five heartbeats of a host with a relay. */
const SILENT_AFTER_MS = 1_000
/** Interval between two rounds of questions. */
const ASK_INTERVAL_MS = 1_000
/** How long an answer to a round is accepted. */
const ROUND_TTL_MS = 10_000
/** Time without contact with a majority of the control hosts after which a host is isolated: two rounds of questions. */
const ISOLATED_AFTER_MS = 2_000
/** The most that one heartbeat counts towards isolation, in intervals: a late one shows that this host was not on time. */
const MAX_TICK_INTERVALS = 2

/** The last answer of a control host. */
export interface ControlAnswer extends VersionsTold {
  /** When this host sent the question. */
  readonly askedAtMs: number
  readonly receivedAtMs: number
}

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
  /** The number of the last round of questions. */
  readonly round: number
  /** The send times of recent rounds, by number. */
  readonly sentAtMsByRound: ReadonlyMap<number, number>
  /** The last answer of each control host. */
  readonly answers: ReadonlyMap<string, ControlAnswer>
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
export const NO_CONTACT: ControlContact = { lateMs: 0, silent: false, round: 0, sentAtMsByRound: new Map(), answers: new Map(), quietMs: 0, isolated: false }

/**
 * Records that a heartbeat is sent, and asks the control hosts while the leader is silent.
 * @param intervalMs the time after the last heartbeat at which this one was due.
 * @example recordTick(contact, ['control-1'], 100, moment).contact.isolated
 */
export function recordTick (contact: ControlContact, controlHosts: readonly string[], intervalMs: number, moment: Moment): ContactStep {
  const nowMs = moment.monotonicMs
  const elapsedMs = nowMs - (contact.tickedAtMs ?? nowMs)
  const lateMs = Math.max(contact.lateMs, elapsedMs - intervalMs)
  const quietMs = contact.quietMs + Math.min(elapsedMs, MAX_TICK_INTERVALS * intervalMs)
  const ticked: ControlContact = { ...contact, tickedAtMs: nowMs, lateMs, quietMs }
  const isSilent = nowMs - (contact.confirmedAtMs ?? nowMs) >= SILENT_AFTER_MS
  if (!isSilent) return { contact: ticked, effects: [] }
  const asked = askVersions(ticked, controlHosts, nowMs)
  const judged = setIsolated(asked.contact, quietMs >= ISOLATED_AFTER_MS)
  return { contact: { ...judged.contact, silent: true }, effects: [...recordSilence(ticked, nowMs), ...asked.effects, ...judged.effects] }
}

function recordSilence ({ silent, confirmedAtMs = 0, lateMs }: ControlContact, nowMs: number): readonly CoreEffect[] {
  if (silent) return []
  return [recordEvent('confirmation-missing', `The leader has confirmed nothing for ${Math.round(nowMs - confirmedAtMs)} ms; the loop of this host was ${Math.round(lateMs)} ms late.`)]
}

function askVersions (contact: ControlContact, controlHosts: readonly string[], nowMs: number): ContactStep {
  const { round, sentAtMsByRound } = contact
  if (nowMs - (sentAtMsByRound.get(round) ?? -Infinity) < ASK_INTERVAL_MS) return { contact, effects: [] }
  const recent = [...sentAtMsByRound].filter(([, sentAtMs]) => nowMs - sentAtMs < ROUND_TTL_MS)
  const next = round + 1
  return {
    contact: { ...contact, round: next, sentAtMsByRound: new Map([...recent, [next, nowMs]]) },
    effects: controlHosts.map(host => sendPeer(host, { kind: 'agreement/versions-asked', round: next }))
  }
}

/**
 * Records that the leader answered a heartbeat.
 * @example recordConfirmation(contact, askedAtMs, moment).contact.silent // false
 */
export function recordConfirmation (contact: ControlContact, askedAtMs: number, { monotonicMs: nowMs }: Moment): ContactStep {
  const reached = setIsolated(contact, false)
  const next: ControlContact = { ...reached.contact, confirmedAtMs: Math.max(contact.confirmedAtMs ?? askedAtMs, askedAtMs), lateMs: 0, silent: false, quietMs: 0 }
  if (!contact.silent) return { contact: next, effects: reached.effects }
  const silentMs = Math.round(nowMs - (contact.confirmedAtMs ?? nowMs))
  const event = recordEvent('confirmation-regained', `The leader confirms this host again after ${silentMs} ms, by an answer that took ${Math.round(nowMs - askedAtMs)} ms; the loop was ${Math.round(contact.lateMs)} ms late.`)
  return { contact: next, effects: [event, ...reached.effects] }
}

/**
 * Records a control host's answer, and tells which versions a majority of the members holds.
 * @example recordVersions(contact, ['control-1'], told, moment).contact.quietMs
 */
export function recordVersions (contact: ControlContact, controlHosts: readonly string[], told: VersionsTold, { monotonicMs: nowMs }: Moment): ContactStep {
  const askedAtMs = contact.sentAtMsByRound.get(told.round)
  if (askedAtMs === undefined || told.from === undefined) return { contact, effects: [] }
  const known = contact.answers.get(told.from)
  const isLater = known === undefined || askedAtMs >= known.askedAtMs
  const answers = new Map(contact.answers).set(told.from, isLater ? { ...told, askedAtMs, receivedAtMs: nowMs } : { ...known, receivedAtMs: nowMs })
  const heard = controlHosts.filter(host => nowMs - (answers.get(host)?.receivedAtMs ?? -Infinity) < ISOLATED_AFTER_MS)
  const inContact = heard.length * 2 > controlHosts.length
  const reached = inContact ? setIsolated({ ...contact, quietMs: 0 }, false) : { contact, effects: [] }
  return { contact: { ...reached.contact, answers }, effects: [...reached.effects, ...tellHeldVersions([...answers.values()])] }
}

// A majority of the newest membership that any of them knows: a later one was stored by a majority of its members, so one of
// these would know it. An incarnation that lost its disk is no member.
function tellHeldVersions (answers: readonly ControlAnswer[]): readonly CoreEffect[] {
  const [newest] = [...answers].sort((a, b) => b.configurationTerm - a.configurationTerm || b.configurationIndex - a.configurationIndex)
  if (newest?.configuration === undefined) return []
  const askedAtMs = calculateQuorumValue(newest.configuration, (host, incarnation) => {
    const answer = answers.find(({ from }) => from === host)
    return answer?.incarnation === incarnation ? answer.askedAtMs : -Infinity
  })
  if (askedAtMs === -Infinity) return []
  const versions = new Map<string, number>()
  for (const { service, version } of answers.flatMap(answer => answer.versions)) versions.set(service, Math.max(version, versions.get(service) ?? 0))
  return [tell({ kind: 'admission/versions-held', versions: [...versions].map(([service, version]) => ({ service, version })), askedAtMs })]
}

function setIsolated (contact: ControlContact, isolated: boolean): ContactStep {
  if (contact.isolated === isolated) return { contact, effects: [] }
  const text = isolated
    ? 'This host is isolated: no majority of the control hosts answers.'
    : 'This host is in contact with a majority of the control hosts again.'
  return { contact: { ...contact, isolated }, effects: [recordEvent(isolated ? 'isolated' : 'contact-regained', text), tell({ kind: 'admission/contact-changed', isolated })] }
}

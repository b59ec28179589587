/** A host's contact with the control hosts: how long the leader has not confirmed it, and how late its own loop was meanwhile. */
import { recordEvent, type CoreEffect, type Moment } from '../core/message.js'

/** Age of the last confirmation from which on the leader counts as silent: five heartbeats of a host with a relay. */
const SILENT_AFTER_MS = 1_000

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
}

/** The next contact, and what is told of it. */
export interface ContactStep {
  readonly contact: ControlContact
  readonly effects: readonly CoreEffect[]
}

/** The contact of a host that has just started. */
export const NO_CONTACT: ControlContact = { lateMs: 0, silent: false }

/**
 * Records that a heartbeat is sent.
 * @param intervalMs the time after the last heartbeat at which this one was due.
 * @example recordTick(contact, 100, moment).contact.lateMs
 */
export function recordTick (contact: ControlContact, intervalMs: number, { monotonicMs: nowMs }: Moment): ContactStep {
  const lateMs = Math.max(contact.lateMs, nowMs - (contact.tickedAtMs ?? nowMs) - intervalMs)
  const next: ControlContact = { ...contact, tickedAtMs: nowMs, lateMs }
  const ageMs = nowMs - (contact.confirmedAtMs ?? nowMs)
  if (contact.silent || ageMs < SILENT_AFTER_MS) return { contact: next, effects: [] }
  return { contact: { ...next, silent: true }, effects: [recordEvent('confirmation-missing', `The leader has confirmed nothing for ${Math.round(ageMs)} ms; the loop of this host was ${Math.round(lateMs)} ms late.`)] }
}

/**
 * Records that the leader answered a heartbeat.
 * @example recordConfirmation(contact, askedAtMs, moment).contact.silent // false
 */
export function recordConfirmation (contact: ControlContact, askedAtMs: number, { monotonicMs: nowMs }: Moment): ContactStep {
  const next: ControlContact = { ...contact, confirmedAtMs: Math.max(contact.confirmedAtMs ?? askedAtMs, askedAtMs), lateMs: 0, silent: false }
  if (!contact.silent) return { contact: next, effects: [] }
  const silentMs = Math.round(nowMs - (contact.confirmedAtMs ?? nowMs))
  return { contact: next, effects: [recordEvent('confirmation-regained', `The leader confirms this host again after ${silentMs} ms, by an answer that took ${Math.round(nowMs - askedAtMs)} ms; the loop was ${Math.round(contact.lateMs)} ms late.`)] }
}

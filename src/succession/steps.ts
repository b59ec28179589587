/** Steps of the succession slice that several of its decisions use: an appointment, and the published primary. */
import { getOwn } from '../core/own.js'
import { recordEvent, type CoreEffect, type Step } from '../core/message.js'
import type { FenceReplica, ReadPosition } from '../databases/driver.js'
import { tell } from '../messages.js'
import type { ReplacementReason } from './candidates.js'
import type { AppointPrimary, SuccessionState, TrackedDatabase } from './state.js'

/** Minimum time between two appointments of a group: longer than a promotion takes. */
export const APPOINTMENT_INTERVAL_MS = 2_500
/** Time after which a command that is not committed is proposed again. */
export const PROPOSAL_TIMEOUT_MS = 1_000

/** The effects of the succession slice. */
export type SuccessionEffect = CoreEffect | AppointPrimary | FenceReplica | ReadPosition
/** A step of the succession slice. */
export type SuccessionStep = Step<SuccessionState, SuccessionEffect>

/**
 * Creates a step without effects.
 * @example createStep(state).effects // []
 */
export function createStep (state: SuccessionState): SuccessionStep {
  return { state, effects: [] }
}

/**
 * Tells whether a replica's copy acknowledges the writes of a group.
 * @example isCopied(state, 'a')
 */
export function isCopied ({ requiredCopies }: SuccessionState, group: string): boolean {
  return (requiredCopies.get(group) ?? 0) > 0
}

/**
 * Lists the databases of a group's replica set, including those that are silent or have ended.
 * @example listReplicaSet(state, 'a').length
 */
export function listReplicaSet ({ members }: SuccessionState, group: string): readonly TrackedDatabase[] {
  return [...members.values()].filter(({ entry }) => entry.group === group)
}

/**
 * Tells whether the last appointment of a group has to settle before the next one begins.
 * @example isAppointmentSettling(state, 'a', nowMs)
 */
export function isAppointmentSettling (state: SuccessionState, group: string, nowMs: number): boolean {
  const appointedAtMs = state.appointedAtMs.get(group)
  return appointedAtMs !== undefined && nowMs - appointedAtMs < APPOINTMENT_INTERVAL_MS
}

/**
 * Proposes the appointment of a database.
 * @example appoint(state, 'a', successor, 'silent', nowMs).effects.length
 */
export function appoint (state: SuccessionState, group: string, successor: TrackedDatabase, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const appointment = (getOwn(state.table, group)?.appointment ?? 0) + 1
  const { database, incarnation } = successor.entry
  // Prevents another proposal until the command is applied or times out.
  const appointedAtMs = new Map(state.appointedAtMs).set(group, nowMs - APPOINTMENT_INTERVAL_MS + PROPOSAL_TIMEOUT_MS)
  const position = successor.status?.position
  const text = `Group ${group}: the primary is ${reason}; ${database} is appointed (appointment ${appointment}), at ${position?.term}.${position?.offset}.`
  return {
    state: { ...state, appointedAtMs },
    effects: [
      tell({ kind: 'agreement/propose', proposal: `succession/${group}/${appointment}`, command: { kind: 'succession/appoint', group, appointment, database, instance: incarnation?.instance, ...(reason === 'unconfirmed' ? { confirms: true } as const : {}) } }),
      recordEvent('primary-appointed', text, { group })
    ]
  }
}

/**
 * Publishes the primary of a group, if it is not published yet.
 * @param closing true while nothing that may write is sent to it.
 * @example publish(state, 'a', 'a1').state.published.get('a')?.database // 'a1'
 */
export function publish (state: SuccessionState, group: string, database: string | undefined, closing = false): SuccessionStep {
  const known = state.published.get(group)
  const leased = isCopied(state, group)
  const writers = leased ? listRegistered(state, group) : []
  if (known !== undefined && known.database === database && known.closing === closing && known.leased === leased && isEqual(known.writers, writers)) return createStep(state)
  if (known === undefined && database === undefined) return createStep(state)
  const term = getOwn(state.table, group)?.appointment ?? 0
  return {
    state: { ...state, published: new Map(state.published).set(group, { database, closing, leased, writers }) },
    effects: [
      tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary: database, members: [], ...(closing ? { closing } : {}), ...(leased ? { leased, writers } : {}) } }),
      recordEvent('primary-published', `Group ${group}: the published primary is ${database ?? 'none'}${closing ? ', closed for writes' : ''}.`, { group })
    ]
  }
}

// Those that report, and that the log names and goes on to name.
function listRegistered ({ replicaSets, writers, retiredWriters }: SuccessionState, group: string): readonly string[] {
  const retired = retiredWriters.get(group)
  const present = writers.get(group)?.processes
  return (getOwn(replicaSets, group)?.writers?.processes ?? []).filter(process => present?.has(process) === true && retired?.has(process) !== true)
}

function isEqual (a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((name, index) => name === b[index])
}

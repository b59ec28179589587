/**
 * Whether the platform may still promote another database than the present primary: a call that got no answer may be carried out
 * seconds later. A call for the primary itself, with a later fencing token, overtakes it.
 */
import { getOwn } from '../core/own.js'
import { findAppointedInstance } from './incarnations.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { APPOINTMENT_INTERVAL_MS } from './steps.js'
import type { Appointment } from './table.js'

/**
 * Tells whether no earlier call can replace a primary: it was never appointed nor any other database, or it is the one whose
 * appointment was carried out. What the platform accepted before a confirming call takes effect within the time that an
 * appointment needs to settle.
 * @example isPrimaryConfirmed(state, 'a', primary, nowMs)
 */
export function isPrimaryConfirmed (state: SuccessionState, group: string, primary: TrackedDatabase, nowMs: number): boolean {
  const appointment = getOwn(state.table, group)
  if (appointment === undefined) return true
  if (appointment.outcome !== 'done' || findAppointed(state, group, appointment) !== primary) return false
  return appointment.confirms !== true || nowMs - findAnsweredAtMs(state, group, appointment) >= APPOINTMENT_INTERVAL_MS
}

function findAppointed (state: SuccessionState, group: string, appointment: Appointment): TrackedDatabase | undefined {
  return state.databases.get(appointment.database) ?? findAppointedInstance(state, group, appointment)
}

// A new leader does not know when the call was answered.
function findAnsweredAtMs ({ calls, leadingSinceMs }: SuccessionState, group: string, { appointment }: Appointment): number {
  const call = calls.get(group)
  return (call?.appointment === appointment ? call.answeredAtMs : undefined) ?? leadingSinceMs
}

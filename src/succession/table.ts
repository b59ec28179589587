/** The replicated table of appointments: which database of a group is to be promoted. */
import { assertInvariant } from '../core/invariant.js'
import { getOwn } from '../core/own.js'

/** The last appointment of a group. */
export interface Appointment {
  /** The number of the appointment within the group; the fencing token of the call grows with it. */
  readonly appointment: number
  readonly database: string
  /** The instance whose start was appointed, if it has one: a later start of it takes over the role, not the log. */
  readonly instance?: string
  /** True if the database was primary already: the call overtakes earlier ones that got no answer. */
  readonly confirms?: true
  /** The outcome of the call: `done` if the platform accepted the promotion, `failed` if it refused or did not answer; undefined while in progress. */
  readonly outcome?: 'done' | 'failed'
}

/** Appointments by group. */
export type AppointmentTable = Readonly<Record<string, Appointment>>

/** Records the appointment of a group's next primary. */
export interface AppointCommand {
  readonly kind: 'succession/appoint'
  readonly group: string
  /** One more than the last appointment; any other number is ignored. */
  readonly appointment: number
  readonly database: string
  readonly instance?: string
  readonly confirms?: true
}

/** Records the final outcome of an appointment's call. */
export interface SettleCommand {
  readonly kind: 'succession/settle'
  readonly group: string
  readonly appointment: number
  readonly outcome: 'done' | 'failed'
}

/** Any command about appointments. */
export type SuccessionCommand = AppointCommand | SettleCommand

/**
 * Applies a command; it is ignored unless it concerns the next appointment, or settles the last one.
 * @example applySuccessionCommand({}, { kind: 'succession/appoint', group: 'a', appointment: 1, database: 'a1' })
 */
export function applySuccessionCommand (table: AppointmentTable, command: SuccessionCommand): AppointmentTable {
  const known = getOwn(table, command.group)
  const next = applyToAppointment(known, command)
  if (next === known || next === undefined) return table
  assertInvariant(next.appointment >= (known?.appointment ?? 0), 'appointments only grow', command.group)
  return { ...table, [command.group]: next }
}

function applyToAppointment (known: Appointment | undefined, command: SuccessionCommand): Appointment | undefined {
  const { appointment } = command
  if (command.kind === 'succession/settle') return known !== undefined && known.appointment === appointment ? { ...known, outcome: command.outcome } : known
  if (appointment !== (known?.appointment ?? 0) + 1) return known
  const { database, instance, confirms } = command
  return { appointment, database, ...(instance === undefined ? {} : { instance }), ...(confirms === undefined ? {} : { confirms }) }
}

/** The appointments that the control hosts agree on: which database of a group is to lead. */
import { assertInvariant } from '../core/invariant.js'

/** The last appointment of a group. */
export interface Succession {
  /** Counts the appointments of the group; the fence of the call grows with it. */
  readonly appointment: number
  readonly database: string
  /** How the call ended: the database leads, or nobody knows that it does; undefined while the call is under way. */
  readonly outcome?: 'done' | 'failed'
}

/** Appointments by group. */
export type SuccessionTable = Readonly<Record<string, Succession>>

/** Appoints the next primary of a group. */
export interface AppointCommand {
  readonly kind: 'succession/appoint'
  readonly group: string
  /** One more than the last appointment; any other changes nothing. */
  readonly appointment: number
  readonly database: string
}

/** The call for an appointment was answered for good. */
export interface SettleCommand {
  readonly kind: 'succession/settle'
  readonly group: string
  readonly appointment: number
  readonly outcome: 'done' | 'failed'
}

/** Any command about appointments. */
export type SuccessionCommand = AppointCommand | SettleCommand

/**
 * Applies a command; one about another appointment than the next or the last changes nothing.
 * @example applySuccessionCommand({}, { kind: 'succession/appoint', group: 'a', appointment: 1, database: 'a1' })
 */
export function applySuccessionCommand (table: SuccessionTable, command: SuccessionCommand): SuccessionTable {
  const known = table[command.group]
  const next = changeSuccession(known, command)
  if (next === known || next === undefined) return table
  assertInvariant(next.appointment >= (known?.appointment ?? 0), 'appointments only grow', command.group)
  return { ...table, [command.group]: next }
}

function changeSuccession (known: Succession | undefined, command: SuccessionCommand): Succession | undefined {
  const { appointment } = command
  if (command.kind === 'succession/settle') return known?.appointment === appointment ? { ...known, outcome: command.outcome } : known
  if (appointment !== (known?.appointment ?? 0) + 1) return known
  return { appointment, database: command.database }
}

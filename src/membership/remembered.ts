/** The databases that the control hosts agree to remember: after all hosts were restarted, a new leader knows them before they announce themselves. */
import type { CoreEffect } from '../core/message.js'
import { tell } from '../messages.js'
import { listEntries, type DatabaseEntry, type Directory } from './directory.js'

/** The databases of the directory, by name. */
export type RememberedTable = Readonly<Record<string, DatabaseEntry>>

/** Follows the directory of the leader. */
export interface RememberCommand {
  readonly kind: 'membership/remember'
  readonly present: readonly DatabaseEntry[]
  readonly gone: readonly string[]
}

/**
 * Applies what changed in the leader's directory.
 * @example applyRememberCommand({}, { kind: 'membership/remember', present: [entry], gone: [] }) // { a1: entry }
 */
export function applyRememberCommand (table: RememberedTable, { present, gone }: RememberCommand): RememberedTable {
  const kept = Object.entries(table).filter(([database]) => !gone.includes(database))
  return Object.fromEntries([...kept, ...present.map(entry => [entry.database, entry] as const)])
}

/**
 * Proposes to remember what changed in the directory; nothing when all of it is remembered.
 * @example proposeRemembered(state.remembered, leading.directory)
 */
export function proposeRemembered (table: RememberedTable, directory: Directory): readonly CoreEffect[] {
  const entries = listEntries(directory, 'database')
  const names = new Set(entries.map(entry => entry.database))
  const present = entries.filter(entry => !isSame(table[entry.database], entry))
  const gone = Object.keys(table).filter(database => !names.has(database))
  if (present.length === 0 && gone.length === 0) return []
  return [tell({ kind: 'agreement/propose', proposal: 'membership/remember', command: { kind: 'membership/remember', present, gone } })]
}

function isSame (known: DatabaseEntry | undefined, entry: DatabaseEntry): boolean {
  return known !== undefined && JSON.stringify(known) === JSON.stringify(entry)
}

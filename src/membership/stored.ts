/** The databases stored in the control hosts' log: after a restart of all hosts, a new leader knows them before they announce themselves. */
import type { CoreEffect } from '../core/message.js'
import { getOwn } from '../core/own.js'
import { tell } from '../messages.js'
import { dropCold, listEntries, type DatabaseEntry, type Directory } from './directory.js'

/** The stored databases, by name. */
export type StoredDatabaseTable = Readonly<Record<string, DatabaseEntry>>

/** Updates the stored databases to the leader's directory. */
export interface UpdateStoredDatabasesCommand {
  readonly kind: 'membership/remember'
  readonly present: readonly DatabaseEntry[]
  readonly gone: readonly string[]
}

/**
 * Applies a command to the stored databases.
 * @example applyStoredDatabasesUpdate({}, { kind: 'membership/remember', present: [entry], gone: [] }) // { a1: entry }
 */
export function applyStoredDatabasesUpdate (table: StoredDatabaseTable, { present, gone }: UpdateStoredDatabasesCommand): StoredDatabaseTable {
  const kept = Object.entries(table).filter(([database]) => !gone.includes(database))
  return Object.fromEntries([...kept, ...present.map(entry => [entry.database, entry] as const)])
}

/**
 * Proposes to store the databases of the directory; returns no effect if the stored ones match already.
 * @example proposeStoredDatabases(state.storedDatabases, leaderState.directory)
 */
export function proposeStoredDatabases (table: StoredDatabaseTable, directory: Directory): readonly CoreEffect[] {
  // A new leader learns by announcements which databases are cold.
  const entries = listEntries(directory, 'database').map(dropCold)
  const presentNames = new Set(entries.map(entry => entry.database))
  const present = entries.filter(entry => !isSame(getOwn(table, entry.database), entry))
  const gone = Object.keys(table).filter(database => !presentNames.has(database))
  if (present.length === 0 && gone.length === 0) return []
  return [tell({ kind: 'agreement/propose', proposal: 'membership/remember', command: { kind: 'membership/remember', present, gone } })]
}

function isSame (known: DatabaseEntry | undefined, entry: DatabaseEntry): boolean {
  return known !== undefined && JSON.stringify(known) === JSON.stringify(entry)
}

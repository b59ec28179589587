/** Events about the databases of the directory, which the leader records. */
import { recordEvent, type CoreEffect } from '../core/message.js'
import { listEntries, type DatabaseEntry, type Directory } from './directory.js'
import type { LeaderState } from './state.js'

/**
 * Records which databases joined the directory, depart, left it, or became cold or warm. Two leaders' directories are not compared.
 * @example recordDatabaseEvents(before.leaderState, after.leaderState)
 */
export function recordDatabaseEvents (before: LeaderState | undefined, after: LeaderState | undefined): readonly CoreEffect[] {
  if (after === undefined || before?.directory === after.directory) return []
  const known = before?.directory.revision.epoch === after.directory.revision.epoch ? collectDatabases(before.directory) : new Map<string, DatabaseEntry>()
  const current = collectDatabases(after.directory)
  const left = [...known.values()].filter(({ database }) => !current.has(database))
  return [
    ...left.map(entry => recordChange('database-left', 'left the directory', entry)),
    ...[...current.values()].flatMap(entry => recordArrival(known.get(entry.database), entry)),
    ...[...current.values()].flatMap(entry => recordTemperature(known.get(entry.database), entry))
  ]
}

function collectDatabases (directory: Directory): ReadonlyMap<string, DatabaseEntry> {
  return new Map(listEntries(directory, 'database').map(entry => [entry.database, entry]))
}

function recordArrival (known: DatabaseEntry | undefined, entry: DatabaseEntry): readonly CoreEffect[] {
  if (known === undefined) return [recordChange('database-joined', entry.departing ? 'joined the directory and departs' : 'joined the directory', entry)]
  return entry.departing && !known.departing ? [recordChange('database-departing', 'departs', entry)] : []
}

function recordTemperature (known: DatabaseEntry | undefined, entry: DatabaseEntry): readonly CoreEffect[] {
  if ((known?.cold === true) === (entry.cold === true)) return []
  return [entry.cold === true ? recordChange('database-cold', 'is cold and takes few requests', entry) : recordChange('database-warm', 'is warm', entry)]
}

function recordChange (event: string, change: string, { database, group, address }: DatabaseEntry): CoreEffect {
  return recordEvent(event, `Database ${database} at ${address} ${change}.`, { group })
}

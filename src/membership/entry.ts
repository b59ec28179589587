/** Validation of announced databases. An entry of another writer must not reach the log, other hosts or a driver. */
import * as v from 'valibot'
import { isAddress } from '../core/address.js'
import { Token } from '../core/names.js'
import type { DatabaseEntry } from './directory.js'

/** Far above what one database runs at a time; a larger number would draw all requests to the database. */
const MAX_SLOTS = 100_000
const MAX_CONNECTIONS = 1_000_000

const DatabaseEntrySchema = v.object({
  kind: v.literal('database'),
  database: Token,
  incarnation: v.optional(v.object({ instance: Token, startedAtMs: v.pipe(v.number(), v.safeInteger(), v.minValue(0)) })),
  group: Token,
  failureDomain: Token,
  address: v.pipe(v.string(), v.check(isAddress, 'Expected an IP address and a port from 1 to 65535')),
  slots: v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected at least 1'), v.maxValue(MAX_SLOTS, `Expected at most ${MAX_SLOTS}`)),
  connectionLimit: v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.maxValue(MAX_CONNECTIONS, `Expected at most ${MAX_CONNECTIONS}`)),
  departing: v.boolean(),
  leads: v.optional(v.boolean()),
  cold: v.optional(v.boolean())
})

/**
 * Lists what is invalid in an announced database; empty if it can be used.
 * @example findEntryErrors({ ...entry, address: '10.0.0.1:99999' }) // ['address: Expected an IP address and a port from 1 to 65535']
 */
export function findEntryErrors (entry: DatabaseEntry): readonly string[] {
  const checked = v.safeParse(DatabaseEntrySchema, entry)
  return checked.success ? [] : checked.issues.map(issue => `${v.getDotPath(issue) ?? 'entry'}: ${issue.message}`)
}

/**
 * Keeps the databases that can be used, of those that another host reported or that are stored.
 * @example keepValidEntries(heartbeat.databases)
 */
export function keepValidEntries (entries: readonly DatabaseEntry[]): readonly DatabaseEntry[] {
  return entries.filter(entry => findEntryErrors(entry).length === 0)
}

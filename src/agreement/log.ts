/** The log: entries after a snapshot, and the configuration that they imply. */
import { assertInvariant } from '../core/invariant.js'

/** The incarnation that counts for each control host. */
export type Members = Readonly<Record<string, string>>

/** Whose votes count; while a host is replaced, a majority of both sets. */
export interface Configuration {
  readonly members: Members
  readonly old?: Members
}

/** Commands that the log applies to itself. */
export type ControlCommand =
  | { readonly kind: 'agreement/form', readonly members: Members }
  | { readonly kind: 'agreement/lead', readonly host: string }
  | { readonly kind: 'agreement/replace', readonly host: string, readonly incarnation: string, readonly instead?: string }
  | { readonly kind: 'agreement/settle' }

/** What a command is at least. */
export interface LogCommand {
  readonly kind: string
}

/** One command at its place. */
export interface Entry<C> {
  readonly index: number
  readonly term: number
  readonly command: C | ControlCommand
  /** Length of the command as JSON. */
  readonly bytes: number
}

/** A place in the log. */
export interface LogPoint {
  readonly index: number
  readonly term: number
}

/** The state after an entry, in place of all entries up to it. */
export interface Snapshot<S> extends LogPoint {
  readonly configuration?: Configuration
  readonly state: S
}

/** A snapshot, the entries after it, and some before it that slow hosts may still need. */
export interface Log<S, C> {
  readonly base: Snapshot<S>
  readonly entries: ReadonlyArray<Entry<C>>
  readonly configuration?: Configuration
  /** The index of the entry that set the configuration. */
  readonly configuredAt: number
}

/**
 * Creates a log that begins with a snapshot.
 * @example createLog({ index: 0, term: 0, state: machine.initial }, [])
 */
export function createLog<S, C extends LogCommand> (base: Snapshot<S>, entries: ReadonlyArray<Entry<C>>): Log<S, C> {
  return collectConfiguration({ base, entries, configuredAt: base.index })
}

/** Returns the last place of the log. */
export function readLast<S, C> (log: Log<S, C>): LogPoint {
  const last = log.entries[log.entries.length - 1]
  return last === undefined || last.index < log.base.index ? { index: log.base.index, term: log.base.term } : { index: last.index, term: last.term }
}

/** Returns the term of an entry; undefined when the log doesn't hold it. */
export function findTerm<S, C> (log: Log<S, C>, index: number): number | undefined {
  if (index === log.base.index) return log.base.term
  return findEntry(log, index)?.term
}

/** Returns an entry; undefined when the log doesn't hold it. */
export function findEntry<S, C> (log: Log<S, C>, index: number): Entry<C> | undefined {
  const first = log.entries[0]
  return first === undefined ? undefined : log.entries[index - first.index]
}

/** Lists entries from an index on, up to a number of bytes but at least one. */
export function listFrom<S, C> (log: Log<S, C>, index: number, maxBytes: number): ReadonlyArray<Entry<C>> {
  const first = log.entries[0]
  if (first === undefined || index < first.index) return []
  const listed: Array<Entry<C>> = []
  let bytes = 0
  for (let place = index - first.index; place < log.entries.length; place++) {
    const entry = log.entries[place]!
    bytes += entry.bytes
    if (listed.length > 0 && bytes > maxBytes) break
    listed.push(entry)
  }
  return listed
}

/**
 * Appends entries; those that stand at their place with another term give way, with all after them.
 * @example appendEntries(log, [entry], committed)
 */
export function appendEntries<S, C extends LogCommand> (log: Log<S, C>, added: ReadonlyArray<Entry<C>>, committed: number): Log<S, C> {
  const first = added[0]
  if (first === undefined) return log
  const last = readLast(log)
  const before = first.index - 1
  assertInvariant(before <= last.index, 'the log has no gap', `${first.index} after ${last.index}`)
  assertInvariant(before >= committed, 'a committed entry never changes', `${first.index} with ${committed} committed`)
  assertInvariant((findTerm(log, before) ?? 0) <= first.term, 'terms never fall in the log', `${first.term} at ${first.index}`)
  const start = log.entries[0]?.index ?? first.index
  const next: Log<S, C> = { ...log, entries: [...log.entries.slice(0, Math.max(0, first.index - start)), ...added] }
  const truncates = before < last.index
  return truncates ? collectConfiguration(next) : added.reduce<Log<S, C>>(applyConfiguration, next)
}

/** Replaces the snapshot by a later one; entries of long before it are dropped. */
export function truncateLog<S, C extends LogCommand> (log: Log<S, C>, state: S, index: number, kept: number): Log<S, C> {
  const base: Snapshot<S> = { index, term: findTerm(log, index)!, configuration: readConfigurationAt(log, index), state }
  return { ...log, base, entries: log.entries.filter(entry => entry.index > index - kept) }
}

/** Tells whether a majority of each set of the configuration fits. */
export function hasQuorum (configuration: Configuration, fits: (host: string, incarnation: string) => boolean): boolean {
  return readQuorum(configuration, (host, incarnation) => (fits(host, incarnation) ? 1 : 0)) === 1
}

/** Returns the highest value that a majority of each set has reached. */
export function readQuorum (configuration: Configuration, read: (host: string, incarnation: string) => number): number {
  const sets = configuration.old === undefined ? [configuration.members] : [configuration.members, configuration.old]
  return Math.min(...sets.map(members => {
    const values = Object.entries(members).map(([host, incarnation]) => read(host, incarnation)).sort((a, b) => b - a)
    return values[Math.floor(values.length / 2)] ?? -Infinity
  }))
}

/** Tells whether a command is the log's own. */
export function isControl<C extends LogCommand> (command: C | ControlCommand): command is ControlCommand {
  return command.kind.startsWith('agreement/')
}

function collectConfiguration<S, C extends LogCommand> (log: Log<S, C>): Log<S, C> {
  const start: Log<S, C> = { ...log, configuration: log.base.configuration, configuredAt: log.base.index }
  return log.entries.filter(entry => entry.index > log.base.index).reduce<Log<S, C>>(applyConfiguration, start)
}

function applyConfiguration<S, C extends LogCommand> (log: Log<S, C>, entry: Entry<C>): Log<S, C> {
  const configuration = isControl(entry.command) ? changeConfiguration(log.configuration, entry.command) : undefined
  return configuration === undefined ? log : { ...log, configuration, configuredAt: entry.index }
}

function changeConfiguration (known: Configuration | undefined, command: ControlCommand): Configuration | undefined {
  switch (command.kind) {
    case 'agreement/form': return { members: command.members }
    case 'agreement/replace': return known && { members: replaceMember(known.members, command), old: known.members }
    case 'agreement/settle': return known && { members: known.members }
    case 'agreement/lead': return undefined
  }
}

function replaceMember (members: Members, { host, incarnation, instead }: Extract<ControlCommand, { kind: 'agreement/replace' }>): Members {
  const kept = Object.entries(members).filter(([member]) => member !== instead)
  return { ...Object.fromEntries(kept), [host]: incarnation }
}

function readConfigurationAt<S, C extends LogCommand> (log: Log<S, C>, index: number): Configuration | undefined {
  return collectConfiguration({ ...log, entries: log.entries.filter(entry => entry.index <= index) }).configuration
}

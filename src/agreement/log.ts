/** The replicated log: a snapshot, the entries after it, and the membership configuration that they define. */
import { assertInvariant } from '../core/invariant.js'

/** The voting incarnation of each control host. */
export type Members = Readonly<Record<string, string>>

/** The voting members; during a membership change, decisions need a majority of both sets. */
export interface Configuration {
  readonly members: Members
  readonly old?: Members
}

/** Commands of the log itself, which the state machine doesn't see. */
export type ControlCommand =
  | { readonly kind: 'agreement/form', readonly members: Members }
  | { readonly kind: 'agreement/lead', readonly host: string }
  | { readonly kind: 'agreement/replace', readonly host: string, readonly incarnation: string, readonly instead?: string }
  | { readonly kind: 'agreement/settle' }

/** The minimal shape of a command. */
export interface LogCommand {
  readonly kind: string
}

/** One command and its position in the log. */
export interface Entry<C> {
  readonly index: number
  readonly term: number
  readonly command: C | ControlCommand
  /** Size of the command as JSON, in bytes of UTF-8. */
  readonly bytes: number
}

/**
 * Creates an entry and measures its command.
 * @example createEntry(7, 2, { kind: 'documents/put' }).bytes
 */
export function createEntry<C> (index: number, term: number, command: C | ControlCommand): Entry<C> {
  return { index, term, command, bytes: Buffer.byteLength(JSON.stringify(command)) }
}

/** A position in the log. */
export interface LogPoint {
  readonly index: number
  readonly term: number
}

/** The state after an entry, which replaces all entries up to it. */
export interface Snapshot<S> extends LogPoint {
  readonly configuration?: Configuration
  readonly state: S
}

/** A snapshot, the entries after it, and some before it that lagging hosts may still need. */
export interface Log<S, C> {
  readonly snapshot: Snapshot<S>
  readonly entries: ReadonlyArray<Entry<C>>
  readonly configuration?: Configuration
  /** The index of the entry that set the configuration. */
  readonly configurationIndex: number
}

/**
 * Creates a log from a snapshot and the entries after it.
 * @example createLog({ index: 0, term: 0, state: machine.initial }, [])
 */
export function createLog<S, C extends LogCommand> (snapshot: Snapshot<S>, entries: ReadonlyArray<Entry<C>>): Log<S, C> {
  return collectConfiguration({ snapshot, entries, configurationIndex: snapshot.index })
}

/** Returns the position of the last entry. */
export function findLastPoint<S, C> (log: Log<S, C>): LogPoint {
  const last = log.entries[log.entries.length - 1]
  return last === undefined || last.index < log.snapshot.index ? { index: log.snapshot.index, term: log.snapshot.term } : { index: last.index, term: last.term }
}

/** Returns the term of an entry; undefined if the log doesn't hold the entry. */
export function findTerm<S, C> (log: Log<S, C>, index: number): number | undefined {
  if (index === log.snapshot.index) return log.snapshot.term
  return findEntry(log, index)?.term
}

/** Returns an entry; undefined if the log doesn't hold it. */
export function findEntry<S, C> (log: Log<S, C>, index: number): Entry<C> | undefined {
  const first = log.entries[0]
  return first === undefined ? undefined : log.entries[index - first.index]
}

/** Lists entries from an index on, up to a number of bytes but at least one entry. */
export function listEntriesFrom<S, C> (log: Log<S, C>, index: number, maxBytes: number): ReadonlyArray<Entry<C>> {
  const first = log.entries[0]
  if (first === undefined || index < first.index) return []
  const listed: Array<Entry<C>> = []
  let bytes = 0
  for (let position = index - first.index; position < log.entries.length; position++) {
    const entry = log.entries[position]!
    bytes += entry.bytes
    if (listed.length > 0 && bytes > maxBytes) break
    listed.push(entry)
  }
  return listed
}

/**
 * Appends entries. An existing entry with the same index but another term is removed, with all entries after it.
 * @example appendEntries(log, [entry], committed)
 */
export function appendEntries<S, C extends LogCommand> (log: Log<S, C>, added: ReadonlyArray<Entry<C>>, committed: number): Log<S, C> {
  const first = added[0]
  if (first === undefined) return log
  const last = findLastPoint(log)
  const before = first.index - 1
  assertInvariant(before <= last.index, 'the log has no gap', `${first.index} after ${last.index}`)
  assertInvariant(before >= committed, 'a committed entry is never overwritten', `${first.index} with ${committed} committed`)
  assertInvariant((findTerm(log, before) ?? 0) <= first.term, 'terms never decrease in the log', `${first.term} at ${first.index}`)
  const start = log.entries[0]?.index ?? first.index
  const next: Log<S, C> = { ...log, entries: [...log.entries.slice(0, Math.max(0, first.index - start)), ...added] }
  const truncates = before < last.index
  return truncates ? collectConfiguration(next) : added.reduce<Log<S, C>>(applyConfiguration, next)
}

/** Replaces the snapshot by a later one. Of the entries up to it, only the last `entriesKept` are kept, and no more than `bytesKept` of them. */
export function compactLog<S, C extends LogCommand> (log: Log<S, C>, state: S, index: number, entriesKept: number, bytesKept: number): Log<S, C> {
  const snapshot: Snapshot<S> = { index, term: findTerm(log, index)!, configuration: collectConfigurationAt(log, index), state }
  const firstKept = findFirstKept(log, index, entriesKept, bytesKept)
  return { ...log, snapshot, entries: log.entries.filter(entry => entry.index >= firstKept) }
}

function findFirstKept<S, C> (log: Log<S, C>, index: number, entriesKept: number, bytesKept: number): number {
  let firstKept = index + 1
  let bytes = findEntry(log, index)?.bytes ?? Infinity
  while (bytes <= bytesKept && firstKept > index + 1 - entriesKept) {
    firstKept -= 1
    bytes += findEntry(log, firstKept - 1)?.bytes ?? Infinity
  }
  return firstKept
}

/** Tells whether a majority of each set of members meets a condition. */
export function hasQuorum (configuration: Configuration, matches: (host: string, incarnation: string) => boolean): boolean {
  return calculateQuorumValue(configuration, (host, incarnation) => (matches(host, incarnation) ? 1 : 0)) === 1
}

/** Returns the highest value that a majority of each set has reached. */
export function calculateQuorumValue (configuration: Configuration, read: (host: string, incarnation: string) => number): number {
  const sets = configuration.old === undefined ? [configuration.members] : [configuration.members, configuration.old]
  return Math.min(...sets.map(members => {
    const values = Object.entries(members).map(([host, incarnation]) => read(host, incarnation)).sort((a, b) => b - a)
    return values[Math.floor(values.length / 2)] ?? -Infinity
  }))
}

/** Tells whether a command belongs to the log itself. */
export function isControlCommand<C extends LogCommand> (command: C | ControlCommand): command is ControlCommand {
  return command.kind.startsWith('agreement/')
}

function collectConfiguration<S, C extends LogCommand> (log: Log<S, C>): Log<S, C> {
  const start: Log<S, C> = { ...log, configuration: log.snapshot.configuration, configurationIndex: log.snapshot.index }
  return log.entries.filter(entry => entry.index > log.snapshot.index).reduce<Log<S, C>>(applyConfiguration, start)
}

function applyConfiguration<S, C extends LogCommand> (log: Log<S, C>, entry: Entry<C>): Log<S, C> {
  const configuration = isControlCommand(entry.command) ? changeConfiguration(log.configuration, entry.command) : undefined
  return configuration === undefined ? log : { ...log, configuration, configurationIndex: entry.index }
}

function changeConfiguration (current: Configuration | undefined, command: ControlCommand): Configuration | undefined {
  switch (command.kind) {
    case 'agreement/form': return { members: command.members }
    case 'agreement/replace': return current && { members: replaceMember(current.members, command), old: current.members }
    case 'agreement/settle': return current && { members: current.members }
    case 'agreement/lead': return undefined
  }
}

function replaceMember (members: Members, { host, incarnation, instead }: Extract<ControlCommand, { kind: 'agreement/replace' }>): Members {
  const kept = Object.entries(members).filter(([member]) => member !== instead)
  return { ...Object.fromEntries(kept), [host]: incarnation }
}

function collectConfigurationAt<S, C extends LogCommand> (log: Log<S, C>, index: number): Configuration | undefined {
  return collectConfiguration({ ...log, entries: log.entries.filter(entry => entry.index <= index) }).configuration
}

/** The directory of hosts, databases, primaries and documents, which the leader replicates to every host. */
import type { ServiceDocument } from '../documents/document.js'
import type { LogPosition } from '../core/position.js'

/** A host of the deployment. */
export interface HostEntry {
  readonly kind: 'host'
  readonly host: string
  /** A random identifier of this run of the process. */
  readonly incarnation: string
  readonly failureDomain: string
  readonly peers: string
  readonly draining: boolean
  /** True on a control host, which stores the replicated log. */
  readonly control?: boolean
  /** True on a host that owns no databases. */
  readonly apart?: boolean
}

/** One start of an instance: an identity that a database keeps when it starts again, though it then knows nothing of before. */
export interface Incarnation {
  readonly instance: string
  /** When it started, in Unix milliseconds by its own clock. */
  readonly startedAtMs: number
}

/** A database, as announced by itself. */
export interface DatabaseEntry {
  readonly kind: 'database'
  /** The name; of a database with an incarnation, a new one at each start. */
  readonly database: string
  /** Absent where a database keeps its data, and thus its name, when it starts again. */
  readonly incarnation?: Incarnation
  readonly group: string
  readonly failureDomain: string
  readonly address: string
  readonly slots: number
  /** 0 if the group's document sets the limit. */
  readonly connectionLimit: number
  readonly departing: boolean
  /** True in the view of a host whose directory holds an operators' order to evacuate the failure domain; never announced. */
  readonly evacuated?: boolean
  /** True while the database announces itself as primary; absent if its announcement has no role. */
  readonly leads?: boolean
  /** True while it is cold: it came back a short time ago and takes few requests. */
  readonly cold?: boolean
}

/** Whether a host may commit at the primary of a group: `closing` while commits that it sent are not answered yet. */
export type CommitPhase = 'open' | 'closing' | 'closed'

/**
 * Names the process of a host, as grants do.
 * @example nameProcess('host-2', '1f') // 'host-2/1f'
 */
export function nameProcess (host: string, incarnation: string | undefined): string {
  return `${host}/${incarnation ?? ''}`
}

/** What a host reports of its commit lease in a group, where a replica's copy acknowledges a write. */
export interface WriteReport {
  readonly group: string
  readonly phase: CommitPhase
  /** Covers each commit that was acknowledged to this process of the host, and may be beyond the last of them. */
  readonly acknowledged?: LogPosition
  /** A position up to which a replica holds all commits, since a later one was acknowledged to this process. */
  readonly copied?: LogPosition
}

/** The primary of a group and its term; without a primary during a change. */
export interface GrantEntry {
  readonly kind: 'grant'
  readonly group: string
  readonly term: number
  readonly primary?: string
  /** The databases whose majority must store a write. */
  readonly members: readonly string[]
  /**
   * True while the primary drains: running work ends, and no new work is accepted. Where databases fence themselves, this goes
   * for what may write.
   */
  readonly closing?: boolean
  /** True where a replica's copy acknowledges a write: hosts then need a lease of the leader to commit. */
  readonly leased?: boolean
  /** The processes of hosts that may commit under such a lease, since the log names them; absent if it need not. */
  readonly writers?: readonly string[]
}

/** The document in force of a service. */
export interface DocumentEntry {
  readonly kind: 'document'
  readonly service: string
  readonly version: number
  readonly document: ServiceDocument
}

/** The last operators' order on a failure domain. */
export interface EvacuationEntry {
  readonly kind: 'evacuation'
  readonly failureDomain: string
  readonly evacuated: boolean
  /** The number of the order. */
  readonly version: number
}

/** One entry of the directory. */
export type DirectoryEntry = HostEntry | DatabaseEntry | GrantEntry | DocumentEntry | EvacuationEntry

/** A version of the directory: the epoch of the leader that wrote it, and its number of changes in that epoch. */
export interface Revision {
  readonly epoch: number
  readonly count: number
}

/** A change to one entry; `entry` is absent if it was removed. */
export interface DirectoryChange {
  readonly key: string
  readonly count: number
  readonly entry?: DirectoryEntry
}

/** The directory, with the last change of each entry by key. */
export interface Directory {
  readonly revision: Revision
  readonly changes: ReadonlyMap<string, DirectoryChange>
}

/** The revision of a host that has not received a directory. */
export const INITIAL_REVISION: Revision = { epoch: 0, count: 0 }

/** The status of a database, as last read by its owner. */
export interface DatabaseStatus {
  readonly database: string
  readonly answering: boolean
  readonly primary: boolean
  readonly position: LogPosition
  /** The fencing token: the highest term at which the database was fenced; where databases fence themselves, that at which replication is paused, or 0. */
  readonly fencedTerm: number
  /** The address that a replica replicates from. */
  readonly source?: string
  /** Total number of log entries that the database discarded because no majority stored them. */
  readonly discarded?: number
  /** The age of the status when its owner sent the report, in milliseconds. */
  readonly ageMs?: number
  /**
   * Time without an answer when its owner sent the report, in milliseconds, on the clock of a loop that is on time: an owner
   * that is short of processor time finds answers late. Absent from owners of an earlier version.
   */
  readonly silentMs?: number
}

/**
 * Creates an empty directory of an epoch.
 * @example createDirectory(3).revision // { epoch: 3, count: 0 }
 */
export function createDirectory (epoch: number): Directory {
  return { revision: { epoch, count: 0 }, changes: new Map() }
}

/**
 * Returns the key of an entry.
 * @example getEntryKey({ kind: 'host', host: 'h1', ... }) // 'host/h1'
 */
export function getEntryKey (entry: DirectoryEntry): string {
  switch (entry.kind) {
    case 'host': return `host/${entry.host}`
    case 'database': return `database/${entry.database}`
    case 'grant': return `grant/${entry.group}`
    case 'document': return `document/${entry.service}`
    case 'evacuation': return `evacuation/${entry.failureDomain}`
  }
}

/**
 * Inserts or replaces an entry; the revision advances only if the entry differs.
 * @example putEntry(directory, grant)
 */
export function putEntry (directory: Directory, entry: DirectoryEntry): Directory {
  const key = getEntryKey(entry)
  const known = directory.changes.get(key)?.entry
  if (known !== undefined && JSON.stringify(known) === JSON.stringify(entry)) return directory
  return changeEntry(directory, key, entry)
}

/**
 * Removes an entry from the directory; the revision advances only if the entry existed.
 * @example removeEntry(directory, 'host/h1')
 */
export function removeEntry (directory: Directory, key: string): Directory {
  if (directory.changes.get(key)?.entry === undefined) return directory
  return changeEntry(directory, key, undefined)
}

function changeEntry (directory: Directory, key: string, entry: DirectoryEntry | undefined): Directory {
  const count = directory.revision.count + 1
  const changes = new Map(directory.changes)
  changes.set(key, { key, count, entry })
  return { revision: { epoch: directory.revision.epoch, count }, changes }
}

/**
 * Lists the changes after a revision, or all of them if the revision is of another epoch. Removed entries are listed, too:
 * the receiver may have got an earlier list of this epoch meanwhile, and a relay passes its copy on to hosts that have.
 * @example listChangesSince(directory, { epoch: 3, count: 17 })
 */
export function listChangesSince (directory: Directory, since: Revision): readonly DirectoryChange[] {
  const all = [...directory.changes.values()]
  return since.epoch === directory.revision.epoch ? all.filter(change => change.count > since.count) : all
}

/**
 * Applies changes received from a leader; changes of another epoch replace the whole directory.
 * @example applyChanges(directory, { epoch: 3, count: 18 }, changes)
 */
export function applyChanges (directory: Directory, revision: Revision, received: readonly DirectoryChange[]): Directory {
  const same = directory.revision.epoch === revision.epoch
  const changes = new Map(same ? directory.changes : [])
  for (const change of received) changes.set(change.key, change)
  return { revision, changes }
}

/**
 * Lists the entries of one kind.
 * @example listEntries(directory, 'host')
 */
export function listEntries<K extends DirectoryEntry['kind']> (directory: Directory, kind: K): ReadonlyArray<Extract<DirectoryEntry, { kind: K }>> {
  const entries: Array<Extract<DirectoryEntry, { kind: K }>> = []
  for (const { entry } of directory.changes.values()) {
    if (entry?.kind === kind) entries.push(entry as Extract<DirectoryEntry, { kind: K }>)
  }
  return entries
}

/**
 * Lists the rates of cold databases by group. A group without a rate has 0: a new leader may name databases before documents,
 * and the rates known stay in force until then.
 * @example listColdRates(directory).get('a') // 20
 */
export function listColdRates (directory: Directory): ReadonlyMap<string, number> {
  const groups = listEntries(directory, 'document').flatMap(({ document }) => document.groups)
  return new Map(groups.map(({ name, coldRate = 0 }) => [name, coldRate]))
}

/**
 * Returns the entry of a database without the mark that it is cold.
 * @example dropCold({ ...entry, cold: true }).cold // undefined
 */
export function dropCold (entry: DatabaseEntry): DatabaseEntry {
  if (entry.cold === undefined) return entry
  const { cold: _, ...rest } = entry
  return rest
}

/** The directory: what every host knows of hosts, databases, primaries and documents. */
import type { ServiceDocument } from '../documents/document.js'
import type { LogPosition } from '../core/position.js'

/** A host as others reach it. */
export interface HostEntry {
  readonly kind: 'host'
  readonly host: string
  /** Drawn at each start of the process. */
  readonly incarnation: string
  readonly failureDomain: string
  readonly peers: string
  readonly draining: boolean
  /** True on a host that keeps the log. */
  readonly control?: boolean
  /** True on a host that takes no work for databases. */
  readonly apart?: boolean
}

/** A database as it announced itself. */
export interface DatabaseEntry {
  readonly kind: 'database'
  readonly database: string
  readonly group: string
  readonly failureDomain: string
  readonly address: string
  readonly slots: number
  /** 0 where the group's document says it. */
  readonly connectionLimit: number
  readonly departing: boolean
  /** True while the database says that it is primary; absent where it does not say. */
  readonly leads?: boolean
}

/** Which database of a group is primary, in which term; without a primary while it changes. */
export interface GrantEntry {
  readonly kind: 'grant'
  readonly group: string
  readonly term: number
  readonly primary?: string
  /** The databases whose majority must store a write. */
  readonly members: readonly string[]
  /** True while the primary finishes what it runs and takes nothing new. */
  readonly closing?: boolean
}

/** A service's document in force. */
export interface DocumentEntry {
  readonly kind: 'document'
  readonly service: string
  readonly version: number
  readonly document: ServiceDocument
}

/** One entry of the directory. */
export type DirectoryEntry = HostEntry | DatabaseEntry | GrantEntry | DocumentEntry

/** A point in the directory's history: the epoch of the leader that wrote it, and its count of changes. */
export interface Revision {
  readonly epoch: number
  readonly count: number
}

/** A change to one entry; an absent entry was dropped. */
export interface DirectoryChange {
  readonly key: string
  readonly count: number
  readonly entry?: DirectoryEntry
}

/** The directory with the revision at which each entry last changed. */
export interface Directory {
  readonly revision: Revision
  readonly changes: ReadonlyMap<string, DirectoryChange>
}

/** The revision before any directory. */
export const NO_REVISION: Revision = { epoch: 0, count: 0 }

/** The state of a database, as its owner last read it. */
export interface DatabaseStatus {
  readonly database: string
  readonly answering: boolean
  readonly primary: boolean
  readonly position: LogPosition
  /** The highest term that fenced the database. */
  readonly fencedTerm: number
  /** The address that a replica follows. */
  readonly source?: string
  /** How many entries the database ever discarded, because no majority stored them. */
  readonly discarded?: number
  /** The age of the status when its owner reported it. */
  readonly ageMs?: number
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
 * @example readEntryKey({ kind: 'host', host: 'h1', ... }) // 'host/h1'
 */
export function readEntryKey (entry: DirectoryEntry): string {
  switch (entry.kind) {
    case 'host': return `host/${entry.host}`
    case 'database': return `database/${entry.database}`
    case 'grant': return `grant/${entry.group}`
    case 'document': return `document/${entry.service}`
  }
}

/**
 * Puts an entry into the directory; the revision moves only when the entry differs.
 * @example putEntry(directory, grant)
 */
export function putEntry (directory: Directory, entry: DirectoryEntry): Directory {
  const key = readEntryKey(entry)
  const known = directory.changes.get(key)?.entry
  if (known !== undefined && JSON.stringify(known) === JSON.stringify(entry)) return directory
  return changeEntry(directory, key, entry)
}

/**
 * Drops an entry from the directory.
 * @example dropEntry(directory, 'host/h1')
 */
export function dropEntry (directory: Directory, key: string): Directory {
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
 * Lists what changed after a revision; everything when the revision is of another epoch.
 * @example listChangesSince(directory, { epoch: 3, count: 17 })
 */
export function listChangesSince (directory: Directory, since: Revision): readonly DirectoryChange[] {
  const all = [...directory.changes.values()]
  if (since.epoch !== directory.revision.epoch) return all.filter(change => change.entry !== undefined)
  return all.filter(change => change.count > since.count)
}

/**
 * Applies changes that a leader sent; those of another epoch replace the whole directory.
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

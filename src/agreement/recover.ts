/** Recovery of a replica's state from its journal. */
import type { Entry, LogCommand, Snapshot } from './log.js'
import type { JournalRecord, HardState, RecoveredState } from './replica.js'

/** The contents of a journal. The journal treats them as opaque; they are interpreted here. */
export interface JournalledState {
  readonly incarnation: string
  readonly snapshot?: unknown
  readonly records: readonly unknown[]
}

/**
 * Returns the last term and vote, and the log's entries after the snapshot.
 * @example recoverReplica<Catalog, CatalogCommand>(journal.contents).mark.term
 */
export function recoverReplica<S, C extends LogCommand> (contents: JournalledState): RecoveredState<S, C> {
  let hardState: HardState = { term: 0 }
  let entries: Array<Entry<C>> = []
  for (const record of contents.records as ReadonlyArray<JournalRecord<C>>) {
    if (record.kind === 'mark') hardState = record.mark
    else entries = insertEntry(entries, record.entry)
  }
  const snapshot = contents.snapshot as Snapshot<S> | undefined
  return { incarnation: contents.incarnation, mark: hardState, snapshot, entries: snapshot === undefined ? entries : listEntriesAfter(snapshot, entries) }
}

// An entry at an existing index replaces the earlier entry and all entries after it.
function insertEntry<C> (entries: Array<Entry<C>>, entry: Entry<C>): Array<Entry<C>> {
  const position = entry.index - (entries[0]?.index ?? entry.index)
  if (position === entries.length) {
    entries.push(entry)
    return entries
  }
  return [...entries.slice(0, Math.max(0, position)), entry]
}

// A crash can leave an installed snapshot next to the records that it should have replaced. Those records are valid
// only if they contain the snapshot's own entry, or start right after it.
function listEntriesAfter<S, C> (snapshot: Snapshot<S>, entries: ReadonlyArray<Entry<C>>): ReadonlyArray<Entry<C>> {
  const snapshotEntry = entries.find(entry => entry.index === snapshot.index)
  const after = entries.filter(entry => entry.index > snapshot.index)
  const valid = snapshotEntry === undefined ? after[0]?.index === snapshot.index + 1 : snapshotEntry.term === snapshot.term
  return valid ? after : []
}

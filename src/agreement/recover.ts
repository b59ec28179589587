/** Recovery: what a replica knows again from its journal. */
import type { Entry, LogCommand, Snapshot } from './log.js'
import type { JournalRecord, Mark, Recovered } from './replica.js'

/** What the journal gives back: opaque to it, known here. */
export interface JournalledState {
  readonly incarnation: string
  readonly snapshot?: unknown
  readonly records: readonly unknown[]
}

/**
 * Collects the last term and vote, and the log's entries after the snapshot.
 * @example recoverReplica<Catalog, CatalogCommand>(journal.contents).mark.term
 */
export function recoverReplica<S, C extends LogCommand> (contents: JournalledState): Recovered<S, C> {
  let mark: Mark = { term: 0 }
  let entries: Array<Entry<C>> = []
  for (const record of contents.records as ReadonlyArray<JournalRecord<C>>) {
    if (record.kind === 'mark') mark = record.mark
    else entries = putEntry(entries, record.entry)
  }
  const snapshot = contents.snapshot as Snapshot<S> | undefined
  return { incarnation: contents.incarnation, mark, snapshot, entries: snapshot === undefined ? entries : listAfter(snapshot, entries) }
}

// An entry at a place that is taken cuts off the earlier one and all after it.
function putEntry<C> (entries: Array<Entry<C>>, entry: Entry<C>): Array<Entry<C>> {
  const place = entry.index - (entries[0]?.index ?? entry.index)
  if (place === entries.length) {
    entries.push(entry)
    return entries
  }
  return [...entries.slice(0, Math.max(0, place)), entry]
}

// A crash can leave an installed snapshot beside records that it was to replace: those fit only if
// they hold the snapshot's own entry, or begin right after it.
function listAfter<S, C> (snapshot: Snapshot<S>, entries: ReadonlyArray<Entry<C>>): ReadonlyArray<Entry<C>> {
  const own = entries.find(entry => entry.index === snapshot.index)
  const after = entries.filter(entry => entry.index > snapshot.index)
  const fits = own === undefined ? after[0]?.index === snapshot.index + 1 : own.term === snapshot.term
  return fits ? after : []
}

/** What the journal stores and reports. Records and snapshots are opaque to it. */
import type { Effect } from '../core/message.js'

/** Stores records; they are synced before the write is reported. */
export interface JournalAppend extends Effect {
  readonly kind: 'journal/append'
  /** Counts the writes of this process. */
  readonly write: number
  readonly records: readonly unknown[]
}

/** Stores a snapshot and the records that follow it, in place of all that was stored before. */
export interface JournalSnapshot extends Effect {
  readonly kind: 'journal/snapshot'
  readonly write: number
  readonly snapshot: unknown
  readonly records: readonly unknown[]
}

/** The effects of the journal. */
export type JournalEffect = JournalAppend | JournalSnapshot

/** What a folder held when it was opened. */
export interface JournalContents {
  /** Drawn when the folder was created, and again after damage. */
  readonly incarnation: string
  readonly snapshot?: unknown
  readonly records: readonly unknown[]
  /** Why the earlier contents were set aside; absent when they are whole. */
  readonly damage?: string
  /** Bytes of an unfinished write that were cut off at the end. */
  readonly cutBytes: number
}

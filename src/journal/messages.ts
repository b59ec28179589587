/** Effects and contents of the journal. Records and snapshots are opaque to it. */
import type { Effect } from '../core/message.js'

/** Appends records; the write is reported after they are synced. */
export interface JournalAppend extends Effect {
  readonly kind: 'journal/append'
  /** Sequence number of the write in this process. */
  readonly write: number
  readonly records: readonly unknown[]
}

/** Replaces all earlier contents by a snapshot and the records that follow it. */
export interface JournalSnapshot extends Effect {
  readonly kind: 'journal/snapshot'
  readonly write: number
  readonly snapshot: unknown
  readonly records: readonly unknown[]
}

/** Effects that the journal executes. */
export type JournalEffect = JournalAppend | JournalSnapshot

/** The contents of a data folder when it was opened. */
export interface JournalContents {
  /** Random identifier, drawn when the folder was created, and again after damage. */
  readonly incarnation: string
  readonly snapshot?: unknown
  readonly records: readonly unknown[]
  /** Why the earlier contents were moved aside; absent if they were valid. */
  readonly damage?: string
  /** Bytes of an unfinished write that were truncated at the end. */
  readonly truncatedBytes: number
}

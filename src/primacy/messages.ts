/** Messages of the primacy slice: which database of a group is primary. */
import type { DatabaseEntry, DatabaseStatus, Revision } from '../membership/directory.js'

/** A host reported to the leader. */
export interface Reported {
  readonly kind: 'primacy/reported'
  readonly host: string
  readonly statuses: readonly DatabaseStatus[]
  readonly databases: readonly DatabaseEntry[]
  /** The revision that the host has in force. */
  readonly revision: Revision
}

/** Any message of the primacy slice. */
export type PrimacyMessage = Reported

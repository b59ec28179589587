/** Messages of the primacy slice: which database of a group is primary. */
import type { DatabaseEntry, DatabaseStatus, Revision } from '../membership/directory.js'
import type { GroupsTable, PrimacyCommand } from './table.js'

/** A host reported to the leader. */
export interface Reported {
  readonly kind: 'primacy/reported'
  readonly host: string
  readonly statuses: readonly DatabaseStatus[]
  readonly databases: readonly DatabaseEntry[]
  /** The revision that the host has in force. */
  readonly revision: Revision
}

/** This host became or ceased to be the leader. */
export interface Leadership {
  readonly kind: 'primacy/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: GroupsTable
}

/** A command was committed and applied on this host. */
export interface Applied {
  readonly kind: 'primacy/applied'
  /** The proposal that this host made, if it was this host's. */
  readonly proposal?: string
  readonly command: PrimacyCommand
  readonly table: GroupsTable
}

/** Any message of the primacy slice. */
export type PrimacyMessage = Reported | Leadership | Applied

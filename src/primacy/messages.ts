/** Messages of the primacy slice: which database of a group is primary. */
import type { DatabaseEntry, DatabaseStatus, GrantEntry, Revision } from '../membership/directory.js'
import type { GroupsTable, PrimacyCommand } from './table.js'

/** A host reported to the leader. */
export interface Reported {
  readonly kind: 'primacy/reported'
  readonly host: string
  readonly failureDomain: string
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

/** The documents in force name these groups. */
export interface Documents {
  readonly kind: 'primacy/documents'
  readonly groups: ReadonlyArray<{ readonly name: string, readonly databases: number }>
}

/** A grant stands in the leader's directory. */
export interface Published {
  readonly kind: 'primacy/published'
  readonly entry: GrantEntry
  /** A revision that includes the grant. */
  readonly revision: Revision
}

/** Time for the leader to look at all groups. */
export interface CheckDue {
  readonly kind: 'primacy/check-due'
}

/** A command to a database. */
export type DatabaseAction = 'fence' | 'promote' | 'follow'

/** The leader asks a database's owner to command it. */
export interface Command {
  readonly kind: 'primacy/command'
  readonly from?: string
  readonly action: DatabaseAction
  readonly database: string
  readonly address: string
  readonly term: number
  /** The address of the primary to follow. */
  readonly source?: string
}

/** A database carried a command out, or refused it when its status is absent. */
export interface Commanded {
  readonly kind: 'primacy/commanded'
  /** The leader that asked. */
  readonly asker: string
  readonly action: DatabaseAction
  readonly database: string
  readonly term: number
  /** The status after the command. */
  readonly status?: DatabaseStatus
}

/** An owner tells the leader of a command's outcome. */
export interface Obeyed {
  readonly kind: 'primacy/obeyed'
  readonly action: DatabaseAction
  readonly database: string
  readonly term: number
  readonly status: DatabaseStatus
}

/** An operator wants another primary. */
export interface Move {
  readonly kind: 'primacy/move'
  /** The host that the operator called. */
  readonly from?: string
  readonly operation: string
  readonly group: string
  readonly database: string
}

/** Any message of the primacy slice. */
export type PrimacyMessage = Reported | Leadership | Applied | Documents | Published | CheckDue | Command | Commanded | Obeyed | Move

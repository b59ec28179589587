/** Messages of the primacy slice, which manages the primary of each group. */
import type { DatabaseEntry, DatabaseStatus, GrantEntry, Revision } from '../membership/directory.js'
import type { GroupsTable, PrimacyCommand } from './table.js'

/** A host sent a heartbeat to the leader. */
export interface HostReported {
  readonly kind: 'primacy/reported'
  readonly host: string
  readonly failureDomain: string
  readonly statuses: readonly DatabaseStatus[]
  readonly databases: readonly DatabaseEntry[]
  /** The revision of the host's directory. */
  readonly revision: Revision
}

/** This host became the leader or stopped leading. */
export interface LeadershipChanged {
  readonly kind: 'primacy/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: GroupsTable
}

/** A command was committed and applied on this host. */
export interface CommandApplied {
  readonly kind: 'primacy/applied'
  /** The identifier of the proposal, if this host made it. */
  readonly proposal?: string
  readonly command: PrimacyCommand
  readonly table: GroupsTable
}

/** The groups of the documents in force changed. */
export interface DocumentsChanged {
  readonly kind: 'primacy/documents'
  readonly groups: ReadonlyArray<{ readonly name: string, readonly databases: number }>
}

/** The evacuated failure domains changed: the primary of a group is to be elsewhere, if another member can lead. */
export interface EvacuationsChanged {
  readonly kind: 'primacy/evacuated'
  readonly domains: ReadonlySet<string>
}

/** A grant was inserted into the leader's directory. */
export interface GrantPublished {
  readonly kind: 'primacy/published'
  readonly entry: GrantEntry
  /** A directory revision that includes the grant. */
  readonly revision: Revision
}

/** The leader's timer for checking all groups fired. */
export interface CheckDue {
  readonly kind: 'primacy/check-due'
}

/** The action of a command to a database. */
export type DatabaseAction = 'fence' | 'promote' | 'follow'

/** The leader sends a command to the owner of a database. */
export interface DatabaseCommand {
  readonly kind: 'primacy/command'
  readonly from?: string
  readonly action: DatabaseAction
  readonly database: string
  readonly address: string
  readonly term: number
  /** The address of the primary to follow. */
  readonly source?: string
}

/** A command to a database was executed; it failed or was refused if `status` is absent. */
export interface CommandExecuted {
  readonly kind: 'primacy/commanded'
  /** The leader that sent the command. */
  readonly asker: string
  readonly action: DatabaseAction
  readonly database: string
  readonly term: number
  /** The status after the command. */
  readonly status?: DatabaseStatus
}

/** An owner reports the outcome of a command to the leader. */
export interface CommandOutcome {
  readonly kind: 'primacy/obeyed'
  readonly action: DatabaseAction
  readonly database: string
  readonly term: number
  readonly status: DatabaseStatus
}

/** An operator requests another primary. */
export interface MovePrimary {
  readonly kind: 'primacy/move'
  /** The host that the operator called. */
  readonly from?: string
  readonly operation: string
  readonly group: string
  readonly database: string
}

/** Any message of the primacy slice. */
export type PrimacyMessage = HostReported | LeadershipChanged | CommandApplied | DocumentsChanged | EvacuationsChanged | GrantPublished | CheckDue | DatabaseCommand | CommandExecuted | CommandOutcome | MovePrimary

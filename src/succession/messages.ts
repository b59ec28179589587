/** Messages of the succession slice: who leads a group whose databases fence themselves. */
import type { LogPosition } from '../core/position.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import type { SuccessionCommand, SuccessionTable } from './table.js'

/** This host became or ceased to be the leader. */
export interface Leadership {
  readonly kind: 'succession/leadership'
  readonly leads: boolean
  readonly epoch: number
  readonly table: SuccessionTable
}

/** A command was committed and applied on this host. */
export interface Applied {
  readonly kind: 'succession/applied'
  readonly command: SuccessionCommand
  readonly table: SuccessionTable
}

/** A host reported to the leader. */
export interface Reported {
  readonly kind: 'succession/reported'
  readonly host: string
  readonly failureDomain: string
  /** True for a host that takes no work for databases. */
  readonly apart: boolean
  /** The leader's time at which the report left; absent when the host could not reckon it. */
  readonly leftAtMs?: number
  readonly statuses: readonly DatabaseStatus[]
  readonly databases: readonly DatabaseEntry[]
  /** True for databases that nobody has seen since the control hosts were restarted. */
  readonly remembered?: true
}

/** A database ended, by its own word. */
export interface Withdrawn {
  readonly kind: 'succession/withdrawn'
  readonly database: string
}

/** How many replicas hold a write of each group before its primary acknowledges it. */
export interface Documents {
  readonly kind: 'succession/documents'
  readonly copies: ReadonlyMap<string, number>
}

/** A replica stopped receiving from its primary, and told where it stands. */
export interface Fenced {
  readonly kind: 'succession/fenced'
  readonly group: string
  readonly database: string
  readonly position: LogPosition
}

/** Time for the leader to look at all groups. */
export interface CheckDue {
  readonly kind: 'succession/check-due'
}

/** How a call ended: done, refused for good, told to come later, or without an answer. */
export type CallOutcome = 'done' | 'refused' | 'throttled' | 'unanswered'

/** The call that makes a database primary was answered, or was not. */
export interface Answered {
  readonly kind: 'succession/answered'
  readonly group: string
  readonly appointment: number
  readonly outcome: CallOutcome
}

/** Any message of the succession slice. */
export type SuccessionMessage = Leadership | Applied | Reported | Withdrawn | Documents | Fenced | CheckDue | Answered

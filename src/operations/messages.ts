/** Messages of the operations slice: what operators ask of a host. */

/** A command of an operator. */
export interface ApplyCommand {
  readonly name: 'document/apply'
  readonly text: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
}

/** Makes another database of a group its primary, without losing or refusing a write. */
export interface MoveCommand {
  readonly name: 'primacy/move'
  readonly group: string
  /** The database that becomes primary. */
  readonly database: string
}

/** Any command of an operator. */
export type Command = ApplyCommand | MoveCommand

/** An operator asks this host. */
export interface Asked {
  readonly kind: 'operations/asked'
  /** Names the waiting call on this host. */
  readonly operation: string
  readonly requestId: string
  readonly command: Command
}

/** The leader decided on a command. */
export interface Answered {
  readonly kind: 'operations/answered'
  readonly operation: string
  /** JSON; its shape is that of the command's outcome. */
  readonly outcome: unknown
}

/** The control hosts' leader changed, as far as this host knows. */
export interface LeaderKnown {
  readonly kind: 'operations/leader-known'
  readonly leader: string | undefined
}

/** Any message of the operations slice. */
export type OperationsMessage = Asked | Answered | LeaderKnown

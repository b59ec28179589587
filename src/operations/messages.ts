/** Messages of the operations slice: what operators ask of a host. */
import type { TimelineQuery } from '../timeline/messages.js'

/** Puts a document in place of the version that the operator edited. */
export interface ApplyCommand {
  readonly name: 'document/apply'
  readonly text: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
  /** True to be answered only when the document is in force everywhere. */
  readonly wait?: boolean
}

/** Shows a service's document. */
export interface ShowCommand {
  readonly name: 'document/show'
  readonly service: string
}

/** Lists the services and the versions of their documents. */
export interface ListCommand {
  readonly name: 'document/list'
}

/** Makes a database the primary of its group, without a lost write. */
export interface MoveCommand {
  readonly name: 'primary/move'
  readonly group: string
  readonly database: string
}

/** Takes a host out of service. */
export interface DrainCommand {
  readonly name: 'host/drain'
  readonly host: string
}

/** Shows hosts, databases, groups and the revision in force. */
export interface StatusCommand {
  readonly name: 'status'
  /** True to read what the asked host has in force, without asking the leader. */
  readonly local?: boolean
}

/** Merges the time lines of all processes. */
export interface TimelineCommand extends TimelineQuery {
  readonly name: 'timeline/read'
}

/** Any command of an operator. */
export type Command = ApplyCommand | ShowCommand | ListCommand | MoveCommand | DrainCommand | StatusCommand | TimelineCommand

/** The outcome of a command that was not carried out. */
export interface CommandError {
  readonly error: 'bad-command' | 'unknown-command' | 'unknown-host' | 'no-leader' | 'no-answer'
  readonly text: string
}

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

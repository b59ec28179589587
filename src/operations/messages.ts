/** Messages of the operations slice: operators' commands and their outcomes. */
import type { InferOutput } from 'valibot'
import type { Finding } from '../core/findings.js'
import type { ServiceDocument } from '../documents/document.js'
import type { CommandSchema } from './commands.js'

/** Replaces a document of a lower version; the operators' front end has validated it. */
export interface ReplaceConfiguration {
  readonly name: 'configuration/replace'
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Reads the current text of a document, as a linearizable read. */
export interface ReadConfiguration {
  readonly name: 'configuration/read'
  readonly service: string
}

/** Any command of an operator. */
export type Command = InferOutput<typeof CommandSchema> | ReplaceConfiguration | ReadConfiguration

/** The outcome of a command that failed. */
export interface CommandError {
  readonly error: string
  readonly text?: string
  readonly findings?: readonly Finding[]
}

/** Applies a document. */
export type ApplyCommand = Extract<Command, { readonly name: 'document/apply' }>

/** An operator sent a command to this host. */
export interface CommandRequest {
  readonly kind: 'operations/asked'
  /** Identifies the pending call on this host. */
  readonly operation: string
  readonly requestId: string
  readonly command: Command
}

/** A command was answered. */
export interface CommandAnswered {
  readonly kind: 'operations/answered'
  readonly operation: string
  /** The outcome as JSON; its shape depends on the command. */
  readonly outcome: unknown
}

/** The leader of the control hosts changed in the view of this host. */
export interface LeaderChanged {
  readonly kind: 'operations/leader-known'
  readonly leader: string | undefined
}

/** The control hosts, any of which answers a read. */
export interface ControlHostsKnown {
  readonly kind: 'operations/control-known'
  readonly control: readonly string[]
}

/** The periodic check of pending calls is due. */
export interface RetryDue {
  readonly kind: 'operations/retry-due'
}

/** The last order on each failure domain that this host knows, by number. */
export interface OrdersKnown {
  readonly kind: 'operations/orders-known'
  readonly orders: ReadonlyMap<string, number>
}

/** Any message of the operations slice. */
export type OperationsMessage = CommandRequest | CommandAnswered | LeaderChanged | ControlHostsKnown | OrdersKnown | RetryDue

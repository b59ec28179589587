/** Messages of the operations slice: what operators ask of a host. */
import type { InferOutput } from 'valibot'
import type { Finding } from '../core/findings.js'
import type { ServiceDocument } from '../documents/document.js'
import type { CommandSchema } from './commands.js'

/** Replaces a document whose version is lower, as a front end of operators has checked it. */
export interface ReplaceConfiguration {
  readonly name: 'configuration/replace'
  readonly version: number
  readonly text: string
  readonly document: ServiceDocument
}

/** Reads the text of a document, surely no earlier than the call. */
export interface ReadConfiguration {
  readonly name: 'configuration/read'
  readonly service: string
}

/** Any command of an operator. */
export type Command = InferOutput<typeof CommandSchema> | ReplaceConfiguration | ReadConfiguration

/** The outcome of a command that was not carried out. */
export interface CommandError {
  readonly error: string
  readonly text?: string
  readonly findings?: readonly Finding[]
}

/** Applies a document. */
export type ApplyCommand = Extract<Command, { readonly name: 'document/apply' }>

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

/** Time to see whether calls wait in vain. */
export interface RetryDue {
  readonly kind: 'operations/retry-due'
}

/** Any message of the operations slice. */
export type OperationsMessage = Asked | Answered | LeaderKnown | RetryDue

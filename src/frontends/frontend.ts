/** What a front end is: it reads callers' requests and writes their answers, and decides nothing. */
import { Adapter } from '../core/adapter.js'
import type { Failure } from '../core/errors.js'
import type { Effect } from '../core/message.js'
import type { TransactionStatus } from '../requests/messages.js'

/** Lets a caller in. */
export interface CallerOpened extends Effect {
  readonly kind: 'caller/opened'
  readonly caller: string
}

/** Turns a caller away and closes its connection. */
export interface CallerRefused extends Effect {
  readonly kind: 'caller/refused'
  readonly caller: string
  readonly failure: Failure
}

/** Writes a part of an answer. */
export interface CallerOutput extends Effect {
  readonly kind: 'caller/output'
  readonly caller: string
  readonly payload: Uint8Array
}

/** Writes the end of an answer: the acknowledgement of what it wrote. */
export interface CallerFinished extends Effect {
  readonly kind: 'caller/finished'
  readonly caller: string
  readonly payload: Uint8Array
  readonly status: TransactionStatus
  /** The session token after the request; absent when it stays. */
  readonly session?: string
}

/** Ends an answer with a failure. */
export interface CallerFailed extends Effect {
  readonly kind: 'caller/failed'
  readonly caller: string
  readonly failure: Failure
  readonly status: TransactionStatus
}

/** Answers the end of a transaction that was lost: it is rolled back. */
export interface CallerRolledBack extends Effect {
  readonly kind: 'caller/rolled-back'
  readonly caller: string
}

/** Takes no new callers, and ends each one's connection as soon as it is idle. */
export interface StopAccepting extends Effect {
  readonly kind: 'caller/stop-accepting'
}

/** The effects that name a caller. */
export type CallerEffect = CallerRolledBack | CallerOpened | CallerRefused | CallerOutput | CallerFinished | CallerFailed

/** Reads requests from callers and writes answers to them. */
export abstract class FrontEnd extends Adapter {
  readonly name = 'caller'

  abstract override execute (effect: CallerEffect | StopAccepting): void

  /** Stops taking new callers, and ends each caller's connection once it has no request and no transaction. */
  abstract stopAccepting (): void

  /** Closes all callers' connections. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

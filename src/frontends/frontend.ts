/** The interface of front ends: they read callers' requests and write answers, and make no decisions. */
import { Adapter } from '../core/adapter.js'
import type { Failure } from '../core/errors.js'
import type { Effect } from '../core/message.js'
import type { TransactionStatus } from '../requests/messages.js'

/** Accepts a caller. */
export interface CallerOpened extends Effect {
  readonly kind: 'caller/opened'
  readonly caller: string
}

/** Refuses a caller and closes its connection. */
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

/** Writes the end of an answer, which acknowledges a write. */
export interface CallerFinished extends Effect {
  readonly kind: 'caller/finished'
  readonly caller: string
  readonly payload: Uint8Array
  readonly status: TransactionStatus
  /** The session token after the request; absent when it is unchanged. */
  readonly session?: string
}

/** Ends an answer with a failure. */
export interface CallerFailed extends Effect {
  readonly kind: 'caller/failed'
  readonly caller: string
  readonly failure: Failure
  readonly status: TransactionStatus
}

/** Answers a COMMIT or ROLLBACK of a transaction that was lost: it is rolled back. */
export interface CallerRolledBack extends Effect {
  readonly kind: 'caller/rolled-back'
  readonly caller: string
}

/** Stops accepting callers, and closes each connection as soon as it is idle. */
export interface StopAccepting extends Effect {
  readonly kind: 'caller/stop-accepting'
}

/** Asks how many callers have not been sent the whole of their answers. */
export interface CountUnsentAnswers extends Effect {
  readonly kind: 'caller/count-unsent'
}

/** The effects that name a caller. */
export type CallerEffect = CallerRolledBack | CallerOpened | CallerRefused | CallerOutput | CallerFinished | CallerFailed

/** The effects that concern all callers. */
export type FrontEndEffect = StopAccepting | CountUnsentAnswers

/** Reads requests from callers and writes answers to them. */
export abstract class FrontEnd extends Adapter {
  readonly name = 'caller'

  abstract override execute (effect: CallerEffect | FrontEndEffect): void

  /** Stops accepting callers, and closes each connection once it has no running request and no open transaction. */
  abstract stopAccepting (): void

  /** Closes all callers' connections. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

/** The steps of the requests slice, and the effects that several of its decisions share. */
import { clearTimer, type CoreEffect } from '../core/message.js'
import type { Store, StoreStep } from '../core/store.js'
import type { CallerEffect } from '../frontends/frontend.js'
import { formatToken } from '../sessions/token.js'
import type { TransactionStatus } from './messages.js'
import type { Caller, RequestsShared } from './state.js'
import { sendPeer } from '../messages.js'

/** The effects of the requests slice. */
export type RequestsEffect = CoreEffect | CallerEffect
/** The records of the requests slice. */
export type RequestsStore = Store<RequestsShared, Caller>
/** The outcome of a decision of the requests slice. */
export type RequestsStep = StoreStep<RequestsShared, Caller, RequestsEffect>

/**
 * Creates the step that replaces one caller's record.
 * @example replaceCaller({ ...caller, open: true }, [])
 */
export function replaceCaller (caller: Caller, effects: readonly RequestsEffect[]): RequestsStep {
  return { changes: [[caller.caller, caller]], effects }
}

/**
 * Returns the state of a caller's transaction as its protocol shows it.
 * @example readStatus(caller) // 'idle'
 */
export function readStatus ({ transaction }: Caller): TransactionStatus {
  if (transaction === undefined) return 'idle'
  return transaction.phase === 'open' ? 'open' : 'failed'
}

/**
 * Creates the end of an answer.
 * @example createFinished(caller, payload)
 */
export function createFinished (caller: Caller, payload: Uint8Array): Extract<CallerEffect, { kind: 'caller/finished' }> {
  return { kind: 'caller/finished', caller: caller.caller, payload, status: readStatus(caller), session: formatToken(caller.service, caller.session) }
}

/**
 * Creates the effects that end what a caller has at the owner of a database: its request and its transaction.
 * @example createCancel(caller)
 */
export function createCancel (caller: Caller): readonly RequestsEffect[] {
  const target = caller.running?.target ?? caller.transaction?.target
  if (target === undefined || caller.ticket === undefined) return []
  return [sendPeer(target.owner, { kind: 'transactions/cancel', database: target.database, caller: caller.caller, attempt: caller.attempts, ticket: caller.ticket })]
}

/**
 * Creates the effects that drop a caller's timers.
 * @example createTimersCleared('host-1/4f/7')
 */
export function createTimersCleared (caller: string): readonly CoreEffect[] {
  return [clearTimer(`requests/deadline/${caller}`), clearTimer(`requests/retry/${caller}`), clearTimer(`requests/late/${caller}`)]
}

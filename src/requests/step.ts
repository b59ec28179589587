/** Step types of the requests slice, and effects that several of its decisions share. */
import { clearTimer, type CoreEffect } from '../core/message.js'
import type { Store, StoreStep } from '../core/store.js'
import type { CallerEffect } from '../frontends/frontend.js'
import { formatToken } from '../sessions/token.js'
import type { TransactionStatus } from './messages.js'
import type { Caller, OpenTransaction, RequestsShared } from './state.js'
import { sendPeer } from '../messages.js'

/** The effects of the requests slice. */
export type RequestsEffect = CoreEffect | CallerEffect
/** Store of the requests slice. */
export type RequestsStore = Store<RequestsShared, Caller>
/** The outcome of a decision of the requests slice. */
export type RequestsStep = StoreStep<RequestsShared, Caller, RequestsEffect>

/**
 * Creates a step that replaces the record of one caller.
 * @example replaceCaller({ ...caller, open: true }, [])
 */
export function replaceCaller (caller: Caller, effects: readonly RequestsEffect[]): RequestsStep {
  return { changes: [[caller.caller, caller]], effects }
}

/**
 * Returns the transaction status that the caller's protocol reports.
 * @example getTransactionStatus(caller) // 'idle'
 */
export function getTransactionStatus ({ transaction }: Caller): TransactionStatus {
  if (transaction === undefined) return 'idle'
  return transaction.phase === 'open' ? 'open' : 'failed'
}

/**
 * Tells whether the database may still hold a transaction, so that it can be rolled back there. Of a lost one nobody knows
 * whether it was committed; a revoked one was rolled back.
 * @example isActive(caller.transaction) // true
 */
export function isActive (transaction: OpenTransaction | undefined): transaction is OpenTransaction {
  return transaction?.phase === 'open' || transaction?.phase === 'failed'
}

/**
 * Creates the effect that ends an answer.
 * @example createFinishedEffect(caller, payload)
 */
export function createFinishedEffect (caller: Caller, payload: Uint8Array): Extract<CallerEffect, { kind: 'caller/finished' }> {
  return { kind: 'caller/finished', caller: caller.caller, payload, status: getTransactionStatus(caller), session: formatToken(caller.service, caller.session) }
}

/**
 * Creates the effects that cancel a caller's request and transaction at the database's owner.
 * @example createCancelEffects(caller)
 */
export function createCancelEffects (caller: Caller): readonly RequestsEffect[] {
  const target = caller.running?.target ?? caller.transaction?.target
  if (target === undefined || caller.ticket === undefined) return []
  return [sendPeer(target.owner, { kind: 'transactions/cancel', database: target.database, caller: caller.caller, attempt: caller.attempts, ticket: caller.ticket })]
}

/**
 * Creates the effects that clear a caller's timers.
 * @example clearTimers('host-1/4f/7')
 */
export function clearTimers (caller: string): readonly CoreEffect[] {
  return [clearTimer(`requests/deadline/${caller}`), clearTimer(`requests/retry/${caller}`), clearTimer(`requests/late/${caller}`), clearTimer(`requests/silence/${caller}`)]
}

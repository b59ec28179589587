/** Steps of the transactions slice, and effects that several of its decisions use. */
import type { Failure } from '../core/errors.js'
import { clearTimer, type CoreEffect } from '../core/message.js'
import type { Store, StoreStep } from '../core/store.js'
import type { DatabaseEffect } from '../databases/driver.js'
import type { AttemptId } from '../requests/messages.js'
import type { RunRequest } from './messages.js'
import { computeLoad, type OwnedDatabase, type TransactionsShared } from './state.js'
import { sendPeer, setTimer } from '../messages.js'

/** The effects of the transactions slice. */
export type TransactionsEffect = CoreEffect | DatabaseEffect
/** The records of the transactions slice. */
export type TransactionsStore = Store<TransactionsShared, OwnedDatabase>
/** The outcome of a decision of the transactions slice. */
export type TransactionsStep = StoreStep<TransactionsShared, OwnedDatabase, TransactionsEffect>

/** The outcome of a decision on one database. */
export interface DatabaseStep {
  readonly database: OwnedDatabase
  readonly effects: readonly TransactionsEffect[]
}

/**
 * Creates a step without effects.
 * @example createEmptyStep(database)
 */
export function createEmptyStep (database: OwnedDatabase): DatabaseStep {
  return { database, effects: [] }
}

/**
 * Continues a step with another decision on the same database.
 * @example continueStep(step, database => startQueued(database))
 */
export function continueStep (step: DatabaseStep, decide: (database: OwnedDatabase) => DatabaseStep): DatabaseStep {
  const next = decide(step.database)
  return { database: next.database, effects: [...step.effects, ...next.effects] }
}

/**
 * Creates the answer to a request that failed here.
 * @example answerFailed('host-2', { caller: 'c1', attempt: 3 }, failure, false)
 */
export function answerFailed (from: string, name: AttemptId, failure: Failure, retriable: boolean, load?: number): CoreEffect {
  return sendPeer(from, { kind: 'requests/failed', caller: name.caller, attempt: name.attempt, failure, retriable, load })
}

/**
 * Creates the answer to a request that did not run here and may be retried at another database.
 * @param database the database that refused it, whose load the answer reports.
 * @example refuseRun(message, createFailure('queue-full', 'a1'))
 */
export function refuseRun (message: RunRequest, failure: Failure, database?: OwnedDatabase): CoreEffect {
  return answerFailed(message.from!, message, failure, true, database === undefined ? undefined : computeLoad(database))
}

/**
 * Creates the effect that sets the deadline timer of an attempt.
 * @example setDeadlineTimer(message, message.remainingMs)
 */
export function setDeadlineTimer (message: RunRequest, afterMs: number): CoreEffect {
  const { database } = message.target
  return setTimer(nameDeadlineTimer(database, message.caller), afterMs, { kind: 'transactions/time-over', database, caller: message.caller, attempt: message.attempt })
}

/**
 * Creates the effect that sets the idle limit of a transaction, in place of the deadline of its last attempt.
 * @example setIdleTimer(unit.run, unit.run.idleMs ?? shared.idleTransactionMs)
 */
export function setIdleTimer (message: RunRequest, afterMs: number): CoreEffect {
  const { database } = message.target
  return setTimer(nameDeadlineTimer(database, message.caller), afterMs, { kind: 'transactions/time-over', database, caller: message.caller, attempt: message.attempt, idle: true })
}

/**
 * Creates the effect that clears a caller's deadline timer at a database.
 * @example clearDeadlineTimer('a1', 'host-1/4f/7')
 */
export function clearDeadlineTimer (database: string, caller: string): CoreEffect {
  return clearTimer(nameDeadlineTimer(database, caller))
}

function nameDeadlineTimer (database: string, caller: string): string {
  return `transactions/time/${database}/${caller}`
}

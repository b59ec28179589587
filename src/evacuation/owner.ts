/**
 * What the owner of an evacuated database refuses before it reaches the database: first requests at once, those of transactions
 * that began before the order once they had some time to end, and all of them while the owner may have missed an order.
 */
import { createFailure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import type { RunRequest } from '../transactions/messages.js'
import type { OwnedDatabase, TransactionsShared } from '../transactions/state.js'
import { answerFailed, type TransactionsEffect } from '../transactions/step.js'
import { isEvacuated, markDatabase } from './view.js'

/** How long a transaction may go on after the order. It counts from the last confirmation before the owner knew of the order. */
export const TRANSACTION_GRACE_MS = 2_000

/**
 * Marks an owned database by the failure domains that are evacuated, with the time from which transactions may go on.
 * @example markOwned(database, ['east'], moment.monotonicMs).evacuatedAtMs
 */
export function markOwned (database: OwnedDatabase, domains: readonly string[], confirmedAtMs: number): OwnedDatabase {
  const entry = markDatabase(database.entry, domains)
  const evacuatedAtMs = isEvacuated(entry) ? database.evacuatedAtMs ?? confirmedAtMs : undefined
  return { ...database, entry, evacuatedAtMs }
}

/**
 * Tells whether even transactions that began before the order may send nothing more to a database.
 * @example isGraceOver(database, moment)
 */
export function isGraceOver ({ entry, evacuatedAtMs = -Infinity }: OwnedDatabase, { monotonicMs }: Moment): boolean {
  return isEvacuated(entry) && monotonicMs - evacuatedAtMs >= TRANSACTION_GRACE_MS
}

/**
 * Refuses a first request to an evacuated database. A read may find another replica; what needs the primary is told when to
 * come back.
 * @example refuseFirst(database, message)
 */
export function refuseFirst ({ entry }: OwnedDatabase, message: RunRequest): TransactionsEffect {
  return answerFailed(message.from!, message, createFailure('evacuated', entry.group), message.target.purpose === 'replica')
}

/**
 * Returns the refusal of a request while the host may have missed an order; undefined if it can't have. A read may find another
 * replica.
 * @example refuseUnconfirmed(shared, message, moment)
 */
export function refuseUnconfirmed ({ confirmedUntilMs = Infinity }: TransactionsShared, message: RunRequest, { monotonicMs }: Moment): TransactionsEffect | undefined {
  if (monotonicMs <= confirmedUntilMs) return undefined
  return answerFailed(message.from!, message, createFailure('no-authority'), message.transaction === undefined && message.target.purpose === 'replica')
}

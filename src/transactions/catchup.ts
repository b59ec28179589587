/** Reads that wait for a replica to catch up. They hold no slot and no connection. */
import { createFailure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { coversPosition } from '../core/position.js'
import { setTimer } from '../messages.js'
import type { RunRequest } from './messages.js'
import type { CatchUpRead, OwnedDatabase } from './state.js'
import { createEmptyStep, refuseRun, type DatabaseStep, type TransactionsEffect } from './step.js'

/** How long a read waits before it is refused and retried at the primary. */
const CATCH_UP_TIMEOUT_MS = 60
/** Interval between polls of the replica's position. */
const POSITION_POLL_INTERVAL_MS = 8

/**
 * Holds a read until the replica has reached the position that the read requires.
 * @example waitForCatchUp(database, message, moment)
 */
export function waitForCatchUp (database: OwnedDatabase, message: RunRequest, moment: Moment): DatabaseStep {
  const read: CatchUpRead = { run: message, expiresAtMs: moment.monotonicMs + Math.min(CATCH_UP_TIMEOUT_MS, message.remainingMs) }
  const first = database.catchUpReads.length === 0
  return { database: { ...database, catchUpReads: [...database.catchUpReads, read] }, effects: first ? createPoll(database, moment) : [] }
}

/**
 * Polls the replica's position again, and refuses the reads whose wait has expired.
 * @example pollPosition(database, moment)
 */
export function pollPosition (database: OwnedDatabase, moment: Moment): DatabaseStep {
  if (database.catchUpReads.length === 0) return createEmptyStep(database)
  const expired = database.catchUpReads.filter(read => read.expiresAtMs <= moment.monotonicMs)
  const catchUpReads = database.catchUpReads.filter(read => read.expiresAtMs > moment.monotonicMs)
  const polls = catchUpReads.length === 0 ? [] : createPoll(database, moment)
  return { database: { ...database, catchUpReads }, effects: [...refuseReads(database, expired), ...polls] }
}

/**
 * Separates the reads whose required position the replica has reached.
 * @example splitCovered(database).ready
 */
export function splitCovered (database: OwnedDatabase): { readonly database: OwnedDatabase, readonly ready: readonly RunRequest[] } {
  if (database.catchUpReads.length === 0) return { database, ready: [] }
  const ready = database.catchUpReads.filter(read => coversPosition(database.position, read.run.target.floor))
  const catchUpReads = database.catchUpReads.filter(read => !ready.includes(read))
  return { database: { ...database, catchUpReads }, ready: ready.map(read => read.run) }
}

/**
 * Refuses all reads that wait for the replica.
 * @example refuseCatchUpReads(database)
 */
export function refuseCatchUpReads (database: OwnedDatabase): DatabaseStep {
  return { database: { ...database, catchUpReads: [] }, effects: refuseReads(database, database.catchUpReads) }
}

/**
 * Removes the waiting reads of a caller up to an attempt.
 * @example dropCatchUpRead(database, 'host-1/4f/7', 3)
 */
export function dropCatchUpRead (database: OwnedDatabase, caller: string, attempt: number): OwnedDatabase {
  const catchUpReads = database.catchUpReads.filter(({ run }) => run.caller !== caller || run.attempt > attempt)
  return catchUpReads.length === database.catchUpReads.length ? database : { ...database, catchUpReads }
}

function refuseReads (database: OwnedDatabase, reads: readonly CatchUpRead[]): readonly TransactionsEffect[] {
  const failure = createFailure('no-database', database.entry.group)
  return reads.map(read => refuseRun(read.run, failure))
}

function createPoll (database: OwnedDatabase, moment: Moment): readonly TransactionsEffect[] {
  const { database: name, address, group } = database.entry
  return [
    { kind: 'database/probe', database: name, address, group, askedAtMs: moment.monotonicMs, primary: false },
    setTimer(`transactions/behind/${name}`, POSITION_POLL_INTERVAL_MS, { kind: 'transactions/look-due', database: name })
  ]
}

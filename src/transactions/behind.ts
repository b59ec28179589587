/** Reads that wait for a replica to catch up; they hold no slot and no connection. */
import { createFailure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { coversPosition } from '../core/position.js'
import { setTimer } from '../messages.js'
import type { Run } from './messages.js'
import type { BehindRead, OwnedDatabase } from './state.js'
import { keepDatabase, refuseRun, type DatabaseStep, type TransactionsEffect } from './step.js'

/** How long a read waits before it is sent back, to run at the primary. */
const CATCH_UP_MS = 60
/** Time between two looks at the replica's position. */
const LOOK_EVERY_MS = 8

/**
 * Lets a read wait until the replica holds the position that it needs.
 * @example waitForPosition(database, message, moment)
 */
export function waitForPosition (database: OwnedDatabase, message: Run, moment: Moment): DatabaseStep {
  const read: BehindRead = { run: message, untilMs: moment.monotonicMs + Math.min(CATCH_UP_MS, message.remainingMs) }
  const first = database.behind.length === 0
  return { database: { ...database, behind: [...database.behind, read] }, effects: first ? createLook(database, moment) : [] }
}

/**
 * Looks again, and sends back the reads that have waited long enough.
 * @example takeLook(database, moment)
 */
export function takeLook (database: OwnedDatabase, moment: Moment): DatabaseStep {
  if (database.behind.length === 0) return keepDatabase(database)
  const over = database.behind.filter(read => read.untilMs <= moment.monotonicMs)
  const behind = database.behind.filter(read => read.untilMs > moment.monotonicMs)
  const looks = behind.length === 0 ? [] : createLook(database, moment)
  return { database: { ...database, behind }, effects: [...refuseReads(database, over), ...looks] }
}

/**
 * Splits off the reads whose position the replica now holds.
 * @example takeCovered(database).ready
 */
export function takeCovered (database: OwnedDatabase): { readonly database: OwnedDatabase, readonly ready: readonly Run[] } {
  if (database.behind.length === 0) return { database, ready: [] }
  const ready = database.behind.filter(read => coversPosition(database.position, read.run.target.floor))
  const behind = database.behind.filter(read => !ready.includes(read))
  return { database: { ...database, behind }, ready: ready.map(read => read.run) }
}

/**
 * Sends all waiting reads back.
 * @example refuseBehind(database)
 */
export function refuseBehind (database: OwnedDatabase): DatabaseStep {
  return { database: { ...database, behind: [] }, effects: refuseReads(database, database.behind) }
}

/**
 * Drops a caller's waiting read.
 * @example dropBehind(database, 'host-1/4f/7', 3)
 */
export function dropBehind (database: OwnedDatabase, caller: string, attempt: number): OwnedDatabase {
  const behind = database.behind.filter(({ run }) => run.caller !== caller || run.attempt > attempt)
  return behind.length === database.behind.length ? database : { ...database, behind }
}

function refuseReads (database: OwnedDatabase, reads: readonly BehindRead[]): readonly TransactionsEffect[] {
  const failure = createFailure('no-database', database.entry.group)
  return reads.map(read => refuseRun(read.run, failure))
}

function createLook (database: OwnedDatabase, moment: Moment): readonly TransactionsEffect[] {
  const { database: name, address, group } = database.entry
  return [
    { kind: 'database/probe', database: name, address, group, askedAtMs: moment.monotonicMs },
    setTimer(`transactions/behind/${name}`, LOOK_EVERY_MS, { kind: 'transactions/look-due', database: name })
  ]
}

/**
 * The statements that a database gets beyond its slots, so that no slot is idle while answers wait for this host. Covers the
 * load pattern of an owner that is short of processor time beside a database that is not.
 */
import type { Moment } from '../core/message.js'
import { setTimer } from '../messages.js'
import type { DatabaseFinished, LagDue } from './messages.js'
import { startQueued } from './pool.js'
import type { OwnedDatabase } from './state.js'
import { continueStep, createEmptyStep, type DatabaseStep, type TransactionsEffect } from './step.js'

/** The interval at which a host measures how late its own timers are. */
const LAG_INTERVAL_MS = 100
/** Weight of one sample in an average. */
const SAMPLE_WEIGHT = 0.2
/** The shortest time that a statement is taken to run. */
const MIN_STATEMENT_MS = 5
/** The most statements beyond its slots, for each slot: more would wait in the database, where workspaces take no turns. */
const MAX_EXTRA_PER_SLOT = 2

/**
 * Creates the timer that measures how late this host handles what is due.
 * @example createLagTimer(moment)
 */
export function createLagTimer (moment: Moment): TransactionsEffect {
  return setTimer('transactions/lag', LAG_INTERVAL_MS, { kind: 'transactions/lag-due', dueAtMs: moment.monotonicMs + LAG_INTERVAL_MS })
}

/**
 * Returns the average delay of this host's timers, in milliseconds.
 * @example updateLag(0, { kind: 'transactions/lag-due', dueAtMs: 1_000 }, moment)
 */
export function updateLag (lagMs: number, { dueAtMs }: LagDue, moment: Moment): number {
  return updateAverage(lagMs, Math.max(0, moment.monotonicMs - dueAtMs))
}

/**
 * Records how long a statement ran, from when it was sent until its answer was handled.
 * @example recordRun(database, message, moment).ranMs
 */
export function recordRun (database: OwnedDatabase, { observed }: DatabaseFinished, moment: Moment): OwnedDatabase {
  if (observed === undefined) return database
  return { ...database, ranMs: updateAverage(database.ranMs, moment.monotonicMs - observed.askedAtMs) }
}

/**
 * Adjusts the statements beyond the slots of a database to the delay of this host, and starts what may start now.
 * @example updateOverlap(database, 60).database.extraStatements // 6
 */
export function updateOverlap (database: OwnedDatabase, lagMs: number): DatabaseStep {
  const extraStatements = calculateOverlap(database, lagMs)
  if (extraStatements === database.extraStatements) return createEmptyStep(database)
  return continueStep(createEmptyStep({ ...database, extraStatements }), startQueued)
}

// Of the time between a statement and its answer, the delay of this host is not the database's.
function calculateOverlap ({ entry, ranMs }: OwnedDatabase, lagMs: number): number {
  if (ranMs === undefined) return 1
  const statementMs = Math.max(MIN_STATEMENT_MS, ranMs - lagMs)
  return Math.max(1, Math.min(MAX_EXTRA_PER_SLOT * entry.slots, Math.round(entry.slots * lagMs / statementMs)))
}

function updateAverage (averageMs: number | undefined, sampleMs: number): number {
  return averageMs === undefined ? sampleMs : averageMs + (sampleMs - averageMs) * SAMPLE_WEIGHT
}

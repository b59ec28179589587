/**
 * Requests to a cold database: which of them reach it, which wait briefly for a token, and which are refused at once.
 * Covers the load pattern of a database that comes back while its callers wait.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect, Moment } from '../core/message.js'
import { isGraceOver } from '../evacuation/owner.js'
import { setTimer } from '../messages.js'
import { countEntries, listEntries, removeEntry } from '../fairness/queue.js'
import type { RunRequest } from './messages.js'
import { findCommitRefusal } from './commits.js'
import { abortUnit, createExecute, startQueued } from './pool.js'
import { estimateTokenWaitMs, hasTokenForNewWork, hasToken, takeToken, updateRefill, type Refill } from './refill.js'
import { calculateSlotLimit, computeLoad, countUsedSlots, replaceUnit, type OwnedDatabase, type TransactionsShared, type UnitOfWork } from './state.js'
import { answerFailed, clearDeadlineTimer, continueStep, setDeadlineTimer, type DatabaseStep, type TransactionsStep, type TransactionsStore } from './step.js'

/** Fraction of the latency target for which a request waits for a token; the rest is for its turn and the statement. */
const TARGET_FRACTION = 0.5
/** The longest wait for a token, also without a latency target: another database or another attempt serves it sooner. */
const MAX_WAIT_MS = 250
/** The shortest time until the next look: timers fire on whole milliseconds. */
const MIN_TIMER_MS = 2
/** When a caller may come back where the bucket can't tell. */
const RETRY_AFTER_MS = 1_000

/**
 * Updates the rates of cold databases to the present time, before a decision reads them.
 * @example updateRefills(store, moment).items.get('a1')?.refill?.limited
 */
export function updateRefills (store: TransactionsStore, moment: Moment): TransactionsStore {
  if (store.shared.coldRates.size === 0) return store
  const items = new Map([...store.items].map(([name, database]) => [name, { ...database, refill: computeRefill(store.shared, database, moment) }] as const))
  return { ...store, items }
}

function computeRefill ({ coldRates, coldLimits: limits, confirmedAtMs }: TransactionsShared, database: OwnedDatabase, moment: Moment): Refill | undefined {
  const { entry, releasing, connections, refill } = database
  const rate = coldRates.get(entry.group)
  return rate === undefined ? undefined : updateRefill(refill, { rate, limits, cold: entry.cold === true, releasing, connections: connections.size, confirmedAtMs }, moment.monotonicMs)
}

/**
 * Starts the rates of databases whose owner or rate changed: a new owner's wait for the last one counts from then.
 * @example startRefills(updateOwnership(store, message, moment), moment)
 */
export function startRefills (step: TransactionsStep, moment: Moment): TransactionsStep {
  const { shared, changes } = step
  if (shared === undefined || shared.coldRates.size === 0) return step
  return { ...step, changes: changes?.map(([name, database]) => [name, database === undefined ? undefined : { ...database, refill: computeRefill(shared, database, moment) }] as const) }
}

/**
 * Returns the refusal of new work that would wait too long for a token; undefined where the database is warm or has a token in time.
 * @example findColdRefusal(database, message, moment)?.code // 'database-cold'
 */
export function findColdRefusal (database: OwnedDatabase, message: RunRequest, moment: Moment): Failure | undefined {
  const { refill, queue } = database
  if (refill?.limited !== true) return undefined
  return createRefusal(database, message, estimateTokenWaitMs(refill, refill.capacity + countHeld(database) + countEntries(queue)), moment)
}

function createRefusal (database: OwnedDatabase, message: RunRequest, waitMs: number, moment: Moment): Failure | undefined {
  const limitMs = Math.min(message.remainingMs, MAX_WAIT_MS, (message.latencyMs ?? Infinity) * TARGET_FRACTION)
  if (waitMs <= limitMs) return undefined
  const retryAfterMs = Math.ceil((Number.isFinite(waitMs) ? waitMs : RETRY_AFTER_MS) * (1 + moment.random))
  const rate = Number(database.refill!.tokensPerSecond.toFixed(1))
  return { ...createFailure('database-cold', database.entry.database), retryAfterMs, inputs: { coldRate: rate, waitMs: Math.min(Number.MAX_SAFE_INTEGER, Math.round(waitMs)), limitMs: Math.round(limitMs) } }
}

function countHeld ({ units }: OwnedDatabase): number {
  return [...units.values()].filter(unit => unit.held === true).length
}

/**
 * Continues a transaction: its statement is executed, waits briefly for a token of the cold database, or is refused as not run.
 * A refused one rolls the transaction back, so that it doesn't keep its slot.
 * @param unit the unit of work with its next statement.
 * @example continueWhenWarm(database, unit, moment)
 */
export function continueWhenWarm (database: OwnedDatabase, unit: UnitOfWork, moment: Moment): DatabaseStep {
  const { run } = unit
  const held = countHeld(database)
  const timer = setDeadlineTimer(run, run.remainingMs)
  if (held === 0 && hasToken(database.refill)) return { database: replaceUnit({ ...database, refill: takeToken(database.refill) }, unit), effects: [timer, createExecute(database, unit)] }
  const refusal = createRefusal(database, run, estimateTokenWaitMs(database.refill!, held + 1), moment)
  if (refusal === undefined) return { database: replaceUnit(database, { ...unit, held: true }), effects: [timer] }
  const answer = answerFailed(run.from!, run, refusal, false, computeLoad(database))
  return continueStep({ database: replaceUnit(database, unit), effects: [answer] }, next => abortUnit(next, unit))
}

/**
 * Executes held statements while there are tokens, then starts new work, and refuses what would wait too long by now: the
 * database may have become cold while requests waited.
 * @example startHeld(database, moment)
 */
export function startHeld (database: OwnedDatabase, moment: Moment): DatabaseStep {
  const held = [...database.units.values()].find(unit => unit.held === true)
  if (held === undefined) return continueStep(startQueued(database), next => refuseExcess(next, moment))
  const failure = isGraceOver(database, moment) ? createFailure('transaction-evacuated', database.entry.group) : findCommitRefusal(database, held.run, held, moment)
  if (failure !== undefined) return continueStep(endHeld(database, held, failure), next => startHeld(next, moment))
  if (!hasToken(database.refill)) return refuseExcess(database, moment)
  const { held: _, ...unit } = held
  const step: DatabaseStep = { database: replaceUnit({ ...database, refill: takeToken(database.refill) }, unit), effects: [createExecute(database, unit)] }
  return continueStep(step, next => startHeld(next, moment))
}

// An order came, or the primary was closed, while it waited.
function endHeld (database: OwnedDatabase, unit: UnitOfWork, failure: Failure): DatabaseStep {
  const answer = answerFailed(unit.from, unit.run, failure, false)
  return continueStep({ database, effects: [answer] }, next => abortUnit(next, unit))
}

function refuseExcess (database: OwnedDatabase, moment: Moment): DatabaseStep {
  const { refill, entry } = database
  if (refill?.limited !== true) return { database, effects: [] }
  const first = refill.capacity + countHeld(database)
  const refused = listEntries(database.queue).flatMap(({ item }, index) => {
    const waitedMs = moment.monotonicMs - (item.receivedAtMs ?? moment.monotonicMs)
    const failure = createRefusal(database, { ...item, remainingMs: item.remainingMs - waitedMs }, estimateTokenWaitMs(refill, first + index), moment)
    return failure === undefined ? [] : [{ item, failure }]
  })
  const queue = refused.reduce((left, { item }) => removeEntry(left, item.caller), database.queue)
  const effects = refused.flatMap(({ item, failure }) => [clearDeadlineTimer(entry.database, item.caller), answerFailed(item.from!, item, failure, item.target.purpose === 'replica', computeLoad(database))])
  return { database: { ...database, queue }, effects }
}

/**
 * Creates the timer of the next token that a request waits for; none where a slot is what it waits for.
 * @example createRefillTimer(database).length // 0 for a warm database
 */
export function createRefillTimer (database: OwnedDatabase | undefined): readonly CoreEffect[] {
  if (database?.refill?.limited !== true) return []
  const { refill, entry, queue } = database
  const held = countHeld(database)
  const waits = held > 0 || (countEntries(queue) > 0 && !hasTokenForNewWork(refill) && countUsedSlots(database) < calculateSlotLimit(database))
  if (!waits) return []
  const afterMs = Math.min(MAX_WAIT_MS, Math.max(MIN_TIMER_MS, Math.ceil(estimateTokenWaitMs(refill, held > 0 ? 1 : refill.capacity))))
  return [setTimer(`transactions/refill/${entry.database}`, afterMs, { kind: 'transactions/refill-due', database: entry.database })]
}

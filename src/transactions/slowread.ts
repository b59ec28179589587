/**
 * Reads that a replica runs for too long. Covers replicas that execute reads but whose answers are lost: only the owner can
 * tell them from reads that wait in its queue, which another attempt would not serve sooner.
 */
import { clearTimer, type CoreEffect } from '../core/message.js'
import { sendPeer, setTimer } from '../messages.js'
import type { ReadSlow, RunRequest } from './messages.js'
import type { OwnedDatabase } from './state.js'
import { createEmptyStep, type DatabaseStep } from './step.js'

/** Fraction of a route's latency target after which its caller's host may try another replica; the rest is left for that attempt. */
const SLOW_READ_FRACTION = 0.6
/** How long a read that seems slow still gets: a busy host handles its timers before the answers that came meanwhile. */
const CONFIRMATION_MS = 10

/**
 * Creates the timer of a read that starts at the database; none for other requests.
 * @example setSlowReadTimer(message).length // 1
 */
export function setSlowReadTimer (message: RunRequest): readonly CoreEffect[] {
  const { caller, attempt, latencyMs, target: { database } } = message
  if (latencyMs === undefined || !isSingleRead(message)) return []
  return [setTimer(nameTimer(message), latencyMs * SLOW_READ_FRACTION, { kind: 'transactions/read-slow', database, caller, attempt })]
}

/**
 * Clears the timer of a read that was answered.
 * @example clearSlowReadTimer(unit.run)
 */
export function clearSlowReadTimer (message: RunRequest): readonly CoreEffect[] {
  return message.latencyMs === undefined || !isSingleRead(message) ? [] : [clearTimer(nameTimer(message))]
}

/**
 * Tells the caller's host that a read still runs, after this host had time to read answers that came while it was busy.
 * @example reportSlowRead(database, { kind: 'transactions/read-slow', database: 'a2', caller: 'c1', attempt: 1 })
 */
export function reportSlowRead (database: OwnedDatabase, { caller, attempt, confirmed = false }: ReadSlow): DatabaseStep {
  const unit = database.units.get(caller)
  if (unit?.phase !== 'running' || unit.run.attempt !== attempt) return createEmptyStep(database)
  if (!confirmed) return { database, effects: [setTimer(nameTimer(unit.run), CONFIRMATION_MS, { kind: 'transactions/read-slow', database: database.entry.database, caller, attempt, confirmed: true })] }
  return { database, effects: [sendPeer(unit.from, { kind: 'requests/late', caller, attempt })] }
}

function isSingleRead ({ intent, target, transaction }: RunRequest): boolean {
  return target.purpose === 'replica' && intent === 'statement' && transaction === undefined
}

function nameTimer ({ caller, target: { database } }: RunRequest): string {
  return `transactions/slow/${database}/${caller}`
}

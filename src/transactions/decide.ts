/** Decisions of the transactions slice: slots, connections and units of work of an owned database. */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { coversPosition } from '../core/position.js'
import { UNCHANGED } from '../core/store.js'
import { countWaiting, dropWaiting, enqueueEntry, findWaiting, listWaiting, type QueueLimits } from '../fairness/queue.js'
import { dropBehind, takeLook, takeCovered, waitForPosition } from './behind.js'
import type { Cancel, Credit, DatabaseFinished, DatabaseOutput, HostLost, PositionRead, Run, TimeOver, TransactionsMessage } from './messages.js'
import { settleDatabase, takeOwned } from './ownership.js'
import { closeUnit, createExecute, endCooling, findUnit, loseConnection, loseOpening, releaseUnit, startWaiting, takeConnection } from './pool.js'
import type { OwnedDatabase, TransactionsShared, Unit } from './state.js'
import { answerFailed, continueStep, createTimeOver, dropTimeOver, keepDatabase, refuseRun, type DatabaseStep, type TransactionsStep, type TransactionsStore } from './step.js'
import { acknowledge, answerFinished } from './storing.js'
import { isNewTicket, takeTicket } from './tickets.js'
import { sendPeer, tell } from '../messages.js'

/**
 * Decides on one message of the transactions slice.
 * @example decideTransactions(store, { kind: 'transactions/opened', connection: 'db-1#1.1' }, moment)
 */
export function decideTransactions (store: TransactionsStore, message: TransactionsMessage, moment: Moment): TransactionsStep {
  switch (message.kind) {
    case 'transactions/run': return run(store, message, moment)
    case 'transactions/cancel': return cancel(store, message)
    case 'transactions/owned-changed': return takeOwned(store, message)
    case 'transactions/host-lost': return loseHost(store, message)
    case 'transactions/count-asked': return countBusy(store)
    case 'transactions/refuse-work': return { shared: { ...store.shared, refusing: true }, effects: [] }
    case 'transactions/credit': return decideFor(store, message.database, database => passCredit(database, message))
    case 'transactions/time-over': return decideFor(store, message.database, database => endTime(database, message))
    case 'transactions/stored': return decideFor(store, message.database, database => acknowledge(database, message))
    case 'transactions/position-read': return decideFor(store, message.database, database => readPosition(store.shared, database, message))
    case 'transactions/look-due': return decideFor(store, message.database, database => takeLook(database, moment))
    case 'transactions/cooled': return decideFor(store, message.database, endCooling)
    case 'transactions/opened': return decideFor(store, readDatabase(message.connection), database => takeConnection(database, message))
    case 'transactions/open-failed': return decideFor(store, readDatabase(message.connection), database => loseOpening(database, message))
    case 'transactions/output': return decideFor(store, readDatabase(message.connection), database => passOutput(database, message))
    case 'transactions/finished': return decideFor(store, readDatabase(message.connection), database => finish(store.shared, database, message))
    case 'transactions/broken': return decideFor(store, readDatabase(message.connection), database => loseConnection(database, message))
  }
}

function countBusy (store: TransactionsStore): TransactionsStep {
  const counts = [...store.items.values()].map(({ units, queue, behind, storing }) => units.size + countWaiting(queue) + behind.length + storing.length)
  return { effects: [tell({ kind: 'stopping/counted', part: 'transactions', busy: counts.reduce((sum, count) => sum + count, 0) })] }
}

function readDatabase (connection: string): string {
  return connection.slice(0, connection.lastIndexOf('#'))
}

function decideFor (store: TransactionsStore, name: string, decide: (database: OwnedDatabase) => DatabaseStep): TransactionsStep {
  const database = store.items.get(name)
  if (database === undefined) return UNCHANGED
  const step = decide(database)
  return settleDatabase(step.database, [...step.effects, ...tellLoad(database, step.database)])
}

// Routing places reads by the load that owners tell.
function tellLoad (before: OwnedDatabase, after: OwnedDatabase): DatabaseStep['effects'] {
  if (!after.guarantees.slotPerStatement) return []
  const load = countWork(after)
  if (load === countWork(before)) return []
  return [tell({ kind: 'routing/load-changed', database: after.entry.database, load: load / after.entry.slots })]
}

function countWork ({ units, queue }: OwnedDatabase): number {
  let running = 0
  for (const unit of units.values()) if (unit.phase === 'running') running += 1
  return running + countWaiting(queue)
}

function run (store: TransactionsStore, message: Run, moment: Moment): TransactionsStep {
  const { from, ticket } = message
  if (from === undefined || !isNewTicket(store.shared, from, ticket)) return UNCHANGED
  const shared = takeTicket(store.shared, from, ticket)
  if (shared.refusing && message.transaction === undefined) return { shared, effects: [refuseRun(message, createFailure('host-stopping'))] }
  if (!store.items.has(message.target.database)) return { shared, effects: [refuseMissing(message)] }
  const step = decideFor(store, message.target.database, database => startRun(shared, database, message, moment))
  return { ...step, shared }
}

function refuseMissing (message: Run): DatabaseStep['effects'][number] {
  if (message.transaction === undefined) return refuseRun(message, createFailure('no-database', message.target.database))
  return answerFailed(message.from!, message, createFailure('transaction-lost', 'the database has another owner'), false)
}

function startRun (shared: TransactionsShared, database: OwnedDatabase, message: Run, moment: Moment): DatabaseStep {
  if (message.transaction !== undefined) return continueUnit(database, message)
  return continueStep(dropWork(database, message.caller, message.attempt), earlier => (isBehind(earlier, message) ? waitForPosition(earlier, message, moment) : enqueue(shared, earlier, message)))
}

function enqueue (shared: TransactionsShared, database: OwnedDatabase, message: Run): DatabaseStep {
  const refusal = findRefusal(database, message)
  if (refusal !== undefined) return { database, effects: [refuseRun(message, refusal)] }
  const { queue, refused } = enqueueEntry(database.queue, { flow: nameFlow(message), key: message.caller, item: message }, createLimits(shared))
  const waiting = { database: { ...database, queue }, effects: [createTimeOver(message, message.remainingMs), ...refuseDisplaced(database, refused?.item)] }
  return continueStep(waiting, startWaiting)
}

function refuseDisplaced (database: OwnedDatabase, message: Run | undefined): DatabaseStep['effects'] {
  if (message === undefined) return []
  const { database: name } = database.entry
  return [dropTimeOver(name, message.caller), refuseRun(message, createFailure('queue-full', name))]
}

function nameFlow (message: Run): string {
  return `${message.service}/${message.workspace ?? ''}`
}

// One workspace takes at most half of the places.
function createLimits (shared: TransactionsShared): QueueLimits {
  return { length: shared.queueLength, flowLength: Math.ceil(shared.queueLength / 2) }
}

function isBehind (database: OwnedDatabase, { target }: Run): boolean {
  // A database that is asked with the position refuses by itself what it lacks.
  if (database.guarantees.selfFencing) return false
  if (database.leaving || database.entry.departing || target.purpose !== 'replica') return false
  return !coversPosition(database.position, target.floor)
}

function findRefusal (database: OwnedDatabase, message: Run): Failure | undefined {
  const { target } = message
  const { entry } = database
  const down = database.cooling && database.connections.size === 0
  if (database.leaving || entry.departing || down) return createFailure('no-database', entry.group)
  const replaced = !database.guarantees.selfFencing && database.term !== target.term
  if (target.purpose === 'primary' && (replaced || database.closing === true)) return createFailure('no-primary', entry.group)
  if (isBehind(database, message)) return createFailure('no-database', entry.group)
  return undefined
}

function continueUnit (database: OwnedDatabase, message: Run): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined || unit.phase !== 'idle' || unit.from !== message.from || unit.began !== message.transaction) {
    return { database, effects: [answerFailed(message.from!, message, createFailure('transaction-lost', 'the database does not hold it'), false)] }
  }
  const next: Unit = { ...unit, phase: 'running', run: message, parts: 0 }
  return { database: replaceUnit(database, next), effects: [createTimeOver(message, message.remainingMs), createExecute(message, unit.connection)] }
}

function replaceUnit (database: OwnedDatabase, unit: Unit): OwnedDatabase {
  return { ...database, units: new Map(database.units).set(unit.caller, unit) }
}

function passOutput (database: OwnedDatabase, message: DatabaseOutput): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit?.phase !== 'running') return keepDatabase(database)
  const output = sendPeer(unit.from, { kind: 'requests/output', caller: unit.caller, attempt: unit.run.attempt, part: unit.parts, payload: message.payload })
  return { database: replaceUnit(database, { ...unit, parts: unit.parts + 1 }), effects: [output] }
}

function passCredit (database: OwnedDatabase, message: Credit): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined) return keepDatabase(database)
  return { database, effects: [{ kind: 'database/credit', connection: unit.connection, bytes: message.bytes }] }
}

function finish (shared: TransactionsShared, database: OwnedDatabase, message: DatabaseFinished): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit?.phase !== 'running') return keepDatabase(database)
  const ended = message.status === 'idle'
  const rest = ended ? releaseUnit(database, unit) : replaceUnit(database, { ...unit, phase: 'idle' })
  const timer = ended ? dropTimeOver(database.entry.database, unit.caller) : createTimeOver(unit.run, unit.run.idleMs ?? shared.idleTransactionMs)
  const answer = message.refused && ended && unit.parts === 0 && unit.run.transaction === undefined
    ? { database: rest, effects: [refuseRun(unit.run, createRefusal(rest, message))] }
    : answerFinished(rest, unit, message)
  return continueStep({ database: answer.database, effects: [timer, ...tellShown(database, message), ...answer.effects] }, startWaiting)
}

// Where a database stands, and that it leads, follows from its answers.
function tellShown ({ entry }: OwnedDatabase, { shown }: DatabaseFinished): DatabaseStep['effects'] {
  if (shown === undefined) return []
  const answered = { database: entry.database, ...shown }
  return [tell({ kind: 'routing/answered', ...answered }), tell({ kind: 'membership/answered', ...answered })]
}

function createRefusal ({ entry }: OwnedDatabase, { refusal }: DatabaseFinished): Failure {
  switch (refusal) {
    case 'busy': return createFailure('queue-full', entry.database)
    case 'behind': return createFailure('no-database', entry.group)
    default: return createFailure('no-primary', entry.group)
  }
}

function readPosition (shared: TransactionsShared, database: OwnedDatabase, message: PositionRead): DatabaseStep {
  const covered = takeCovered({ ...database, position: message.position })
  return covered.ready.reduce((step, read) => continueStep(step, next => enqueue(shared, next, read)), keepDatabase(covered.database))
}

function cancel (store: TransactionsStore, message: Cancel): TransactionsStep {
  if (message.from === undefined) return UNCHANGED
  const step = decideFor(store, message.database, database => dropWork(database, message.caller, message.attempt))
  return { ...step, shared: takeTicket(store.shared, message.from, message.ticket) }
}

// Ends all that a caller has here up to an attempt; later attempts are not meant.
function dropWork (owned: OwnedDatabase, caller: string, attempt: number): DatabaseStep {
  const database = dropBehind(owned, caller, attempt)
  const meant = (work: { readonly caller: string, readonly attempt: number }): boolean => work.caller === caller && work.attempt <= attempt
  const waiting = findWaiting(database.queue, caller)?.item
  const waits = waiting !== undefined && meant(waiting)
  const queue = waits ? dropWaiting(database.queue, caller) : database.queue
  const storing = database.storing.filter(write => !meant(write))
  const unit = database.units.get(caller)
  const closes = unit !== undefined && meant(unit.run)
  if (!closes && !waits && storing.length === database.storing.length) return keepDatabase(database)
  const rest: OwnedDatabase = { ...database, queue, storing }
  return closes ? closeUnit(rest, unit) : { database: rest, effects: [dropTimeOver(database.entry.database, caller)] }
}

function endTime (database: OwnedDatabase, message: TimeOver): DatabaseStep {
  const waiting = findWaiting(database.queue, message.caller)?.item
  if (waiting?.attempt === message.attempt) {
    const queue = dropWaiting(database.queue, message.caller)
    return { database: { ...database, queue }, effects: [answerFailed(waiting.from!, message, createFailure('deadline-passed'), false)] }
  }
  const unit = database.units.get(message.caller)
  if (unit === undefined || unit.run.attempt !== message.attempt) return keepDatabase(database)
  const closed = closeUnit(database, unit)
  if (unit.phase === 'idle') return closed
  const failure = createFailure('outcome-unknown', 'the deadline passed')
  return { database: closed.database, effects: [answerFailed(unit.from, message, failure, false), ...closed.effects] }
}

function loseHost (store: TransactionsStore, message: HostLost): TransactionsStep {
  const steps = [...store.items.values()].map(database => {
    const step = dropCallers(database, message.host)
    return settleDatabase(step.database, step.effects)
  })
  return { changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function dropCallers (database: OwnedDatabase, host: string): DatabaseStep {
  const work = [...database.units.values(), ...listWaiting(database.queue).map(entry => entry.item), ...database.behind.map(read => read.run), ...database.storing].filter(({ from }) => from === host)
  return work.reduce((step, { caller }) => continueStep(step, next => dropWork(next, caller, Infinity)), keepDatabase(database))
}

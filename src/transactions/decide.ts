/** Decisions of the transactions slice: requests, slots and connections of the databases that this host owns. */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { coversPosition } from '../core/position.js'
import { UNCHANGED } from '../core/store.js'
import { isGraceOver, refuseFirst, refuseUnconfirmed } from '../evacuation/owner.js'
import { isEvacuated } from '../evacuation/view.js'
import { removeEntry, enqueueEntry, findEntry, listEntries, type QueueLimits } from '../fairness/queue.js'
import { dropCatchUpRead, pollPosition, splitCovered, waitForCatchUp } from './catchup.js'
import type { CancelRequest, CreditGranted, DatabaseFinished, DatabaseOutput, HostLost, LagDue, OrdersConfirmed, PositionRead, RunRequest, DeadlineExpired, TransactionsMessage } from './messages.js'
import { completeStep, updateOwnership } from './ownership.js'
import { abortUnit, endOpenBackoff, findUnit, handleConnectionBroken, handleOpenFailed, refuseQueued, releaseUnit, startQueued, acceptConnection } from './pool.js'
import type { StalenessBound } from '../requests/messages.js'
import { isTooLate } from '../stopping/remaining.js'
import { findProvenFloor } from '../routing/staleness.js'
import { computeLoad, nameFlow, replaceUnit, type OwnedDatabase, type TransactionsShared } from './state.js'
import { updateOverlap, createLagTimer, recordRun, updateLag } from './overlap.js'
import { computePace, findOverload } from './pace.js'
import { continueWhenWarm, createRefillTimer, findColdRefusal, startHeld, startRefills, updateRefills } from './cold.js'
import { answerFailed, continueStep, setDeadlineTimer, setIdleTimer, clearDeadlineTimer, createEmptyStep, refuseRun, type DatabaseStep, type TransactionsStep, type TransactionsStore } from './step.js'
import { findCommitRefusal, recordCommit, recordCommitPosition, updateCommitLeases } from './commits.js'
import { acknowledgeDurableWrites, answerFinished } from './durability.js'
import { computeUrgency, countTurns } from './urgency.js'
import { clearSlowReadTimer, reportSlowRead } from './slowread.js'
import { markWrote } from './writing.js'
import { isNewSequenceNumber, recordSequenceNumber } from './sequence.js'
import { sendPeer, tell } from '../messages.js'

/**
 * Decides on one message of the transactions slice.
 * @example decideTransactions(store, { kind: 'transactions/opened', connection: 'db-1#1.1' }, moment)
 */
export function decideTransactions (store: TransactionsStore, message: TransactionsMessage, moment: Moment): TransactionsStep {
  const current = updateRefills(store, moment)
  return updateCommitLeases(current, updatePaces(current, decideMessage(current, message, moment), moment), moment)
}

function updatePaces (store: TransactionsStore, step: TransactionsStep, moment: Moment): TransactionsStep {
  if (step.changes === undefined) return step
  const changes = step.changes.map(([name, after]) => {
    if (after === undefined) return [name, after] as const
    const pace = computePace(store.items.get(name), after, moment)
    return [name, pace === after.pace ? after : { ...after, pace }] as const
  })
  const refills = changes.flatMap(([, after]) => createRefillTimer(after))
  return { ...step, changes, effects: refills.length === 0 ? step.effects : [...step.effects, ...refills] }
}

function decideMessage (store: TransactionsStore, message: TransactionsMessage, moment: Moment): TransactionsStep {
  switch (message.kind) {
    case 'transactions/run': return handleRun(store, message, moment)
    case 'transactions/cancel': return handleCancel(store, message)
    case 'transactions/owned-changed': return startMeasuring(store, startRefills(updateOwnership(store, message, moment), moment), moment)
    case 'transactions/confirmed': return updateConfirmation(store, message, moment)
    case 'transactions/contact-confirmed': return { shared: { ...store.shared, confirmedAtMs: Math.max(store.shared.confirmedAtMs, message.askedAtMs) }, effects: [] }
    case 'transactions/refill-due': return decideFor(store, message.database, database => startHeld(database, moment))
    case 'transactions/lag-due': return updateOverlaps(store, message, moment)
    case 'transactions/host-lost': return handleHostLost(store, message)
    case 'transactions/count-asked': return reportWorkCount(store, message.host)
    case 'transactions/primary-sampled': return { shared: { ...store.shared, samples: new Map(store.shared.samples).set(message.group, message.samples) }, effects: [] }
    case 'transactions/stop-asked': return { shared: { ...store.shared, endsAtMs: message.endsAtMs }, effects: [] }
    case 'transactions/refuse-work': return { shared: { ...store.shared, stopping: true }, effects: [] }
    case 'transactions/credit': return decideFor(store, message.database, database => forwardCredit(database, message))
    case 'transactions/time-over': return decideFor(store, message.database, database => expireDeadline(database, message, moment))
    case 'transactions/stored': return decideFor(store, message.database, database => acknowledgeDurableWrites(database, message))
    case 'transactions/position-read': return decideFor(store, message.database, database => updatePosition(store.shared, database, message, moment))
    case 'transactions/read-slow': return decideFor(store, message.database, database => reportSlowRead(database, message))
    case 'transactions/look-due': return decideFor(store, message.database, database => pollPosition(database, moment))
    case 'transactions/cooled': return decideFor(store, message.database, endOpenBackoff)
    case 'transactions/opened': return decideFor(store, parseDatabaseName(message.connection), database => acceptConnection(database, message))
    case 'transactions/open-failed': return decideFor(store, parseDatabaseName(message.connection), database => handleOpenFailed(database, message))
    case 'transactions/output': return decideFor(store, parseDatabaseName(message.connection), database => forwardOutput(database, message))
    case 'transactions/finished': return finishRun(store, message, moment)
    case 'transactions/broken': return decideFor(store, parseDatabaseName(message.connection), database => handleConnectionBroken(database, message))
  }
}

// What waits when the host may have missed an order is refused like what arrives then.
function updateConfirmation (store: TransactionsStore, { untilMs }: OrdersConfirmed, moment: Moment): TransactionsStep {
  const shared: TransactionsShared = { ...store.shared, confirmedUntilMs: untilMs }
  if (moment.monotonicMs <= untilMs) return { shared, effects: [] }
  const steps = [...store.items.keys()].map(name => decideFor(store, name, refuseQueued))
  return { shared, changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

// Hosts without databases measure nothing.
function startMeasuring (store: TransactionsStore, step: TransactionsStep, moment: Moment): TransactionsStep {
  const starts = store.items.size === 0 && (step.changes?.length ?? 0) > 0
  return starts ? { ...step, effects: [...step.effects, createLagTimer(moment)] } : step
}

function updateOverlaps (store: TransactionsStore, message: LagDue, moment: Moment): TransactionsStep {
  if (store.items.size === 0) return UNCHANGED
  const lagMs = updateLag(store.shared.lagMs, message, moment)
  const steps = [...store.items.keys()].map(name => decideFor(store, name, database => updateOverlap(database, lagMs)))
  return { shared: { ...store.shared, lagMs }, changes: steps.flatMap(step => step.changes ?? []), effects: [...steps.flatMap(step => step.effects), createLagTimer(moment)] }
}

function reportWorkCount (store: TransactionsStore, self: string): TransactionsStep {
  // A caller with an open transaction may also have a statement in the queue.
  const hostByCaller = new Map([...store.items.values()].flatMap(listWork).map(({ caller, from }) => [caller, from]))
  const local = [...hostByCaller.values()].filter(host => host === self).length
  return { effects: [tell({ kind: 'stopping/counted', part: 'transactions', busy: hostByCaller.size, local })] }
}

function parseDatabaseName (connection: string): string {
  return connection.slice(0, connection.lastIndexOf('#'))
}

function decideFor (store: TransactionsStore, name: string, decide: (database: OwnedDatabase) => DatabaseStep): TransactionsStep {
  const database = store.items.get(name)
  if (database === undefined) return UNCHANGED
  const step = decide(database)
  return completeStep(step.database, [...step.effects, ...reportLoad(database, step.database)])
}

// Routing balances reads by the load that owners report.
function reportLoad (before: OwnedDatabase, after: OwnedDatabase): DatabaseStep['effects'] {
  const load = computeLoad(after)
  return load === undefined || load === computeLoad(before) ? [] : [tell({ kind: 'routing/load-changed', database: after.entry.database, load })]
}

function handleRun (store: TransactionsStore, message: RunRequest, moment: Moment): TransactionsStep {
  const { from, ticket } = message
  if (from === undefined || !isNewSequenceNumber(store.shared, from, ticket)) return UNCHANGED
  const shared = recordSequenceNumber(store.shared, from, ticket)
  if (shared.stopping && message.transaction === undefined) return { shared, effects: [refuseRun(message, createFailure('host-stopping'))] }
  const unconfirmed = refuseUnconfirmed(shared, message, moment)
  if (unconfirmed !== undefined) return { shared, effects: [unconfirmed] }
  if (!store.items.has(message.target.database)) return { shared, effects: [refuseMissing(message)] }
  const tooLate = message.intent !== 'rollback' && isTooLate(shared.endsAtMs, message.expectedMs ?? 0, moment)
  const step = decideFor(store, message.target.database, database => (tooLate ? refuseLate(database, message) : startRun(shared, database, { ...message, receivedAtMs: moment.monotonicMs }, moment)))
  return { ...step, shared }
}

// A transaction is rolled back, so that its caller can start over at once. A first request may find time at another database.
function refuseLate (database: OwnedDatabase, message: RunRequest): DatabaseStep {
  if (message.transaction === undefined) return { database, effects: [refuseRun(message, createFailure('host-stopping'), database)] }
  return endUnit(database, message, createFailure('transaction-stopped'))
}

function endUnit (database: OwnedDatabase, message: RunRequest, failure: Failure): DatabaseStep {
  const answer = answerFailed(message.from!, message, failure, false)
  return continueStep({ database, effects: [answer] }, next => cancelWork(next, message.caller, message.attempt))
}

function refuseMissing (message: RunRequest): DatabaseStep['effects'][number] {
  if (message.transaction === undefined) return refuseRun(message, createFailure('no-database', message.target.database))
  return answerFailed(message.from!, message, createFailure('transaction-lost', 'the database has another owner'), false)
}

function startRun (shared: TransactionsShared, database: OwnedDatabase, message: RunRequest, moment: Moment): DatabaseStep {
  if (message.transaction !== undefined) return continueUnit(database, message, moment)
  return continueStep(cancelWork(database, message.caller, message.attempt), earlier => {
    if (isEvacuated(earlier.entry)) return { database: earlier, effects: [refuseFirst(earlier, message)] }
    if (message.target.bound !== undefined) return startBoundedRead(shared, earlier, message, message.target.bound, moment)
    return isBehind(earlier, message) ? waitForCatchUp(earlier, message, moment) : enqueue(shared, earlier, message, moment)
  })
}

// The time counts from the arrival here, which is later than the caller's, so the floor is never too low.
function startBoundedRead (shared: TransactionsShared, database: OwnedDatabase, message: RunRequest, { maxStalenessMs, seen }: StalenessBound, moment: Moment): DatabaseStep {
  const { group } = database.entry
  const samples = shared.samples.get(group) ?? []
  const floor = findProvenFloor(samples, seen, moment.monotonicMs - maxStalenessMs)
  if (floor !== undefined) return enqueue(shared, database, { ...message, target: { ...message.target, floor, bound: undefined } }, moment)
  const lastSample = samples[samples.length - 1]
  const inputs: Failure['inputs'] = lastSample === undefined ? {} : { proofAgeMs: Math.round(moment.monotonicMs - lastSample.askedAtMs) }
  return { database, effects: [refuseRun(message, { ...createFailure('no-primary', group), inputs }, database)] }
}

function enqueue (shared: TransactionsShared, database: OwnedDatabase, message: RunRequest, moment: Moment): DatabaseStep {
  const refusal = findRefusal(database, message) ?? findCommitRefusal(database, message, undefined, moment)
  if (refusal !== undefined) return { database, effects: [refuseRun(message, refusal, database)] }
  const overload = findColdRefusal(database, message, moment) ?? findOverload(database, message, shared.lagMs, moment)
  if (overload !== undefined) return { database, effects: [refuseOverload(database, message, overload)] }
  const { queue, refused } = enqueueEntry(database.queue, { flow: nameFlow(message), key: message.caller, item: message, urgency: computeUrgency(database, message), turns: countTurns(message) }, createLimits(shared))
  const queued = { database: { ...database, queue }, effects: [setDeadlineTimer(message, computeWaitMs(shared, database, message)), ...refuseDisplaced(database, refused?.item)] }
  return continueStep(queued, startQueued)
}

// Another database may have room for a read. The primary is the only one for a write, so its caller is told when to come back.
function refuseOverload (database: OwnedDatabase, message: RunRequest, overload: Failure): DatabaseStep['effects'][number] {
  return answerFailed(message.from!, message, overload, message.target.purpose === 'replica', computeLoad(database))
}

function refuseDisplaced (database: OwnedDatabase, message: RunRequest | undefined): DatabaseStep['effects'] {
  if (message === undefined) return []
  const { database: name } = database.entry
  return [clearDeadlineTimer(name, message.caller), refuseRun(message, createFailure('queue-full', name), database)]
}

// One workspace takes at most half of the queue.
function createLimits (shared: TransactionsShared): QueueLimits {
  return { length: shared.queueLength, flowLength: Math.ceil(shared.queueLength / 2) }
}

function isBehind (database: OwnedDatabase, { target }: RunRequest): boolean {
  // A self-fencing database gets the position with the request, and refuses by itself if it lacks it.
  if (database.guarantees.selfFencing) return false
  if (database.releasing || database.entry.departing || target.purpose !== 'replica') return false
  return !coversPosition(database.position, target.floor)
}

function findRefusal (database: OwnedDatabase, message: RunRequest): Failure | undefined {
  const { target } = message
  const { entry } = database
  const unavailable = database.backingOff && database.connections.size === 0
  if (database.releasing || entry.departing || unavailable) return createFailure('no-database', entry.group)
  const replaced = !database.guarantees.selfFencing && (database.term !== target.term || database.closing === true)
  if (target.purpose === 'primary' && replaced) return createFailure('no-primary', entry.group)
  if (isBehind(database, message)) return createFailure('no-database', entry.group)
  return undefined
}

function continueUnit (database: OwnedDatabase, message: RunRequest, moment: Moment): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined || unit.phase !== 'idle' || unit.from !== message.from || unit.firstAttempt !== message.transaction) {
    return { database, effects: [answerFailed(message.from!, message, createFailure('transaction-lost', 'the database does not hold it'), false)] }
  }
  if (isGraceOver(database, moment)) return endUnit(database, message, createFailure('transaction-evacuated', database.entry.group))
  const closed = findCommitRefusal(database, message, unit, moment)
  if (closed !== undefined) return endUnit(database, message, closed)
  const next = markWrote({ ...unit, phase: 'running', run: message, partsSent: 0, sentPosition: database.commitPosition })
  return continueWhenWarm(database, next, moment)
}

function finishRun (store: TransactionsStore, message: DatabaseFinished, moment: Moment): TransactionsStep {
  const name = parseDatabaseName(message.connection)
  const step = decideFor(store, name, database => handleFinished(store.shared, database, message, moment))
  return { ...step, shared: recordCommit(store, name, message) }
}

function forwardOutput (database: OwnedDatabase, message: DatabaseOutput): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit?.phase !== 'running') return createEmptyStep(database)
  const output = sendPeer(unit.from, { kind: 'requests/output', caller: unit.caller, attempt: unit.run.attempt, part: unit.partsSent, payload: message.payload })
  return { database: replaceUnit(database, { ...unit, partsSent: unit.partsSent + 1 }), effects: [output] }
}

function forwardCredit (database: OwnedDatabase, message: CreditGranted): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined) return createEmptyStep(database)
  return { database, effects: [{ kind: 'database/credit', connection: unit.connection, bytes: message.bytes }] }
}

function handleFinished (shared: TransactionsShared, database: OwnedDatabase, message: DatabaseFinished, moment: Moment): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit?.phase !== 'running') return createEmptyStep(database)
  const measured = recordCommitPosition(recordRun(database, message, moment), message)
  const ended = message.status === 'idle'
  const next = ended ? releaseUnit(measured, unit) : replaceUnit(measured, { ...unit, phase: 'idle' })
  const timer = ended ? clearDeadlineTimer(database.entry.database, unit.caller) : setIdleTimer(unit.run, unit.run.idleMs ?? shared.idleTransactionMs)
  const answer = message.refused && ended && unit.partsSent === 0 && unit.run.transaction === undefined
    ? { database: next, effects: [refuseRun(unit.run, createRefusal(next, message), next)] }
    : answerFinished(next, unit, message, moment)
  return continueStep({ database: answer.database, effects: [timer, ...clearSlowReadTimer(unit.run), ...reportObserved(database, message), ...answer.effects] }, startQueued)
}

// Answers report a database's position, and may prove that it is the primary.
function reportObserved ({ entry }: OwnedDatabase, { observed }: DatabaseFinished): DatabaseStep['effects'] {
  if (observed === undefined) return []
  const answered = { database: entry.database, ...observed }
  return [tell({ kind: 'routing/answered', ...answered }), tell({ kind: 'membership/answered', ...answered })]
}

function createRefusal ({ entry }: OwnedDatabase, { refusal }: DatabaseFinished): Failure {
  switch (refusal) {
    case 'busy': return createFailure('queue-full', entry.database)
    case 'behind': return createFailure('no-database', entry.group)
    default: return createFailure('no-primary', entry.group)
  }
}

function updatePosition (shared: TransactionsShared, database: OwnedDatabase, message: PositionRead, moment: Moment): DatabaseStep {
  const split = splitCovered({ ...database, position: message.position })
  return split.ready.reduce((step, read) => continueStep(step, next => enqueue(shared, next, read, moment)), createEmptyStep(split.database))
}

function handleCancel (store: TransactionsStore, message: CancelRequest): TransactionsStep {
  if (message.from === undefined) return UNCHANGED
  const step = decideFor(store, message.database, database => cancelWork(database, message.caller, message.attempt))
  return { ...step, shared: recordSequenceNumber(store.shared, message.from, message.ticket) }
}

// Cancels all work of a caller up to an attempt; later attempts are kept.
function cancelWork (owned: OwnedDatabase, caller: string, attempt: number): DatabaseStep {
  const database = dropCatchUpRead(owned, caller, attempt)
  const isCancelled = (work: { readonly caller: string, readonly attempt: number }): boolean => work.caller === caller && work.attempt <= attempt
  const queued = findEntry(database.queue, caller)?.item
  const cancelsQueued = queued !== undefined && isCancelled(queued)
  const queue = cancelsQueued ? removeEntry(database.queue, caller) : database.queue
  const pendingWrites = database.pendingWrites.filter(write => !isCancelled(write))
  const unit = database.units.get(caller)
  const abortsUnit = unit !== undefined && isCancelled(unit.run)
  if (!abortsUnit && !cancelsQueued && pendingWrites.length === database.pendingWrites.length) return createEmptyStep(database)
  const next: OwnedDatabase = { ...database, queue, pendingWrites }
  return abortsUnit ? abortUnit(next, unit) : { database: next, effects: [clearDeadlineTimer(database.entry.database, caller)] }
}

function expireDeadline (database: OwnedDatabase, message: DeadlineExpired, moment: Moment): DatabaseStep {
  const queued = findEntry(database.queue, message.caller)?.item
  if (queued?.attempt === message.attempt) {
    const queue = removeEntry(database.queue, message.caller)
    return { database: { ...database, queue }, effects: [answerFailed(queued.from!, message, createWaitFailure(queued, moment), false, computeLoad(database))] }
  }
  const unit = database.units.get(message.caller)
  // The deadline of an attempt that has ended may have passed before its timer was replaced.
  const isStale = unit?.phase === 'idle' && message.idle !== true
  if (unit === undefined || unit.run.attempt !== message.attempt || isStale) return createEmptyStep(database)
  const leftMs = unit.phase === 'idle' ? 0 : computeLeftMs(unit.run, moment)
  if (leftMs > 0) return { database, effects: [setDeadlineTimer(unit.run, leftMs)] }
  const aborted = abortUnit(database, unit)
  if (unit.phase === 'idle') return aborted
  const failure = unit.held === true ? createFailure('deadline-passed') : createFailure('outcome-unknown', 'the deadline passed')
  return { database: aborted.database, effects: [answerFailed(unit.from, message, failure, false), ...aborted.effects] }
}

// What its run and the way back take is not left for waiting.
function computeWaitMs ({ lagMs }: TransactionsShared, { ranMs = 0 }: OwnedDatabase, { remainingMs, waitMs = remainingMs }: RunRequest): number {
  return Math.max(0, Math.min(waitMs, remainingMs - ranMs - lagMs))
}

// A request may run for longer than it may wait.
function computeLeftMs ({ remainingMs, receivedAtMs }: RunRequest, { monotonicMs }: Moment): number {
  return receivedAtMs === undefined ? 0 : receivedAtMs + remainingMs - monotonicMs
}

// Those that came with it wait as long: they come back at different times.
function createWaitFailure (queued: RunRequest, moment: Moment): Failure {
  const leftMs = computeLeftMs(queued, moment)
  if (leftMs <= 0) return createFailure('deadline-passed')
  const waitedMs = queued.remainingMs - leftMs
  return { ...createFailure('overloaded', queued.target.database), retryAfterMs: Math.ceil(waitedMs * (0.5 + moment.random)), inputs: { waitedMs: Math.round(waitedMs) } }
}

function handleHostLost (store: TransactionsStore, message: HostLost): TransactionsStep {
  const steps = [...store.items.values()].map(database => {
    const step = cancelCallers(database, message.host)
    return completeStep(step.database, step.effects)
  })
  return { changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function listWork ({ units, queue, catchUpReads, pendingWrites }: OwnedDatabase): ReadonlyArray<Pick<RunRequest, 'caller'> & { readonly from?: string }> {
  return [...units.values(), ...listEntries(queue).map(entry => entry.item), ...catchUpReads.map(read => read.run), ...pendingWrites]
}

function cancelCallers (database: OwnedDatabase, host: string): DatabaseStep {
  const work = listWork(database).filter(({ from }) => from === host)
  return work.reduce((step, { caller }) => continueStep(step, next => cancelWork(next, caller, Infinity)), createEmptyStep(database))
}

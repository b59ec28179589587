/** Decisions of the transactions slice: slots, connections and units of work of an owned database. */
import { createFailure, type Failure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { ORIGIN, coversPosition, pickLater } from '../core/position.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import type { DatabaseEffect } from '../databases/driver.js'
import { countWaiting, createQueue, dropWaiting, enqueueEntry, findWaiting, listWaiting, takeNext, type QueueLimits } from '../fairness/queue.js'
import type { GrantEntry } from '../membership/directory.js'
import type { Finished, WorkName } from '../requests/messages.js'
import type { Broken, Cancel, Credit, DatabaseFinished, DatabaseOutput, HostLost, OpenFailed, Opened, OwnedChanged, PositionRead, Run, Stored, TimeOver, TransactionsMessage } from './messages.js'
import type { OwnedDatabase, StoringWrite, TransactionsShared, Unit } from './state.js'
import { sendPeer, setTimer } from '../messages.js'

/** The effects of the transactions slice. */
export type TransactionsEffect = CoreEffect | DatabaseEffect
type TransactionsStore = Store<TransactionsShared, OwnedDatabase>
type TransactionsStep = StoreStep<TransactionsShared, OwnedDatabase, TransactionsEffect>

interface DatabaseStep {
  readonly database: OwnedDatabase
  readonly effects: readonly TransactionsEffect[]
}

/**
 * Decides on one message of the transactions slice.
 * @example decideTransactions(store, { kind: 'transactions/opened', connection: 'db-1#1' }, moment)
 */
export function decideTransactions (store: TransactionsStore, message: TransactionsMessage, _moment: Moment): TransactionsStep {
  switch (message.kind) {
    case 'transactions/run': return run(store, message)
    case 'transactions/owned-changed': return takeOwned(store, message)
    case 'transactions/host-lost': return loseHost(store, message)
    case 'transactions/cancel': return decideFor(store, message.database, database => cancel(database, message))
    case 'transactions/credit': return decideFor(store, message.database, database => passCredit(database, message))
    case 'transactions/time-over': return decideFor(store, message.database, database => endTime(database, message))
    case 'transactions/stored': return decideFor(store, message.database, database => acknowledge(database, message))
    case 'transactions/position-read': return decideFor(store, message.database, database => readPosition(database, message))
    case 'transactions/opened': return decideFor(store, readDatabase(message.connection), database => takeConnection(database, message))
    case 'transactions/open-failed': return decideFor(store, readDatabase(message.connection), database => loseOpening(database, message))
    case 'transactions/output': return decideFor(store, readDatabase(message.connection), database => passOutput(database, message))
    case 'transactions/finished': return decideFor(store, readDatabase(message.connection), database => finish(database, message))
    case 'transactions/broken': return decideFor(store, readDatabase(message.connection), database => loseConnection(database, message))
  }
}

function readDatabase (connection: string): string {
  return connection.slice(0, connection.lastIndexOf('#'))
}

function decideFor (store: TransactionsStore, name: string, decide: (database: OwnedDatabase) => DatabaseStep): TransactionsStep {
  const database = store.items.get(name)
  if (database === undefined) return UNCHANGED
  const step = decide(database)
  return { changes: [[name, step.database]], effects: step.effects }
}

function keep (database: OwnedDatabase): DatabaseStep {
  return { database, effects: [] }
}

function answerFailed (from: string, name: WorkName, failure: Failure, retriable: boolean): CoreEffect {
  return sendPeer(from, { kind: 'requests/failed', caller: name.caller, attempt: name.attempt, failure, retriable })
}

function run (store: TransactionsStore, message: Run): TransactionsStep {
  const database = store.items.get(message.target.database)
  if (message.from === undefined) return UNCHANGED
  if (database === undefined) return { effects: [refuseRun(message, createFailure('no-database', message.target.database))] }
  return decideFor(store, message.target.database, known => (message.inTransaction ? continueUnit(known, message) : enqueue(store.shared, known, message)))
}

function refuseRun (message: Run, failure: Failure): CoreEffect {
  return answerFailed(message.from!, message, failure, true)
}

function enqueue (shared: TransactionsShared, database: OwnedDatabase, message: Run): DatabaseStep {
  const refusal = findRefusal(database, message)
  if (refusal !== undefined) return { database, effects: [refuseRun(message, refusal)] }
  const { queue, refused } = enqueueEntry(database.queue, { flow: nameFlow(message), key: message.caller, item: message }, createLimits(shared))
  const displaced = refused === undefined ? [] : [clearTimer(`transactions/time/${refused.key}`), refuseRun(refused.item, createFailure('queue-full', database.entry.database))]
  const step = startWaiting({ ...database, queue })
  return { database: step.database, effects: [createTimeOver(message), ...displaced, ...step.effects] }
}

function nameFlow (message: Run): string {
  return `${message.service}/${message.workspace ?? ''}`
}

// One workspace takes at most half of the places.
function createLimits (shared: TransactionsShared): QueueLimits {
  return { length: shared.queueLength, flowLength: Math.ceil(shared.queueLength / 2) }
}

function findRefusal (database: OwnedDatabase, message: Run): Failure | undefined {
  const { target } = message
  if (database.entry.departing) return createFailure('no-database', database.entry.group)
  if (target.purpose === 'primary' && database.term !== target.term) return createFailure('no-primary', database.entry.group)
  if (target.purpose === 'replica' && !coversPosition(database.position, target.floor)) return createFailure('no-database', database.entry.group)
  return undefined
}

function createTimeOver (message: Run): CoreEffect {
  return setTimer(`transactions/time/${message.caller}`, message.remainingMs, {
    kind: 'transactions/time-over', database: message.target.database, caller: message.caller, attempt: message.attempt
  })
}

// A unit holds its slot until it ends, also while its caller thinks: were a slot
// given back inside a transaction, those who wait for its locks could take all slots.
function startWaiting (database: OwnedDatabase): DatabaseStep {
  const next = takeNext(database.queue)
  if (next === undefined || database.units.size >= database.entry.slots) return keep(database)
  const idle = [...database.connections.values()].find(connection => connection.phase === 'idle')
  if (idle === undefined) return openConnection(database)
  const bound = bindUnit({ ...database, queue: next.queue }, next.entry.item, idle.connection)
  const more = startWaiting(bound.database)
  return { database: more.database, effects: [...bound.effects, ...more.effects] }
}

function openConnection (database: OwnedDatabase): DatabaseStep {
  const opening = [...database.connections.values()].filter(connection => connection.phase === 'opening').length
  const wanted = Math.min(countWaiting(database.queue), database.entry.slots - database.units.size)
  if (opening >= wanted || database.connections.size >= database.entry.connectionLimit) return keep(database)
  const opened = database.opened + 1
  const connection = `${database.entry.database}#${opened}`
  const connections = new Map(database.connections).set(connection, { connection, phase: 'opening' as const })
  const more = openConnection({ ...database, opened, connections })
  return { database: more.database, effects: [{ kind: 'database/open', connection, address: database.entry.address }, ...more.effects] }
}

function bindUnit (database: OwnedDatabase, message: Run, connection: string): DatabaseStep {
  const unit: Unit = { caller: message.caller, from: message.from!, connection, phase: 'running', run: message }
  const next: OwnedDatabase = {
    ...database,
    units: new Map(database.units).set(message.caller, unit),
    connections: new Map(database.connections).set(connection, { connection, phase: 'bound', caller: message.caller })
  }
  return { database: next, effects: [createExecute(message, connection)] }
}

function createExecute (message: Run, connection: string): DatabaseEffect {
  return { kind: 'database/execute', connection, service: message.service, workspace: message.workspace, payload: message.payload }
}

function continueUnit (database: OwnedDatabase, message: Run): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined || unit.phase !== 'idle' || unit.from !== message.from) {
    return { database, effects: [answerFailed(message.from!, message, createFailure('transaction-lost', 'the database does not hold it'), false)] }
  }
  const next: Unit = { ...unit, phase: 'running', run: message }
  return {
    database: { ...database, units: new Map(database.units).set(message.caller, next) },
    effects: [createTimeOver(message), createExecute(message, unit.connection)]
  }
}

function findUnit (database: OwnedDatabase, connection: string): Unit | undefined {
  const caller = database.connections.get(connection)?.caller
  return caller === undefined ? undefined : database.units.get(caller)
}

function takeConnection (database: OwnedDatabase, message: Opened): DatabaseStep {
  if (!database.connections.has(message.connection)) return { database, effects: [{ kind: 'database/close', connection: message.connection }] }
  const connections = new Map(database.connections).set(message.connection, { connection: message.connection, phase: 'idle' as const })
  return startWaiting({ ...database, connections })
}

function loseOpening (database: OwnedDatabase, message: OpenFailed): DatabaseStep {
  const connections = new Map(database.connections)
  connections.delete(message.connection)
  const next = takeNext(database.queue)
  const without: OwnedDatabase = { ...database, connections }
  if (next === undefined || connections.size > 0) return keep(without)
  const { item } = next.entry
  return { database: { ...without, queue: next.queue }, effects: [clearTimer(`transactions/time/${item.caller}`), refuseRun(item, createFailure('no-database', database.entry.group))] }
}

function passOutput (database: OwnedDatabase, message: DatabaseOutput): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit === undefined) return keep(database)
  return { database, effects: [sendPeer(unit.from, { kind: 'requests/output', caller: unit.caller, attempt: unit.run.attempt, payload: message.payload })] }
}

function passCredit (database: OwnedDatabase, message: Credit): DatabaseStep {
  const unit = database.units.get(message.caller)
  if (unit === undefined) return keep(database)
  return { database, effects: [{ kind: 'database/credit', connection: unit.connection, bytes: message.bytes }] }
}

function finish (database: OwnedDatabase, message: DatabaseFinished): DatabaseStep {
  const unit = findUnit(database, message.connection)
  if (unit === undefined) return keep(database)
  const ended = message.status === 'idle'
  const rest = ended ? releaseUnit(database, unit) : idleUnit(database, unit)
  const answer = message.refused && ended
    ? { database: rest, effects: [refuseRun(unit.run, createFailure('no-primary', database.entry.group))] }
    : answerFinished(rest, unit, message)
  const more = startWaiting(answer.database)
  return { database: more.database, effects: [clearTimer(`transactions/time/${unit.caller}`), ...answer.effects, ...more.effects] }
}

function releaseUnit (database: OwnedDatabase, unit: Unit): OwnedDatabase {
  const units = new Map(database.units)
  units.delete(unit.caller)
  return { ...database, units, connections: new Map(database.connections).set(unit.connection, { connection: unit.connection, phase: 'idle' }) }
}

function idleUnit (database: OwnedDatabase, unit: Unit): OwnedDatabase {
  return { ...database, units: new Map(database.units).set(unit.caller, { ...unit, phase: 'idle' }) }
}

function answerFinished (database: OwnedDatabase, unit: Unit, message: DatabaseFinished): DatabaseStep {
  const name: WorkName = { caller: unit.caller, attempt: unit.run.attempt }
  if (message.position === undefined) {
    const finished: Finished = { kind: 'requests/finished', ...name, status: message.status, wrote: false, position: database.position, payload: message.payload }
    return { database, effects: [sendPeer(unit.from, finished)] }
  }
  const write: StoringWrite = { ...name, from: unit.from, position: message.position, payload: message.payload }
  const storing: OwnedDatabase = { ...database, storing: [...database.storing, write] }
  return acknowledge(storing, { kind: 'transactions/stored', database: database.entry.database, position: database.stored })
}

// Acknowledges what a majority stores, and asks for the rest while any is left.
function acknowledge (database: OwnedDatabase, message: Stored): DatabaseStep {
  const stored = pickLater(database.stored, message.position)
  const ready = database.storing.filter(write => write.position.term === stored.term && write.position.offset <= stored.offset)
  const left = database.storing.filter(write => !ready.includes(write))
  const answers = ready.map(write => sendPeer(write.from, {
    kind: 'requests/finished', caller: write.caller, attempt: write.attempt, status: 'idle', wrote: true, position: write.position, payload: write.payload
  }))
  const next: OwnedDatabase = { ...database, stored, storing: left }
  return { database: next, effects: [...answers, ...createAwaitStored(next)] }
}

function createAwaitStored (database: OwnedDatabase): readonly TransactionsEffect[] {
  const [first] = database.storing
  if (first === undefined) return []
  const { entry, members } = database
  return [{ kind: 'database/await-stored', database: entry.database, address: entry.address, members, offset: first.position.offset }]
}

function readPosition (database: OwnedDatabase, message: PositionRead): DatabaseStep {
  return keep({ ...database, position: message.position })
}

function cancel (database: OwnedDatabase, message: Cancel): DatabaseStep {
  const unit = database.units.get(message.caller)
  const queue = dropWaiting(database.queue, message.caller)
  const storing = database.storing.filter(write => write.caller !== message.caller)
  const step = unit === undefined ? keep({ ...database, queue, storing }) : closeUnit({ ...database, queue, storing }, unit)
  return { database: step.database, effects: [clearTimer(`transactions/time/${message.caller}`), ...step.effects] }
}

// The connection goes with the unit: only a closed connection is sure to run nothing more of it.
function closeUnit (database: OwnedDatabase, unit: Unit): DatabaseStep {
  const units = new Map(database.units)
  const connections = new Map(database.connections)
  units.delete(unit.caller)
  connections.delete(unit.connection)
  const more = startWaiting({ ...database, units, connections })
  return { database: more.database, effects: [{ kind: 'database/close', connection: unit.connection }, ...more.effects] }
}

function endTime (database: OwnedDatabase, message: TimeOver): DatabaseStep {
  const waiting = findWaiting(database.queue, message.caller)?.item
  if (waiting?.attempt === message.attempt) {
    const queue = dropWaiting(database.queue, message.caller)
    return { database: { ...database, queue }, effects: [answerFailed(waiting.from!, message, createFailure('deadline-passed'), false)] }
  }
  const unit = database.units.get(message.caller)
  if (unit?.phase !== 'running' || unit.run.attempt !== message.attempt) return keep(database)
  const closed = closeUnit(database, unit)
  return { database: closed.database, effects: [answerFailed(unit.from, message, createFailure('outcome-unknown', 'the deadline passed'), false), ...closed.effects] }
}

function loseConnection (database: OwnedDatabase, message: Broken): DatabaseStep {
  const unit = findUnit(database, message.connection)
  const connections = new Map(database.connections)
  connections.delete(message.connection)
  if (unit === undefined) return startWaiting({ ...database, connections })
  const units = new Map(database.units)
  units.delete(unit.caller)
  const more = startWaiting({ ...database, connections, units })
  const failure = createFailure('outcome-unknown', 'the connection to the database broke')
  const answers = unit.phase === 'running' ? [answerFailed(unit.from, unit.run, failure, true)] : []
  return { database: more.database, effects: [clearTimer(`transactions/time/${unit.caller}`), ...answers, ...more.effects] }
}

function loseHost (store: TransactionsStore, message: HostLost): TransactionsStep {
  const steps = [...store.items.values()].map(database => dropCallers(database, message.host))
  return {
    changes: steps.map(step => [step.database.entry.database, step.database] as const),
    effects: steps.flatMap(step => step.effects)
  }
}

function dropCallers (database: OwnedDatabase, host: string): DatabaseStep {
  const callers = [...database.units.values(), ...listWaiting(database.queue).map(entry => entry.item), ...database.storing].filter(work => work.from === host).map(work => work.caller)
  return callers.reduce<DatabaseStep>((step, caller) => {
    const next = cancel(step.database, { kind: 'transactions/cancel', database: database.entry.database, caller })
    return { database: next.database, effects: [...step.effects, ...next.effects] }
  }, keep(database))
}

function takeOwned (store: TransactionsStore, message: OwnedChanged): TransactionsStep {
  const kept = new Set(message.databases.map(entry => entry.database))
  const gone = [...store.items.values()].filter(database => !kept.has(database.entry.database)).map(giveUp)
  const owned = message.databases.map(entry => {
    const known = store.items.get(entry.database) ?? createOwned(entry)
    return applyGrant({ ...known, entry }, message.grants.find(grant => grant.group === entry.group))
  })
  return {
    changes: [
      ...gone.map(step => [step.database.entry.database, step.database.units.size === 0 ? undefined : step.database] as const),
      ...owned.map(step => [step.database.entry.database, step.database] as const)
    ],
    effects: [...gone, ...owned].flatMap(step => step.effects)
  }
}

function createOwned (entry: OwnedDatabase['entry']): OwnedDatabase {
  return { entry, members: [], position: ORIGIN, connections: new Map(), opened: 0, units: new Map(), queue: createQueue(), storing: [], stored: ORIGIN }
}

// What waits is sent back as not run; what runs may end here.
function giveUp (database: OwnedDatabase): DatabaseStep {
  const refused = listWaiting(database.queue).map(({ item }) => refuseRun(item, createFailure('no-database', database.entry.group)))
  const idle = [...database.connections.values()].filter(connection => connection.phase !== 'bound')
  const connections = new Map([...database.connections].filter(([, connection]) => connection.phase === 'bound'))
  return {
    database: { ...database, entry: { ...database.entry, departing: true }, queue: createQueue(), connections },
    effects: [...refused, ...idle.map((connection): DatabaseEffect => ({ kind: 'database/close', connection: connection.connection }))]
  }
}

function applyGrant (database: OwnedDatabase, grant: GrantEntry | undefined): DatabaseStep {
  const term = grant?.primary === database.entry.database ? grant.term : undefined
  const members = grant?.members ?? database.members
  if (term === database.term) return keep({ ...database, members })
  const failure = createFailure('outcome-unknown', 'the primary was replaced')
  const failed = database.storing.map(write => answerFailed(write.from, write, failure, false))
  const lost = listWaiting(database.queue).map(entry => entry.item).filter(message => message.target.purpose === 'primary')
  const waiting = lost.map(message => refuseRun(message, createFailure('no-primary', database.entry.group)))
  const queue = lost.reduce((left, message) => dropWaiting(left, message.caller), database.queue)
  return { database: { ...database, term, members, queue, storing: [] }, effects: [...failed, ...waiting] }
}

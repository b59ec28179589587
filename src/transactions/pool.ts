/** Slots and connections of an owned database: who starts, on which connection, and what closes. */
import { createFailure } from '../core/errors.js'
import { setTimer } from '../messages.js'
import type { DatabaseEffect } from '../databases/driver.js'
import { countWaiting, createQueue, listWaiting, takeNext } from '../fairness/queue.js'
import { refuseBehind } from './behind.js'
import type { Broken, OpenFailed, Opened, Run } from './messages.js'
import type { Connection, OwnedDatabase, Unit } from './state.js'
import { answerFailed, continueStep, dropTimeOver, keepDatabase, refuseRun, type DatabaseStep } from './step.js'

/**
 * The part of a database's connections that an owner uses where opening one is dear: the next owner finds room
 * while those of the last one, which may be frozen, still stand.
 */
const OWN_PART = 0.5
/** How long no connection is opened after one could not be. */
const COOLING_MS = 100

/**
 * Starts what waits while there are slots and connections.
 * A unit holds its slot until it ends, also while its caller thinks: were a slot
 * given back inside a transaction, those who wait for its locks could take all slots.
 * @example startWaiting(database)
 */
export function startWaiting (database: OwnedDatabase): DatabaseStep {
  const next = takeNext(database.queue)
  if (next === undefined || countTaken(database) >= database.entry.slots) return keepDatabase(database)
  const idle = findIdle(database, next.entry.item)
  if (idle === undefined) return openConnection(database, next.entry.item)
  return continueStep(bindUnit({ ...database, queue: next.queue }, next.entry.item, idle), startWaiting)
}

// Where an idle transaction holds no slot, only what runs and what opens takes one.
function countTaken ({ guarantees, units, connections }: OwnedDatabase): number {
  if (!guarantees.slotPerStatement) return units.size
  const running = [...units.values()].filter(unit => unit.phase === 'running').length
  return running + [...connections.values()].filter(connection => connection.phase === 'opening').length
}

// The last one that was used is the least likely to have been closed meanwhile.
function findIdle (database: OwnedDatabase, { workspace }: Run): Connection | undefined {
  const any = !database.guarantees.connectionPerWorkspace
  return [...database.connections.values()].findLast(connection => connection.phase === 'idle' && (any || connection.workspace === workspace))
}

function openConnection (database: OwnedDatabase, message: Run): DatabaseStep {
  const { connectionPerWorkspace } = database.guarantees
  const own = [...database.connections.values()].filter(connection => connection.phase === 'opening' && (!connectionPerWorkspace || connection.workspace === message.workspace)).length
  const wanted = Math.min(countWaiting(database.queue), database.entry.slots - database.units.size)
  const enough = connectionPerWorkspace ? own > 0 : own >= wanted
  if (database.cooling || enough) return keepDatabase(database)
  const room = closeSpare(database)
  if (room.database.connections.size >= readLimit(database)) return keepDatabase(database)
  const opened = database.opened + 1
  const connection = `${database.entry.database}#${database.generation}.${opened}`
  const workspace = connectionPerWorkspace ? message.workspace : undefined
  const connections = new Map(room.database.connections).set(connection, { connection, phase: 'opening' as const, workspace })
  const { address, group } = database.entry
  const open: DatabaseEffect = { kind: 'database/open', connection, database: database.entry.database, address, group, workspace }
  const step: DatabaseStep = { database: { ...room.database, opened, connections }, effects: [...room.effects, open] }
  return connectionPerWorkspace ? step : continueStep(step, next => openConnection(next, message))
}

function readLimit ({ entry, guarantees }: OwnedDatabase): number {
  return guarantees.connectionPerWorkspace ? Math.max(1, Math.floor(entry.connectionLimit * OWN_PART)) : entry.connectionLimit
}

// At the limit, the connection of another workspace that was idle for longest makes room.
function closeSpare (database: OwnedDatabase): DatabaseStep {
  const { connections, guarantees } = database
  if (!guarantees.connectionPerWorkspace || connections.size < readLimit(database)) return keepDatabase(database)
  const spare = [...connections.values()].find(connection => connection.phase === 'idle')
  if (spare === undefined) return keepDatabase(database)
  return { database: dropConnection(database, spare.connection), effects: [{ kind: 'database/close', connection: spare.connection }] }
}

function bindUnit (database: OwnedDatabase, message: Run, idle: Connection): DatabaseStep {
  const { caller, attempt } = message
  const { connection } = idle
  const unit: Unit = { caller, from: message.from!, connection, phase: 'running', began: attempt, run: message, parts: 0 }
  const next: OwnedDatabase = {
    ...database,
    units: new Map(database.units).set(caller, unit),
    connections: new Map(database.connections).set(connection, { ...idle, phase: 'bound', caller })
  }
  return { database: next, effects: [createExecute(message, connection)] }
}

/**
 * Creates the effect that runs a request on a connection. What runs as on a replica
 * may not write, also where the database was promoted meanwhile.
 * @example createExecute(message, 'a1#1.1')
 */
export function createExecute (message: Run, connection: string): DatabaseEffect {
  const { service, workspace, intent, target, payload } = message
  const alone = message.transaction === undefined
  return { kind: 'database/execute', connection, service, workspace, intent, readOnly: target.purpose === 'replica', floor: alone && target.purpose === 'replica' ? target.floor : undefined, payload }
}

/**
 * Returns the unit that is bound to a connection.
 * @example findUnit(database, 'a1#1.1')
 */
export function findUnit (database: OwnedDatabase, connection: string): Unit | undefined {
  const caller = database.connections.get(connection)?.caller
  return caller === undefined ? undefined : database.units.get(caller)
}

/**
 * Takes a connection that is open into use; one that is no longer wanted is closed.
 * @example takeConnection(database, { kind: 'transactions/opened', connection: 'a1#1.1' })
 */
export function takeConnection (database: OwnedDatabase, message: Opened): DatabaseStep {
  const { connection } = message
  const opening = database.connections.get(connection)
  if (opening?.phase !== 'opening') return { database, effects: [{ kind: 'database/close', connection }] }
  const connections = new Map(database.connections).set(connection, { ...opening, phase: 'idle' as const })
  return startWaiting({ ...database, connections })
}

/**
 * Decides on a connection that could not be opened: the database is down, or full with
 * those of another owner. What waits goes back as not run, unless other connections serve it.
 * @example loseOpening(database, message)
 */
export function loseOpening (database: OwnedDatabase, message: OpenFailed): DatabaseStep {
  const connections = new Map(database.connections)
  connections.delete(message.connection)
  const name = database.entry.database
  const cooled = setTimer(`transactions/cooled/${name}`, COOLING_MS, { kind: 'transactions/cooled', database: name })
  const cooling: OwnedDatabase = { ...database, connections, cooling: true }
  if (connections.size > 0) return { database: cooling, effects: [cooled] }
  return continueStep({ database: cooling, effects: [cooled] }, refuseWaiting)
}

/**
 * Ends the pause after a connection could not be opened.
 * @example endCooling(database)
 */
export function endCooling (database: OwnedDatabase): DatabaseStep {
  return startWaiting({ ...database, cooling: false })
}

/**
 * Sends back all that waits as not run.
 * @example refuseWaiting(database)
 */
export function refuseWaiting (database: OwnedDatabase): DatabaseStep {
  const failure = createFailure('no-database', database.entry.group)
  const effects = listWaiting(database.queue).flatMap(({ item }) => [dropTimeOver(database.entry.database, item.caller), refuseRun(item, failure)])
  return continueStep({ database: { ...database, queue: createQueue() }, effects }, refuseBehind)
}

/**
 * Frees the slot of a unit that ended; its connection serves the next one.
 * @example releaseUnit(database, unit)
 */
export function releaseUnit (database: OwnedDatabase, unit: Unit): OwnedDatabase {
  const { connection } = unit
  const units = new Map(database.units)
  units.delete(unit.caller)
  const { workspace } = database.connections.get(connection)!
  // The last one in the map is the last one that was used.
  const connections = new Map(database.connections)
  connections.delete(connection)
  return { ...database, units, connections: connections.set(connection, { connection, phase: 'idle', workspace }) }
}

/**
 * Ends a unit before its end. The connection goes with it: only a closed connection
 * is sure to run nothing more of it.
 * @example closeUnit(database, unit)
 */
export function closeUnit (database: OwnedDatabase, unit: Unit): DatabaseStep {
  const effects = [dropTimeOver(database.entry.database, unit.caller), { kind: 'database/close' as const, connection: unit.connection }]
  return continueStep({ database: dropConnection(database, unit.connection), effects }, startWaiting)
}

/**
 * Decides on a connection that broke: what ran on it may have run.
 * @example loseConnection(database, message)
 */
export function loseConnection (database: OwnedDatabase, message: Broken): DatabaseStep {
  const unit = findUnit(database, message.connection)
  const without = dropConnection(database, message.connection)
  if (unit === undefined) return startWaiting(without)
  const failure = createFailure('outcome-unknown', 'the connection to the database broke')
  const answers = unit.phase === 'running' ? [answerFailed(unit.from, unit.run, failure, true)] : []
  return continueStep({ database: without, effects: [dropTimeOver(database.entry.database, unit.caller), ...answers] }, startWaiting)
}

function dropConnection (database: OwnedDatabase, connection: string): OwnedDatabase {
  const unit = findUnit(database, connection)
  const units = new Map(database.units)
  const connections = new Map(database.connections)
  if (unit !== undefined) units.delete(unit.caller)
  connections.delete(connection)
  return { ...database, units, connections }
}

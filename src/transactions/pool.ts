/** Slots and connections of an owned database: which request starts, on which connection, and which connections close. */
import { createFailure } from '../core/errors.js'
import { writeLog } from '../core/message.js'
import { setTimer } from '../messages.js'
import type { DatabaseEffect } from '../databases/driver.js'
import { countEntries, createQueue, dequeueEntry, findFirstEntry, listEntries } from '../fairness/queue.js'
import { refuseCatchUpReads } from './catchup.js'
import { pickLeastUsed, recordUse } from './keeping.js'
import type { ConnectionBroken, ConnectionOpenFailed, ConnectionOpened, RunRequest } from './messages.js'
import { hasTokenForNewWork, takeToken } from './refill.js'
import { calculateSlotLimit, countUsedSlots, type Connection, type OwnedDatabase, type UnitOfWork } from './state.js'
import { setSlowReadTimer } from './slowread.js'
import { answerFailed, continueStep, clearDeadlineTimer, createEmptyStep, refuseRun, type DatabaseStep } from './step.js'
import { isCommitting } from './writing.js'

/**
 * The share of the connection limit that one owner uses where each connection belongs to a workspace. The rest is
 * left for the next owner while connections of the last one, which may be frozen, are still open.
 */
const OWNER_CONNECTION_SHARE = 0.5
/** Backoff after a connection could not be opened. */
const OPEN_BACKOFF_MS = 100

/**
 * Starts queued requests while slots and connections are free.
 * A unit of work holds its slot until it ends, also while its transaction is idle: if a transaction
 * gave its slot back, requests that wait for its locks could occupy all slots.
 * @example startQueued(database)
 */
export function startQueued (database: OwnedDatabase): DatabaseStep {
  if (countEntries(database.queue) === 0 || countUsedSlots(database) >= calculateSlotLimit(database) || !hasTokenForNewWork(database.refill)) return createEmptyStep(database)
  const supply = countConnections(database)
  const next = findFirstEntry(database.queue, ({ item }, flowLength) => isStartable(supply, item, flowLength))
  if (next === undefined) return createEmptyStep(database)
  const idle = findIdleConnection(database, next.item)
  if (idle === undefined) return openConnection(database, next.item)
  return continueStep(bindUnit({ ...database, queue: dequeueEntry(database.queue, undefined, next.key)!.queue }, next.item, idle), startQueued)
}

interface ConnectionSupply {
  readonly perWorkspace: boolean
  readonly mayOpen: boolean
  readonly idle: ReadonlySet<string | undefined>
  /** Connections by workspace that open, or run a single statement and are free soon. */
  readonly expected: ReadonlyMap<string | undefined, number>
}

// Without connections of their own, workspaces share one supply.
function countConnections (database: OwnedDatabase): ConnectionSupply {
  const perWorkspace = database.guarantees.connectionPerWorkspace
  const idle = new Set<string | undefined>()
  const expected = new Map<string | undefined, number>()
  for (const connection of database.connections.values()) {
    const workspace = perWorkspace ? connection.workspace : undefined
    if (connection.phase === 'idle') idle.add(workspace)
    else if (connection.phase === 'opening' || isFreeSoon(database, connection)) expected.set(workspace, (expected.get(workspace) ?? 0) + 1)
  }
  const hasRoom = database.connections.size < calculateConnectionLimit(database) || (perWorkspace && idle.size > 0)
  return { perWorkspace, mayOpen: !database.backingOff && hasRoom, idle, expected }
}

function isFreeSoon ({ units }: OwnedDatabase, { caller }: Connection): boolean {
  const unit = units.get(caller ?? '')
  return unit?.phase === 'running' && unit.run.transaction === undefined && unit.run.intent === 'statement'
}

// An opening takes about as long as a statement, so a request waits for a connection that is free soon. A workspace
// whose connection opens holds up no other one.
function isStartable ({ perWorkspace, mayOpen, idle, expected }: ConnectionSupply, { workspace }: RunRequest, flowLength: number): boolean {
  if (!perWorkspace) return idle.has(undefined) || mayOpen
  return idle.has(workspace) || (mayOpen && flowLength > (expected.get(workspace) ?? 0))
}

// The most recently used connection is the least likely to have been closed in the meantime.
function findIdleConnection (database: OwnedDatabase, { workspace }: RunRequest): Connection | undefined {
  const anyWorkspace = !database.guarantees.connectionPerWorkspace
  return [...database.connections.values()].findLast(connection => connection.phase === 'idle' && (anyWorkspace || connection.workspace === workspace))
}

function openConnection (database: OwnedDatabase, message: RunRequest): DatabaseStep {
  const { connectionPerWorkspace } = database.guarantees
  if (!connectionPerWorkspace && !isOpeningWanted(database)) return createEmptyStep(database)
  const evicted = evictIdleConnection(database)
  if (evicted.database.connections.size >= calculateConnectionLimit(database)) return createEmptyStep(database)
  const connectionsOpened = database.connectionsOpened + 1
  const connection = `${database.entry.database}#${database.generation}.${connectionsOpened}`
  const workspace = connectionPerWorkspace ? message.workspace : undefined
  const connections = new Map(evicted.database.connections).set(connection, { connection, phase: 'opening' as const, workspace })
  const { address, group } = database.entry
  const open: DatabaseEffect = { kind: 'database/open', connection, database: database.entry.database, address, group, workspace }
  return continueStep({ database: { ...evicted.database, connectionsOpened, connections }, effects: [...evicted.effects, open] }, startQueued)
}

function isOpeningWanted ({ connections, queue, entry, units }: OwnedDatabase): boolean {
  const openingCount = [...connections.values()].filter(connection => connection.phase === 'opening').length
  return openingCount < Math.min(countEntries(queue), entry.slots - units.size)
}

function calculateConnectionLimit ({ entry, guarantees }: OwnedDatabase): number {
  return guarantees.connectionPerWorkspace ? Math.max(1, Math.floor(entry.connectionLimit * OWNER_CONNECTION_SHARE)) : entry.connectionLimit
}

// At the limit, the idle connection that was used least is evicted, if possible one of a workspace that has no requests waiting.
function evictIdleConnection (database: OwnedDatabase): DatabaseStep {
  const { connections, guarantees } = database
  if (!guarantees.connectionPerWorkspace || connections.size < calculateConnectionLimit(database)) return createEmptyStep(database)
  const idleConnections = [...connections.values()].filter(connection => connection.phase === 'idle')
  const waiting = new Set(listEntries(database.queue).map(({ item }) => item.workspace))
  const unwanted = idleConnections.filter(({ workspace }) => !waiting.has(workspace))
  const idle = pickLeastUsed(unwanted.length > 0 ? unwanted : idleConnections, database.started, calculateConnectionLimit(database))
  if (idle === undefined) return createEmptyStep(database)
  return { database: removeConnection(database, idle.connection), effects: [{ kind: 'database/close', connection: idle.connection }] }
}

function bindUnit (database: OwnedDatabase, message: RunRequest, idle: Connection): DatabaseStep {
  const { caller, attempt } = message
  const { connection } = idle
  const unit: UnitOfWork = { caller, from: message.from!, connection, phase: 'running', firstAttempt: attempt, run: message, partsSent: 0, sentPosition: database.commitPosition }
  const next: OwnedDatabase = {
    ...database,
    started: database.started + 1,
    refill: takeToken(database.refill),
    units: new Map(database.units).set(caller, unit),
    connections: new Map(database.connections).set(connection, { ...recordUse(idle, database.started, calculateConnectionLimit(database)), phase: 'bound', caller })
  }
  return { database: next, effects: [createExecute(next, unit), ...setSlowReadTimer(message)] }
}

/**
 * Creates the effect that runs a request on a connection. A request that was routed to a replica
 * may not write, even if the database was promoted in the meantime. A commit is not sent once the lease for it has ended.
 * @example createExecute(database, unit)
 */
export function createExecute ({ commitsUntilMs }: OwnedDatabase, unit: UnitOfWork): DatabaseEffect {
  const { run, connection } = unit
  const { service, workspace, intent, target, payload } = run
  const outsideTransaction = run.transaction === undefined
  const limit = commitsUntilMs !== undefined && isCommitting(unit) ? { notAfterMs: commitsUntilMs } : {}
  return { ...limit, kind: 'database/execute', connection, service, workspace, intent, readOnly: target.purpose === 'replica', floor: outsideTransaction && target.purpose === 'replica' ? target.floor : undefined, payload }
}

/**
 * Returns the unit of work that is bound to a connection.
 * @example findUnit(database, 'a1#1.1')
 */
export function findUnit (database: OwnedDatabase, connection: string): UnitOfWork | undefined {
  const caller = database.connections.get(connection)?.caller
  return caller === undefined ? undefined : database.units.get(caller)
}

/**
 * Accepts a connection that has opened, or closes it when it is no longer needed.
 * @example acceptConnection(database, { kind: 'transactions/opened', connection: 'a1#1.1' })
 */
export function acceptConnection (database: OwnedDatabase, message: ConnectionOpened): DatabaseStep {
  const { connection } = message
  const opening = database.connections.get(connection)
  if (opening?.phase !== 'opening') return { database, effects: [{ kind: 'database/close', connection }] }
  const connections = new Map(database.connections).set(connection, { ...opening, phase: 'idle' as const })
  return startQueued({ ...database, connections })
}

/**
 * Handles a connection that could not be opened: the database is down, or its limit is used up by
 * another owner. Queued requests are refused as not run, unless other connections can serve them.
 * @example handleOpenFailed(database, message)
 */
export function handleOpenFailed (database: OwnedDatabase, message: ConnectionOpenFailed): DatabaseStep {
  const connections = new Map(database.connections)
  connections.delete(message.connection)
  const name = database.entry.database
  const backoffTimer = setTimer(`transactions/cooled/${name}`, OPEN_BACKOFF_MS, { kind: 'transactions/cooled', database: name })
  const effects = [backoffTimer, writeLog('warn', `A connection to database ${name} could not be opened.`, { database: name, connection: message.connection, reason: message.text, left: connections.size })]
  const next: OwnedDatabase = { ...database, connections, backingOff: true }
  if (connections.size > 0) return { database: next, effects }
  return continueStep({ database: next, effects }, refuseQueued)
}

/**
 * Ends the backoff after a connection could not be opened.
 * @example endOpenBackoff(database)
 */
export function endOpenBackoff (database: OwnedDatabase): DatabaseStep {
  return startQueued({ ...database, backingOff: false })
}

/**
 * Refuses all queued requests and waiting reads as not run.
 * @example refuseQueued(database)
 */
export function refuseQueued (database: OwnedDatabase): DatabaseStep {
  const failure = createFailure('no-database', database.entry.group)
  const effects = listEntries(database.queue).flatMap(({ item }) => [clearDeadlineTimer(database.entry.database, item.caller), refuseRun(item, failure)])
  return continueStep({ database: { ...database, queue: createQueue() }, effects }, refuseCatchUpReads)
}

/**
 * Frees the slot of a finished unit of work, and returns its connection to the pool.
 * @example releaseUnit(database, unit)
 */
export function releaseUnit (database: OwnedDatabase, unit: UnitOfWork): OwnedDatabase {
  const { connection } = unit
  const units = new Map(database.units)
  units.delete(unit.caller)
  const { workspace, uses, usedAt } = database.connections.get(connection)!
  // Removed and added again, so that the map is ordered by last use.
  const connections = new Map(database.connections)
  connections.delete(connection)
  return { ...database, units, connections: connections.set(connection, { connection, phase: 'idle', workspace, uses, usedAt }) }
}

/**
 * Aborts a unit of work. Its connection is closed, too: only a closed connection
 * is certain to run nothing more of it.
 * @example abortUnit(database, unit)
 */
export function abortUnit (database: OwnedDatabase, unit: UnitOfWork): DatabaseStep {
  const effects = [clearDeadlineTimer(database.entry.database, unit.caller), { kind: 'database/close' as const, connection: unit.connection }]
  return continueStep({ database: removeConnection(database, unit.connection), effects }, startQueued)
}

/**
 * Handles a lost connection: the outcome of a request that ran on it is unknown.
 * @example handleConnectionBroken(database, message)
 */
export function handleConnectionBroken (database: OwnedDatabase, message: ConnectionBroken): DatabaseStep {
  const unit = findUnit(database, message.connection)
  const remaining = removeConnection(database, message.connection)
  if (unit === undefined) return startQueued(remaining)
  const failure = createFailure('outcome-unknown', 'the connection to the database broke')
  const answers = unit.phase === 'running' ? [answerFailed(unit.from, unit.run, failure, true)] : []
  return continueStep({ database: remaining, effects: [clearDeadlineTimer(database.entry.database, unit.caller), ...answers] }, startQueued)
}

function removeConnection (database: OwnedDatabase, connection: string): OwnedDatabase {
  const unit = findUnit(database, connection)
  const units = new Map(database.units)
  const connections = new Map(database.connections)
  if (unit !== undefined) units.delete(unit.caller)
  connections.delete(connection)
  return { ...database, units, connections }
}

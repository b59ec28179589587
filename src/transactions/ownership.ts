/** Decisions on ownership: which databases this host serves, and how it releases one to another host. */
import { createFailure, type Failure } from '../core/errors.js'
import { ORIGIN } from '../core/position.js'
import type { Moment } from '../core/message.js'
import { markOwned } from '../evacuation/owner.js'
import { isEvacuated } from '../evacuation/view.js'
import type { DatabaseEffect } from '../databases/driver.js'
import type { DatabaseGuarantees } from '../databases/guarantees.js'
import { createQueue, removeEntry, listEntries } from '../fairness/queue.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { OwnershipChanged } from './messages.js'
import type { OwnedDatabase } from './state.js'
import { answerFailed, continueStep, clearDeadlineTimer, createEmptyStep, refuseRun, type DatabaseStep, type TransactionsEffect, type TransactionsStep, type TransactionsStore } from './step.js'
import { refuseQueuedWrites } from './commits.js'
import { abortUnit, refuseQueued } from './pool.js'

/**
 * Replaces the set of owned databases, and starts to release those that this host no longer owns.
 * @example updateOwnership(store, { kind: 'transactions/owned-changed', databases: [], grants: [] }, moment)
 */
export function updateOwnership (store: TransactionsStore, message: OwnershipChanged, moment: Moment): TransactionsStep {
  const { evacuated = [], confirmedAtMs = moment.monotonicMs } = message
  const ownedNames = new Set(message.databases.map(entry => entry.database))
  const generation = store.shared.generation + 1
  const coldRates = mergeColdRates(store.shared.coldRates, message.coldRates)
  const limited = [...store.items.values()].map(database => (coldRates.has(database.entry.group) ? database : { ...database, refill: undefined }))
  const released = limited.filter(database => !ownedNames.has(database.entry.database)).map(database => releaseDatabase(updateTerm(markOwned(database, evacuated, confirmedAtMs), message)))
  const owned = message.databases.map(entry => {
    const known = limited.find(database => database.entry.database === entry.database) ?? createOwned(entry, generation, store.shared.guarantees)
    return updateEntry(markOwned({ ...known, entry }, evacuated, confirmedAtMs), message.grants.find(grant => grant.group === entry.group), message.process)
  })
  const steps = [...released, ...owned].map(step => completeStep(step.database, step.effects))
  return {
    shared: { ...store.shared, generation, coldRates },
    changes: steps.flatMap(step => step.changes ?? []),
    effects: steps.flatMap(step => step.effects)
  }
}

function mergeColdRates (known: ReadonlyMap<string, number>, named: OwnershipChanged['coldRates']): ReadonlyMap<string, number> {
  return named === undefined ? known : new Map([...new Map([...known, ...named])].filter(([, rate]) => rate > 0))
}

/**
 * Turns the step of one database into a step of the slice; removes a released database with its last unit of work.
 * @example completeStep(step.database, step.effects)
 */
export function completeStep (database: OwnedDatabase, effects: readonly TransactionsEffect[]): TransactionsStep {
  const name = database.entry.database
  const released = database.releasing && database.units.size === 0 && database.pendingWrites.length === 0
  if (!released) return { changes: [[name, database]], effects }
  const closeEffects = [...database.connections.keys()].map((connection): DatabaseEffect => ({ kind: 'database/close', connection }))
  return { changes: [[name, undefined]], effects: [...effects, ...closeEffects] }
}

function createOwned (entry: DatabaseEntry, generation: number, guarantees: DatabaseGuarantees): OwnedDatabase {
  return {
    entry,
    guarantees,
    releasing: false,
    backingOff: false,
    members: [],
    position: ORIGIN,
    connections: new Map(),
    generation,
    connectionsOpened: 0,
    units: new Map(),
    queue: createQueue(),
    started: 0,
    pace: {},
    extraStatements: 1,
    catchUpReads: [],
    pendingWrites: [],
    durablePosition: ORIGIN
  }
}

// Transactions that are open here go on until the primary is closed or replaced, whoever owns it then.
function updateTerm (database: OwnedDatabase, { grants, process }: OwnershipChanged): OwnedDatabase {
  const { guarantees, entry } = database
  return guarantees.selfFencing ? applyGrant(database, grants.find(({ group }) => group === entry.group), process).database : database
}

// Queued requests are refused as not run; running ones may finish here.
function releaseDatabase (database: OwnedDatabase): DatabaseStep {
  const idle = [...database.connections.values()].filter(connection => connection.phase !== 'bound')
  const connections = new Map([...database.connections].filter(([, connection]) => connection.phase === 'bound'))
  const closeEffects = idle.map(({ connection }): DatabaseEffect => ({ kind: 'database/close', connection }))
  return continueStep({ database: { ...database, releasing: true, connections }, effects: closeEffects }, refuseQueued)
}

// Connections beyond a lowered limit stay until they end; no other one is opened meanwhile.
function updateEntry (owned: OwnedDatabase, grant: GrantEntry | undefined, process: string | undefined): DatabaseStep {
  const entry: DatabaseEntry = { ...owned.entry, connectionLimit: Math.max(owned.entry.connectionLimit, owned.connections.size) }
  // A database that comes back before its last unit ended has had another owner, which may be cut off.
  const refill = owned.releasing ? undefined : owned.refill
  const step = applyGrant({ ...owned, entry, releasing: false, refill }, grant, process)
  return entry.departing || isEvacuated(entry) ? continueStep(step, refuseQueued) : step
}

function applyGrant (database: OwnedDatabase, grant: GrantEntry | undefined, process: string | undefined): DatabaseStep {
  const name = database.entry.database
  const term = grant?.primary === name ? grant.term : undefined
  const members = grant?.members ?? database.members
  const closing = grant?.closing === true
  const registered = grant?.writers?.includes(process ?? '') ?? true
  if (database.guarantees.selfFencing) return refuseQueuedWrites({ ...database, term, members, closing, registered, leased: grant === undefined ? database.leased : grant.leased })
  if (term === database.term) return createEmptyStep({ ...database, term, members, closing })
  const replaced = createFailure('outcome-unknown', 'the primary was replaced')
  const failed = database.pendingWrites.map(write => answerFailed(write.from, write, replaced, false))
  const queuedForPrimary = listEntries(database.queue).map(waiting => waiting.item).filter(message => message.target.purpose === 'primary')
  const refused = queuedForPrimary.flatMap(message => [clearDeadlineTimer(name, message.caller), refuseRun(message, createFailure('no-primary', database.entry.group))])
  const queue = queuedForPrimary.reduce((remaining, message) => removeEntry(remaining, message.caller), database.queue)
  const updated: OwnedDatabase = { ...database, term, closing, members, queue, pendingWrites: [] }
  return continueStep({ database: updated, effects: [...failed, ...refused] }, next => abortPrimaryUnits(next, replaced))
}

// A replaced primary may never answer, so its running requests fail at once.
function abortPrimaryUnits (database: OwnedDatabase, failure: Failure): DatabaseStep {
  const primaryUnits = [...database.units.values()].filter(unit => unit.run.target.purpose === 'primary')
  return primaryUnits.reduce<DatabaseStep>((step, unit) => {
    const answers = unit.phase === 'running' ? [answerFailed(unit.from, unit.run, failure, true)] : []
    return continueStep({ ...step, effects: [...step.effects, ...answers] }, next => abortUnit(next, unit))
  }, createEmptyStep(database))
}

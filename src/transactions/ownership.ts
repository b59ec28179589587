/** Decisions on ownership: which databases this host serves, and how it hands one over. */
import { createFailure, type Failure } from '../core/errors.js'
import { ORIGIN } from '../core/position.js'
import type { DatabaseEffect } from '../databases/driver.js'
import type { DatabaseGuarantees } from '../databases/guarantees.js'
import { createQueue, dropWaiting, listWaiting } from '../fairness/queue.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { OwnedChanged } from './messages.js'
import type { OwnedDatabase } from './state.js'
import { answerFailed, continueStep, dropTimeOver, keepDatabase, refuseRun, type DatabaseStep, type TransactionsEffect, type TransactionsStep, type TransactionsStore } from './step.js'
import { closeUnit, refuseWaiting } from './pool.js'

/**
 * Takes the databases that this host owns from now on, and hands over those that it no longer owns.
 * @example takeOwned(store, { kind: 'transactions/owned-changed', databases: [], grants: [] })
 */
export function takeOwned (store: TransactionsStore, message: OwnedChanged): TransactionsStep {
  const kept = new Set(message.databases.map(entry => entry.database))
  const generation = store.shared.generation + 1
  const gone = [...store.items.values()].filter(database => !kept.has(database.entry.database)).map(giveUp)
  const owned = message.databases.map(entry => {
    const known = store.items.get(entry.database) ?? createOwned(entry, generation, store.shared.guarantees)
    return takeEntry(known, entry, message.grants.find(grant => grant.group === entry.group))
  })
  const settled = [...gone, ...owned].map(step => settleDatabase(step.database, step.effects))
  return {
    shared: { ...store.shared, generation },
    changes: settled.flatMap(step => step.changes ?? []),
    effects: settled.flatMap(step => step.effects)
  }
}

/**
 * Returns the step of a database; one that this host gave up goes with its last unit.
 * @example settleDatabase(step.database, step.effects)
 */
export function settleDatabase (database: OwnedDatabase, effects: readonly TransactionsEffect[]): TransactionsStep {
  const name = database.entry.database
  const ended = database.leaving && database.units.size === 0 && database.storing.length === 0
  if (!ended) return { changes: [[name, database]], effects }
  const closes = [...database.connections.keys()].map((connection): DatabaseEffect => ({ kind: 'database/close', connection }))
  return { changes: [[name, undefined]], effects: [...effects, ...closes] }
}

function createOwned (entry: DatabaseEntry, generation: number, guarantees: DatabaseGuarantees): OwnedDatabase {
  return {
    entry,
    guarantees,
    leaving: false,
    cooling: false,
    members: [],
    position: ORIGIN,
    connections: new Map(),
    generation,
    opened: 0,
    units: new Map(),
    queue: createQueue(),
    behind: [],
    storing: [],
    stored: ORIGIN
  }
}

// What waits is sent back as not run; what runs may end here.
function giveUp (database: OwnedDatabase): DatabaseStep {
  const idle = [...database.connections.values()].filter(connection => connection.phase !== 'bound')
  const connections = new Map([...database.connections].filter(([, connection]) => connection.phase === 'bound'))
  const closes = idle.map(({ connection }): DatabaseEffect => ({ kind: 'database/close', connection }))
  return continueStep({ database: { ...database, leaving: true, connections }, effects: closes }, refuseWaiting)
}

function takeEntry (known: OwnedDatabase, entry: DatabaseEntry, grant: GrantEntry | undefined): DatabaseStep {
  const step = applyGrant({ ...known, entry, leaving: false }, grant)
  return entry.departing ? continueStep(step, refuseWaiting) : step
}

function applyGrant (database: OwnedDatabase, grant: GrantEntry | undefined): DatabaseStep {
  const name = database.entry.database
  const term = grant?.primary === name ? grant.term : undefined
  const members = grant?.members ?? database.members
  const closing = grant?.closing === true
  if (term === database.term || database.guarantees.selfFencing) return keepDatabase({ ...database, term, members, closing })
  const replaced = createFailure('outcome-unknown', 'the primary was replaced')
  const failed = database.storing.map(write => answerFailed(write.from, write, replaced, false))
  const lost = listWaiting(database.queue).map(waiting => waiting.item).filter(message => message.target.purpose === 'primary')
  const refused = lost.flatMap(message => [dropTimeOver(name, message.caller), refuseRun(message, createFailure('no-primary', database.entry.group))])
  const queue = lost.reduce((left, message) => dropWaiting(left, message.caller), database.queue)
  const without: OwnedDatabase = { ...database, term, closing, members, queue, storing: [] }
  return continueStep({ database: without, effects: [...failed, ...refused] }, next => endUnits(next, replaced))
}

// A replaced primary may never answer; what runs there is not waited for.
function endUnits (database: OwnedDatabase, failure: Failure): DatabaseStep {
  const ended = [...database.units.values()].filter(unit => unit.run.target.purpose === 'primary')
  return ended.reduce<DatabaseStep>((step, unit) => {
    const answers = unit.phase === 'running' ? [answerFailed(unit.from, unit.run, failure, true)] : []
    return continueStep({ ...step, effects: [...step.effects, ...answers] }, next => closeUnit(next, unit))
  }, keepDatabase(database))
}

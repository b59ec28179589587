/** Answers of finished requests; a write's answer waits until a majority of its group stores it. */
import { pickLater } from '../core/position.js'
import type { DatabaseFinished, Stored } from './messages.js'
import type { OwnedDatabase, StoringWrite, Unit } from './state.js'
import type { DatabaseStep, TransactionsEffect } from './step.js'
import { sendPeer } from '../messages.js'

/**
 * Answers a finished request, at once if it wrote nothing.
 * @example answerFinished(database, unit, message)
 */
export function answerFinished (database: OwnedDatabase, unit: Unit, message: DatabaseFinished): DatabaseStep {
  const { caller, parts } = unit
  const { attempt } = unit.run
  const { status, payload, position } = message
  if (position === undefined || database.guarantees.selfFencing) {
    const wrote = position !== undefined
    return { database, effects: [sendPeer(unit.from, { kind: 'requests/finished', caller, attempt, status, wrote, position: position ?? database.position, parts, payload })] }
  }
  const write: StoringWrite = { from: unit.from, caller, attempt, status, position, parts, payload }
  const storing: OwnedDatabase = { ...database, storing: [...database.storing, write] }
  return acknowledge(storing, { kind: 'transactions/stored', database: database.entry.database, position: database.stored })
}

/**
 * Acknowledges what a majority stores, and asks for the rest while any is left.
 * @example acknowledge(database, message)
 */
export function acknowledge (database: OwnedDatabase, message: Stored): DatabaseStep {
  const stored = pickLater(database.stored, message.position)
  const ready = database.storing.filter(write => write.position.term === stored.term && write.position.offset <= stored.offset)
  const left = database.storing.filter(write => !ready.includes(write))
  const answers = ready.map(({ from, ...write }) => sendPeer(from, { kind: 'requests/finished', wrote: true, ...write }))
  const next: OwnedDatabase = { ...database, stored, storing: left }
  return { database: next, effects: [...answers, ...createAwaitStored(next)] }
}

function createAwaitStored (database: OwnedDatabase): readonly TransactionsEffect[] {
  const [first] = database.storing
  if (first === undefined) return []
  const { entry, members } = database
  return [{ kind: 'database/await-stored', database: entry.database, address: entry.address, members, offset: first.position.offset }]
}

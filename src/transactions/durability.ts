/** Answers to finished requests. The answer to a write waits until a majority of its group stores the write. */
import { createFailure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { pickLater } from '../core/position.js'
import type { OwnerReport } from '../requests/messages.js'
import type { DatabaseFinished, PositionStored } from './messages.js'
import { computeLoad, type OwnedDatabase, type PendingWrite, type UnitOfWork } from './state.js'
import { answerFailed, type DatabaseStep, type TransactionsEffect } from './step.js'
import { isCommitting } from './writing.js'
import { sendPeer } from '../messages.js'

/**
 * Answers a finished request: at once if it wrote nothing, or if the database's own answer is the acknowledgement.
 * @example answerFinished(database, unit, message, moment)
 */
export function answerFinished (database: OwnedDatabase, unit: UnitOfWork, message: DatabaseFinished, moment: Moment): DatabaseStep {
  const { caller, partsSent: parts } = unit
  const { attempt } = unit.run
  const { status, payload, position } = message
  if (position === undefined || database.guarantees.selfFencing) {
    const wrote = position !== undefined
    const limit = wrote && database.commitsUntilMs !== undefined && isCommitting(unit) ? { notAfterMs: database.commitsUntilMs } : {}
    // The replicas may have been compared by now, before this commit reached any of them.
    if (limit.notAfterMs !== undefined && moment.monotonicMs >= limit.notAfterMs) return { database, effects: [answerFailed(unit.from, unit.run, createFailure('outcome-unknown', 'the leader has not confirmed this host'), false)] }
    return { database, effects: [{ ...sendPeer(unit.from, { kind: 'requests/finished', caller, attempt, status, wrote, position: position ?? database.position, parts, payload, load: computeLoad(database), ...calculateStages(unit, message, moment) }), ...limit }] }
  }
  const write: PendingWrite = { from: unit.from, caller, attempt, status, position, parts, payload }
  const next: OwnedDatabase = { ...database, pendingWrites: [...database.pendingWrites, write] }
  return acknowledgeDurableWrites(next, { kind: 'transactions/stored', database: database.entry.database, position: database.durablePosition })
}

// Where the time of a late request went, for its log line.
function calculateStages ({ run }: UnitOfWork, { observed }: DatabaseFinished, moment: Moment): Pick<OwnerReport, 'waitedMs' | 'ranMs'> {
  if (observed === undefined || run.receivedAtMs === undefined) return {}
  return { waitedMs: Math.round(observed.askedAtMs - run.receivedAtMs), ranMs: Math.round(moment.monotonicMs - observed.askedAtMs) }
}

/**
 * Acknowledges the writes that a majority stores, and waits for the next one while any is pending.
 * @example acknowledgeDurableWrites(database, message)
 */
export function acknowledgeDurableWrites (database: OwnedDatabase, message: PositionStored): DatabaseStep {
  const durablePosition = pickLater(database.durablePosition, message.position)
  const durable = database.pendingWrites.filter(write => write.position.term === durablePosition.term && write.position.offset <= durablePosition.offset)
  const pending = database.pendingWrites.filter(write => !durable.includes(write))
  const answers = durable.map(({ from, ...write }) => sendPeer(from, { kind: 'requests/finished', wrote: true, ...write }))
  const next: OwnedDatabase = { ...database, durablePosition, pendingWrites: pending }
  return { database: next, effects: [...answers, ...awaitNextWrite(next)] }
}

function awaitNextWrite (database: OwnedDatabase): readonly TransactionsEffect[] {
  const [first] = database.pendingWrites
  if (first === undefined) return []
  const { entry, members } = database
  return [{ kind: 'database/await-stored', database: entry.database, address: entry.address, members, offset: first.position.offset }]
}

/**
 * Commit leases, for groups where a replica's copy acknowledges a write. Such a primary can only be replaced without losing a write
 * if none is acknowledged after its replicas were compared. So a host sends nothing that may commit unless the leader has
 * confirmed a heartbeat that names the group, within the lease, the control hosts' log names this process, and the directory does
 * not close the primary. The host's heartbeats say once all it sent is answered, and up to which position it acknowledged writes.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { ORIGIN, pickLater, type LogPosition } from '../core/position.js'
import { listEntries, removeEntry } from '../fairness/queue.js'
import { tell } from '../messages.js'
import type { CommitPhase } from '../membership/directory.js'
import type { DatabaseFinished, RunRequest } from './messages.js'
import { findUnit } from './pool.js'
import type { CommitLease, OwnedDatabase, TransactionsShared, UnitOfWork } from './state.js'
import { clearDeadlineTimer, createEmptyStep, refuseRun, type DatabaseStep, type TransactionsStep, type TransactionsStore } from './step.js'
import { isCommit, isCommitting } from './writing.js'

/**
 * How long a host may commit after it sent the last heartbeat that the leader answered: longer than an election takes, so that
 * a change of the leader stops no write.
 */
export const COMMIT_LEASE_MS = 2_000

/**
 * Returns why a request must not be sent to a database, since it may commit what is not acknowledged safely; undefined if it may.
 * A transaction that has written is refused at once when it can't commit any more, and nothing of it is kept.
 * @param unit the open transaction that the request belongs to.
 * @example findCommitRefusal(database, message, undefined, moment)?.code // 'no-primary'
 */
export function findCommitRefusal (database: OwnedDatabase, message: RunRequest, unit: UnitOfWork | undefined, moment: Moment): Failure | undefined {
  const { commitsUntilMs, entry } = database
  if (commitsUntilMs === undefined || message.intent === 'rollback') return undefined
  const writes = unit === undefined ? message.writes === true : unit.wrote === true || (message.writes === true && message.intent === 'statement')
  if (!writes) return undefined
  const hasLease = isOpen(database) && (moment.monotonicMs < commitsUntilMs || !isCommit(message, unit?.wrote === true))
  if (hasLease) return undefined
  return createFailure(unit === undefined ? 'no-primary' : 'transaction-closed', entry.group)
}

/**
 * Refuses queued requests that may write, once their database is closed for writes.
 * @example refuseQueuedWrites(database)
 */
export function refuseQueuedWrites (database: OwnedDatabase): DatabaseStep {
  if (database.commitsUntilMs === undefined || isOpen(database)) return createEmptyStep(database)
  const writes = listEntries(database.queue).map(({ item }) => item).filter(item => item.writes === true)
  if (writes.length === 0) return createEmptyStep(database)
  const queue = writes.reduce((left, { caller }) => removeEntry(left, caller), database.queue)
  const effects = writes.flatMap(item => [clearDeadlineTimer(database.entry.database, item.caller), refuseRun(item, createFailure('no-primary', database.entry.group), database)])
  return { database: { ...database, queue }, effects }
}

/**
 * Keeps the commit leases of this host in step with its databases, and tells membership of each change.
 * @example updateCommitLeases(store, step, moment).shared?.commitLeases.get('a')?.phase
 */
export function updateCommitLeases (store: TransactionsStore, step: TransactionsStep, moment: Moment): TransactionsStep {
  const before = step.shared ?? store.shared
  if (before.commitLeases.size === 0 && step.changes?.some(([, database]) => database?.leased === true) !== true) return step
  const items = applyStepChanges(store, step)
  const groups = new Set([...before.commitLeases.keys(), ...[...items.values()].filter(({ leased }) => leased === true).map(({ entry }) => entry.group)])
  const next = [...groups].map(group => [group, changeLease(before.commitLeases.get(group), computePhase(items.values(), group), moment)] as const)
  const changed = next.filter(([group, lease]) => lease !== before.commitLeases.get(group))
  const shared: TransactionsShared = changed.length === 0 ? before : { ...before, commitLeases: new Map(next) }
  const changes = [...items].flatMap(([name, database]) => {
    const commitsUntilMs = database.leased === true ? computeLeaseEndMs(shared, database) : undefined
    return commitsUntilMs === database.commitsUntilMs ? [] : [[name, { ...database, commitsUntilMs }] as const]
  })
  if (changed.length === 0 && changes.length === 0) return step
  const notifications = changed.map(([group, { phase, acknowledged, copied }]) => tell({ kind: 'membership/writes-changed', group, phase, acknowledged, ...(copied === undefined ? {} : { copied }) }))
  return { shared, changes: [...new Map([...step.changes ?? [], ...changes])], effects: [...step.effects, ...notifications] }
}

/**
 * Records the position with which a database acknowledged a commit. The log may have grown before it answered, so the position
 * covers the commit, and may be beyond it. What had been answered as the commit was sent comes before it in the log.
 * @example recordCommit(store, name, message).commitLeases.get('a')?.acknowledged
 */
export function recordCommit ({ items, shared }: TransactionsStore, database: string, { connection, position }: DatabaseFinished): TransactionsShared {
  const owned = items.get(database)
  const lease = owned === undefined ? undefined : shared.commitLeases.get(owned.entry.group)
  if (owned === undefined || lease === undefined || position === undefined) return shared
  const unit = findUnit(owned, connection)
  if (unit === undefined || !isCommitting(unit)) return shared
  const acknowledged = lease.acknowledged === undefined ? position : pickLater(lease.acknowledged, position)
  const copied = findCopied(unit, position)
  const changed: CommitLease = { ...lease, acknowledged, ...(copied === undefined ? {} : { copied: pickLater(lease.copied ?? ORIGIN, copied) }) }
  return { ...shared, commitLeases: new Map(shared.commitLeases).set(owned.entry.group, changed) }
}

// A primary that came back without its log begins anew.
function findCopied ({ sentPosition }: UnitOfWork, position: LogPosition): LogPosition | undefined {
  return sentPosition?.term === position.term && sentPosition.offset < position.offset ? sentPosition : undefined
}

/**
 * Keeps the position with which a database answered a commit, where commits take a lease.
 * @example recordCommitPosition(database, message).commitPosition?.offset
 */
export function recordCommitPosition (database: OwnedDatabase, { position }: DatabaseFinished): OwnedDatabase {
  return database.leased === true && position !== undefined ? { ...database, commitPosition: position } : database
}

function applyStepChanges (store: TransactionsStore, { changes = [] }: TransactionsStep): ReadonlyMap<string, OwnedDatabase> {
  const items = new Map(store.items)
  for (const [name, database] of changes) {
    if (database === undefined) items.delete(name)
    else items.set(name, database)
  }
  return items
}

function isOpen ({ term, closing }: OwnedDatabase): boolean {
  return term !== undefined && closing !== true
}

function changeLease (lease: CommitLease | undefined, phase: CommitPhase, { monotonicMs }: Moment): CommitLease {
  if (lease?.phase === phase) return lease
  if (lease === undefined || lease.phase === 'closed') return { phase, namedAtMs: monotonicMs, acknowledged: lease?.acknowledged, copied: lease?.copied }
  return { ...lease, phase }
}

function computePhase (databases: Iterable<OwnedDatabase>, group: string): CommitPhase {
  const members = [...databases].filter(({ entry }) => entry.group === group)
  if (members.some(isOpen)) return 'open'
  return members.some(({ units }) => [...units.values()].some(isCommitting)) ? 'closing' : 'closed'
}

// A heartbeat counts only if it named the group, so that the leader knows whose commits it has to wait for. The next leader knows
// it from the log, so it counts only once the log names this process.
function computeLeaseEndMs ({ commitLeases, confirmedAtMs }: TransactionsShared, { entry, registered }: OwnedDatabase): number {
  const lease = commitLeases.get(entry.group)
  const isHeld = registered !== false && lease !== undefined && lease.phase !== 'closed' && confirmedAtMs > lease.namedAtMs
  return isHeld ? confirmedAtMs + COMMIT_LEASE_MS : -Infinity
}

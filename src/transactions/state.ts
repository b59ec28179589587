/** State of the transactions slice: one record per database that this host owns. */
import type { LogPosition } from '../core/position.js'
import { hasTokenForNewWork } from './refill.js'
import { POSTGRES_GUARANTEES, type DatabaseGuarantees } from '../databases/guarantees.js'
import { countEntries, type FairQueue } from '../fairness/queue.js'
import type { CommitPhase, DatabaseEntry } from '../membership/directory.js'
import type { TransactionStatus } from '../requests/messages.js'
import type { PrimarySample } from '../routing/state.js'
import type { RunRequest, SequenceNumber } from './messages.js'
import type { ColdLimits, Refill } from './refill.js'

/** Load that a cold database reports beside its own while it takes no new work, so that reads go elsewhere. */
const COLD_LOAD = 4
/** The limits of a host whose settings name none. */
const DEFAULT_COLD_LIMITS: ColdLimits = { excess: 1, slack: 0, unheardMs: 1_000 }

/** A connection to a database: opening, idle, or bound to one caller's unit of work. */
export interface Connection {
  readonly connection: string
  readonly phase: 'opening' | 'idle' | 'bound'
  readonly caller?: string
  /** The workspace that the connection was opened for; absent when any workspace may use it. */
  readonly workspace?: string
  /** The requests that started on it, older ones counting less, and the database's count of starts at the last one; absent before the first. */
  readonly uses?: number
  readonly usedAt?: number
}

/** A single request or a transaction that holds a slot and a connection. */
export interface UnitOfWork {
  readonly caller: string
  /** The host that the caller is connected to. */
  readonly from: string
  readonly connection: string
  readonly phase: 'running' | 'idle'
  /** The attempt that began the unit; later requests of its transaction name it. */
  readonly firstAttempt: number
  /** The running request, or the last one while idle. */
  readonly run: RunRequest
  /** Parts of the current answer that have been sent. */
  readonly partsSent: number
  /** True while the running request waits here for a token of the cold database. */
  readonly held?: true
  /** True once a statement that writes was sent in its transaction. */
  readonly wrote?: true
  /** The position of the last commit that the database had answered as the running request was sent. */
  readonly sentPosition?: LogPosition
}

/** The lease of this host to commit at the primary of a group, where a replica's copy acknowledges a write. */
export interface CommitLease {
  readonly phase: CommitPhase
  /** The monotonic time of the change to `open`: only heartbeats after it name the group. */
  readonly namedAtMs: number
  /** The highest position of the log with which a database answered a commit of this host: covers all that it acknowledged. */
  readonly acknowledged?: LogPosition
  /** The highest position that was answered before a commit was sent which is acknowledged by now: replicas hold all up to it. */
  readonly copied?: LogPosition
}

/** A finished write that is not acknowledged yet, because no majority stores its position. */
export interface PendingWrite {
  readonly from: string
  readonly caller: string
  readonly attempt: number
  readonly status: TransactionStatus
  readonly position: LogPosition
  readonly parts: number
  readonly payload: Uint8Array
}

/** A read that waits for a replica to reach its position. */
export interface CatchUpRead {
  readonly run: RunRequest
  /** The monotonic time at which the read is refused, to be retried at the primary. */
  readonly expiresAtMs: number
}

/** How fast the entries of a queue start while all slots are in use. */
export interface QueuePace {
  /** The average time between two starts; absent until it was measured. */
  readonly startIntervalMs?: number
  /** The monotonic time since which all slots are in use and entries wait, or of the last start since then. */
  readonly saturatedSinceMs?: number
}

/** A database that this host owns. */
export interface OwnedDatabase {
  readonly entry: DatabaseEntry
  readonly guarantees: DatabaseGuarantees
  /** From when transactions may go on for a while, if its failure domain is evacuated. */
  readonly evacuatedAtMs?: number
  /** True once another host owns the database: running units finish, then the record is removed. */
  readonly releasing: boolean
  /** True during the backoff after a connection could not be opened. */
  readonly backingOff: boolean
  /** The term in which the database is primary; undefined while it is a replica. */
  readonly term?: number
  /** True during a planned primary change: the primary finishes running requests and accepts no new ones. */
  readonly closing?: boolean
  readonly members: readonly string[]
  readonly position: LogPosition
  readonly connections: ReadonlyMap<string, Connection>
  /** Distinguishes this record's connection names from those of an earlier record of the database. */
  readonly generation: number
  /** Connections opened so far; makes their names unique. */
  readonly connectionsOpened: number
  readonly units: ReadonlyMap<string, UnitOfWork>
  readonly queue: FairQueue<RunRequest>
  /** Queued requests that were started so far. */
  readonly started: number
  readonly pace: QueuePace
  /** The average time between a statement and the handling of its answer; absent until it was measured. */
  readonly ranMs?: number
  /** Statements beyond its slots that the database gets where statements hold the slots. */
  readonly extraStatements: number
  readonly catchUpReads: readonly CatchUpRead[]
  readonly pendingWrites: readonly PendingWrite[]
  readonly durablePosition: LogPosition
  /** The rate of requests while the database is cold; absent where its group has none. */
  readonly refill?: Refill
  /** True where a replica's copy acknowledges a write, by the last grant of its group. */
  readonly leased?: boolean
  /** The position of its log when it last answered a commit, where that takes a lease. */
  readonly commitPosition?: LogPosition
  /** False while the grant does not name this process among those that may commit. */
  readonly registered?: boolean
  /** The monotonic time until which commits may be sent and acknowledged; absent where that needs no lease. */
  readonly commitsUntilMs?: number
}

/** State of the slice that belongs to no single database. */
export interface TransactionsShared {
  readonly queueLength: number
  /** The average delay of this host's timers, in milliseconds. */
  readonly lagMs: number
  /** How long a transaction may stay idle. */
  readonly idleTransactionMs: number
  readonly guarantees: DatabaseGuarantees
  /** The last sequence numbers of each host's most recent processes. */
  readonly sequenceNumbers: ReadonlyMap<string, readonly SequenceNumber[]>
  /** The generation of the newest database record. */
  readonly generation: number
  /** True once the host is stopping and accepts no new work. */
  readonly stopping: boolean
  /** The monotonic time at which all work has to have ended; absent unless this host is stopping. */
  readonly endsAtMs?: number
  /** Until when this host may take it that it missed no operators' order on a failure domain; absent where no setting bounds it. */
  readonly confirmedUntilMs?: number
  /** Positions of the primaries by group, oldest first; empty unless the databases fence themselves. */
  readonly samples: ReadonlyMap<string, readonly PrimarySample[]>
  readonly coldLimits: ColdLimits
  /** The rate of a cold database, by group. */
  readonly coldRates: ReadonlyMap<string, number>
  /** When this host asked the leader for the last confirmation of its directory. */
  readonly confirmedAtMs: number
  /** The commit leases of this host by group; those that ended stay, with what was acknowledged. */
  readonly commitLeases: ReadonlyMap<string, CommitLease>
}

/**
 * Calculates how many statements this host runs at a time. Where statements hold the slots, the database gets some more than
 * it has slots, so that none is idle while answers are on their way and wait for this host.
 * @example calculateSlotLimit(database) // 4
 */
export function calculateSlotLimit ({ guarantees, entry, extraStatements }: OwnedDatabase): number {
  return guarantees.slotPerStatement ? entry.slots + extraStatements : entry.slots
}

/**
 * Counts the slots in use. Where idle transactions hold no slot, only running units and opening connections count.
 * @example countUsedSlots(database) // 2
 */
export function countUsedSlots ({ guarantees, units, connections }: OwnedDatabase): number {
  if (!guarantees.slotPerStatement) return units.size
  const running = [...units.values()].filter(unit => unit.phase === 'running').length
  return running + [...connections.values()].filter(connection => connection.phase === 'opening').length
}

/**
 * Replaces the unit of work of a caller.
 * @example replaceUnit(database, { ...unit, phase: 'idle' }).units.size
 */
export function replaceUnit (database: OwnedDatabase, unit: UnitOfWork): OwnedDatabase {
  return { ...database, units: new Map(database.units).set(unit.caller, unit) }
}

/**
 * Names the flow of a request in the fair queue: one for each workspace of a service.
 * @example nameFlow(message) // 'rota/parish'
 */
export function nameFlow ({ service, workspace }: RunRequest): string {
  return `${service}/${workspace ?? ''}`
}

/**
 * Returns the running and queued requests per slot; undefined where placement does not need it.
 * @example computeLoad(database) // 1.33
 */
export function computeLoad ({ guarantees, units, queue, entry, refill }: OwnedDatabase): number | undefined {
  if (!guarantees.slotPerStatement) return undefined
  let running = 0
  for (const unit of units.values()) if (unit.phase === 'running') running += 1
  return (running + countEntries(queue)) / entry.slots + (hasTokenForNewWork(refill) ? 0 : COLD_LOAD)
}

/**
 * Creates the shared state of a host that has received no request.
 * @example createTransactionsShared(1_000, 10_000)
 */
export function createTransactionsShared (queueLength: number, idleTransactionMs: number, guarantees: DatabaseGuarantees = POSTGRES_GUARANTEES, coldLimits = DEFAULT_COLD_LIMITS): TransactionsShared {
  return { queueLength, lagMs: 0, idleTransactionMs, guarantees, sequenceNumbers: new Map(), generation: 0, stopping: false, samples: new Map(), coldLimits, coldRates: new Map(), confirmedAtMs: -Infinity, commitLeases: new Map() }
}

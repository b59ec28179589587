/** The stand-in database: its log, role and term, and the execution slots and row locks that its sessions share. */
import type { LogPosition } from '../src/core/position.js'
import { ReplicatedLog, type Change, type LogEntry, type TermEndOffsets } from './log.js'
import { MemoryJournal, type DatabaseJournal, type JournalRecord } from './journal.js'
import { RowLocks } from './locks.js'

const MAX_PULL_ENTRIES = 500

/** The options of a database. */
export interface DatabaseOptions {
  readonly name: string
  readonly group: string
  /** Statements that run at the same time. */
  readonly slots: number
  /** The simulated execution time of a statement. */
  readonly statementMs: number
}

/** The answer to a replica's pull. */
export interface PullResult {
  readonly term: number
  /** The last offset that both logs share; the replica discards its entries after it. */
  readonly common: number
  readonly entries: readonly LogEntry[]
}

/** An error with an SQLSTATE. */
export class SqlError extends Error {
  override readonly name = 'SqlError'
  readonly sqlState: string

  constructor (sqlState: string, text: string) {
    super(text)
    this.sqlState = sqlState
  }
}

/** Exits with code 3 because the proxy violated a guarantee that databases rely on. */
export function abortOnViolation (text: string): never {
  process.stderr.write(`violation: ${text}\n`)
  process.exit(3)
}

/** A database of a group: a primary or a replica. */
export class StandInDatabase {
  readonly parts: DatabaseOptions
  readonly log = ReplicatedLog.create([])
  readonly locks = RowLocks.create()
  primary = false
  term = 0
  fencedTerm = 0
  /** The address from which a replica pulls. */
  source: string | undefined
  /** The total number of entries discarded because the primary does not have them. */
  discarded = 0
  readonly #journal: DatabaseJournal
  /** The offset up to which the log is synced to disk. */
  #syncedOffset = 0
  #truncationCount = 0
  readonly #replicaPositions = new Map<string, LogPosition>()
  #usedSlots = 0
  readonly #slotWaiters: Array<() => void> = []

  private constructor (options: DatabaseOptions, journal: DatabaseJournal) {
    this.parts = options
    this.#journal = journal
    for (const record of journal.recovered) this.#applyRecord(record)
    this.#syncedOffset = this.log.position.offset
  }

  /**
   * Creates a database from the records that its journal recovered; without records, it is an empty replica.
   * @example StandInDatabase.create({ name: 'a1', group: 'a', slots: 3, statementMs: 2 })
   */
  static create (options: DatabaseOptions, journal: DatabaseJournal = MemoryJournal.create()): StandInDatabase {
    return new StandInDatabase(options, journal)
  }

  /** Waits until all changes made so far are synced to disk. */
  async awaitSync (): Promise<void> {
    const { offset } = this.log.position
    const truncationCount = this.#truncationCount
    await this.#journal.sync()
    if (truncationCount === this.#truncationCount) this.#syncedOffset = Math.max(this.#syncedOffset, offset)
  }

  /** Runs a task in an execution slot; waits while all slots are in use. */
  async useSlot<T> (task: () => Promise<T>): Promise<T> {
    if (this.#usedSlots >= this.parts.slots) await new Promise<void>(resolve => this.#slotWaiters.push(resolve))
    else this.#usedSlots += 1
    try {
      await new Promise(resolve => setTimeout(resolve, this.parts.statementMs))
      return await task()
    } finally {
      // The next waiter takes over the slot, so that no other task can take it before the waiter continues.
      const next = this.#slotWaiters.shift()
      if (next === undefined) this.#usedSlots -= 1
      else next()
    }
  }

  /**
   * Commits changes and returns their position.
   * @throws SqlError 25006 on a replica.
   */
  commit (changes: readonly Change[]): LogPosition {
    if (!this.primary) throw new SqlError('25006', 'cannot execute in a read-only transaction')
    const position: LogPosition = { term: this.term, offset: this.log.position.offset + 1 }
    this.#append({ position, changes })
    return position
  }

  /** Rejects all terms below the given one; a primary of a lower term steps down. */
  fence (term: number): void {
    if (term <= this.fencedTerm) return
    this.fencedTerm = term
    if (this.term < term) {
      this.primary = false
      this.source = undefined
    }
    this.#recordRole()
  }

  /**
   * Becomes the primary of a term; does nothing if it already is.
   * @throws SqlError 55000 unless the database is fenced at exactly this term and the term is higher than that of its last entry.
   */
  promote (term: number): void {
    if (this.primary && term === this.term) return
    if (term !== this.fencedTerm || term <= this.log.position.term) throw new SqlError('55000', `the database is not fenced at term ${term}`)
    this.term = term
    this.primary = true
    this.source = undefined
    this.#replicaPositions.clear()
    this.#recordRole()
    this.commit([])
  }

  /**
   * Follows the primary of a term.
   * @throws SqlError 55000 when the term is fenced, or when this database is the primary of the term or of a later one.
   */
  follow (term: number, address: string): void {
    if (term < this.fencedTerm) throw new SqlError('55000', `term ${term} is fenced`)
    if (this.primary && term <= this.term) throw new SqlError('55000', 'the primary of the term cannot follow another database')
    this.fencedTerm = term
    this.primary = false
    this.source = address
    this.#recordRole()
  }

  /**
   * Answers a replica's pull. The log up to the common offset counts as stored by the replica.
   * @throws SqlError 55000 on a replica.
   */
  pull (replica: string, endOffsets: TermEndOffsets): PullResult {
    if (!this.primary) throw new SqlError('55000', 'not the primary')
    const common = this.log.findCommonOffset(endOffsets)
    this.#replicaPositions.set(replica, this.log.getPositionAt(common))
    const count = Math.max(0, Math.min(MAX_PULL_ENTRIES, this.#syncedOffset - common))
    return { term: this.term, common, entries: this.log.readEntriesAfter(common, count) }
  }

  /** Applies a pull's result; ignored on a primary and when its term is fenced. */
  applyPullResult (result: PullResult): void {
    if (result.term < this.fencedTerm || this.primary) return
    if (result.term > this.term || result.term > this.fencedTerm) {
      this.term = result.term
      this.fencedTerm = result.term
      this.#recordRole()
    }
    this.#truncate(result.common)
    for (const entry of result.entries) this.#append(entry)
  }

  /** Returns the last known durable position of each database of the group. */
  listStoredPositions (): Readonly<Record<string, string>> {
    const own: ReadonlyArray<readonly [string, LogPosition]> = [[this.parts.name, this.log.getPositionAt(this.#syncedOffset)], ...this.#replicaPositions]
    return Object.fromEntries(own.map(([name, position]) => [name, formatPosition(position)]))
  }

  #append (entry: LogEntry): void {
    this.log.append(entry)
    this.#journal.append({ type: 'entry', entry })
  }

  #truncate (offset: number): void {
    const discarded = this.log.position.offset - offset
    if (discarded <= 0) return
    this.log.truncate(offset)
    this.#truncationCount += 1
    this.#syncedOffset = Math.min(this.#syncedOffset, offset)
    this.discarded += discarded
    this.#journal.append({ type: 'truncate', offset })
    this.#recordRole()
  }

  #recordRole (): void {
    const { term, fencedTerm, primary, source, discarded } = this
    this.#journal.append({ type: 'role', role: { term, fencedTerm, primary, source, discarded } })
  }

  #applyRecord (record: JournalRecord): void {
    switch (record.type) {
      case 'entry': return this.log.append(record.entry)
      case 'truncate': return this.log.truncate(record.offset)
      case 'role':
        this.term = record.role.term
        this.fencedTerm = record.role.fencedTerm
        this.primary = record.role.primary
        this.source = record.role.source
        this.discarded = record.role.discarded
    }
  }
}

/** Formats a position as TERM/OFFSET. */
export function formatPosition (position: LogPosition): string {
  return `${position.term}/${position.offset}`
}

/** The stand-in database: its log, role and term, and what its sessions share. */
import type { LogPosition } from '../src/core/position.js'
import { GroupLog, type Boundaries, type Change, type LogEntry } from './log.js'
import { MemoryJournal, type DatabaseJournal, type JournalRecord } from './journal.js'
import { RowLocks } from './locks.js'

const PULL_ENTRIES = 500

/** What a database is made of. */
export interface DatabaseParts {
  readonly name: string
  readonly group: string
  readonly slots: number
  /** How long a statement takes. */
  readonly statementMs: number
}

/** What a replica gets from its primary. */
export interface Pulled {
  readonly term: number
  /** Entries after this offset are not the primary's. */
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

/** Ends the stand-in with a clear message: the proxy broke a rule of the database. */
export function reportBreach (text: string): never {
  process.stderr.write(`breach: ${text}\n`)
  process.exit(3)
}

/** A database of a group: a primary or a replica. */
export class StandInDatabase {
  readonly parts: DatabaseParts
  readonly log = GroupLog.create([])
  readonly locks = RowLocks.create()
  primary = false
  term = 0
  fencedTerm = 0
  /** Where a replica pulls from. */
  source: string | undefined
  /** How many entries were ever dropped because the primary does not have them. */
  discarded = 0
  readonly #journal: DatabaseJournal
  /** How many entries of the log are synced. */
  #syncedOffset = 0
  #truncations = 0
  readonly #stored = new Map<string, LogPosition>()
  #running = 0
  readonly #waiting: Array<() => void> = []

  private constructor (parts: DatabaseParts, journal: DatabaseJournal) {
    this.parts = parts
    this.#journal = journal
    for (const record of journal.recovered) this.#recover(record)
    this.#syncedOffset = this.log.position.offset
  }

  /**
   * Creates a database from what its journal recovered; an empty replica by default.
   * @example StandInDatabase.create({ name: 'a1', group: 'a', slots: 3, statementMs: 2 })
   */
  static create (parts: DatabaseParts, journal: DatabaseJournal = MemoryJournal.create()): StandInDatabase {
    return new StandInDatabase(parts, journal)
  }

  /** Waits until all that was done so far would survive a crash. */
  async awaitSynced (): Promise<void> {
    const { offset } = this.log.position
    const truncations = this.#truncations
    await this.#journal.sync()
    if (truncations === this.#truncations) this.#syncedOffset = Math.max(this.#syncedOffset, offset)
  }

  /** Runs a step while it holds a slot; steps over the slots wait. */
  async useSlot<T> (step: () => Promise<T>): Promise<T> {
    if (this.#running >= this.parts.slots) await new Promise<void>(resolve => this.#waiting.push(resolve))
    this.#running += 1
    try {
      await new Promise(resolve => setTimeout(resolve, this.parts.statementMs))
      return await step()
    } finally {
      this.#running -= 1
      this.#waiting.shift()?.()
    }
  }

  /** Commits changes and returns their position. */
  commit (changes: readonly Change[]): LogPosition {
    if (!this.primary) throw new SqlError('25006', 'cannot execute in a read-only transaction')
    const position: LogPosition = { term: this.term, offset: this.log.position.offset + 1 }
    this.#append({ position, changes })
    return position
  }

  /** Refuses all terms below the given one; a primary of such a term steps down. */
  fence (term: number): void {
    if (term <= this.fencedTerm) return
    this.fencedTerm = term
    if (this.term < term) {
      this.primary = false
      this.source = undefined
    }
    this.#storeRole()
  }

  /** Becomes the primary of a term that it was fenced at. */
  promote (term: number): void {
    if (this.primary && term === this.term) return
    if (term !== this.fencedTerm || term <= this.log.position.term) throw new SqlError('55000', `the database is not fenced at term ${term}`)
    this.term = term
    this.primary = true
    this.source = undefined
    this.#stored.clear()
    this.#storeRole()
    this.commit([])
  }

  /** Follows the primary of a term. */
  follow (term: number, address: string): void {
    if (term < this.fencedTerm) throw new SqlError('55000', `term ${term} is fenced`)
    if (this.primary && term <= this.term) throw new SqlError('55000', 'the primary of the term follows none')
    this.fencedTerm = term
    this.primary = false
    this.source = address
    this.#storeRole()
  }

  /** Answers a replica's pull; what it asks from shows what it has stored. */
  pull (replica: string, boundaries: Boundaries): Pulled {
    if (!this.primary) throw new SqlError('55000', 'not the primary')
    const common = this.log.findCommon(boundaries)
    this.#stored.set(replica, this.log.readPosition(common))
    const count = Math.max(0, Math.min(PULL_ENTRIES, this.#syncedOffset - common))
    return { term: this.term, common, entries: this.log.readAfter(common, count) }
  }

  /** Takes what a pull brought. */
  takePulled (pulled: Pulled): void {
    if (pulled.term < this.fencedTerm || this.primary) return
    if (pulled.term > this.term || pulled.term > this.fencedTerm) {
      this.term = pulled.term
      this.fencedTerm = pulled.term
      this.#storeRole()
    }
    this.#truncate(pulled.common)
    for (const entry of pulled.entries) this.#append(entry)
  }

  /** What each database of the group stores, as far as this one knows. */
  listStored (): Readonly<Record<string, string>> {
    const own: ReadonlyArray<readonly [string, LogPosition]> = [[this.parts.name, this.log.readPosition(this.#syncedOffset)], ...this.#stored]
    return Object.fromEntries(own.map(([name, position]) => [name, formatPosition(position)]))
  }

  #append (entry: LogEntry): void {
    this.log.append(entry)
    this.#journal.append({ type: 'entry', entry })
  }

  #truncate (offset: number): void {
    const dropped = this.log.position.offset - offset
    if (dropped <= 0) return
    this.log.truncate(offset)
    this.#truncations += 1
    this.#syncedOffset = Math.min(this.#syncedOffset, offset)
    this.discarded += dropped
    this.#journal.append({ type: 'truncate', offset })
    this.#storeRole()
  }

  #storeRole (): void {
    const { term, fencedTerm, primary, source, discarded } = this
    this.#journal.append({ type: 'role', role: { term, fencedTerm, primary, source, discarded } })
  }

  #recover (record: JournalRecord): void {
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

/** Writes a position as TERM/OFFSET. */
export function formatPosition (position: LogPosition): string {
  return `${position.term}/${position.offset}`
}

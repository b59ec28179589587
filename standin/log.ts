/** The replicated log of a stand-in database, and the tables that it makes. */
import { comparePositions, ORIGIN, type LogPosition } from '../src/core/position.js'

/** A row: text values by column; null is SQL's null. */
export type Row = Readonly<Record<string, string | null>>

/** One change that a transaction made. */
export type Change =
  | { readonly type: 'create', readonly table: string, readonly columns: readonly string[] }
  | { readonly type: 'put', readonly table: string, readonly id: number, readonly row: Row }
  | { readonly type: 'drop', readonly table: string, readonly id: number }

/** One committed transaction. */
export interface LogEntry {
  readonly position: LogPosition
  readonly changes: readonly Change[]
}

/** A table as it stands. */
export interface Table {
  readonly columns: readonly string[]
  readonly rows: Map<number, Row>
}

/** The last offset of each term in a log. */
export type Boundaries = ReadonlyArray<readonly [term: number, offset: number]>

/** A log with the tables that its entries make. */
export class GroupLog {
  #entries: LogEntry[] = []
  #tables = new Map<string, Table>()
  #nextId = 1

  private constructor () {}

  /**
   * Creates a log from its entries.
   * @example GroupLog.create([])
   */
  static create (entries: readonly LogEntry[]): GroupLog {
    const log = new GroupLog()
    for (const entry of entries) log.append(entry)
    return log
  }

  /** The position of the last entry. */
  get position (): LogPosition {
    return this.#entries.at(-1)?.position ?? ORIGIN
  }

  /** The tables as they stand. */
  get tables (): ReadonlyMap<string, Table> {
    return this.#tables
  }

  /** Returns a row number that was never used. */
  drawId (): number {
    const id = this.#nextId
    this.#nextId += 1
    return id
  }

  /** Adds an entry and applies its changes. */
  append (entry: LogEntry): void {
    if (entry.position.offset !== this.position.offset + 1 || comparePositions(entry.position, this.position) <= 0) throw new Error('breach: an entry does not follow the log')
    this.#entries.push(entry)
    for (const change of entry.changes) this.#apply(change)
  }

  /** Drops all entries after an offset and makes the tables anew. */
  truncate (offset: number): void {
    if (offset >= this.position.offset) return
    const kept = this.#entries.slice(0, offset)
    this.#entries = []
    this.#tables = new Map()
    this.#nextId = 1
    for (const entry of kept) this.append(entry)
  }

  /** Returns entries after an offset, up to a count. */
  readAfter (offset: number, count: number): readonly LogEntry[] {
    return this.#entries.slice(offset, offset + count)
  }

  /** Returns the position at an offset. */
  readPosition (offset: number): LogPosition {
    return offset === 0 ? ORIGIN : this.#entries[offset - 1]?.position ?? ORIGIN
  }

  /** Returns the last offset of each term. */
  readBoundaries (): Boundaries {
    const last = new Map<number, number>()
    for (const { position } of this.#entries) last.set(position.term, position.offset)
    return [...last]
  }

  /** Returns the offset up to which this log and another one are the same. */
  findCommon (other: Boundaries): number {
    const own = new Map(this.readBoundaries())
    const shared = other.filter(([term]) => own.has(term)).map(([term, offset]) => Math.min(offset, own.get(term)!))
    return Math.max(0, ...shared)
  }

  #apply (change: Change): void {
    if (change.type === 'create') {
      this.#tables.set(change.table, { columns: change.columns, rows: new Map() })
      return
    }
    const rows = this.#tables.get(change.table)?.rows
    if (change.type === 'drop') rows?.delete(change.id)
    else rows?.set(change.id, change.row)
    this.#nextId = Math.max(this.#nextId, change.id + 1)
  }
}

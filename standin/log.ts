/** The replicated log of a stand-in database and the tables built from it. */
import { comparePositions, ORIGIN, type LogPosition } from '../src/core/position.js'

/** A row: text values by column; null stands for SQL NULL. */
export type Row = Readonly<Record<string, string | null>>

/** One change of a transaction. */
export type Change =
  | { readonly type: 'create', readonly table: string, readonly columns: readonly string[] }
  | { readonly type: 'put', readonly table: string, readonly id: number, readonly row: Row }
  | { readonly type: 'drop', readonly table: string, readonly id: number }

/** One committed transaction. */
export interface LogEntry {
  readonly position: LogPosition
  readonly changes: readonly Change[]
}

/** The current state of a table. */
export interface Table {
  readonly columns: readonly string[]
  readonly rows: Map<number, Row>
}

/** The last offset of each term in a log, from which two logs find their common prefix. */
export type TermEndOffsets = ReadonlyArray<readonly [term: number, offset: number]>

/** A log and the tables built from its entries. */
export class ReplicatedLog {
  #entries: LogEntry[] = []
  #tables = new Map<string, Table>()
  #nextRowId = 1

  private constructor () {}

  /**
   * Creates a log from its entries.
   * @example ReplicatedLog.create([])
   */
  static create (entries: readonly LogEntry[]): ReplicatedLog {
    const log = new ReplicatedLog()
    for (const entry of entries) log.append(entry)
    return log
  }

  /** The position of the last entry. */
  get position (): LogPosition {
    return this.#entries.at(-1)?.position ?? ORIGIN
  }

  /** The current tables. */
  get tables (): ReadonlyMap<string, Table> {
    return this.#tables
  }

  /** Returns an unused row number. */
  allocateRowId (): number {
    const id = this.#nextRowId
    this.#nextRowId += 1
    return id
  }

  /**
   * Appends an entry and applies its changes.
   * @throws Error when the entry is not the successor of the last one.
   */
  append (entry: LogEntry): void {
    if (entry.position.offset !== this.position.offset + 1 || comparePositions(entry.position, this.position) <= 0) throw new Error('violation: the entry is not the successor of the last log entry')
    this.#entries.push(entry)
    for (const change of entry.changes) this.#applyChange(change)
  }

  /** Removes all entries after an offset and rebuilds the tables. */
  truncate (offset: number): void {
    if (offset >= this.position.offset) return
    const remaining = this.#entries.slice(0, offset)
    this.#entries = []
    this.#tables = new Map()
    this.#nextRowId = 1
    for (const entry of remaining) this.append(entry)
  }

  /** Returns at most `count` entries after an offset. */
  readEntriesAfter (offset: number, count: number): readonly LogEntry[] {
    return this.#entries.slice(offset, offset + count)
  }

  /** Returns the position of the entry at an offset. */
  getPositionAt (offset: number): LogPosition {
    return offset === 0 ? ORIGIN : this.#entries[offset - 1]?.position ?? ORIGIN
  }

  /** Returns the last offset of each term. */
  readTermEndOffsets (): TermEndOffsets {
    const endOffsets = new Map<number, number>()
    for (const { position } of this.#entries) endOffsets.set(position.term, position.offset)
    return [...endOffsets]
  }

  /** Returns the offset up to which this log and another one are equal. */
  findCommonOffset (other: TermEndOffsets): number {
    const own = new Map(this.readTermEndOffsets())
    const shared = other.filter(([term]) => own.has(term)).map(([term, offset]) => Math.min(offset, own.get(term)!))
    return Math.max(0, ...shared)
  }

  #applyChange (change: Change): void {
    if (change.type === 'create') {
      this.#tables.set(change.table, { columns: change.columns, rows: new Map() })
      return
    }
    const rows = this.#tables.get(change.table)?.rows
    if (change.type === 'drop') rows?.delete(change.id)
    else rows?.set(change.id, change.row)
    this.#nextRowId = Math.max(this.#nextRowId, change.id + 1)
  }
}

/** A session of the stand-in, which runs statements in implicit or explicit transactions. */
import type { LogPosition } from '../src/core/position.js'
import { formatPosition, abortOnViolation, SqlError, type StandInDatabase } from './database.js'
import type { Change, Row, Table } from './log.js'
import { LockTimeoutError } from './locks.js'
import type { Comparison, Expression, ParsedStatement, SelectItem } from './statement.js'

const WORKSPACE_SETTING = 'fulmartally.workspace'
const READ_ONLY_SETTING = 'default_transaction_read_only'

/** The result of a statement: its rows, if any, and its command tag. */
export interface StatementResult {
  readonly columns?: readonly string[]
  readonly rows: ReadonlyArray<ReadonlyArray<string | null>>
  readonly tag: string
}

type ParameterValues = ReadonlyArray<string | null>
type SelectStatement = Extract<ParsedStatement, { type: 'select' }>

interface OpenTransaction {
  readonly lockOwner: symbol
  readonly changes: Change[]
  readonly explicit: boolean
  readonly readOnly: boolean
  failed: boolean
}

/** Runs the statements of one connection. */
export class StandInSession {
  readonly #database: StandInDatabase
  readonly #settings = new Map<string, string>()
  #transaction: OpenTransaction | undefined
  /** The position of the last commit, until it is reported to the client. */
  #commitPosition: LogPosition | undefined

  private constructor (database: StandInDatabase) {
    this.#database = database
  }

  /**
   * Creates a session without an open transaction.
   * @example StandInSession.create(database)
   */
  static create (database: StandInDatabase): StandInSession {
    return new StandInSession(database)
  }

  /** The transaction status that ReadyForQuery reports. */
  get status (): 'idle' | 'transaction' | 'error' {
    if (this.#transaction?.explicit !== true) return 'idle'
    return this.#transaction.failed ? 'error' : 'transaction'
  }

  /** Returns the position of the last commit since the previous call; undefined without one. */
  takeCommitPosition (): LogPosition | undefined {
    const position = this.#commitPosition
    this.#commitPosition = undefined
    return position
  }

  /**
   * Runs one statement in an execution slot.
   * @throws SqlError when the statement fails; the transaction fails with it.
   */
  async run (statement: ParsedStatement, parameters: ParameterValues): Promise<StatementResult> {
    if (this.#transaction?.failed === true && statement.type !== 'commit' && statement.type !== 'rollback') {
      throw new SqlError('25P02', 'current transaction is aborted, commands ignored until end of transaction block')
    }
    try {
      return await this.#database.useSlot(() => this.#execute(statement, parameters))
    } catch (error) {
      this.fail()
      throw error instanceof LockTimeoutError ? new SqlError('40P01', error.message) : error
    }
  }

  /** Commits the implicit transaction of a simple query or an extended-protocol batch. */
  endImplicit (): void {
    if (this.#transaction !== undefined && !this.#transaction.explicit) this.#commit()
  }

  /** Marks the transaction as failed; an implicit one is rolled back. */
  fail (): void {
    if (this.#transaction === undefined) return
    if (this.#transaction.explicit) this.#transaction.failed = true
    else this.rollback()
  }

  /** Rolls back the transaction and releases its row locks. */
  rollback (): void {
    const transaction = this.#transaction
    this.#transaction = undefined
    if (transaction !== undefined) this.#database.locks.release(transaction.lockOwner)
  }

  async #execute (statement: ParsedStatement, parameters: ParameterValues): Promise<StatementResult> {
    switch (statement.type) {
      case 'begin': return this.#begin(statement.readOnly || this.#settings.get(READ_ONLY_SETTING) === 'on')
      case 'commit': return this.#endTransaction()
      case 'rollback':
        this.rollback()
        return { rows: [], tag: 'ROLLBACK' }
      case 'set':
        this.#setSetting(statement.name, statement.value)
        return { rows: [], tag: 'SET' }
      case 'select': return this.#select(statement, parameters)
      case 'create': return this.#create(statement)
      case 'insert': return this.#insert(statement, parameters)
      case 'update': return await this.#update(statement, parameters)
      case 'delete': return await this.#delete(statement, parameters)
    }
  }

  #begin (readOnly: boolean): StatementResult {
    if (this.#transaction?.explicit !== true) {
      this.endImplicit()
      this.#transaction = { lockOwner: Symbol('transaction'), changes: [], explicit: true, readOnly, failed: false }
    }
    return { rows: [], tag: 'BEGIN' }
  }

  #endTransaction (): StatementResult {
    if (this.#transaction?.failed === true) {
      this.rollback()
      return { rows: [], tag: 'ROLLBACK' }
    }
    this.#commit()
    return { rows: [], tag: 'COMMIT' }
  }

  #commit (): void {
    const transaction = this.#transaction
    try {
      if (transaction !== undefined && transaction.changes.length > 0) this.#commitPosition = this.#database.commit(transaction.changes)
    } finally {
      this.rollback()
    }
  }

  #setSetting (name: string, value: string): void {
    const previous = this.#settings.get(name)
    if (name === WORKSPACE_SETTING && this.#transaction?.explicit === true && previous !== value) {
      abortOnViolation(`a transaction of workspace ${previous} was continued by workspace ${value}`)
    }
    this.#settings.set(name, value)
  }

  #beginWrite (): OpenTransaction {
    const readOnly = this.#transaction?.readOnly ?? this.#settings.get(READ_ONLY_SETTING) === 'on'
    if (!this.#database.primary || readOnly) throw new SqlError('25006', 'cannot execute in a read-only transaction')
    this.#transaction ??= { lockOwner: Symbol('transaction'), changes: [], explicit: false, readOnly: false, failed: false }
    return this.#transaction
  }

  #create (statement: Extract<ParsedStatement, { type: 'create' }>): StatementResult {
    const transaction = this.#beginWrite()
    const existing = this.#findTable(statement.table)
    if (existing !== undefined && !statement.ifNotExists) throw new SqlError('42P07', `relation "${statement.table}" already exists`)
    if (existing === undefined) transaction.changes.push({ type: 'create', table: statement.table, columns: statement.columns })
    return { rows: [], tag: 'CREATE TABLE' }
  }

  #insert (statement: Extract<ParsedStatement, { type: 'insert' }>, parameters: ParameterValues): StatementResult {
    const transaction = this.#beginWrite()
    const table = this.#requireTable(statement.table)
    const rows = statement.rows.map(values => {
      const empty: Row = Object.fromEntries(table.columns.map(column => [column, null]))
      const row: Row = { ...empty, ...Object.fromEntries(statement.columns.map((column, index) => [column, this.#evaluate(values[index]!, empty, parameters)])) }
      transaction.changes.push({ type: 'put', table: statement.table, id: this.#database.log.allocateRowId(), row })
      return row
    })
    return this.#project(statement.returning, rows, table, parameters, `INSERT 0 ${rows.length}`)
  }

  async #update (statement: Extract<ParsedStatement, { type: 'update' }>, parameters: ParameterValues): Promise<StatementResult> {
    const transaction = this.#beginWrite()
    const table = this.#requireTable(statement.table)
    const updated: Row[] = []
    for (const id of await this.#lockMatchingRows(transaction, statement.table, statement.where, parameters)) {
      const row = this.#readRows(statement.table).get(id)!
      const next: Row = { ...row, ...Object.fromEntries(statement.set.map(([column, value]) => [column, this.#evaluate(value, row, parameters)])) }
      transaction.changes.push({ type: 'put', table: statement.table, id, row: next })
      updated.push(next)
    }
    return this.#project(statement.returning, updated, table, parameters, `UPDATE ${updated.length}`)
  }

  async #delete (statement: Extract<ParsedStatement, { type: 'delete' }>, parameters: ParameterValues): Promise<StatementResult> {
    const transaction = this.#beginWrite()
    this.#requireTable(statement.table)
    const ids = await this.#lockMatchingRows(transaction, statement.table, statement.where, parameters)
    for (const id of ids) transaction.changes.push({ type: 'drop', table: statement.table, id })
    return { rows: [], tag: `DELETE ${ids.length}` }
  }

  // A row may change while the session waits for its lock, so the condition is checked again.
  async #lockMatchingRows (transaction: OpenTransaction, table: string, where: readonly Comparison[], parameters: ParameterValues): Promise<readonly number[]> {
    const matches = this.#findMatchingRows(table, where, parameters)
    for (const id of matches) await this.#database.locks.acquire(`${table}/${id}`, transaction.lockOwner)
    if (this.#transaction !== transaction) throw new SqlError('25P02', 'the transaction has ended')
    const stillMatching = new Set(this.#findMatchingRows(table, where, parameters))
    return matches.filter(id => stillMatching.has(id))
  }

  #findMatchingRows (table: string, where: readonly Comparison[], parameters: ParameterValues): readonly number[] {
    return [...this.#readRows(table)].filter(([, row]) => this.#matches(row, where, parameters)).map(([id]) => id)
  }

  #select (statement: SelectStatement, parameters: ParameterValues): StatementResult {
    if (statement.table === undefined) return this.#project(statement.selected, [{}], undefined, parameters, 'SELECT 1')
    const table = this.#requireTable(statement.table)
    const rows = [...this.#readRows(statement.table).values()].filter(row => this.#matches(row, statement.where, parameters))
    const first = statement.selected[0]?.expression
    if (first?.type === 'call' && first.name === 'count') return { columns: ['count'], rows: [[String(rows.length)]], tag: 'SELECT 1' }
    const { orderBy, limit } = statement
    const sorted = orderBy === undefined ? rows : [...rows].sort((a, b) => compareValues(a[orderBy] ?? null, b[orderBy] ?? null))
    const limited = sorted.slice(0, limit ?? sorted.length)
    return this.#project(statement.selected, limited, table, parameters, `SELECT ${limited.length}`)
  }

  #project (selected: readonly SelectItem[], rows: readonly Row[], table: Table | undefined, parameters: ParameterValues, tag: string): StatementResult {
    if (selected.length === 0) return { rows: [], tag }
    const columns = selected.flatMap(item => (isWildcard(item) ? table?.columns ?? [] : [item.name]))
    const values = rows.map(row => selected.flatMap(item => (isWildcard(item) ? (table?.columns ?? []).map(column => row[column] ?? null) : [this.#evaluate(item.expression, row, parameters)])))
    return { columns, rows: values, tag }
  }

  #findTable (name: string): Table | undefined {
    const created = this.#transaction?.changes.find(change => change.type === 'create' && change.table === name)
    const table = this.#database.log.tables.get(name)
    return table ?? (created?.type === 'create' ? { columns: created.columns, rows: new Map() } : undefined)
  }

  #requireTable (name: string): Table {
    const table = this.#findTable(name)
    if (table === undefined) throw new SqlError('42P01', `relation "${name}" does not exist`)
    return table
  }

  // Committed rows, overlaid with the uncommitted changes of this session's transaction.
  #readRows (table: string): ReadonlyMap<number, Row> {
    const committed = this.#database.log.tables.get(table)?.rows ?? new Map<number, Row>()
    const own = (this.#transaction?.changes ?? []).filter(change => change.table === table)
    if (own.length === 0) return committed
    const rows = new Map(committed)
    for (const change of own) {
      if (change.type === 'put') rows.set(change.id, change.row)
      if (change.type === 'drop') rows.delete(change.id)
    }
    return rows
  }

  #matches (row: Row, where: readonly Comparison[], parameters: ParameterValues): boolean {
    return where.every(({ column, operator, value }) => {
      const left = row[column] ?? null
      const right = this.#evaluate(value, row, parameters)
      if (left === null || right === null) return false
      const order = compareValues(left, right)
      switch (operator) {
        case '=': return order === 0
        case '<>':
        case '!=': return order !== 0
        case '<': return order < 0
        case '>': return order > 0
        case '<=': return order <= 0
        case '>=': return order >= 0
        default: throw new SqlError('42601', `unknown operator "${operator}"`)
      }
    })
  }

  #evaluate (expression: Expression, row: Row, parameters: ParameterValues): string | null {
    switch (expression.type) {
      case 'value': return expression.value
      case 'parameter': return parameters[expression.index] ?? null
      case 'column': return this.#readColumn(expression.column, row)
      case 'call': return this.#callFunction(expression.name, expression.args.map(arg => this.#evaluate(arg, row, parameters)))
      case 'operation': return applyOperator(expression.operator, this.#evaluate(expression.left, row, parameters), this.#evaluate(expression.right, row, parameters))
    }
  }

  #readColumn (column: string, row: Row): string | null {
    if (!(column in row)) throw new SqlError('42703', `column "${column}" does not exist`)
    return row[column] ?? null
  }

  #callFunction (name: string, args: ReadonlyArray<string | null>): string | null {
    if (name === 'set_config') {
      this.#setSetting(args[0] ?? '', args[1] ?? '')
      return args[1] ?? null
    }
    if (name === 'current_setting') return this.#settings.get(args[0] ?? '') ?? ''
    if (name === 'fulmartally_role') return this.#database.primary ? 'primary' : 'replica'
    if (name === 'fulmartally_position') return formatPosition(this.#database.log.position)
    throw new SqlError('42883', `function ${name} does not exist`)
  }
}

function isWildcard (item: SelectItem): boolean {
  return item.expression.type === 'column' && item.expression.column === '*'
}

function compareValues (a: string | null, b: string | null): number {
  if (a === null || b === null) return a === b ? 0 : a === null ? 1 : -1
  const [left, right] = [Number(a), Number(b)]
  if (a !== '' && b !== '' && Number.isFinite(left) && Number.isFinite(right)) return left - right
  return a < b ? -1 : a > b ? 1 : 0
}

function applyOperator (operator: string, left: string | null, right: string | null): string | null {
  if (left === null || right === null) return null
  if (operator === '||') return left + right
  return String(operator === '+' ? Number(left) + Number(right) : Number(left) - Number(right))
}

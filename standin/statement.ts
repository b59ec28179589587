/** Parses the stand-in's small SQL. */
import { splitTokens, type Token } from './tokens.js'

/** A value, or where it comes from. */
export type Expression =
  | { readonly type: 'value', readonly value: string | null }
  | { readonly type: 'parameter', readonly index: number }
  | { readonly type: 'column', readonly column: string }
  | { readonly type: 'call', readonly name: string, readonly args: readonly Expression[] }
  | { readonly type: 'operation', readonly operator: string, readonly left: Expression, readonly right: Expression }

/** A condition: all its comparisons hold. */
export interface Comparison {
  readonly column: string
  readonly operator: string
  readonly value: Expression
}

/** One column of an answer. */
export interface Selected {
  readonly name: string
  readonly expression: Expression
}

/** A parsed statement. */
export type ParsedStatement =
  | { readonly type: 'create', readonly table: string, readonly columns: readonly string[], readonly ifNotExists: boolean }
  | { readonly type: 'insert', readonly table: string, readonly columns: readonly string[], readonly rows: ReadonlyArray<readonly Expression[]>, readonly returning: readonly Selected[] }
  | { readonly type: 'update', readonly table: string, readonly set: ReadonlyArray<readonly [column: string, value: Expression]>, readonly where: readonly Comparison[], readonly returning: readonly Selected[] }
  | { readonly type: 'delete', readonly table: string, readonly where: readonly Comparison[] }
  | { readonly type: 'select', readonly selected: readonly Selected[], readonly table?: string, readonly where: readonly Comparison[], readonly orderBy?: string, readonly limit?: number }
  | { readonly type: 'begin', readonly readOnly: boolean }
  | { readonly type: 'commit' }
  | { readonly type: 'rollback' }
  | { readonly type: 'set', readonly name: string, readonly value: string }

/** Parses statement after statement of one text. */
export class StatementParser {
  readonly #tokens: readonly Token[]
  #next = 0

  private constructor (tokens: readonly Token[]) {
    this.#tokens = tokens
  }

  /**
   * Parses a text of one or more statements.
   * @example StatementParser.parseAll('BEGIN; SELECT 1')
   * @throws SyntaxError when the text is not in the stand-in's SQL.
   */
  static parseAll (text: string): readonly ParsedStatement[] {
    const parser = new StatementParser(splitTokens(text))
    const statements: ParsedStatement[] = []
    while (true) {
      while (parser.#accept(';'));
      if (parser.#next >= parser.#tokens.length) return statements
      statements.push(parser.#readStatement())
    }
  }

  #readStatement (): ParsedStatement {
    const word = this.#take().text
    switch (word) {
      case 'create': return this.#readCreate()
      case 'insert': return this.#readInsert()
      case 'update': return this.#readUpdate()
      case 'delete': return this.#readDelete()
      case 'select': return this.#readSelect()
      case 'begin': return { type: 'begin', readOnly: this.#readMode() }
      case 'start': return { type: 'begin', readOnly: this.#readMode() }
      case 'commit':
      case 'end':
        this.#readMode()
        return { type: 'commit' }
      case 'rollback':
      case 'abort':
        this.#readMode()
        return { type: 'rollback' }
      case 'set': return this.#readSet()
      default: throw new SyntaxError(`syntax error at "${word}"`)
    }
  }

  #readMode (): boolean {
    const words: string[] = []
    while (this.#peek() !== undefined && this.#peek()?.text !== ';') words.push(this.#take().text)
    return words.join(' ').includes('read only')
  }

  #readSet (): ParsedStatement {
    this.#accept('local')
    this.#accept('session')
    const name = this.#take().text
    if (!this.#accept('=')) this.#expect('to')
    return { type: 'set', name, value: this.#take().text }
  }

  #readCreate (): ParsedStatement {
    this.#expect('table')
    const ifNotExists = this.#accept('if')
    if (ifNotExists) {
      this.#expect('not')
      this.#expect('exists')
    }
    const table = this.#take().text
    this.#expect('(')
    const columns: string[] = []
    do columns.push(this.#readColumnDefinition()); while (this.#accept(','))
    this.#expect(')')
    return { type: 'create', table, columns, ifNotExists }
  }

  #readColumnDefinition (): string {
    const column = this.#take().text
    for (let depth = 0; depth > 0 || ![',', ')'].includes(this.#peek()?.text ?? ')'); this.#next++) {
      if (this.#peek()?.text === '(') depth++
      if (this.#peek()?.text === ')') depth--
    }
    return column
  }

  #readInsert (): ParsedStatement {
    this.#expect('into')
    const table = this.#take().text
    this.#expect('(')
    const columns: string[] = []
    do columns.push(this.#take().text); while (this.#accept(','))
    this.#expect(')')
    this.#expect('values')
    const rows: Array<readonly Expression[]> = []
    do rows.push(this.#readArguments()); while (this.#accept(','))
    return { type: 'insert', table, columns, rows, returning: this.#readReturning() }
  }

  #readUpdate (): ParsedStatement {
    const table = this.#take().text
    this.#expect('set')
    const set: Array<readonly [string, Expression]> = []
    do {
      const column = this.#take().text
      this.#expect('=')
      set.push([column, this.#readExpression()])
    } while (this.#accept(','))
    return { type: 'update', table, set, where: this.#readWhere(), returning: this.#readReturning() }
  }

  #readDelete (): ParsedStatement {
    this.#expect('from')
    return { type: 'delete', table: this.#take().text, where: this.#readWhere() }
  }

  #readSelect (): ParsedStatement {
    const selected = this.#readSelected()
    if (!this.#accept('from')) return { type: 'select', selected, where: [] }
    const table = this.#take().text
    if (this.#peek()?.text === '(') return { type: 'select', selected: [{ name: table, expression: { type: 'call', name: table, args: this.#readArguments() } }], where: [] }
    const where = this.#readWhere()
    const orderBy = this.#accept('order') ? this.#readOrderBy() : undefined
    const limit = this.#accept('limit') ? Number(this.#take().text) : undefined
    return { type: 'select', selected, table, where, orderBy, limit }
  }

  #readOrderBy (): string {
    this.#expect('by')
    const column = this.#take().text
    this.#accept('asc')
    return column
  }

  #readReturning (): readonly Selected[] {
    return this.#accept('returning') ? this.#readSelected() : []
  }

  #readSelected (): readonly Selected[] {
    const selected: Selected[] = []
    do {
      const expression: Expression = this.#accept('*') ? { type: 'column', column: '*' } : this.#readExpression()
      const name = this.#accept('as') ? this.#take().text : nameExpression(expression)
      selected.push({ name, expression })
    } while (this.#accept(','))
    return selected
  }

  #readWhere (): readonly Comparison[] {
    if (!this.#accept('where')) return []
    const comparisons: Comparison[] = []
    do {
      const column = this.#take().text
      const operator = this.#take().text
      comparisons.push({ column, operator, value: this.#readExpression() })
    } while (this.#accept('and'))
    return comparisons
  }

  #readExpression (): Expression {
    let left = this.#readTerm()
    while (['+', '-', '||'].includes(this.#peek()?.text ?? '') && this.#peek()?.type === 'symbol') {
      const operator = this.#take().text
      left = { type: 'operation', operator, left, right: this.#readTerm() }
    }
    return left
  }

  #readTerm (): Expression {
    const term = this.#readPlainTerm()
    if (this.#accept('::')) this.#take()
    return term
  }

  #readPlainTerm (): Expression {
    const token = this.#take()
    if (token.type === 'string' || token.type === 'number') return { type: 'value', value: token.text }
    if (token.type === 'parameter') return { type: 'parameter', index: Number(token.text) - 1 }
    if (token.text === '-') return { type: 'value', value: `-${this.#take().text}` }
    if (token.type !== 'word') throw new SyntaxError(`syntax error at "${token.text}"`)
    if (token.text === 'null') return { type: 'value', value: null }
    if (token.text === 'true' || token.text === 'false') return { type: 'value', value: token.text }
    return this.#peek()?.text === '(' ? { type: 'call', name: token.text, args: this.#readArguments() } : { type: 'column', column: token.text }
  }

  #readArguments (): readonly Expression[] {
    this.#expect('(')
    if (this.#accept(')')) return []
    const args: Expression[] = []
    do args.push(this.#accept('*') ? { type: 'column', column: '*' } : this.#readExpression()); while (this.#accept(','))
    this.#expect(')')
    return args
  }

  #peek (): Token | undefined {
    return this.#tokens[this.#next]
  }

  #take (): Token {
    const token = this.#tokens[this.#next]
    if (token === undefined) throw new SyntaxError('syntax error at end of input')
    this.#next += 1
    return token
  }

  #accept (text: string): boolean {
    const token = this.#peek()
    if (token?.text !== text || token.type === 'string') return false
    this.#next += 1
    return true
  }

  #expect (text: string): void {
    if (!this.#accept(text)) throw new SyntaxError(`syntax error: expected "${text}"`)
  }
}

function nameExpression (expression: Expression): string {
  if (expression.type === 'column') return expression.column
  return expression.type === 'call' ? expression.name : '?column?'
}

/** Parses the SQL subset of the stand-in. */
import { splitTokens, type Token } from './tokens.js'

/** A scalar expression. */
export type Expression =
  | { readonly type: 'value', readonly value: string | null }
  | { readonly type: 'parameter', readonly index: number }
  | { readonly type: 'column', readonly column: string }
  | { readonly type: 'call', readonly name: string, readonly args: readonly Expression[] }
  | { readonly type: 'operation', readonly operator: string, readonly left: Expression, readonly right: Expression }

/** One comparison of a WHERE clause; all comparisons of the clause must be true. */
export interface Comparison {
  readonly column: string
  readonly operator: string
  readonly value: Expression
}

/** One item of a select list or RETURNING clause. */
export interface SelectItem {
  readonly name: string
  readonly expression: Expression
}

/** A parsed statement. */
export type ParsedStatement =
  | { readonly type: 'create', readonly table: string, readonly columns: readonly string[], readonly ifNotExists: boolean }
  | { readonly type: 'insert', readonly table: string, readonly columns: readonly string[], readonly rows: ReadonlyArray<readonly Expression[]>, readonly returning: readonly SelectItem[] }
  | { readonly type: 'update', readonly table: string, readonly set: ReadonlyArray<readonly [column: string, value: Expression]>, readonly where: readonly Comparison[], readonly returning: readonly SelectItem[] }
  | { readonly type: 'delete', readonly table: string, readonly where: readonly Comparison[] }
  | { readonly type: 'select', readonly selected: readonly SelectItem[], readonly table?: string, readonly where: readonly Comparison[], readonly orderBy?: string, readonly limit?: number }
  | { readonly type: 'begin', readonly readOnly: boolean }
  | { readonly type: 'commit' }
  | { readonly type: 'rollback' }
  | { readonly type: 'set', readonly name: string, readonly value: string }

/** A recursive descent parser for one or more statements. */
export class StatementParser {
  readonly #tokens: readonly Token[]
  #position = 0

  private constructor (tokens: readonly Token[]) {
    this.#tokens = tokens
  }

  /**
   * Parses all statements of a text.
   * @example StatementParser.parseAll('BEGIN; SELECT 1')
   * @throws SyntaxError when the text is outside of the supported SQL subset.
   */
  static parseAll (text: string): readonly ParsedStatement[] {
    const parser = new StatementParser(splitTokens(text))
    const statements: ParsedStatement[] = []
    while (true) {
      while (parser.#accept(';'));
      if (parser.#position >= parser.#tokens.length) return statements
      statements.push(parser.#parseStatement())
    }
  }

  #parseStatement (): ParsedStatement {
    const word = this.#consume().text
    switch (word) {
      case 'create': return this.#parseCreate()
      case 'insert': return this.#parseInsert()
      case 'update': return this.#parseUpdate()
      case 'delete': return this.#parseDelete()
      case 'select': return this.#parseSelect()
      case 'begin': return { type: 'begin', readOnly: this.#parseTransactionMode() }
      case 'start': return { type: 'begin', readOnly: this.#parseTransactionMode() }
      case 'commit':
      case 'end':
        this.#parseTransactionMode()
        return { type: 'commit' }
      case 'rollback':
      case 'abort':
        this.#parseTransactionMode()
        return { type: 'rollback' }
      case 'set': return this.#parseSet()
      default: throw new SyntaxError(`syntax error at "${word}"`)
    }
  }

  #parseTransactionMode (): boolean {
    const words: string[] = []
    while (this.#peek() !== undefined && this.#peek()?.text !== ';') words.push(this.#consume().text)
    return words.join(' ').includes('read only')
  }

  #parseSet (): ParsedStatement {
    this.#accept('local')
    this.#accept('session')
    const name = this.#consume().text
    if (!this.#accept('=')) this.#expect('to')
    return { type: 'set', name, value: this.#consume().text }
  }

  #parseCreate (): ParsedStatement {
    this.#expect('table')
    const ifNotExists = this.#accept('if')
    if (ifNotExists) {
      this.#expect('not')
      this.#expect('exists')
    }
    const table = this.#consume().text
    this.#expect('(')
    const columns: string[] = []
    do columns.push(this.#parseColumnDefinition()); while (this.#accept(','))
    this.#expect(')')
    return { type: 'create', table, columns, ifNotExists }
  }

  #parseColumnDefinition (): string {
    const column = this.#consume().text
    for (let depth = 0; depth > 0 || ![',', ')'].includes(this.#peek()?.text ?? ')'); this.#position++) {
      if (this.#peek()?.text === '(') depth++
      if (this.#peek()?.text === ')') depth--
    }
    return column
  }

  #parseInsert (): ParsedStatement {
    this.#expect('into')
    const table = this.#consume().text
    this.#expect('(')
    const columns: string[] = []
    do columns.push(this.#consume().text); while (this.#accept(','))
    this.#expect(')')
    this.#expect('values')
    const rows: Array<readonly Expression[]> = []
    do rows.push(this.#parseArguments()); while (this.#accept(','))
    return { type: 'insert', table, columns, rows, returning: this.#parseReturning() }
  }

  #parseUpdate (): ParsedStatement {
    const table = this.#consume().text
    this.#expect('set')
    const set: Array<readonly [string, Expression]> = []
    do {
      const column = this.#consume().text
      this.#expect('=')
      set.push([column, this.#parseExpression()])
    } while (this.#accept(','))
    return { type: 'update', table, set, where: this.#parseWhere(), returning: this.#parseReturning() }
  }

  #parseDelete (): ParsedStatement {
    this.#expect('from')
    return { type: 'delete', table: this.#consume().text, where: this.#parseWhere() }
  }

  #parseSelect (): ParsedStatement {
    const selected = this.#parseSelectList()
    if (!this.#accept('from')) return { type: 'select', selected, where: [] }
    const table = this.#consume().text
    if (this.#peek()?.text === '(') return { type: 'select', selected: [{ name: table, expression: { type: 'call', name: table, args: this.#parseArguments() } }], where: [] }
    const where = this.#parseWhere()
    const orderBy = this.#accept('order') ? this.#parseOrderBy() : undefined
    const limit = this.#accept('limit') ? Number(this.#consume().text) : undefined
    return { type: 'select', selected, table, where, orderBy, limit }
  }

  #parseOrderBy (): string {
    this.#expect('by')
    const column = this.#consume().text
    this.#accept('asc')
    return column
  }

  #parseReturning (): readonly SelectItem[] {
    return this.#accept('returning') ? this.#parseSelectList() : []
  }

  #parseSelectList (): readonly SelectItem[] {
    const selected: SelectItem[] = []
    do {
      const expression: Expression = this.#accept('*') ? { type: 'column', column: '*' } : this.#parseExpression()
      const name = this.#accept('as') ? this.#consume().text : nameExpression(expression)
      selected.push({ name, expression })
    } while (this.#accept(','))
    return selected
  }

  #parseWhere (): readonly Comparison[] {
    if (!this.#accept('where')) return []
    const comparisons: Comparison[] = []
    do {
      const column = this.#consume().text
      const operator = this.#consume().text
      comparisons.push({ column, operator, value: this.#parseExpression() })
    } while (this.#accept('and'))
    return comparisons
  }

  #parseExpression (): Expression {
    let left = this.#parseTerm()
    while (['+', '-', '||'].includes(this.#peek()?.text ?? '') && this.#peek()?.type === 'symbol') {
      const operator = this.#consume().text
      left = { type: 'operation', operator, left, right: this.#parseTerm() }
    }
    return left
  }

  #parseTerm (): Expression {
    const term = this.#parseUncastTerm()
    if (this.#accept('::')) this.#consume()
    return term
  }

  #parseUncastTerm (): Expression {
    const token = this.#consume()
    if (token.type === 'string' || token.type === 'number') return { type: 'value', value: token.text }
    if (token.type === 'parameter') return { type: 'parameter', index: Number(token.text) - 1 }
    if (token.text === '-') return { type: 'value', value: `-${this.#consume().text}` }
    if (token.type !== 'word') throw new SyntaxError(`syntax error at "${token.text}"`)
    if (token.text === 'null') return { type: 'value', value: null }
    if (token.text === 'true' || token.text === 'false') return { type: 'value', value: token.text }
    return this.#peek()?.text === '(' ? { type: 'call', name: token.text, args: this.#parseArguments() } : { type: 'column', column: token.text }
  }

  #parseArguments (): readonly Expression[] {
    this.#expect('(')
    if (this.#accept(')')) return []
    const args: Expression[] = []
    do args.push(this.#accept('*') ? { type: 'column', column: '*' } : this.#parseExpression()); while (this.#accept(','))
    this.#expect(')')
    return args
  }

  #peek (): Token | undefined {
    return this.#tokens[this.#position]
  }

  #consume (): Token {
    const token = this.#tokens[this.#position]
    if (token === undefined) throw new SyntaxError('syntax error at end of input')
    this.#position += 1
    return token
  }

  #accept (text: string): boolean {
    const token = this.#peek()
    if (token?.text !== text || token.type === 'string') return false
    this.#position += 1
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

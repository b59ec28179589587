/** Parsing of tags, intent and settings, and refusal of statements that transaction pooling does not support. */
import { expect } from 'chai'
import { splitStatements } from './split.js'
import { parseStatement } from './statement.js'

describe('statements of an SQL text', () => {
  it('splits at semicolons outside quotes and comments', () => {
    const text = "SELECT ';' AS \"a;b\" /* ; /* ; */ ; */; SELECT E'\\';', $x$ ; $x$, $1 -- ;\n; ;"
    expect(splitStatements(text).map(statement => statement.text)).to.deep.equal(["SELECT ';' AS \"a;b\"", "SELECT E'\\';', $x$ ; $x$, $1"])
  })

  it('refuses unsupported statements at any position', () => {
    const refused = [
      'SELECT 1; LISTEN x', 'SELECT $a$;$a$;/* ; */ COPY t TO STDOUT', "SELECT 'it''s'; SET search_path = x", '/* x */ -- y\nPREPARE p AS SELECT 1',
      'CREATE LOCAL TEMP TABLE t (a int)', "SELECT set_config('role', 'x', false)", 'SELECT pg_advisory_lock(1)', "SELECT set_config('fulmartally.workspace', 'other', true)",
      'SET fulmartally.route = x; SELECT 1'
    ]
    expect(refused.filter(text => parseStatement(text).unsupported === undefined)).to.deep.equal([])
    const passed = ["SELECT 'LISTEN; COPY'", 'SET LOCAL lock_timeout = 1', "SELECT set_config('a.b', 'x', true)", 'SELECT pg_advisory_xact_lock(1)', 'CREATE TABLE temp (a int)']
    expect(passed.filter(text => parseStatement(text).unsupported !== undefined)).to.deep.equal([])
  })

  it('treats only a single statement as the end of a transaction', () => {
    expect(parseStatement("/*route='x'*/ ROLLBACK;")).to.include({ intent: 'rollback', route: 'x' })
    expect(parseStatement('ROLLBACK; INSERT INTO t (a) VALUES (1)').intent).to.equal('statement')
    expect(parseStatement('BEGIN; SELECT 1').intent).to.equal('begin')
    expect(parseStatement(' -- nothing').intent).to.equal('statement')
  })

  it('parses long texts in linear time', () => {
    const parts = [
      '/**/'.repeat(200_000), `/*${'a'.repeat(1_000_000)}*/`, `SELECT '${"''".repeat(200_000)}', ${'a_'.repeat(100_000)}`,
      `SELECT ${'set_config('.repeat(90_000)}`, `SET fulmartally.route = ${' '.repeat(1_000_000)}x y'`, `SELECT ${'$a'.repeat(200_000)}`
    ]
    for (const text of parts) expect(parseStatement(text).intent).to.equal('statement')
  })
})

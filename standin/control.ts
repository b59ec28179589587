/** The SQL functions with which the proxy controls the stand-in: status, fencing, promotion, replication. */
import { formatPosition, SqlError, type StandInDatabase } from './database.js'
import type { TermEndOffsets } from './log.js'
import type { StatementResult } from './session.js'

const COMMAND_PATTERN = /^\s*SELECT \* FROM fulmartally_([a-z]+)\((.*)\)\s*;?\s*$/s

/**
 * Runs a control command and syncs the journal before the answer; undefined when the text is not a control command.
 * @example await runControlCommand(database, 'SELECT * FROM fulmartally_status()')
 */
export async function runControlCommand (database: StandInDatabase, text: string): Promise<StatementResult | undefined> {
  const match = COMMAND_PATTERN.exec(text)
  if (match === null) return undefined
  const args = JSON.parse(`[${match[2]!.replace(/'((?:[^']|'')*)'/g, (_, quoted: string) => JSON.stringify(quoted.replaceAll("''", "'")))}]`) as ReadonlyArray<string | number>
  const result = runCommand(database, match[1]!, args)
  await database.awaitSync()
  return result()
}

// Runs a command immediately. The returned function reads the answer and is called after the sync.
function runCommand (database: StandInDatabase, command: string, args: ReadonlyArray<string | number>): () => StatementResult {
  switch (command) {
    case 'status': return () => createStatusResult(database)
    case 'fence':
      database.fence(Number(args[0]))
      return () => createStatusResult(database)
    case 'promote':
      database.promote(Number(args[0]))
      return () => createStatusResult(database)
    case 'follow':
      database.follow(Number(args[0]), String(args[1]))
      return () => createStatusResult(database)
    case 'pull': return () => createValueResult(JSON.stringify(database.pull(String(args[0]), JSON.parse(String(args[1])) as TermEndOffsets)))
    default: throw new SqlError('42883', `function fulmartally_${command} does not exist`)
  }
}

function createStatusResult (database: StandInDatabase): StatementResult {
  return {
    columns: ['role', 'position', 'fenced_term', 'stored', 'source', 'discarded'],
    rows: [[
      database.primary ? 'primary' : 'replica',
      formatPosition(database.log.position),
      String(database.fencedTerm),
      JSON.stringify(database.listStoredPositions()),
      database.source ?? '',
      String(database.discarded)
    ]],
    tag: 'SELECT 1'
  }
}

function createValueResult (value: string): StatementResult {
  return { columns: ['value'], rows: [[value]], tag: 'SELECT 1' }
}

/** The stand-in's commands for the proxy: status, fence, promotion, replication. */
import { formatPosition, SqlError, type StandInDatabase } from './database.js'
import type { Boundaries } from './log.js'
import type { StatementResult } from './session.js'

const COMMAND = /^\s*SELECT \* FROM fulmartally_([a-z]+)\((.*)\)\s*;?\s*$/s

/**
 * Runs a command of the proxy and syncs its outcome; undefined when the text is no command.
 * @example await runControl(database, 'SELECT * FROM fulmartally_status()')
 */
export async function runControl (database: StandInDatabase, text: string): Promise<StatementResult | undefined> {
  const match = COMMAND.exec(text)
  if (match === null) return undefined
  const args = JSON.parse(`[${match[2]!.replace(/'((?:[^']|'')*)'/g, (_, quoted: string) => JSON.stringify(quoted.replaceAll("''", "'")))}]`) as ReadonlyArray<string | number>
  const result = runCommand(database, match[1]!, args)
  await database.awaitSynced()
  return result()
}

// Commands run at once; what they answer is read after the sync.
function runCommand (database: StandInDatabase, command: string, args: ReadonlyArray<string | number>): () => StatementResult {
  switch (command) {
    case 'status': return () => createStatus(database)
    case 'fence':
      database.fence(Number(args[0]))
      return () => createStatus(database)
    case 'promote':
      database.promote(Number(args[0]))
      return () => createStatus(database)
    case 'follow':
      database.follow(Number(args[0]), String(args[1]))
      return () => createStatus(database)
    case 'pull': return () => createValue(JSON.stringify(database.pull(String(args[0]), JSON.parse(String(args[1])) as Boundaries)))
    default: throw new SqlError('42883', `function fulmartally_${command} does not exist`)
  }
}

function createStatus (database: StandInDatabase): StatementResult {
  return {
    columns: ['role', 'position', 'fenced_term', 'stored', 'source', 'discarded'],
    rows: [[
      database.primary ? 'primary' : 'replica',
      formatPosition(database.log.position),
      String(database.fencedTerm),
      JSON.stringify(database.listStored()),
      database.source ?? '',
      String(database.discarded)
    ]],
    tag: 'SELECT 1'
  }
}

function createValue (value: string): StatementResult {
  return { columns: ['value'], rows: [[value]], tag: 'SELECT 1' }
}

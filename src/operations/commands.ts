/** Checks operators' commands at the door, so that nothing malformed reaches the loop. */
import { Result } from 'true-myth'
import * as v from 'valibot'
import type { Command, CommandError } from './messages.js'

const MAX_NAME_LENGTH = 200
const MAX_SINCE_MS = 86_400_000

const Name = v.pipe(v.string(), v.minLength(1), v.maxLength(MAX_NAME_LENGTH))
const Version = v.pipe(v.number(), v.integer(), v.minValue(0))

const COMMANDS = [
  v.strictObject({ name: v.literal('document/apply'), text: v.string(), version: Version, wait: v.optional(v.boolean()) }),
  v.strictObject({ name: v.literal('document/show'), service: Name }),
  v.strictObject({ name: v.literal('document/list') }),
  v.strictObject({ name: v.literal('primary/move'), group: Name, database: Name }),
  v.strictObject({ name: v.literal('host/drain'), host: Name }),
  v.strictObject({ name: v.literal('status'), local: v.optional(v.boolean()) }),
  v.strictObject({
    name: v.literal('timeline/read'),
    sinceMs: v.pipe(v.number(), v.minValue(0), v.maxValue(MAX_SINCE_MS)),
    request: v.optional(Name),
    group: v.optional(Name)
  })
] as const

const CommandSchema: v.GenericSchema<unknown, Command> = v.variant('name', COMMANDS)
const NamedSchema = v.object({ name: v.string() })

/**
 * Parses a command.
 * @example parseCommand('{ "name": "status" }')
 * @returns the command, or what is wrong with it.
 */
export function parseCommand (text: string): Result<Command, CommandError> {
  const json = parseJson(text)
  const named = v.safeParse(NamedSchema, json)
  if (!named.success) return Result.err({ error: 'bad-command', text: 'The command is not a JSON object with a name.' })
  const { name } = named.output
  if (!COMMANDS.some(schema => schema.entries.name.literal === name)) return Result.err(createUnknownCommand(name))
  const checked = v.safeParse(CommandSchema, json)
  return checked.success ? Result.ok(checked.output) : Result.err({ error: 'bad-command', text: formatIssues(name, checked.issues) })
}

/**
 * Creates the outcome of a command that this host does not know.
 * @example createUnknownCommand('status').error // 'unknown-command'
 */
export function createUnknownCommand (name: string): CommandError {
  return { error: 'unknown-command', text: `Command "${name.slice(0, MAX_NAME_LENGTH)}" is not known to this host.` }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function formatIssues (name: string, issues: ReadonlyArray<v.BaseIssue<unknown>>): string {
  const parts = issues.map(issue => `${v.getDotPath(issue) ?? 'the command'}: ${issue.message}`)
  return `Command "${name}" is not valid: ${parts.join('; ')}.`
}

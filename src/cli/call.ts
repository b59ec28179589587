/** Sends a command to the first host that can execute it. */
import { randomUUID } from 'node:crypto'
import type { CommandInput } from '../operations/client.js'
import type { CommandError } from '../operations/messages.js'
import { CliError, EXIT, type ExitCode } from './exits.js'
import type { Terminal } from './terminal.js'

/** Options that all commands share. */
export interface GlobalOptions {
  /** The operators' addresses of hosts, in the order in which they are tried. */
  readonly host?: readonly string[]
  readonly json?: boolean
}

const RETRIABLE_ERRORS: ReadonlySet<string> = new Set(['no-leader', 'not-leader', 'no-answer', 'outcome-unknown'])

/**
 * Sends a command; tries the next host when one is unreachable, knows no leader or gets no answer in time.
 * All attempts share a request id, so that a command whose answer was lost is not executed twice.
 * @example await callHosts<SystemStatus>(terminal, options, { name: 'status' })
 * @throws CliError when no host executed the command.
 */
export async function callHosts<Outcome> (terminal: Terminal, options: GlobalOptions, command: CommandInput, requestId: string = randomUUID()): Promise<Outcome> {
  let last = CliError.create(EXIT.usage, 'No host was given: use --host ADDRESS or set FULMARTALLY_HOST.')
  for (const host of options.host ?? []) {
    const outcome = await terminal.send(host, command, requestId).catch((error: Error) => CliError.create(EXIT.unreachable, `${host}: ${error.message}`))
    if (outcome instanceof CliError) {
      last = last.code === EXIT.tryAgain ? last : outcome
      continue
    }
    if (!isCommandError(outcome)) return outcome as Outcome
    last = CliError.create(pickExitCode(outcome), `${formatError(outcome)} Request id: ${requestId}.`)
    if (!RETRIABLE_ERRORS.has(outcome.error)) break
  }
  throw last
}

function pickExitCode (outcome: CommandError): ExitCode {
  return RETRIABLE_ERRORS.has(outcome.error) ? EXIT.tryAgain : EXIT.refused
}

function formatError ({ error, text, findings = [] }: CommandError): string {
  return [text ?? `The host answered "${error}".`, ...findings.map(finding => `${finding.path}: ${finding.text}`)].join(' ')
}

function isCommandError (outcome: unknown): outcome is CommandError {
  return typeof outcome === 'object' && outcome !== null && typeof (outcome as CommandError).error === 'string'
}

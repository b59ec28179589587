/** Sends a command to the first host that can have it carried out. */
import { randomUUID } from 'node:crypto'
import type { CommandInput } from '../operations/client.js'
import type { CommandError } from '../operations/messages.js'
import { CliError, EXIT, type ExitCode } from './exits.js'
import type { Terminal } from './terminal.js'

/** Options that all commands share. */
export interface GlobalOptions {
  /** Operators' addresses of hosts, in the order in which they are tried. */
  readonly host?: readonly string[]
  readonly json?: boolean
}

const AGAIN: ReadonlySet<string> = new Set(['no-leader', 'not-leader', 'no-answer', 'outcome-unknown'])

/**
 * Sends a command; goes on to the next host while one is unreachable or knows no leader.
 * The request id stays the same, so that a command whose answer was lost is not carried out twice.
 * @example await callHosts<SystemStatus>(terminal, options, { name: 'status' })
 * @throws CliError when no host carried it out.
 */
export async function callHosts<Outcome> (terminal: Terminal, options: GlobalOptions, command: CommandInput, requestId: string = randomUUID()): Promise<Outcome> {
  let last = CliError.create(EXIT.usage, 'No host is named: use --host ADDRESS or set FULMARTALLY_HOST.')
  for (const host of options.host ?? []) {
    const outcome = await terminal.send(host, command, requestId).catch((error: Error) => CliError.create(EXIT.unreachable, `${host}: ${error.message}`))
    if (outcome instanceof CliError) {
      last = last.code === EXIT.tryAgain ? last : outcome
      continue
    }
    if (!isCommandError(outcome)) return outcome as Outcome
    last = CliError.create(pickExit(outcome), `${formatError(outcome)} Request id: ${requestId}.`)
    if (!AGAIN.has(outcome.error)) break
  }
  throw last
}

function pickExit (outcome: CommandError): ExitCode {
  return AGAIN.has(outcome.error) ? EXIT.tryAgain : EXIT.refused
}

function formatError ({ error, text, findings = [] }: CommandError): string {
  return [text ?? `The host answered "${error}".`, ...findings.map(finding => `${finding.path}: ${finding.text}`)].join(' ')
}

function isCommandError (outcome: unknown): outcome is CommandError {
  return typeof outcome === 'object' && outcome !== null && typeof (outcome as CommandError).error === 'string'
}

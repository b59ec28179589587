/** `key`: creates, grants and withdraws keys by editing the document of a service. */
import { Command, InvalidArgumentError } from 'commander'
import type { Result } from 'true-myth'
import { createKey } from '../admission/keys.js'
import type { Failure } from '../core/errors.js'
import { grantKey, withdrawKey } from '../documents/edit.js'
import { callHosts, type GlobalOptions } from './call.js'
import type { ApplyOutcome, ShownDocument } from './documents.js'
import { CliError, EXIT } from './exits.js'
import type { Terminal } from './terminal.js'

/** The most attempts of an edit that conflicts with the edits of other operators. */
const MAX_ATTEMPTS = 5

type Edit = (text: string) => Result<string, Failure>

interface KeyOptions extends GlobalOptions {
  readonly wait?: boolean
  readonly sha256?: string
}

/**
 * Creates the group of commands for keys.
 * @example program.addCommand(createKeyCommand(terminal))
 */
export function createKeyCommand (terminal: Terminal): Command {
  return new Command('key')
    .description('Creates, grants and withdraws keys of workspaces.')
    .addCommand(createCreateCommand(terminal))
    .addCommand(createGrantCommand(terminal))
    .addCommand(createWithdrawCommand(terminal))
}

function createCreateCommand (terminal: Terminal): Command {
  return createEditCommand('create', 'Generates a key, grants it, and shows it once; only its hash is stored.')
    .addHelpText('after', '\nExample:\n  fulmartally key create rota parish k2')
    .action(async (service: string, workspace: string, id: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<KeyOptions>()
      const generated = createKey()
      const version = await updateDocument(terminal, options, service, text => grantKey(text, workspace, id, generated.sha256))
      terminal.write(options.json === true ? JSON.stringify({ service, workspace, id, key: generated.key, version }) : generated.key)
      if (options.json !== true) terminal.writeError(`Key ${id} of ${workspace} is granted at version ${version}. Keep it: it is not shown again.`)
    })
}

function createGrantCommand (terminal: Terminal): Command {
  return createEditCommand('grant', 'Grants a key by its hash.')
    .requiredOption('--sha256 <hash>', 'the SHA-256 of the key, in hexadecimal', parseHash)
    .addHelpText('after', '\nExample:\n  fulmartally key grant rota parish k3 --sha256 $(printf %s "$KEY" | sha256sum | cut -d " " -f 1)')
    .action(async (service: string, workspace: string, id: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<KeyOptions>()
      const version = await updateDocument(terminal, options, service, text => grantKey(text, workspace, id, options.sha256!))
      reportVersion(terminal, options, `Key ${id} of ${workspace} is granted`, version)
    })
}

function createWithdrawCommand (terminal: Terminal): Command {
  return createEditCommand('withdraw', 'Withdraws a key, also from open connections.')
    .addHelpText('after', '\nExample:\n  fulmartally key withdraw rota parish k1 --wait')
    .action(async (service: string, workspace: string, id: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<KeyOptions>()
      const version = await updateDocument(terminal, options, service, text => withdrawKey(text, workspace, id))
      reportVersion(terminal, options, `Key ${id} of ${workspace} is withdrawn`, version)
    })
}

function createEditCommand (name: string, description: string): Command {
  return new Command(name)
    .description(description)
    .argument('<service>', 'the service')
    .argument('<workspace>', 'the workspace')
    .argument('<id>', 'the name of the key in the document')
    .option('--wait', 'wait until the change is in force on all hosts')
}

async function updateDocument (terminal: Terminal, options: KeyOptions, service: string, edit: Edit): Promise<number> {
  for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
    const shown = await callHosts<ShownDocument>(terminal, options, { name: 'document/show', service })
    const edited = edit(shown.text)
    if (edited.isErr) throw CliError.create(EXIT.refused, edited.error.text)
    const outcome = await callHosts<ApplyOutcome>(terminal, options, { name: 'document/apply', text: edited.value, version: shown.version, wait: options.wait })
    if (outcome.accepted) return outcome.version ?? shown.version + 1
    if (outcome.findings !== undefined) throw CliError.create(EXIT.refused, outcome.findings.map(finding => finding.text).join(' '))
  }
  throw CliError.create(EXIT.refused, `The document of ${service} was changed by other operators during all ${MAX_ATTEMPTS} attempts: try again.`)
}

function reportVersion (terminal: Terminal, options: GlobalOptions, done: string, version: number): void {
  terminal.write(options.json === true ? JSON.stringify({ version }) : `${done} at version ${version}.`)
}

function parseHash (text: string): string {
  if (!/^[0-9a-f]{64}$/.test(text)) throw new InvalidArgumentError('Expected 64 lower-case hexadecimal digits.')
  return text
}

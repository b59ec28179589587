/** `apply`, `show` and `list`: the documents of services. */
import { Command, InvalidArgumentError } from 'commander'
import { formatFindings, type Finding } from '../core/findings.js'
import type { RolloutStatus } from '../documents/messages.js'
import { callHosts, type GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import { formatTable } from './table.js'
import type { Terminal } from './terminal.js'

/** The leader's decision on a document. */
export interface ApplyOutcome {
  readonly accepted: boolean
  readonly version?: number
  /** The current version, when the document was not accepted. */
  readonly conflict?: number
  readonly findings?: readonly Finding[]
  /** On which hosts the version is in force, and on which it is pending. */
  readonly force?: RolloutStatus
}

/** The current version of a document. */
export interface ShownDocument {
  readonly service: string
  readonly version: number
  readonly text: string
}

interface ListedDocuments {
  readonly services: ReadonlyArray<{ readonly service: string, readonly version: number, readonly owners: readonly string[] }>
}

interface ShowOptions extends GlobalOptions {
  readonly force?: boolean
}

interface ApplyOptions extends GlobalOptions {
  readonly version: number
  readonly requestId?: string
  readonly wait?: boolean
}

/**
 * Creates the command that applies a document.
 * @example program.addCommand(createApplyCommand(terminal))
 */
export function createApplyCommand (terminal: Terminal): Command {
  return new Command('apply')
    .description('Applies a document that was edited from the current version.')
    .argument('<file>', 'the document, JSON with comments')
    .option('--version <number>', 'the version that the document was edited from; 0 for a new service', parseVersion, 0)
    .option('--request-id <id>', 'an id of your choice; a command that is repeated with the same id is executed once')
    .option('--wait', 'wait until the document is in force on all hosts')
    .addHelpText('after', '\nExamples:\n  fulmartally apply rota.jsonc\n  fulmartally apply rota.jsonc --version 4 --request-id change-17 --wait')
    .action(async (file: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<ApplyOptions>()
      const text = await terminal.readFile(file)
      const { version, wait } = options
      const outcome = await callHosts<ApplyOutcome>(terminal, options, { name: 'document/apply', text, version, wait }, options.requestId)
      reportOutcome(terminal, options, file, outcome)
    })
}

/**
 * Creates the command that shows a document.
 * @example program.addCommand(createShowCommand(terminal))
 */
export function createShowCommand (terminal: Terminal): Command {
  return new Command('show')
    .description('Shows the document of a service with its comments and layout.')
    .argument('<service>', 'the service')
    .option('--force', 'show on which hosts the last version is in force, instead of the document')
    .addHelpText('after', '\nExamples:\n  fulmartally show rota > rota.jsonc\n  fulmartally show rota --force')
    .action(async (service: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<ShowOptions>()
      if (options.force === true) return await showForce(terminal, options, service)
      const shown = await callHosts<ShownDocument>(terminal, options, { name: 'document/show', service })
      terminal.write(options.json === true ? JSON.stringify(shown) : shown.text)
      if (options.json !== true) terminal.writeError(`Version ${shown.version}.`)
    })
}

/**
 * Creates the command that lists documents.
 * @example program.addCommand(createListCommand(terminal))
 */
export function createListCommand (terminal: Terminal): Command {
  return new Command('list')
    .description('Lists the services and the versions of their documents.')
    .addHelpText('after', '\nExample:\n  fulmartally list --json')
    .action(async (_options: unknown, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>()
      const listed = await callHosts<ListedDocuments>(terminal, options, { name: 'document/list' })
      const rows = listed.services.map(({ service, version, owners }) => [service, String(version), owners.join(' ')])
      terminal.write(options.json === true ? JSON.stringify(listed) : formatTable(['service', 'version', 'owners'], rows))
    })
}

async function showForce (terminal: Terminal, options: GlobalOptions, service: string): Promise<void> {
  const outcome = await callHosts<ApplyOutcome>(terminal, options, { name: 'document/status', service })
  terminal.write(options.json === true ? JSON.stringify(outcome) : `Version ${outcome.version ?? 'unknown'}${formatForce(outcome.force)}.`)
}

function reportOutcome (terminal: Terminal, options: ApplyOptions, file: string, outcome: ApplyOutcome): void {
  if (options.json === true) terminal.write(JSON.stringify(outcome))
  if (outcome.findings !== undefined) throw CliError.create(EXIT.findings, formatFindings(file, outcome.findings))
  if (!outcome.accepted) throw CliError.create(EXIT.refused, `Not accepted: version ${outcome.conflict ?? 'unknown'} is current. Show it, repeat the edit, and apply it with --version.`)
  if (options.json !== true) terminal.write(`Accepted as version ${outcome.version ?? 'unknown'}${formatForce(outcome.force)}.`)
  const pending = outcome.force?.pending ?? []
  if (options.wait === true && pending.length > 0) throw CliError.create(EXIT.tryAgain, `Accepted durably, but not in force on ${pending.join(', ')} yet. See show --force.`)
}

/**
 * Formats on which hosts a version is in force.
 * @example formatForce({ confirmed: ['host-1'], lapsed: [], pending: [] }) // ', in force on all hosts'
 */
export function formatForce (force: RolloutStatus | undefined): string {
  if (force === undefined) return ''
  const { confirmed, lapsed, pending } = force
  const lapsedHosts = lapsed.length === 0 ? '' : `; without authority: ${lapsed.join(', ')}`
  return pending.length === 0 ? `, in force on all hosts${lapsedHosts}` : `, in force on ${confirmed.length} hosts, pending on ${pending.join(', ')}${lapsedHosts}`
}

function parseVersion (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('Expected a whole number of at least 0.')
  return Number(text)
}

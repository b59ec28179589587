/** `apply`, `show` and `list`: documents of services. */
import { Command, InvalidArgumentError } from 'commander'
import { formatFindings, type Finding } from '../core/findings.js'
import { callHosts, type GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import { formatTable } from './table.js'
import type { Terminal } from './terminal.js'

/** What the leader made of a document. */
export interface ApplyOutcome {
  readonly accepted: boolean
  readonly version?: number
  /** The version that stands instead. */
  readonly conflict?: number
  readonly findings?: readonly Finding[]
  /** True when every host has it in force; absent where nobody waited. */
  readonly inForce?: boolean
}

/** A document as it stands. */
export interface ShownDocument {
  readonly service: string
  readonly version: number
  readonly text: string
}

interface ListedDocuments {
  readonly documents: ReadonlyArray<{ readonly service: string, readonly version: number }>
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
    .description('Applies a document in place of the version that it was edited from.')
    .argument('<file>', 'the document, JSON with comments')
    .option('--version <number>', 'the version that was edited; 0 for a new service', parseVersion, 0)
    .option('--request-id <id>', 'an id of your choice: a command sent again with it is carried out once')
    .option('--wait', 'return only when the document is in force everywhere')
    .addHelpText('after', '\nExamples:\n  fulmartally apply rota.jsonc\n  fulmartally apply rota.jsonc --version 4 --request-id change-17 --wait')
    .action(async (file: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<ApplyOptions>()
      const text = await terminal.readFile(file)
      const { version, wait } = options
      const outcome = await callHosts<ApplyOutcome>(terminal, options, { name: 'document/apply', text, version, wait }, options.requestId)
      reportApplied(terminal, options, file, outcome)
    })
}

/**
 * Creates the command that shows a document.
 * @example program.addCommand(createShowCommand(terminal))
 */
export function createShowCommand (terminal: Terminal): Command {
  return new Command('show')
    .description('Shows the document of a service as its owner wrote it.')
    .argument('<service>', 'the service')
    .addHelpText('after', '\nExample:\n  fulmartally show rota > rota.jsonc')
    .action(async (service: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<GlobalOptions>()
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
      const rows = listed.documents.map(({ service, version }) => [service, String(version)])
      terminal.write(options.json === true ? JSON.stringify(listed) : formatTable(['service', 'version'], rows))
    })
}

function reportApplied (terminal: Terminal, options: GlobalOptions, file: string, outcome: ApplyOutcome): void {
  if (options.json === true) terminal.write(JSON.stringify(outcome))
  if (outcome.findings !== undefined) throw CliError.create(EXIT.findings, formatFindings(file, outcome.findings))
  if (!outcome.accepted) throw CliError.create(EXIT.refused, `Not accepted: version ${outcome.conflict ?? 'unknown'} stands.`)
  const reach = outcome.inForce === undefined ? '' : outcome.inForce ? ' and in force everywhere' : '; not yet in force everywhere'
  if (options.json !== true) terminal.write(`Accepted as version ${outcome.version ?? 'unknown'}${reach}.`)
}

function parseVersion (text: string): number {
  if (!/^\d{1,15}$/.test(text)) throw new InvalidArgumentError('Expected a whole number from 0.')
  return Number(text)
}

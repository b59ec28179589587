/** `check`: validates a file, and tells what else an operator should know before it is sent. Contacts a host only for `--current`. */
import { Argument, Command } from 'commander'
import type { Result } from 'true-myth'
import { formatFindings, type Finding } from '../core/findings.js'
import { compareDocuments } from '../documents/compare.js'
import { parseDocument, type ServiceDocument } from '../documents/document.js'
import { listDoubts } from '../documents/doubts.js'
import { createRegions, type Regions } from '../homes/homes.js'
import { parseSettings } from '../settings/settings.js'
import { callHosts, type GlobalOptions } from './call.js'
import type { ShownDocument } from './documents.js'
import { CliError, EXIT } from './exits.js'
import type { Terminal } from './terminal.js'

interface CheckOptions extends GlobalOptions {
  readonly settings?: string
  readonly against?: string
  readonly current?: boolean
}

/** What `check` tells of a file. */
interface Report {
  readonly findings: readonly Finding[]
  /** Of a valid document: what has no effect or contradicts itself. It is accepted all the same. */
  readonly doubts?: readonly Finding[]
  /** Of a valid document: how it differs from the other version, if one was named. */
  readonly differences?: readonly string[]
}

/**
 * Creates the command that validates a file.
 * @example program.addCommand(createCheckCommand(terminal))
 */
export function createCheckCommand (terminal: Terminal): Command {
  return new Command('check')
    .description('Validates settings or a document and prints all findings with line and column.')
    .addArgument(new Argument('<kind>', 'the kind of file').choices(['settings', 'document']))
    .argument('<file>', 'the file, JSON with comments')
    .option('--settings <file>', 'for a document: the settings of a host, whose failure domains its homes have to be in')
    .option('--against <file>', 'for a document: another version; tells what differs')
    .option('--current', 'for a document: tells what differs from the version that the hosts have')
    .addHelpText('after', '\nExamples:\n  fulmartally check document rota.jsonc --settings host.jsonc\n  fulmartally check document rota.jsonc --current --host 10.0.0.1:6434')
    .action(async (kind: string, file: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<CheckOptions>()
      const text = await terminal.readFile(file)
      const report = kind === 'settings' ? { findings: listErrors(parseSettings(text)) } : await checkDocument(terminal, options, text)
      writeReport(terminal, options, file, report)
    })
}

async function checkDocument (terminal: Terminal, options: CheckOptions, text: string): Promise<Report> {
  const parsed = parseDocument(text, await readRegions(terminal, options))
  if (parsed.isErr) return { findings: parsed.error }
  const document = parsed.value
  const other = await readOther(terminal, options, document.service)
  return { findings: [], doubts: listDoubts(text, document), differences: other === undefined ? undefined : compareDocuments(other, document) }
}

async function readOther (terminal: Terminal, options: CheckOptions, service: string): Promise<ServiceDocument | undefined> {
  const { against, current } = options
  if (against === undefined && current !== true) return undefined
  const text = against !== undefined ? await terminal.readFile(against) : (await callHosts<ShownDocument>(terminal, options, { name: 'document/show', service })).text
  const parsed = parseDocument(text)
  if (parsed.isErr) throw CliError.create(EXIT.findings, formatFindings(against ?? 'the version in force', parsed.error))
  return parsed.value
}

async function readRegions (terminal: Terminal, { settings: file }: CheckOptions): Promise<Regions | undefined> {
  if (file === undefined) return undefined
  const settings = parseSettings(await terminal.readFile(file))
  if (settings.isErr) throw CliError.create(EXIT.findings, formatFindings(file, settings.error))
  return createRegions(settings.value.failureDomains)
}

function listErrors (parsed: Result<unknown, readonly Finding[]>): readonly Finding[] {
  return parsed.isErr ? parsed.error : []
}

function writeReport (terminal: Terminal, options: GlobalOptions, file: string, report: Report): void {
  const { findings, doubts = [], differences } = report
  if (options.json === true) terminal.write(JSON.stringify({ file, ...report }))
  else {
    terminal.write(findings.length === 0 ? `${file}: no findings.` : formatFindings(file, findings))
    if (doubts.length > 0) terminal.write(`Accepted, but doubtful:\n${formatFindings(file, doubts)}`)
    if (differences !== undefined) terminal.write(differences.length === 0 ? 'Nothing differs.' : `Differences:\n${differences.join('\n')}`)
  }
  if (findings.length > 0) throw CliError.create(EXIT.findings, `${file}: ${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}.`)
}

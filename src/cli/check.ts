/** `check`: validates a file without contacting a host. */
import { Argument, Command } from 'commander'
import { formatFindings, type Finding } from '../core/findings.js'
import { parseDocument } from '../documents/document.js'
import { createRegions, type Regions } from '../homes/homes.js'
import { parseSettings } from '../settings/settings.js'
import type { GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import type { Terminal } from './terminal.js'

interface CheckOptions extends GlobalOptions {
  readonly settings?: string
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
    .addHelpText('after', '\nExample:\n  fulmartally check document rota.jsonc --settings host.jsonc')
    .action(async (kind: string, file: string, _options: unknown, command: Command) => {
      const options = command.optsWithGlobals<CheckOptions>()
      reportFindings(terminal, options, file, listFindings(kind, await terminal.readFile(file), await readRegions(terminal, options)))
    })
}

async function readRegions (terminal: Terminal, { settings: file }: CheckOptions): Promise<Regions | undefined> {
  if (file === undefined) return undefined
  const settings = parseSettings(await terminal.readFile(file))
  if (settings.isErr) throw CliError.create(EXIT.findings, formatFindings(file, settings.error))
  return createRegions(settings.value.failureDomains)
}

function listFindings (kind: string, text: string, regions: Regions | undefined): readonly Finding[] {
  const parsed = kind === 'settings' ? parseSettings(text) : parseDocument(text, regions)
  return parsed.isErr ? parsed.error : []
}

function reportFindings (terminal: Terminal, options: GlobalOptions, file: string, findings: readonly Finding[]): void {
  if (options.json === true) terminal.write(JSON.stringify({ file, findings }))
  else if (findings.length === 0) terminal.write(`${file}: no findings.`)
  else terminal.write(formatFindings(file, findings))
  if (findings.length > 0) throw CliError.create(EXIT.findings, `${file}: ${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}.`)
}

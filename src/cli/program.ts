/** The command line: creates the commands and maps errors to exit codes. */
import { Command, CommanderError } from 'commander'
import type { GlobalOptions } from './call.js'
import { createCheckCommand } from './check.js'
import { createApplyCommand, createListCommand, createShowCommand } from './documents.js'
import { CliError, EXIT, EXIT_HELP } from './exits.js'
import { createExplainCommand } from './explain.js'
import { createKeyCommand } from './keys.js'
import { createDrainCommand, createEvacuateCommand, createPrimaryCommand, createStatusCommand } from './system.js'
import type { Terminal } from './terminal.js'
import { createTimelineCommand } from './timeline.js'

/**
 * Runs the command line.
 * @example process.exitCode = await runProgram(['status', '--host', '127.0.0.1:6002'], terminal, process.env)
 * @returns the exit code.
 */
export async function runProgram (args: readonly string[], terminal: Terminal, env: Readonly<Record<string, string | undefined>>): Promise<number> {
  try {
    await createProgram(terminal, env).parseAsync([...args], { from: 'user' })
    return EXIT.ok
  } catch (error) {
    if (error instanceof CommanderError) return error.exitCode === 0 ? EXIT.ok : EXIT.usage
    if (!(error instanceof CliError)) throw error
    terminal.writeError(error.message)
    return error.code
  }
}

/**
 * Creates the program with all its commands.
 * @example createProgram(terminal, process.env).helpInformation()
 */
export function createProgram (terminal: Terminal, env: Readonly<Record<string, string | undefined>>): Command {
  const hosts = (env.FULMARTALLY_HOST ?? '').split(',').filter(host => host !== '')
  const program = new Command('fulmartally')
    .description('Operates fulmartally: documents, keys, hosts, primaries, and the timeline.')
    .option('--host <address>', "the operators' address of a host; may be repeated, tried in order; defaults to FULMARTALLY_HOST, separated by commas", collectHosts)
    .option('--json', 'print data as JSON')
  const commands = [
    createCheckCommand(terminal),
    createApplyCommand(terminal),
    createShowCommand(terminal),
    createListCommand(terminal),
    createKeyCommand(terminal),
    createStatusCommand(terminal),
    createDrainCommand(terminal),
    createEvacuateCommand(terminal),
    createPrimaryCommand(terminal),
    createTimelineCommand(terminal),
    createExplainCommand(terminal)
  ]
  for (const command of commands) program.addCommand(command)
  program.hook('preAction', () => {
    if (program.opts<GlobalOptions>().host === undefined) program.setOptionValue('host', hosts)
  })
  applyConventions(program, terminal)
  program.addHelpText('after', '\nExample:\n  fulmartally status --host 127.0.0.1:6002')
  return program
}

function applyConventions (command: Command, terminal: Terminal): void {
  command
    .exitOverride()
    .configureHelp({ showGlobalOptions: true })
    .configureOutput({ writeOut: text => terminal.write(text.trimEnd()), writeErr: text => terminal.writeError(text.trimEnd()) })
    .addHelpText('after', EXIT_HELP)
  for (const nested of command.commands) applyConventions(nested, terminal)
}

function collectHosts (host: string, earlier: readonly string[] = []): readonly string[] {
  return [...earlier, host]
}

/** `explain`: the cause of a request's failure and its history, from the processes' log lines. */
import { Command } from 'commander'
import { findCause, type Conclusion } from '../explaining/causes.js'
import { HistoryReader, type RequestHistory, type LogLine } from '../explaining/story.js'
import type { GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import type { Terminal } from './terminal.js'

/** The fields that a line is shown with, in this order. */
const SHOWN = ['attempt', 'phase', 'elapsedMs', 'leftMs', 'workspace', 'route', 'intent', 'group', 'database', 'owner', 'purpose', 'floor', 'failure', 'effect', 'reason'] as const

/**
 * Creates the command.
 * @example program.addCommand(createExplainCommand(terminal))
 */
export function createExplainCommand (terminal: Terminal): Command {
  return new Command('explain')
    .description("Finds the cause of a request's failure in the processes' logs, and tells its history.")
    .argument('<id>', 'the id of the request')
    .argument('[logs...]', 'log files, or folders of them; standard input when absent')
    .addHelpText('after', '\nExamples:\n  fulmartally explain 5c0e7a21d94b36f8 /var/log/fulmartally\n  grep -h . *.log | fulmartally explain 5c0e7a21d94b36f8 --json')
    .action(async (id: string, logs: readonly string[], _options: unknown, command: Command) => {
      const reader = HistoryReader.create(id)
      for await (const line of terminal.readLines(logs)) reader.add(line)
      const history = reader.finish()
      const cause = findCause(history)
      if (cause === undefined) throw CliError.create(EXIT.refused, `No line of request "${id}" was found. A process under load leaves lines out, and says how many.`)
      const { json } = command.optsWithGlobals<GlobalOptions>()
      terminal.write(json === true ? JSON.stringify({ request: id, cause: cause.kind, text: cause.text, lines: history.lines, events: history.events }) : formatHistory(history, cause))
      if (history.truncated) terminal.writeError('There were more lines than can be held; the oldest were left out.')
    })
}

/**
 * Writes a history for people: the cause first, then the lines of the request among those that the cause rests on.
 * @example formatStory(history, cause)
 */
export function formatHistory (history: RequestHistory, cause: Conclusion): string {
  const told = [...new Set([...history.lines, ...cause.evidence])].sort((a, b) => a.stamp.wallMs - b.stamp.wallMs || a.stamp.count - b.stamp.count)
  const rest = history.events.filter(event => !cause.evidence.includes(event)).length
  const more = rest === 0 ? [] : [`${rest} more lines on hosts and databases around that time: --json prints them.`]
  return [`Cause: ${cause.text}`, ...told.map(formatLine), ...more].join('\n')
}

function formatLine ({ stamp, host, text, fields }: LogLine): string {
  const shown = SHOWN.filter(name => fields[name] !== undefined).map(name => `${name}=${String(fields[name])}`)
  return [new Date(stamp.wallMs).toISOString(), host, text, ...shown].join(' ')
}

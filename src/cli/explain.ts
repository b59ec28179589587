/** `explain`: the cause of a request's failure and its history, from the processes' log lines. */
import { Command } from 'commander'
import { findCause, type Conclusion } from '../explaining/causes.js'
import { HistoryReader, type RequestHistory, type LogLine } from '../explaining/history.js'
import type { GlobalOptions } from './call.js'
import { CliError, EXIT } from './exits.js'
import type { Terminal } from './terminal.js'

/** The fields that are shown for a line, in this order. */
const SHOWN_FIELDS = ['attempt', 'phase', 'elapsedMs', 'leftMs', 'workspace', 'route', 'intent', 'group', 'database', 'owner', 'purpose', 'floor', 'failure', 'effect', 'reason'] as const

/**
 * Creates the command that finds the cause of a request's failure.
 * @example program.addCommand(createExplainCommand(terminal))
 */
export function createExplainCommand (terminal: Terminal): Command {
  return new Command('explain')
    .description("Finds the cause of a request's failure in the processes' logs, and shows its history.")
    .argument('<id>', 'the id of the request')
    .argument('[logs...]', 'log files, or folders of log files; standard input when absent')
    .addHelpText('after', '\nExamples:\n  fulmartally explain 5c0e7a21d94b36f8 /var/log/fulmartally\n  grep -h . *.log | fulmartally explain 5c0e7a21d94b36f8 --json')
    .action(async (id: string, logs: readonly string[], _options: unknown, command: Command) => {
      const reader = HistoryReader.create(id)
      for await (const line of terminal.readLines(logs)) reader.add(line)
      const history = reader.finish()
      const cause = findCause(history)
      if (cause === undefined) throw CliError.create(EXIT.refused, `No log line of request "${id}" was found. Check the id and the log files; a process under load suppresses lines, and logs their number.`)
      const { json } = command.optsWithGlobals<GlobalOptions>()
      terminal.write(json === true ? JSON.stringify({ request: id, cause: cause.kind, text: cause.text, lines: history.lines, events: history.events }) : formatHistory(history, cause))
      if (history.truncated) terminal.writeError('The logs have more events than fit into memory; the oldest were dropped. Pass a shorter part of the logs.')
    })
}

/**
 * Formats a history as text: the cause first, then the lines of the request and the evidence in causal order.
 * @example formatHistory(history, cause)
 */
export function formatHistory (history: RequestHistory, cause: Conclusion): string {
  const lines = [...new Set([...history.lines, ...cause.evidence])].sort((a, b) => a.stamp.wallMs - b.stamp.wallMs || a.stamp.count - b.stamp.count)
  const others = history.events.filter(event => !cause.evidence.includes(event)).length
  const more = others === 0 ? [] : [`${others} more events of hosts and databases around that time: use --json to print them.`]
  return [`Cause: ${cause.text}`, ...lines.map(formatLine), ...more].join('\n')
}

function formatLine ({ stamp, host, text, fields }: LogLine): string {
  const shown = SHOWN_FIELDS.filter(name => fields[name] !== undefined).map(name => `${name}=${String(fields[name])}`)
  return [new Date(stamp.wallMs).toISOString(), host, text, ...shown].join(' ')
}

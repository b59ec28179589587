/** `explain`: the cause of a request's failure and its story, from the processes' log lines. */
import { Command } from 'commander'
import { findCause, type Conclusion } from '../explaining/causes.js'
import { StoryReader, type Story, type StoryLine } from '../explaining/story.js'
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
    .description("Finds the cause of a request's failure in the processes' logs, and tells its story.")
    .argument('<id>', 'the id of the request')
    .argument('[logs...]', 'log files, or folders of them; standard input when absent')
    .addHelpText('after', '\nExamples:\n  fulmartally explain 5c0e7a21d94b36f8 /var/log/fulmartally\n  grep -h . *.log | fulmartally explain 5c0e7a21d94b36f8 --json')
    .action(async (id: string, logs: readonly string[], _options: unknown, command: Command) => {
      const reader = StoryReader.create(id)
      for await (const line of terminal.readLines(logs)) reader.take(line)
      const story = reader.finish()
      const cause = findCause(story)
      if (cause === undefined) throw CliError.create(EXIT.refused, `No line of request "${id}" was found. A process under load leaves lines out, and says how many.`)
      const { json } = command.optsWithGlobals<GlobalOptions>()
      terminal.write(json === true ? JSON.stringify({ request: id, cause: cause.kind, text: cause.text, lines: story.lines, events: story.events }) : formatStory(story, cause))
      if (story.cut) terminal.writeError('There were more lines than can be held; the oldest were left out.')
    })
}

/**
 * Writes a story for people: the cause first, then the lines of the request among those that the cause rests on.
 * @example formatStory(story, cause)
 */
export function formatStory (story: Story, cause: Conclusion): string {
  const told = [...new Set([...story.lines, ...cause.evidence])].sort((a, b) => a.stamp.wallMs - b.stamp.wallMs || a.stamp.count - b.stamp.count)
  const rest = story.events.filter(event => !cause.evidence.includes(event)).length
  const more = rest === 0 ? [] : [`${rest} more lines on hosts and databases around that time: --json prints them.`]
  return [`Cause: ${cause.text}`, ...told.map(formatLine), ...more].join('\n')
}

function formatLine ({ stamp, host, text, fields }: StoryLine): string {
  const shown = SHOWN.filter(name => fields[name] !== undefined).map(name => `${name}=${String(fields[name])}`)
  return [new Date(stamp.wallMs).toISOString(), host, text, ...shown].join(' ')
}

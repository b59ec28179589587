/** `timeline`: the events of all processes in causal order. */
import { Command, InvalidArgumentError } from 'commander'
import type { MergedTimeline, TimelineEvent } from '../timeline/messages.js'
import { renderTimeline } from '../timeline/page.js'
import { callHosts, type GlobalOptions } from './call.js'
import type { Terminal } from './terminal.js'

const UNITS_MS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000 }
const MAX_SINCE_MS = 86_400_000
const DEFAULT_SINCE_MS = 30_000

interface TimelineOptions extends GlobalOptions {
  readonly request?: string
  readonly group?: string
  readonly since: number
  readonly html?: string
}

/**
 * Creates the command that shows the timeline.
 * @example program.addCommand(createTimelineCommand(terminal))
 */
export function createTimelineCommand (terminal: Terminal): Command {
  return new Command('timeline')
    .description('Merges the events of all processes in causal order.')
    .option('--request <id>', 'only events of this request')
    .option('--group <group>', 'only events of this database group')
    .option('--since <duration>', 'how far back, such as 500ms, 30s, 5m or 1h', parseDuration, DEFAULT_SINCE_MS)
    .option('--html <file>', 'write an HTML page with a lane for each process')
    .addHelpText('after', '\nExamples:\n  fulmartally timeline --since 5m --group a\n  fulmartally timeline --since 1h --html events.html')
    .action(async (_options: unknown, command: Command) => {
      const options = command.optsWithGlobals<TimelineOptions>()
      const { request, group, since, html } = options
      const merged = await callHosts<MergedTimeline>(terminal, options, { name: 'timeline/read', sinceMs: since, request, group })
      if (html !== undefined) await terminal.writeFile(html, renderTimeline(merged))
      if (options.json === true) terminal.write(JSON.stringify(merged))
      else if (html === undefined) for (const event of merged.events) terminal.write(formatEvent(event))
      for (const host of merged.silent) terminal.writeError(`Host ${host} did not answer; its events are missing.`)
    })
}

/**
 * Formats an event as one line.
 * @example formatEvent(event) // '2026-01-01T00:00:00.000Z+0 host-1 primacy promoted: Database a1 ...'
 */
export function formatEvent ({ stamp, host, part, event, text }: TimelineEvent): string {
  return `${new Date(stamp.wallMs).toISOString()}+${stamp.count} ${host} ${part} ${event}: ${text}`
}

/**
 * Parses a duration into milliseconds.
 * @example parseDuration('30s') // 30000
 */
export function parseDuration (text: string): number {
  const [, count, unit] = /^(\d{1,9})(ms|s|m|h)$/.exec(text) ?? []
  const ms = Number(count) * (UNITS_MS[unit ?? ''] ?? NaN)
  if (!(ms <= MAX_SINCE_MS)) throw new InvalidArgumentError('Expected a duration up to 24h, such as 500ms, 30s, 5m or 1h.')
  return ms
}

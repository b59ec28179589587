/** Renders the timeline as a self-contained HTML page with a lane for each process. */
import type { MergedTimeline, TimelineEvent } from './messages.js'

const STYLE = `
  body { font: 14px/1.4 system-ui, sans-serif; margin: 1.5em; color: #222; background: #fff }
  table { border-collapse: collapse }
  th { position: sticky; top: 0; background: #eee; text-align: left }
  th, td { padding: .25em .75em; border-left: 1px solid #ccc; vertical-align: top; max-width: 26em }
  tr:nth-child(even) { background: #f7f7f7 }
  time { font-variant-numeric: tabular-nums; white-space: nowrap; color: #555 }
  small { display: block; color: #666 }`

const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/**
 * Renders the page, with a column for each process and a row for each event.
 * @example renderTimeline({ events: [], hosts: ['host-1'], silent: [] })
 */
export function renderTimeline ({ events, hosts, silent }: MergedTimeline): string {
  const lanes = [...new Set([...hosts, ...silent])].sort()
  const headers = lanes.map(lane => `<th scope="col">${encodeText(lane)}${silent.includes(lane) ? '<small>did not answer</small>' : ''}</th>`)
  return `<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Timeline</title><style>${STYLE}
</style></head>
<body>
<h1>Timeline</h1>
<p>${events.length} events of ${hosts.length} processes, in causal order.</p>
<table>
<thead><tr><th scope="col">time</th>${headers.join('')}</tr></thead>
<tbody>
${events.map(event => renderRow(lanes, event)).join('\n')}
</tbody>
</table>
</body>
</html>
`
}

function renderRow (lanes: readonly string[], event: TimelineEvent): string {
  const { stamp, part, text, group, request } = event
  const details = [part, event.event, group === undefined ? '' : `group ${group}`, request === undefined ? '' : `request ${request}`].filter(detail => detail !== '')
  const cell = `<td>${encodeText(text)}<small>${encodeText(details.join(' · '))}</small></td>`
  const cells = lanes.map(lane => (lane === event.host ? cell : '<td></td>'))
  return `<tr><td><time>${new Date(stamp.wallMs).toISOString()}+${stamp.count}</time></td>${cells.join('')}</tr>`
}

function encodeText (text: string): string {
  return text.replace(/[&<>"']/g, character => ESCAPES[character]!)
}

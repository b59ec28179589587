/** Tables of plain text. */

const GAP = '  '

/**
 * Writes rows under headers, in columns.
 * @example formatTable(['host', 'domain'], [['host-1', 'north']])
 */
export function formatTable (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const all = [headers, ...rows]
  const widths = headers.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)))
  return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(GAP).trimEnd()).join('\n')
}

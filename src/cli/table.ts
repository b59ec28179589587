/** Formats plain-text tables. */

const COLUMN_GAP = '  '

/**
 * Formats rows in aligned columns below headers, sorted by their first cells.
 * @example formatTable(['host', 'domain'], [['host-1', 'north']])
 */
export function formatTable (headers: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const all = [headers, ...[...rows].sort((a, b) => (a[0] ?? '').localeCompare(b[0] ?? '', 'en', { numeric: true }))]
  const widths = headers.map((_, column) => Math.max(...all.map(row => (row[column] ?? '').length)))
  return all.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join(COLUMN_GAP).trimEnd()).join('\n')
}

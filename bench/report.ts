/** Prints the results of a benchmark: JSON lines, then a table. */

/** One row of results: values by column name. */
export type Row = Readonly<Record<string, string | number>>

/**
 * Prints rows as JSON lines, then as a table.
 * @example showRows('path', [{ way: 'direct', p50Ms: 1.2 }])
 */
export function showRows (bench: string, rows: readonly Row[]): void {
  for (const row of rows) console.log(JSON.stringify({ bench, ...row }))
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? '')))]
  const widths = columns.map((_, index) => Math.max(...cells.map(line => line[index]!.length)))
  console.log()
  for (const line of cells) console.log(line.map((cell, index) => cell.padEnd(widths[index]!)).join('  ').trimEnd())
}

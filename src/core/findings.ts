/** Findings: all that is wrong with a text, each with its place, reported together. */

/** One thing that is wrong, and where. */
export interface Finding {
  /** From 1. */
  readonly line: number
  /** From 1. */
  readonly column: number
  /** The path of the value, as in `routes[2].group`; empty for the whole text. */
  readonly path: string
  readonly text: string
}

/**
 * Writes findings one a line, as `FILE:LINE:COLUMN path: text`.
 * @example formatFindings('a.jsonc', [{ line: 1, column: 2, path: 'host', text: 'Is missing.' }])
 */
export function formatFindings (file: string, findings: readonly Finding[]): string {
  return findings
    .map(finding => `${file}:${finding.line}:${finding.column} ${finding.path === '' ? '' : `${finding.path}: `}${finding.text}`)
    .join('\n')
}

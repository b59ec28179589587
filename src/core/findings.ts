/** Findings: validation errors of a text, reported together, each with its line and column. */

/** One validation error and its location. */
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
 * Formats findings, one per line, as `FILE:LINE:COLUMN path: text`.
 * @example formatFindings('a.jsonc', [{ line: 1, column: 2, path: 'host', text: 'Missing value: expected string.' }])
 */
export function formatFindings (file: string, findings: readonly Finding[]): string {
  return findings
    .map(finding => `${file}:${finding.line}:${finding.column} ${finding.path === '' ? '' : `${finding.path}: `}${finding.text}`)
    .join('\n')
}

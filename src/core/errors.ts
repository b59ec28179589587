/** Every error that fulmartally reports, in one table, created through one function. */

/** What is known of the effect of a request that failed. */
export type Effectiveness = 'not-run' | 'unknown'

interface ErrorRow {
  /** The SQLSTATE that a caller sees. */
  readonly sqlState: string
  readonly effect: Effectiveness
  readonly text: (detail: string) => string
}

const ERRORS = {
  'unknown-service': { sqlState: '3D000', effect: 'not-run', text: (d: string) => `Service "${d}" is not known.` },
  'unknown-workspace': { sqlState: '28000', effect: 'not-run', text: (d: string) => `Workspace "${d}" is not known.` },
  'unknown-route': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Route "${d}" is not known.` },
  'wrong-key': { sqlState: '28P01', effect: 'not-run', text: (d: string) => `The key is not valid for workspace "${d}".` },
  'unknown-key': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Key "${d}" is not known.` },
  'key-needed': { sqlState: '28000', effect: 'not-run', text: (d: string) => `Route "${d}" needs a workspace and its key.` },
  'no-authority': { sqlState: '57P03', effect: 'not-run', text: () => 'This host can not confirm which keys are valid.' },
  'rate-exceeded': { sqlState: '53400', effect: 'not-run', text: (d: string) => `Workspace "${d}" is over its rate.` },
  'queue-full': { sqlState: '53300', effect: 'not-run', text: (d: string) => `Too many requests wait for database "${d}".` },
  'deadline-passed': { sqlState: '57014', effect: 'not-run', text: () => 'The deadline passed before the request ran.' },
  'no-primary': { sqlState: '57P03', effect: 'not-run', text: (d: string) => `Group "${d}" has no primary at present.` },
  'no-database': { sqlState: '57P03', effect: 'not-run', text: (d: string) => `No database of group "${d}" can serve the request.` },
  'host-stopping': { sqlState: '57P01', effect: 'not-run', text: () => 'This host is stopping.' },
  'outcome-unknown': { sqlState: '40003', effect: 'unknown', text: (d: string) => `The outcome of the request is unknown: ${d}.` },
  'transaction-lost': { sqlState: '40003', effect: 'unknown', text: (d: string) => `The transaction was lost: ${d}.` },
  'transaction-aborted': { sqlState: '25P02', effect: 'not-run', text: () => 'The transaction is aborted: statements are ignored until its end.' },
  'unknown-setting': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Setting "${d}" is not known.` },
  'bad-session': { sqlState: '22023', effect: 'not-run', text: (d: string) => `The session token is not valid: ${d}.` },
  'not-supported': { sqlState: '0A000', effect: 'not-run', text: (d: string) => `${d} is not supported with transaction pooling.` },
  'protocol-violation': { sqlState: '08P01', effect: 'not-run', text: (d: string) => `The message can not be read: ${d}.` },
  'unknown-statement': { sqlState: '26000', effect: 'not-run', text: (d: string) => `Prepared statement "${d}" does not exist.` },
  'too-many-statements': { sqlState: '54000', effect: 'not-run', text: (d: string) => `More than ${d} prepared statements are open.` },
  'message-too-large': { sqlState: '54000', effect: 'not-run', text: (d: string) => `The message is larger than ${d} bytes.` }
} as const satisfies Record<string, ErrorRow>

/** The name of a row in the table of errors. */
export type ErrorCode = keyof typeof ERRORS

/** An error as data: read-only, and the same on every host. */
export interface Failure {
  readonly code: ErrorCode
  readonly sqlState: string
  readonly text: string
  readonly effect: Effectiveness
  /** When another try may be worth while; absent where nobody knows. */
  readonly retryAfterMs?: number
}

/**
 * Creates a failure from the table.
 * @example createFailure('unknown-route', 'slots.view').text // 'Route "slots.view" is not known.'
 */
export function createFailure (code: ErrorCode, detail = ''): Failure {
  const row: ErrorRow = ERRORS[code]
  return { code, sqlState: row.sqlState, text: row.text(detail), effect: row.effect }
}

/** Lists the codes of the table, for the docs and for tests. */
export function listErrorCodes (): readonly ErrorCode[] {
  return Object.keys(ERRORS) as ErrorCode[]
}

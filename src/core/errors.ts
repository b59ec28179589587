/** The table of all errors that fulmartally reports to callers, and the one function that creates them. */

/** Whether a failed request took effect: `not-run` means it certainly did not. */
export type RequestEffect = 'not-run' | 'unknown'

interface ErrorRow {
  /** The SQLSTATE that is sent to the caller. */
  readonly sqlState: string
  readonly effect: RequestEffect
  readonly text: (detail: string) => string
}

const ERRORS = {
  'unknown-service': { sqlState: '3D000', effect: 'not-run', text: (d: string) => `Service "${d}" is unknown: check the service name.` },
  'unknown-workspace': { sqlState: '28000', effect: 'not-run', text: (d: string) => `Workspace "${d}" is unknown: check the workspace name.` },
  'unknown-route': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Route "${d}" is unknown: check the route name in the document of the service.` },
  'wrong-key': { sqlState: '28P01', effect: 'not-run', text: (d: string) => `The key is not valid for workspace "${d}": check the key, or issue a new one.` },
  'unknown-key': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Key "${d}" is unknown: check the key name.` },
  'key-needed': { sqlState: '28000', effect: 'not-run', text: (d: string) => `Route "${d}" requires authentication: connect with a workspace and its key.` },
  'no-authority': { sqlState: '57P03', effect: 'not-run', text: () => 'This host cannot confirm that its documents are current without a recent answer from the control hosts: try again, or connect to another host.' },
  'rate-exceeded': { sqlState: '53400', effect: 'not-run', text: (d: string) => `Workspace "${d}" exceeded its rate limit: try again later.` },
  'queue-full': { sqlState: '53300', effect: 'not-run', text: (d: string) => `The request queue of database "${d}" is full: try again later.` },
  overloaded: { sqlState: '53000', effect: 'not-run', text: (d: string) => `Database "${d}" cannot answer in time, since too many requests wait for it: try again later.` },
  'not-in-time': { sqlState: '53000', effect: 'not-run', text: () => 'The request cannot start in time, since this host or the database has too much to do: try again later, or connect to another host.' },
  'database-cold': { sqlState: '53000', effect: 'not-run', text: (d: string) => `Database "${d}" has come back a short time ago and takes few requests yet: try again later.` },
  'memory-full': { sqlState: '53200', effect: 'not-run', text: () => 'This host has no memory left for the request: try again later, or send less at once.' },
  'deadline-passed': { sqlState: '57014', effect: 'not-run', text: () => 'The deadline passed before the request ran: try again, or allow more time.' },
  'no-primary': { sqlState: '57P03', effect: 'not-run', text: (d: string) => `Group "${d}" has no primary at present: try again after the failover.` },
  'no-database': { sqlState: '57P03', effect: 'not-run', text: (d: string) => `No database of group "${d}" can serve the request: try again later.` },
  evacuated: { sqlState: '57P03', effect: 'not-run', text: (d: string) => `The databases of group "${d}" that could run the request are evacuated: try again once the primary has moved, or the evacuation ended.` },
  'no-home': { sqlState: '57P03', effect: 'not-run', text: (d: string) => `No database of group "${d}" that could run the request is in its home regions: check the homes of its route and workspace in the document.` },
  'host-stopping': { sqlState: '57P01', effect: 'not-run', text: () => 'This host is stopping: connect to another host.' },
  'transaction-stopped': { sqlState: '57P01', effect: 'not-run', text: () => 'This host is stopping, and the transaction was rolled back: run it again through another host.' },
  'transaction-evacuated': { sqlState: '57P01', effect: 'not-run', text: (d: string) => `The database of the transaction is evacuated, and the transaction was rolled back: run it again at another database of group "${d}".` },
  'transaction-closed': { sqlState: '57P01', effect: 'not-run', text: (d: string) => `The primary of group "${d}" is being replaced or is not confirmed, and the transaction was rolled back: run it again.` },
  'transaction-homeless': { sqlState: '57P01', effect: 'not-run', text: () => 'The request may not run in the region of its transaction, which was rolled back: run it again.' },
  'transaction-revoked': { sqlState: '28P01', effect: 'not-run', text: (d: string) => `The key is no longer valid for workspace "${d}", and the transaction was rolled back: issue a new key, and run it again.` },
  'outcome-unknown': { sqlState: '40003', effect: 'unknown', text: (d: string) => `The outcome of the request is unknown (${d}): check whether it took effect before trying again.` },
  'transaction-lost': { sqlState: '40003', effect: 'unknown', text: (d: string) => `The transaction was lost (${d}): check whether it was committed before trying again.` },
  'transaction-aborted': { sqlState: '25P02', effect: 'not-run', text: () => 'The transaction is aborted: statements are ignored until it is rolled back.' },
  'unknown-setting': { sqlState: '42704', effect: 'not-run', text: (d: string) => `Setting "${d}" is unknown: check the setting name.` },
  'bad-session': { sqlState: '22023', effect: 'not-run', text: (d: string) => `The session token is not valid: ${d}. Pass a token that this service returned.` },
  'not-supported': { sqlState: '0A000', effect: 'not-run', text: (d: string) => `${d} is not supported with transaction pooling: use a direct connection to the database.` },
  'protocol-violation': { sqlState: '08P01', effect: 'not-run', text: (d: string) => `Protocol violation: ${d}. Check the client driver.` },
  'unknown-statement': { sqlState: '26000', effect: 'not-run', text: (d: string) => `Prepared statement "${d}" does not exist: prepare it again on this connection.` },
  'too-many-statements': { sqlState: '54000', effect: 'not-run', text: (d: string) => `More than ${d} prepared statements are open: close some before preparing more.` },
  'message-too-large': { sqlState: '54000', effect: 'not-run', text: (d: string) => `The message is larger than ${d} bytes: send less at once.` }
} as const satisfies Record<string, ErrorRow>

/** The code of an error in the table. */
export type ErrorCode = keyof typeof ERRORS

/** An error as read-only data that can be sent between hosts. */
export interface Failure {
  readonly code: ErrorCode
  readonly sqlState: string
  readonly text: string
  readonly effect: RequestEffect
  /** The earliest useful retry, in milliseconds from now; absent where it cannot be estimated. */
  readonly retryAfterMs?: number
  /** What decided the failure, for the log alone. */
  readonly inputs?: Readonly<Record<string, string | number>>
}

/**
 * Creates a failure from the table. `detail` is what its text names: a service, a workspace, a reason.
 * @example createFailure('unknown-route', 'slots.view').text // 'Route "slots.view" is unknown: check the route name in the document of the service.'
 */
export function createFailure (code: ErrorCode, detail = ''): Failure {
  const row: ErrorRow = ERRORS[code]
  return { code, sqlState: row.sqlState, text: row.text(detail), effect: row.effect }
}

/** Lists all error codes, for the docs and for tests. */
export function listErrorCodes (): readonly ErrorCode[] {
  return Object.keys(ERRORS) as ErrorCode[]
}

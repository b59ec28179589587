/** Message type codes of the PostgreSQL protocol. */

/** Codes of frontend messages, which callers send. */
export const FRONTEND = {
  query: 0x51,
  parse: 0x50,
  bind: 0x42,
  describe: 0x44,
  execute: 0x45,
  close: 0x43,
  sync: 0x53,
  flush: 0x48,
  terminate: 0x58,
  password: 0x70
} as const

/** Codes of backend messages, which databases send. */
export const BACKEND = {
  authentication: 0x52,
  parameterStatus: 0x53,
  backendKey: 0x4b,
  ready: 0x5a,
  error: 0x45,
  notice: 0x4e,
  rowDescription: 0x54,
  dataRow: 0x44,
  commandComplete: 0x43,
  parseComplete: 0x31,
  bindComplete: 0x32,
  closeComplete: 0x33,
  noData: 0x6e,
  emptyQuery: 0x49,
  parameterDescription: 0x74,
  portalSuspended: 0x73,
  notification: 0x41
} as const

/** Bytes before the body of a message: the code and the length. */
export const HEADER_BYTES = 5

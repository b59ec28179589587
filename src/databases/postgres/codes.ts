/** Codes of the messages of the PostgreSQL protocol that are told apart here. */

/** Codes of the messages that a caller sends. */
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

/** Codes of the messages that a database sends. */
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

/** Bytes before the body of a message: its code and its length. */
export const HEADER_BYTES = 5

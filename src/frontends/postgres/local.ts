/** Answers that need no database: settings of fulmartally's own, and the end of a lost transaction. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../../core/errors.js'
import { BACKEND, FRONTEND } from '../../databases/postgres/codes.js'
import type { BatchMessage } from './batch.js'
import { encodeComplete, encodeValue } from './encode.js'

const PARSE_COMPLETE = Buffer.from([0x31, 0, 0, 0, 4])
const BIND_COMPLETE = Buffer.from([0x32, 0, 0, 0, 4])
const CLOSE_COMPLETE = Buffer.from([0x33, 0, 0, 0, 4])
const NO_DATA = Buffer.from([0x6e, 0, 0, 0, 4])

/** A setting to show or to change, with the connection's present values. */
export interface SettingRequest {
  readonly name: string
  /** Undefined for SHOW. */
  readonly value?: string
  readonly route?: string
  readonly session: string
}

/**
 * Answers SHOW and SET of a setting.
 * @example answerSetting(messages, { name: 'session', session: 'v1:rota:' })
 */
export function answerSetting (messages: readonly BatchMessage[], request: SettingRequest): Result<Buffer, Failure> {
  const { name, value, route, session } = request
  const known: Readonly<Record<string, string>> = { route: route ?? '', session }
  const shown = known[name]
  if (shown === undefined) return Result.err(createFailure('unknown-setting', `fulmartally.${name}`))
  if (value !== undefined) return Result.ok(answerLocally(messages, encodeComplete('SET')))
  return Result.ok(answerLocally(messages, encodeValue(`fulmartally.${name}`, shown)))
}

/**
 * Answers each message of a batch; the rows and the tag go to the one that runs the statement.
 * @example answerLocally(messages, encodeComplete('ROLLBACK'))
 */
export function answerLocally (messages: readonly BatchMessage[], end: Buffer): Buffer {
  return Buffer.concat(messages.map(message => answerMessage(message, end)))
}

function answerMessage (message: BatchMessage, end: Buffer): Buffer {
  switch (message.code) {
    case FRONTEND.query: return end
    case FRONTEND.parse: return PARSE_COMPLETE
    case FRONTEND.bind: return BIND_COMPLETE
    case FRONTEND.close: return CLOSE_COMPLETE
    case FRONTEND.describe: return splitDescription(end)
    case FRONTEND.execute: return splitRows(end)
    default: return Buffer.alloc(0)
  }
}

function splitDescription (end: Buffer): Buffer {
  return end[0] === BACKEND.rowDescription ? end.subarray(0, end.readInt32BE(1) + 1) : NO_DATA
}

function splitRows (end: Buffer): Buffer {
  return end[0] === BACKEND.rowDescription ? end.subarray(end.readInt32BE(1) + 1) : end
}

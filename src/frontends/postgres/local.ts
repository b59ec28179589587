/** Answers that need no database: fulmartally's own settings, and the end of a lost transaction. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../../core/errors.js'
import { BACKEND, FRONTEND } from '../../databases/postgres/codes.js'
import type { BatchMessage } from './batch.js'
import { encodeComplete, encodeValue } from './encode.js'

const PARSE_COMPLETE = Buffer.from([0x31, 0, 0, 0, 4])
const BIND_COMPLETE = Buffer.from([0x32, 0, 0, 0, 4])
const CLOSE_COMPLETE = Buffer.from([0x33, 0, 0, 0, 4])
const NO_DATA = Buffer.from([0x6e, 0, 0, 0, 4])

/** A request to show or change a setting, with the connection's current values. */
export interface SettingRequest {
  readonly name: string
  /** Undefined for SHOW. */
  readonly value?: string
  readonly route?: string
  readonly session: string
}

/**
 * Answers SHOW or SET of a setting.
 * @example answerSetting(messages, { name: 'session', session: 'v1:rota:' })
 */
export function answerSetting (messages: readonly BatchMessage[], request: SettingRequest): Result<Buffer, Failure> {
  const { name, value, route, session } = request
  const values: Readonly<Record<string, string>> = { route: route ?? '', session }
  const current = values[name]
  if (current === undefined) return Result.err(createFailure('unknown-setting', `fulmartally.${name}`))
  if (value !== undefined) return Result.ok(answerLocally(messages, encodeComplete('SET')))
  return Result.ok(answerLocally(messages, encodeValue(`fulmartally.${name}`, current)))
}

/**
 * Answers each message of a batch. The rows and the command tag of `result` answer Query or Execute, and its row description answers Describe.
 * @example answerLocally(messages, encodeComplete('ROLLBACK'))
 */
export function answerLocally (messages: readonly BatchMessage[], result: Buffer): Buffer {
  return Buffer.concat(messages.map(message => answerMessage(message, result)))
}

function answerMessage (message: BatchMessage, result: Buffer): Buffer {
  switch (message.code) {
    case FRONTEND.query: return result
    case FRONTEND.parse: return PARSE_COMPLETE
    case FRONTEND.bind: return BIND_COMPLETE
    case FRONTEND.close: return CLOSE_COMPLETE
    case FRONTEND.describe: return splitDescription(result)
    case FRONTEND.execute: return splitRows(result)
    default: return Buffer.alloc(0)
  }
}

function splitDescription (result: Buffer): Buffer {
  return result[0] === BACKEND.rowDescription ? result.subarray(0, result.readInt32BE(1) + 1) : NO_DATA
}

function splitRows (result: Buffer): Buffer {
  return result[0] === BACKEND.rowDescription ? result.subarray(result.readInt32BE(1) + 1) : result
}

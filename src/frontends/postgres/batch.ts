/** Collects a caller's messages into one request: a simple query, or an extended batch up to its Sync. */
import { Result } from 'true-myth'
import { serialize } from 'pg-protocol'
import { createFailure, type Failure } from '../../core/errors.js'
import { FRONTEND, HEADER_BYTES } from '../../databases/postgres/codes.js'
import { encodePayload } from '../../databases/postgres/work.js'
import { mergeStatements, readStatement, type Statement } from './statement.js'

const STATEMENT_TYPE = 'S'
/** Named statements that one caller may hold. */
const MAX_PREPARED = 1_000

/** One message of a batch. */
export interface BatchMessage {
  readonly code: number
  readonly bytes: Buffer
}

/** A whole request, ready to run. */
export interface Batch {
  readonly messages: readonly BatchMessage[]
  readonly statement: Statement
  readonly payload: Uint8Array
  /** The caller's prepared statements after the batch. */
  readonly prepared: PreparedStatements
}

/** The prepared statements of one caller, by name; the unnamed one has the empty name. */
export type PreparedStatements = ReadonlyMap<string, Buffer>

/**
 * Reads a batch: its declarations come from its first statement's text, what it needs from all of them.
 * @example readBatch(messages, prepared)
 * @returns the batch, or the failure that says why it can't run.
 */
export function readBatch (messages: readonly BatchMessage[], prepared: PreparedStatements): Result<Batch, Failure> {
  const used = listStatements(messages)
  const unknown = used.find(name => !prepared.has(name) && !definesStatement(messages, name))
  if (unknown !== undefined) return Result.err(createFailure('unknown-statement', unknown))
  const statement = mergeStatements(listTexts(messages, prepared).map(readStatement))
  if (statement.unsupported !== undefined) return Result.err(createFailure('not-supported', statement.unsupported))
  const next = updatePrepared(prepared, messages)
  if (next.size > MAX_PREPARED) return Result.err(createFailure('too-many-statements', String(MAX_PREPARED)))
  return Result.ok({ messages, statement, payload: createPayload(messages, used, prepared), prepared: next })
}

// The unnamed statement goes with the next simple query, as in the database.
function updatePrepared (prepared: PreparedStatements, messages: readonly BatchMessage[]): PreparedStatements {
  const next = new Map(prepared)
  for (const message of messages) {
    if (message.code === FRONTEND.query) next.delete('')
    if (message.code === FRONTEND.parse) next.set(readString(message, 0), message.bytes)
    if (message.code === FRONTEND.close && readType(message) === STATEMENT_TYPE) next.delete(readString(message, 1))
  }
  return next
}

// A pooled connection may hold another caller's statement of the same name, so each
// named statement is closed first and parsed again where the batch does not parse it.
// The unnamed one is replaced without being closed.
function createPayload (messages: readonly BatchMessage[], used: readonly string[], prepared: PreparedStatements): Uint8Array {
  const closes = used.filter(name => name !== '').map(name => serialize.close({ type: STATEMENT_TYPE, name }))
  const parses = used.filter(name => !definesStatement(messages, name)).map(name => prepared.get(name)!)
  const bytes = [...closes, ...parses, ...messages.map(message => message.bytes)]
  return encodePayload({ skipCount: closes.length + parses.length, messages: Buffer.concat(bytes) })
}

function listStatements (messages: readonly BatchMessage[]): readonly string[] {
  const names = messages.flatMap(message => {
    if (message.code === FRONTEND.parse) return [readString(message, 0)]
    if (message.code === FRONTEND.bind) return [readBoundStatement(message)]
    return message.code === FRONTEND.describe && readType(message) === STATEMENT_TYPE ? [readString(message, 1)] : []
  })
  return [...new Set(names)]
}

function definesStatement (messages: readonly BatchMessage[], name: string): boolean {
  return messages.some(message => message.code === FRONTEND.parse && readString(message, 0) === name)
}

function listTexts (messages: readonly BatchMessage[], prepared: PreparedStatements): readonly string[] {
  return messages.flatMap(message => {
    if (message.code === FRONTEND.query) return [readString(message, 0)]
    if (message.code === FRONTEND.parse) return [readSecondString(message)]
    const name = message.code === FRONTEND.bind ? readBoundStatement(message) : ''
    const parse = definesStatement(messages, name) ? undefined : prepared.get(name)
    return parse === undefined ? [] : [readSecondString({ code: FRONTEND.parse, bytes: parse })]
  })
}

/**
 * Reads a zero-terminated string of a message.
 * @example readString(query, 0)
 */
export function readString (message: BatchMessage, offset: number): string {
  const start = HEADER_BYTES + offset
  const end = message.bytes.indexOf(0, start)
  return message.bytes.toString('utf8', start, end < 0 ? message.bytes.length : end)
}

function readSecondString (message: BatchMessage): string {
  const firstEnd = message.bytes.indexOf(0, HEADER_BYTES)
  return readString(message, firstEnd + 1 - HEADER_BYTES)
}

function readBoundStatement (message: BatchMessage): string {
  return readSecondString(message)
}

function readType (message: BatchMessage): string {
  return String.fromCharCode(message.bytes[HEADER_BYTES] ?? 0)
}

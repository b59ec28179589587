/** Collects a caller's messages into one request: a simple query, or an extended batch up to its Sync. */
import { Result } from 'true-myth'
import { serialize } from 'pg-protocol'
import { createFailure, type Failure } from '../../core/errors.js'
import { FRONTEND, HEADER_BYTES } from '../../databases/postgres/codes.js'
import { encodeWork } from '../../databases/postgres/work.js'
import { readStatement, type Statement } from './statement.js'

const STATEMENT_TYPE = 'S'
const NO_STATEMENT: Statement = { intent: 'statement' }

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
}

/** The prepared statements of one caller, by name. */
export type PreparedStatements = ReadonlyMap<string, Buffer>

/**
 * Reads a batch: its declarations come from its first statement's text.
 * @example readBatch(messages, prepared)
 * @returns the batch, or the failure that says why it can't run.
 */
export function readBatch (messages: readonly BatchMessage[], prepared: PreparedStatements): Result<Batch, Failure> {
  const used = listStatements(messages)
  const unknown = used.find(name => name !== '' && !prepared.has(name) && !definesStatement(messages, name))
  if (unknown !== undefined) return Result.err(createFailure('protocol-violation', `prepared statement "${unknown}" does not exist`))
  const text = findText(messages, prepared)
  const statement = text === undefined ? NO_STATEMENT : readStatement(text)
  if (statement.unsupported !== undefined) return Result.err(createFailure('not-supported', statement.unsupported))
  return Result.ok({ messages, statement, payload: createPayload(messages, used, prepared) })
}

/**
 * Returns the prepared statements after a batch.
 * @example updatePrepared(prepared, messages)
 */
export function updatePrepared (prepared: PreparedStatements, messages: readonly BatchMessage[]): PreparedStatements {
  const next = new Map(prepared)
  for (const message of messages) {
    if (message.code === FRONTEND.parse && readString(message, 0) !== '') next.set(readString(message, 0), Buffer.from(message.bytes))
    if (message.code === FRONTEND.close && readType(message) === STATEMENT_TYPE) next.delete(readString(message, 1))
  }
  return next
}

// A pooled connection may hold another caller's statement of the same name, so each
// named statement is closed first and parsed again where the batch does not parse it.
function createPayload (messages: readonly BatchMessage[], used: readonly string[], prepared: PreparedStatements): Uint8Array {
  const named = used.filter(name => name !== '')
  const closes = named.map(name => serialize.close({ type: STATEMENT_TYPE, name }))
  const parses = named.filter(name => !definesStatement(messages, name)).map(name => prepared.get(name)!)
  const bytes = [...closes, ...parses, ...messages.map(message => message.bytes)]
  return encodeWork({ skip: closes.length + parses.length, messages: Buffer.concat(bytes) })
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

function findText (messages: readonly BatchMessage[], prepared: PreparedStatements): string | undefined {
  for (const message of messages) {
    if (message.code === FRONTEND.query) return readString(message, 0)
    if (message.code === FRONTEND.parse) return readSecondString(message)
    const parse = message.code === FRONTEND.bind ? prepared.get(readBoundStatement(message)) : undefined
    if (parse !== undefined) return readSecondString({ code: FRONTEND.parse, bytes: parse })
  }
  return undefined
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

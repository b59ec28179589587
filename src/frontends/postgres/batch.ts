/** Parses a caller's messages into one request: a simple query, or an extended-query batch up to its Sync. */
import { Result } from 'true-myth'
import { serialize } from 'pg-protocol'
import { createFailure, type Failure } from '../../core/errors.js'
import { FRONTEND, HEADER_BYTES } from '../../databases/postgres/codes.js'
import { encodePayload } from '../../databases/postgres/payload.js'
import { mergeStatements, parseStatement, type Statement } from './statement.js'

const STATEMENT_TYPE = 'S'
/** Prepared statements that one caller may keep. */
const MAX_PREPARED_STATEMENTS = 1_000

/** One message of a batch. */
export interface BatchMessage {
  readonly code: number
  readonly bytes: Buffer
}

/** A complete request that can run. */
export interface Batch {
  readonly messages: readonly BatchMessage[]
  readonly statement: Statement
  readonly payload: Uint8Array
  /** The caller's prepared statements after the batch. */
  readonly preparedStatements: PreparedStatements
}

/** The prepared statements of one caller, by name; the unnamed one has the empty name. */
export type PreparedStatements = ReadonlyMap<string, Buffer>

/**
 * Parses a batch. Its tags and intent come from its first statement; all statements are checked for unsupported ones.
 * @example parseBatch(messages, prepared)
 * @returns the batch, or a failure that tells why it cannot run.
 */
export function parseBatch (messages: readonly BatchMessage[], prepared: PreparedStatements): Result<Batch, Failure> {
  const usedNames = listStatementNames(messages)
  const unknown = usedNames.find(name => !prepared.has(name) && !definesStatement(messages, name))
  if (unknown !== undefined) return Result.err(createFailure('unknown-statement', unknown))
  const merged = mergeStatements(listStatementTexts(messages, prepared).map(parseStatement))
  if (merged.unsupported !== undefined) return Result.err(createFailure('not-supported', merged.unsupported))
  const updated = updatePrepared(prepared, messages)
  if (updated.size > MAX_PREPARED_STATEMENTS) return Result.err(createFailure('too-many-statements', String(MAX_PREPARED_STATEMENTS)))
  return Result.ok({ messages, statement: merged, payload: createPayload(messages, usedNames, prepared), preparedStatements: updated })
}

// A simple query discards the unnamed statement, as PostgreSQL does.
function updatePrepared (prepared: PreparedStatements, messages: readonly BatchMessage[]): PreparedStatements {
  const updated = new Map(prepared)
  for (const message of messages) {
    if (message.code === FRONTEND.query) updated.delete('')
    if (message.code === FRONTEND.parse) updated.set(readString(message, 0), Buffer.from(message.bytes))
    if (message.code === FRONTEND.close && readTargetType(message) === STATEMENT_TYPE) updated.delete(readString(message, 1))
  }
  return updated
}

// A pooled connection may hold another caller's statement of the same name. So each
// named statement is closed first, and parsed again unless the batch parses it.
// The unnamed statement needs no Close: Parse replaces it.
function createPayload (messages: readonly BatchMessage[], usedNames: readonly string[], prepared: PreparedStatements): Uint8Array {
  const closes = usedNames.filter(name => name !== '').map(name => serialize.close({ type: STATEMENT_TYPE, name }))
  const parses = usedNames.filter(name => !definesStatement(messages, name)).map(name => prepared.get(name)!)
  const bytes = [...closes, ...parses, ...messages.map(message => message.bytes)]
  return encodePayload({ skipCount: closes.length + parses.length, messages: Buffer.concat(bytes) })
}

function listStatementNames (messages: readonly BatchMessage[]): readonly string[] {
  const names = messages.flatMap(message => {
    if (message.code === FRONTEND.parse) return [readString(message, 0)]
    if (message.code === FRONTEND.bind) return [readBoundStatement(message)]
    return message.code === FRONTEND.describe && readTargetType(message) === STATEMENT_TYPE ? [readString(message, 1)] : []
  })
  return [...new Set(names)]
}

function definesStatement (messages: readonly BatchMessage[], name: string): boolean {
  return messages.some(message => message.code === FRONTEND.parse && readString(message, 0) === name)
}

function listStatementTexts (messages: readonly BatchMessage[], prepared: PreparedStatements): readonly string[] {
  return messages.flatMap(message => {
    if (message.code === FRONTEND.query) return [readString(message, 0)]
    if (message.code === FRONTEND.parse) return [readSecondString(message)]
    const name = message.code === FRONTEND.bind ? readBoundStatement(message) : ''
    const parse = definesStatement(messages, name) ? undefined : prepared.get(name)
    return parse === undefined ? [] : [readSecondString({ code: FRONTEND.parse, bytes: parse })]
  })
}

/**
 * Reads a zero-terminated string from the body of a message.
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

function readTargetType (message: BatchMessage): string {
  return String.fromCharCode(message.bytes[HEADER_BYTES] ?? 0)
}

/** Session tokens: what a session has written, carried by the caller from host to host. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import { ORIGIN, pickLater, type LogPosition } from '../core/position.js'

const VERSION = 'v1'
const MAX_TOKEN_LENGTH = 8_192
const PART = /^([A-Za-z0-9][A-Za-z0-9._-]{0,62})=(\d{1,15})\.(\d{1,15})$/

/** The positions that a session has seen, by group. */
export type Session = ReadonlyMap<string, LogPosition>

/** The session that has seen nothing. */
export const EMPTY_SESSION: Session = new Map()

/**
 * Returns the position that a session has seen of a group.
 * @example readSeen(session, 'register-1')
 */
export function readSeen (session: Session, group: string): LogPosition {
  return session.get(group) ?? ORIGIN
}

/**
 * Returns the session after it saw a position; it never goes back.
 * @example advanceSession(session, 'register-1', { term: 2, offset: 40 })
 */
export function advanceSession (session: Session, group: string, position: LogPosition): Session {
  const seen = readSeen(session, group)
  const later = pickLater(seen, position)
  return later === seen ? session : new Map(session).set(group, later)
}

/**
 * Writes a session as a token.
 * @example formatToken('rota', new Map([['g1', { term: 2, offset: 40 }]])) // 'v1:rota:g1=2.40'
 */
export function formatToken (service: string, session: Session): string {
  const parts = [...session].sort(([a], [b]) => (a < b ? -1 : 1)).map(([group, seen]) => `${group}=${seen.term}.${seen.offset}`)
  return [VERSION, service, parts.join(',')].join(':')
}

/**
 * Reads a token of a service.
 * @example parseToken('rota', 'v1:rota:g1=2.40')
 * @returns the session, or the failure `bad-session` that says what is wrong.
 */
export function parseToken (service: string, token: string): Result<Session, Failure> {
  if (token === '') return Result.ok(EMPTY_SESSION)
  if (token.length > MAX_TOKEN_LENGTH) return refuse(`it is longer than ${MAX_TOKEN_LENGTH} characters`)
  const [version, named, list, ...rest] = token.split(':')
  if (version !== VERSION || list === undefined || rest.length > 0) return refuse('it is not of the form v1:SERVICE:GROUP=TERM.OFFSET,…')
  if (named !== service) return refuse(`it belongs to service "${named}"`)
  return list === '' ? Result.ok(EMPTY_SESSION) : parseParts(list.split(','))
}

function parseParts (parts: readonly string[]): Result<Session, Failure> {
  const session = new Map<string, LogPosition>()
  for (const part of parts) {
    const match = PART.exec(part)
    if (match === null) return refuse(`"${part.slice(0, 80)}" is not of the form GROUP=TERM.OFFSET`)
    if (session.has(match[1]!)) return refuse(`group "${match[1]}" stands twice`)
    session.set(match[1]!, { term: Number(match[2]), offset: Number(match[3]) })
  }
  return Result.ok(session)
}

function refuse (detail: string): Result<Session, Failure> {
  return Result.err(createFailure('bad-session', detail))
}

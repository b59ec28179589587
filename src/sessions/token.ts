/** Session tokens: the log positions that a session has seen, which the caller carries from host to host. */
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'
import { ORIGIN, pickLater, type LogPosition } from '../core/position.js'

const VERSION = 'v1'
const MAX_TOKEN_LENGTH = 8_192
const POSITION_PATTERN = /^([A-Za-z0-9][A-Za-z0-9._-]{0,62})=(\d{1,15})\.(\d{1,15})$/

/** Log positions that a session has seen, by group. */
export type Session = ReadonlyMap<string, LogPosition>

/** A session that has seen no position. */
export const EMPTY_SESSION: Session = new Map()

/**
 * Returns the latest position of a group that a session has seen.
 * @example getSeenPosition(session, 'register-1')
 */
export function getSeenPosition (session: Session, group: string): LogPosition {
  return session.get(group) ?? ORIGIN
}

/**
 * Returns the session after it has seen a position; positions never decrease.
 * @example advanceSession(session, 'register-1', { term: 2, offset: 40 })
 */
export function advanceSession (session: Session, group: string, position: LogPosition): Session {
  const seen = getSeenPosition(session, group)
  const later = pickLater(seen, position)
  return later === seen ? session : new Map(session).set(group, later)
}

/**
 * Formats a session as a token.
 * @example formatToken('rota', new Map([['g1', { term: 2, offset: 40 }]])) // 'v1:rota:g1=2.40'
 */
export function formatToken (service: string, session: Session): string {
  const parts = [...session].sort(([a], [b]) => (a < b ? -1 : 1)).map(([group, seen]) => `${group}=${seen.term}.${seen.offset}`)
  return [VERSION, service, parts.join(',')].join(':')
}

/**
 * Parses a token of a service.
 * @example parseToken('rota', 'v1:rota:g1=2.40')
 * @returns the session, or the failure `bad-session` with the reason.
 */
export function parseToken (service: string, token: string): Result<Session, Failure> {
  if (token === '') return Result.ok(EMPTY_SESSION)
  if (token.length > MAX_TOKEN_LENGTH) return refuseToken(`it is longer than ${MAX_TOKEN_LENGTH} characters`)
  const [version, tokenService, list, ...rest] = token.split(':')
  if (version !== VERSION || list === undefined || rest.length > 0) return refuseToken('it is not of the form v1:SERVICE:GROUP=TERM.OFFSET,…')
  if (tokenService !== service) return refuseToken(`it belongs to service "${tokenService}"`)
  return list === '' ? Result.ok(EMPTY_SESSION) : parseParts(list.split(','))
}

function parseParts (parts: readonly string[]): Result<Session, Failure> {
  const session = new Map<string, LogPosition>()
  for (const part of parts) {
    const match = POSITION_PATTERN.exec(part)
    if (match === null) return refuseToken(`"${part.slice(0, 80)}" is not of the form GROUP=TERM.OFFSET`)
    if (session.has(match[1]!)) return refuseToken(`group "${match[1]}" appears more than once`)
    session.set(match[1]!, { term: Number(match[2]), offset: Number(match[3]) })
  }
  return Result.ok(session)
}

function refuseToken (detail: string): Result<Session, Failure> {
  return Result.err(createFailure('bad-session', detail))
}

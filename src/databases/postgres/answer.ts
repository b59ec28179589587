/** Processes the answer to one request: which messages are forwarded at once, and which are held until it is complete. */
import type { LogPosition } from '../../core/position.js'
import type { TransactionStatus } from '../../requests/messages.js'
import { BACKEND, HEADER_BYTES } from './codes.js'
import { readSqlState, readStrings, type BackendMessage } from './framing.js'

/** The parameter that reports a database's position after a write. */
export const POSITION_PARAMETER = 'fulmartally.position'
const READ_ONLY_SQLSTATE = '25006'
/** Limit on the held part of an answer, which grows with every statement of a multi-statement request; the connection is closed above it. */
const MAX_HELD_BYTES = 16 * 1_048_576
const ANSWER_MESSAGES: ReadonlySet<number> = new Set([
  BACKEND.error,
  BACKEND.rowDescription,
  BACKEND.dataRow,
  BACKEND.commandComplete,
  BACKEND.parseComplete,
  BACKEND.bindComplete,
  BACKEND.closeComplete,
  BACKEND.noData,
  BACKEND.emptyQuery,
  BACKEND.parameterDescription,
  BACKEND.portalSuspended
])
const STATUS_BY_LETTER: Readonly<Record<string, TransactionStatus>> = { I: 'idle', T: 'open', E: 'failed' }

/** The progress of an answer. */
export interface Answer {
  /** ParseComplete and CloseComplete messages that are still to be skipped. */
  readonly skipCount: number
  /** Answers to settings statements, sent before the request, that are still to be skipped. */
  readonly preludeCount: number
  /** Messages from the first completed command on: they acknowledge the request, so they are sent at its end. */
  readonly held: readonly Buffer[]
  readonly heldBytes: number
  readonly position?: LogPosition
  /** True when the first command failed because the database is read-only, so nothing ran. */
  readonly refused: boolean
}

/** The result of processing one message. */
export interface AnswerStep {
  readonly answer: Answer
  /** Bytes to forward to the caller at once. */
  readonly output?: Buffer
  /** Set when the answer is complete. */
  readonly status?: TransactionStatus
}

/**
 * Creates an answer that has received no message.
 * @example createAnswer(0, 1)
 */
export function createAnswer (skipCount: number, preludeCount: number): Answer {
  return { skipCount, preludeCount, held: [], heldBytes: 0, refused: false }
}

/**
 * Processes the next message of the database.
 * @example processMessage(answer, message).status // 'idle' at the end
 * @throws RangeError when the message cannot be part of an answer; the connection has to be closed.
 */
export function processMessage (answer: Answer, message: BackendMessage): AnswerStep {
  switch (message.code) {
    case BACKEND.parameterStatus: return { answer: processParameter(answer, message) }
    case BACKEND.notice:
    case BACKEND.notification: return { answer }
    case BACKEND.ready: return processReady(answer, message)
  }
  if (!ANSWER_MESSAGES.has(message.code)) throw new RangeError(`message type ${message.code} is not part of an answer`)
  if (answer.preludeCount > 0) return skipPrelude(answer, message)
  if (answer.skipCount > 0 && (message.code === BACKEND.parseComplete || message.code === BACKEND.closeComplete)) {
    return { answer: { ...answer, skipCount: answer.skipCount - 1 } }
  }
  const isHeld = answer.held.length > 0 || message.code === BACKEND.commandComplete || message.code === BACKEND.error
  return isHeld ? { answer: holdMessage(answer, message) } : { answer, output: message.bytes }
}

// Without its settings, the connection would run the request on behalf of another workspace.
function skipPrelude (answer: Answer, message: BackendMessage): AnswerStep {
  if (message.code === BACKEND.error) throw new RangeError('the database refused the session settings')
  return { answer }
}

function holdMessage (answer: Answer, message: BackendMessage): Answer {
  const heldBytes = answer.heldBytes + message.bytes.length
  if (heldBytes > MAX_HELD_BYTES) throw new RangeError('the held part of the answer exceeds the size limit')
  const refused = answer.refused || (answer.held.length === 0 && message.code === BACKEND.error && readSqlState(message) === READ_ONLY_SQLSTATE)
  return { ...answer, refused, heldBytes, held: [...answer.held, message.bytes] }
}

function processReady (answer: Answer, message: BackendMessage): AnswerStep {
  if (answer.preludeCount > 0) return { answer: { ...answer, preludeCount: answer.preludeCount - 1 } }
  const status = STATUS_BY_LETTER[String.fromCharCode(message.bytes[HEADER_BYTES] ?? 0)]
  if (status === undefined) throw new RangeError('the transaction status is invalid')
  return { answer, status }
}

function processParameter (answer: Answer, message: BackendMessage): Answer {
  const [name, value] = readStrings(message)
  if (name !== POSITION_PARAMETER || value === undefined) return answer
  return { ...answer, position: parsePosition(value) ?? answer.position }
}

/**
 * Parses a log position, TERM/OFFSET.
 * @example parsePosition('2/40') // { term: 2, offset: 40 }
 */
export function parsePosition (text: string): LogPosition | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text)
  return match === null ? undefined : { term: Number(match[1]), offset: Number(match[2]) }
}

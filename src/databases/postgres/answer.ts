/** Reads the answer to one request: what goes on at once, and what is held back to its end. */
import type { LogPosition } from '../../core/position.js'
import type { TransactionStatus } from '../../requests/messages.js'
import { BACKEND, HEADER_BYTES } from './codes.js'
import { readSqlState, readStrings, type BackendMessage } from './framing.js'

/** The parameter in which a database reports its position after a write. */
export const POSITION_PARAMETER = 'fulmartally.position'
const READ_ONLY_STATE = '25006'
/** The most of an answer that is held back; more is no answer that a pooled connection can carry. */
const MAX_HELD_BYTES = 16 * 1_048_576
const ANSWERS: ReadonlySet<number> = new Set([
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
const STATUSES: Readonly<Record<string, TransactionStatus>> = { I: 'idle', T: 'open', E: 'failed' }

/** How far an answer has come. */
export interface Answer {
  /** ParseComplete and CloseComplete messages still to be left out. */
  readonly skip: number
  /** Answers of statements that the driver sent ahead, still to be left out whole. */
  readonly preludes: number
  /** From the first completed command on: the acknowledgement. */
  readonly held: readonly Buffer[]
  readonly heldBytes: number
  readonly position?: LogPosition
  /** True when the first command was refused because the database is read-only: nothing ran. */
  readonly refused: boolean
}

/** What one message of the database means for the answer. */
export interface AnswerStep {
  readonly answer: Answer
  /** Bytes that may go to the caller at once. */
  readonly pass?: Buffer
  /** Set when the answer is whole. */
  readonly status?: TransactionStatus
}

/**
 * Creates the answer before its first message.
 * @example createAnswer(0, 1)
 */
export function createAnswer (skip: number, preludes: number): Answer {
  return { skip, preludes, held: [], heldBytes: 0, refused: false }
}

/**
 * Takes the next message of the database into the answer.
 * @example takeMessage(answer, message).status // 'idle' at the end
 * @throws RangeError when the message belongs to no answer: the connection is of no more use.
 */
export function takeMessage (answer: Answer, message: BackendMessage): AnswerStep {
  switch (message.code) {
    case BACKEND.parameterStatus: return { answer: takeParameter(answer, message) }
    case BACKEND.notice:
    case BACKEND.notification: return { answer }
    case BACKEND.ready: return takeReady(answer, message)
  }
  if (!ANSWERS.has(message.code)) throw new RangeError(`message type ${message.code} is no part of an answer`)
  if (answer.preludes > 0) return takePrelude(answer, message)
  if (answer.skip > 0 && (message.code === BACKEND.parseComplete || message.code === BACKEND.closeComplete)) {
    return { answer: { ...answer, skip: answer.skip - 1 } }
  }
  const holds = answer.held.length > 0 || message.code === BACKEND.commandComplete || message.code === BACKEND.error
  return holds ? { answer: holdBack(answer, message) } : { answer, pass: message.bytes }
}

// Without its settings the connection would run the request in another name.
function takePrelude (answer: Answer, message: BackendMessage): AnswerStep {
  if (message.code === BACKEND.error) throw new RangeError('the settings of the connection were refused')
  return { answer }
}

function holdBack (answer: Answer, message: BackendMessage): Answer {
  const heldBytes = answer.heldBytes + message.bytes.length
  if (heldBytes > MAX_HELD_BYTES) throw new RangeError('the answers of several statements are too large')
  const refused = answer.refused || (answer.held.length === 0 && message.code === BACKEND.error && readSqlState(message) === READ_ONLY_STATE)
  return { ...answer, refused, heldBytes, held: [...answer.held, message.bytes] }
}

function takeReady (answer: Answer, message: BackendMessage): AnswerStep {
  if (answer.preludes > 0) return { answer: { ...answer, preludes: answer.preludes - 1 } }
  const status = STATUSES[String.fromCharCode(message.bytes[HEADER_BYTES] ?? 0)]
  if (status === undefined) throw new RangeError('the state of the transaction can not be read')
  return { answer, status }
}

function takeParameter (answer: Answer, message: BackendMessage): Answer {
  const [name, value] = readStrings(message)
  if (name !== POSITION_PARAMETER || value === undefined) return answer
  return { ...answer, position: parsePosition(value) ?? answer.position }
}

/**
 * Reads a position written as TERM/OFFSET.
 * @example parsePosition('2/40') // { term: 2, offset: 40 }
 */
export function parsePosition (text: string): LogPosition | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text)
  return match === null ? undefined : { term: Number(match[1]), offset: Number(match[2]) }
}

/** Reads the answer to one request: what goes on at once, and what is held back to its end. */
import type { LogPosition } from '../../core/position.js'
import type { TransactionStatus } from '../../requests/messages.js'
import { BACKEND, HEADER_BYTES } from './codes.js'
import { readSqlState, readStrings, type BackendMessage } from './framing.js'

/** The parameter in which a database reports its position after a write. */
export const POSITION_PARAMETER = 'fulmartally.position'
const READ_ONLY_STATE = '25006'
const STATUSES: Readonly<Record<string, TransactionStatus>> = { I: 'idle', T: 'open', E: 'failed' }

/** How far an answer has come. */
export interface Answer {
  /** ParseComplete and CloseComplete messages still to be left out. */
  readonly skip: number
  /** Answers of statements that the driver sent ahead, still to be left out whole. */
  readonly preludes: number
  /** From the first completed command on: the acknowledgement. */
  readonly held: readonly Buffer[]
  readonly position?: LogPosition
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
  return { skip, preludes, held: [], refused: false }
}

/**
 * Takes the next message of the database into the answer.
 * @example takeMessage(answer, message).status // 'idle' at the end
 */
export function takeMessage (answer: Answer, message: BackendMessage): AnswerStep {
  switch (message.code) {
    case BACKEND.parameterStatus: return { answer: takeParameter(answer, message) }
    case BACKEND.notice: return { answer }
    case BACKEND.ready: return takeReady(answer, message)
  }
  if (answer.preludes > 0) return { answer }
  if (answer.skip > 0 && (message.code === BACKEND.parseComplete || message.code === BACKEND.closeComplete)) {
    return { answer: { ...answer, skip: answer.skip - 1 } }
  }
  const refused = answer.refused || (message.code === BACKEND.error && readSqlState(message) === READ_ONLY_STATE)
  const holds = answer.held.length > 0 || message.code === BACKEND.commandComplete || message.code === BACKEND.error
  return holds ? { answer: { ...answer, refused, held: [...answer.held, message.bytes] } } : { answer, pass: message.bytes }
}

function takeReady (answer: Answer, message: BackendMessage): AnswerStep {
  if (answer.preludes > 0) return { answer: { ...answer, preludes: answer.preludes - 1 } }
  return { answer, status: STATUSES[String.fromCharCode(message.bytes[HEADER_BYTES] ?? 0)] ?? 'failed' }
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

/** What the protocols of callers differ in, for random schedules of their sessions. */
import type { Socket } from 'node:net'
import type { HostPost } from '../../src/messages.js'
import type { TransactionStatus } from '../../src/requests/messages.js'
import type { SimulatedClock } from './simulatedclock.js'
import type { HostedSession } from './simulatedhost.js'
import type { EncodeAnswer } from './simulatedowner.js'

/** What a caller sends behind a statement that was not answered yet. */
export type Tail = 'close' | 'malformed' | 'overlong'

/** A statement of a caller: one that the session answers itself, or one that it passes on. */
export type StatementText = 'BEGIN' | 'COMMIT' | 'ROLLBACK' | 'READ' | 'WRITE' | 'LOCAL'

/** A complete answer. */
export interface ObservedAnswer {
  readonly status: TransactionStatus
  /** True when it tells of a success or an error. */
  readonly hasOutcome: boolean
  /** The code of an error; absent after a success. */
  readonly error?: string
  /** True when the answer tells that nothing of the statement and its transaction is kept. */
  readonly notKept: boolean
  /** True for an error that is an answer by itself and ends the connection: a caller with a statement on its way takes it for the answer. */
  readonly last: boolean
}

/** Reads what a session writes. */
export abstract class AnswerReader {
  /** True while an answer is incomplete. */
  abstract readonly hasPart: boolean

  /** Adds bytes and returns the answers that are complete. */
  abstract read (bytes: Buffer): readonly ObservedAnswer[]
}

/** The dependencies of a session. */
export interface SessionParts {
  readonly caller: string
  readonly socket: Socket
  readonly post: HostPost
  readonly clock: SimulatedClock
}

/** A protocol by which a caller speaks to a session. */
export abstract class CallerProtocol {
  /** Encodes the answer of a database. */
  abstract readonly encodeAnswer: EncodeAnswer
  /** Returns the id of a statement. */
  abstract readonly readId: (payload: Uint8Array) => string

  abstract createSession (parts: SessionParts): HostedSession
  abstract createReader (): AnswerReader
  /** Encodes what opens a session. */
  abstract encodeStart (): Buffer
  abstract encodeStatement (id: string, text: StatementText): Buffer
  abstract encodeTail (tail: Tail): Buffer
  /** Returns bytes as the socket emits them. */
  abstract decodeChunk (bytes: Buffer): unknown
}

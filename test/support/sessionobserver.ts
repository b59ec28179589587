/** The caller's end of a session's connection in simulated time: checks what the session writes, in the moment in which it does. */
import { EventEmitter } from 'node:events'
import type { TransactionStatus } from '../../src/requests/messages.js'
import type { AnswerReader, ObservedAnswer, StatementText } from './callerprotocol.js'
import type { SimulatedHost } from './simulatedhost.js'

/** How a session ended its connection: by destroying the socket, or by ending it behind a last text or alone. */
export type Ending = 'destroyed' | 'with text' | 'alone'
type OnFinished = (ending: Ending) => void

/** What a session needs of a socket. */
export class SimulatedSocket extends EventEmitter {
  readonly writableLength = 0
  readonly #onWrite: (bytes: Buffer) => void
  readonly #onFinished: OnFinished
  #finished = false
  #destroyed = false

  private constructor (onWrite: (bytes: Buffer) => void, onFinished: OnFinished) {
    super()
    this.#onWrite = onWrite
    this.#onFinished = onFinished
  }

  static create (onWrite: (bytes: Buffer) => void, onFinished: OnFinished): SimulatedSocket {
    return new SimulatedSocket(onWrite, onFinished)
  }

  /** True once the session has ended the connection. */
  get finished (): boolean {
    return this.#finished
  }

  /** True once it neither sends nor receives. */
  get destroyed (): boolean {
    return this.#destroyed
  }

  /** True once the session may write no more. */
  get writableEnded (): boolean {
    return this.#finished
  }

  setEncoding (): void {}
  readonly pause = (): void => {}
  resume (): void {}

  write (text: string | Uint8Array): boolean {
    this.#onWrite(Buffer.from(text as string))
    return true
  }

  end (text: string | Uint8Array = ''): void {
    if (text.length > 0) this.write(text)
    this.#finish(text.length === 0 ? 'alone' : 'with text')
  }

  readonly destroy = (): void => {
    this.#destroyed = true
    this.#finish('destroyed')
  }

  #finish (ending: Ending): void {
    if (this.#finished) return
    this.#finished = true
    this.#onFinished(ending)
  }
}

/** A statement of the caller. */
export interface SentStatement {
  readonly id: string
  readonly text: StatementText
  /** The number of its transaction; absent for a single statement. */
  readonly transaction?: number
}

/** The dependencies of an observer. */
export interface ObserverParts {
  readonly host: SimulatedHost
  readonly reader: AnswerReader
  /** Called with each complete answer. */
  readonly onAnswer: (answer: ObservedAnswer) => void
  /** Called when the session ends the connection. */
  readonly onFinished: OnFinished
  readonly onWritten: () => void
}

/** Records what violates the guarantees to a caller that sends one statement at a time. */
export class SessionObserver {
  readonly socket = SimulatedSocket.create(bytes => this.#handleWrite(bytes), ending => this.#handleEnd(ending))
  readonly #parts: ObserverParts
  readonly #violations: string[] = []
  readonly #answers = new Map<SentStatement, ObservedAnswer>()
  #unanswered: SentStatement | undefined
  #started = false
  #status: TransactionStatus = 'idle'

  private constructor (parts: ObserverParts) {
    this.#parts = parts
  }

  static create (parts: ObserverParts): SessionObserver {
    return new SessionObserver(parts)
  }

  get violations (): readonly string[] {
    return this.#violations
  }

  /** Number of statements that were answered. */
  get answered (): number {
    return this.#answers.size
  }

  /** Adds the statement whose last piece the session is about to read; nothing if it has ended the connection. */
  expectAnswer (statement: SentStatement): void {
    if (!this.socket.finished) this.#unanswered = statement
  }

  /** True if the session read this statement before it ended the connection. */
  isRead (statement: SentStatement): boolean {
    return this.#unanswered === statement || this.#answers.has(statement)
  }

  /** Adds the answer to a statement that the session did not read before it ended the connection with that answer. */
  addCrossedAnswer (statement: SentStatement, answer: ObservedAnswer): void {
    if (!this.#answers.has(statement)) this.#answers.set(statement, answer)
  }

  report (violation: string): void {
    this.#violations.push(violation)
  }

  /** Checks what is known only at the end of a run: which statements the owner ran and kept. */
  checkOutcomes (): void {
    const { host } = this.#parts
    if (this.#started && host.keyWithdrawn && !this.socket.finished) this.report('a withdrawn key kept its connection')
    const answers = [...this.#answers]
    const revoked = new Set(answers.flatMap(([{ transaction }, { notKept }]) => (notKept && transaction !== undefined ? [transaction] : [])))
    for (const [statement, { error, notKept }] of answers) {
      const promised = notKept || (statement.transaction !== undefined && revoked.has(statement.transaction))
      this.#checkOutcome(statement, error, promised)
    }
  }

  #checkOutcome ({ id, text, transaction }: SentStatement, error: string | undefined, promised: boolean): void {
    const { owner } = this.#parts.host
    const runs = owner.countRuns(id)
    if (promised && owner.isKept(id)) this.report('kept, although its caller was told that it was not')
    if (runs > 1) this.report('ran twice')
    if (error !== undefined || text === 'LOCAL' || text === 'ROLLBACK') return
    if (runs === 0) this.report('answered, although it did not run')
    if ((transaction === undefined || text === 'COMMIT') && !owner.isKept(id)) this.report('acknowledged, and not kept')
  }

  #handleWrite (bytes: Buffer): void {
    if (this.socket.finished) this.report('something was written after the end')
    for (const answer of this.#parts.reader.read(bytes)) this.#handleAnswer(answer)
    this.#parts.onWritten()
  }

  #handleAnswer (answer: ObservedAnswer): void {
    const statement = this.#unanswered
    this.#unanswered = undefined
    if (statement !== undefined) this.#checkAnswer(statement, answer)
    else if (this.#started && !answer.last) this.report('an answer to no statement')
    this.#started ||= !answer.last
    this.#status = answer.status
    this.#parts.onAnswer(answer)
  }

  // The slices don't know of the statements that a session answers itself, so their answers repeat the last state.
  #checkAnswer (statement: SentStatement, answer: ObservedAnswer): void {
    this.#answers.set(statement, answer)
    const { status, error, hasOutcome } = answer
    if (!hasOutcome) this.report('an answer without an outcome')
    const held = this.#parts.host.owner.status
    const agrees = statement.text === 'LOCAL' && error === undefined ? status === this.#status : status === 'failed' ? held !== 'open' : status === held
    if (!agrees) this.report(`answered as ${status} while its transaction is ${held}`)
  }

  #handleEnd (ending: Ending): void {
    if (this.#unanswered !== undefined) this.report(this.#parts.reader.hasPart ? 'read, and answered in part' : 'read, and not answered')
    this.#parts.onFinished(ending)
  }
}

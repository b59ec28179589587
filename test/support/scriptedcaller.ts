/** A caller in simulated time that sends one statement at a time: single ones, transactions with pauses, session state. */
import type { CallerProtocol, ObservedAnswer, StatementText, Tail } from './callerprotocol.js'
import type { SimulatedClock } from './simulatedclock.js'
import { IDLE_TRANSACTION_MS, type SimulatedHost } from './simulatedhost.js'
import { SessionObserver, type Ending, type SentStatement } from './sessionobserver.js'

/** The longest time between an answer and the next statement, well below the idle limits. */
const MAX_PAUSE_MS = 400
const MAX_LINK_MS = 3
const MAX_TAIL_DELAY_MS = 50
const OPERATIONS = 6
const MAX_TRANSACTION_STATEMENTS = 4
const SILENT_SHARE = 0.02

/** The dependencies of a caller. */
export interface ScriptedCallerParts {
  readonly clock: SimulatedClock
  readonly random: () => number
  readonly host: SimulatedHost
  readonly protocol: CallerProtocol
  /** Called before and after the session reads each piece, and after each of its writes: the moments at which an end can cross a statement. */
  readonly onMoment: () => void
  /** Sent behind the statement of this number. */
  readonly tail?: { readonly kind: Tail, readonly behind: number }
}

/** Sends statements until its operations are over or its connection has ended. */
export class ScriptedCaller {
  readonly observer: SessionObserver
  readonly #parts: ScriptedCallerParts
  readonly #allowedEnds: string[] = []
  /** The statement that waits for its answer. */
  #pending: SentStatement | undefined
  #status: ObservedAnswer['status'] = 'idle'
  #leaving = false
  #ended = false
  #answeredAtMs = 0
  #sent = 0
  #operations = 0
  #transactions = 0
  #inTransaction = false
  /** Statements that the transaction still sends before its end. */
  #remaining = 0
  #uplinkBusyUntilMs = 0
  #downlinkBusyUntilMs = 0

  private constructor (parts: ScriptedCallerParts) {
    this.#parts = parts
    this.observer = SessionObserver.create({
      host: parts.host,
      reader: parts.protocol.createReader(),
      onAnswer: answer => this.#schedule('down', () => this.#receive(answer)),
      onFinished: ending => this.#finish(ending),
      onWritten: parts.onMoment
    })
  }

  static create (parts: ScriptedCallerParts): ScriptedCaller {
    return new ScriptedCaller(parts)
  }

  /** The ends that are allowed although they came amid an operation. */
  get allowedEnds (): readonly string[] {
    return this.#allowedEnds
  }

  start (): void {
    this.#sendPieces(this.#parts.protocol.encodeStart())
  }

  // Both directions of the connection keep their order.
  #schedule (direction: 'up' | 'down', run: () => void): void {
    const { clock, random } = this.#parts
    const atMs = Math.max(clock.nowMs + random() * MAX_LINK_MS, direction === 'up' ? this.#uplinkBusyUntilMs : this.#downlinkBusyUntilMs)
    if (direction === 'up') this.#uplinkBusyUntilMs = atMs
    else this.#downlinkBusyUntilMs = atMs
    clock.schedule(atMs - clock.nowMs, run)
  }

  #sendPieces (bytes: Buffer, statement?: SentStatement, tail: Buffer = Buffer.alloc(0)): void {
    const { random } = this.#parts
    const split = random() < 0.5 ? 0 : Math.floor(random() * bytes.length)
    const pieces = split === 0 ? [Buffer.concat([bytes, tail])] : [bytes.subarray(0, split), Buffer.concat([bytes.subarray(split), tail])]
    for (const [index, piece] of pieces.entries()) {
      const last = index === pieces.length - 1
      this.#schedule('up', () => this.#deliver(piece, last ? statement : undefined))
    }
  }

  #deliver (piece: Buffer, statement: SentStatement | undefined): void {
    const { socket } = this.observer
    if (socket.destroyed) return
    this.#parts.onMoment()
    if (statement !== undefined) this.observer.expectAnswer(statement)
    socket.emit('data', this.#parts.protocol.decodeChunk(piece))
    this.#parts.onMoment()
  }

  #receive (answer: ObservedAnswer): void {
    const { clock, random } = this.#parts
    // A driver gives it to no statement, so it ends no transaction for its caller.
    if (answer.last && this.#pending === undefined) return
    if (answer.last) this.observer.addCrossedAnswer(this.#pending!, answer)
    this.#pending = undefined
    this.#status = answer.status
    this.#answeredAtMs = clock.nowMs
    if (answer.status === 'idle') this.#inTransaction = false
    if (this.#leaving || answer.last || random() < SILENT_SHARE) return
    clock.schedule(random() < 0.4 ? 0 : random() * MAX_PAUSE_MS, () => this.#sendNext())
  }

  #sendNext (): void {
    if (this.#ended || this.#leaving) return
    const text = this.#chooseText()
    if (text === undefined) return this.#endOperations()
    if (text === 'BEGIN') {
      this.#inTransaction = true
      this.#transactions += 1
    }
    const statement: SentStatement = {
      id: `q${++this.#sent}`,
      text,
      transaction: this.#inTransaction ? this.#transactions : undefined
    }
    this.#pending = statement
    this.#send(statement)
  }

  #send (statement: SentStatement): void {
    const { random, tail, protocol } = this.#parts
    const bytes = protocol.encodeStatement(statement.id, statement.text)
    if (tail?.behind !== this.#sent) return this.#sendPieces(bytes, statement)
    this.#leaving = true
    const tailBytes = protocol.encodeTail(tail.kind)
    if (random() < 0.5) return this.#sendPieces(bytes, statement, tailBytes)
    this.#sendPieces(bytes, statement)
    this.#parts.clock.schedule(random() * MAX_TAIL_DELAY_MS, () => this.#schedule('up', () => this.#deliver(tailBytes, undefined)))
  }

  #endOperations (): void {
    this.#leaving = true
    if (this.#parts.random() < 0.5) this.#sendPieces(this.#parts.protocol.encodeTail('close'))
  }

  #chooseText (): StatementText | undefined {
    const { random } = this.#parts
    if (this.#status === 'failed') return random() < 0.2 ? 'READ' : random() < 0.3 ? 'COMMIT' : 'ROLLBACK'
    if (this.#status === 'open') return this.#chooseInTransaction()
    this.#operations += 1
    if (this.#operations > OPERATIONS) return undefined
    const choice = random()
    if (choice < 0.5) {
      this.#remaining = 1 + Math.floor(random() * MAX_TRANSACTION_STATEMENTS)
      return 'BEGIN'
    }
    return choice < 0.9 ? this.#chooseStatement() : 'LOCAL'
  }

  #chooseInTransaction (): StatementText {
    const { random } = this.#parts
    if (this.#remaining === 0) return random() < 0.75 ? 'COMMIT' : 'ROLLBACK'
    this.#remaining -= 1
    return random() < 0.1 ? 'LOCAL' : this.#chooseStatement()
  }

  #chooseStatement (): StatementText {
    return this.#parts.random() < 0.5 ? 'READ' : 'WRITE'
  }

  // A destroyed socket closes at once, an ended one as soon as the caller closes, too.
  #finish (ending: Ending): void {
    const { clock } = this.#parts
    const close = (): void => { this.observer.socket.emit('close') }
    const handleEnd = (): void => {
      this.#handleEnd()
      if (ending !== 'destroyed') this.#schedule('up', close)
    }
    if (ending === 'destroyed') clock.schedule(0, close)
    this.#schedule('down', handleEnd)
  }

  // A caller takes the end of its connection for a failure unless it asked for it, or waits for nothing outside of a transaction.
  #handleEnd (): void {
    const { clock, host } = this.#parts
    this.#ended = true
    if (this.#pending !== undefined && !this.observer.isRead(this.#pending)) {
      if (host.stopping) this.#allowedEnds.push('a stop crossed a statement on its way')
      else this.observer.report('ended while a statement was on its way')
    } else if (this.#pending === undefined && this.#status !== 'idle' && !this.#leaving) {
      const silentMs = clock.nowMs - this.#answeredAtMs
      if (host.ending) this.#allowedEnds.push('the end of a stop cut an idle transaction')
      else if (silentMs < IDLE_TRANSACTION_MS - MAX_LINK_MS) this.observer.report('ended in a transaction')
    }
  }
}

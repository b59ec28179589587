/** The platform's wire protocol, for random schedules of its sessions. */
import { collectLine } from '../../platform/answer.js'
import { CallerSession } from '../../platform/caller.js'
import { formatLines } from '../../platform/lines.js'
import { decodePayload } from '../../platform/statement.js'
import { AnswerReader, CallerProtocol, type ObservedAnswer, type SessionParts, type StatementText, type Tail } from './callerprotocol.js'
import type { HostedSession } from './simulatedhost.js'

/** Codes that promise nothing about the effect of a statement. */
const UNKNOWN_CODES: readonly string[] = ['INDOUBT', 'FAILED']
/** Longer than the longest line of the protocol. */
const OVERLONG_LINE = 'x'.repeat(1_048_580)
const TEXT_BY_TAIL: Readonly<Record<Tail, string>> = { close: formatLines('CLOSE'), malformed: formatLines('PLEASE'), overlong: OVERLONG_LINE }
const LETTERS = { idle: 'I', open: 'T', failed: 'E' } as const
const QUERY_BY_TEXT: Readonly<Record<StatementText, string>> = { BEGIN: 'BEGIN', COMMIT: 'COMMIT', ROLLBACK: 'ROLLBACK', READ: 'READ a', WRITE: 'WRITE a one', LOCAL: 'SET colour red' }
const OTHER_LOCAL_QUERY = 'PREPARE s READ shape'

/** Reads lines; an answer is complete with READY behind DONE or ERROR. */
class LineAnswerReader extends AnswerReader {
  #lines: readonly string[] = []

  get hasPart (): boolean {
    return this.#lines.length > 0
  }

  read (bytes: Buffer): readonly ObservedAnswer[] {
    return bytes.toString().split('\r\n').slice(0, -1).flatMap(line => this.#readLine(line))
  }

  #readLine (line: string): readonly ObservedAnswer[] {
    const answer = collectLine(this.#lines, line)
    if (answer === undefined) {
      this.#lines = [...this.#lines, line]
      return []
    }
    this.#lines = []
    const { status, error, lines } = answer
    const hasOutcome = /^(DONE|ERROR) /.test(lines[lines.length - 1] ?? '')
    return [{ status, error, hasOutcome, notKept: error !== undefined && !UNKNOWN_CODES.includes(error), last: false }]
  }
}

/** Speaks the wire protocol. */
export class WireProtocol extends CallerProtocol {
  static create (): WireProtocol {
    return new WireProtocol()
  }

  readonly encodeAnswer: CallerProtocol['encodeAnswer'] = (error, status) =>
    Buffer.from(formatLines(error === undefined ? 'DONE d' : `ERROR ${error} a1`, `READY ${LETTERS[status]} 1.1`))

  readonly readId = (payload: Uint8Array): string => decodePayload(payload).id

  createSession ({ clock, ...parts }: SessionParts): HostedSession {
    return CallerSession.create({ ...parts, runAfterReading: run => clock.schedule(0, run) })
  }

  createReader (): AnswerReader {
    return new LineAnswerReader()
  }

  encodeStart (): Buffer {
    return Buffer.from(formatLines('START orders key-1'))
  }

  encodeStatement (id: string, text: StatementText): Buffer {
    const query = text === 'LOCAL' && id.endsWith('2') ? OTHER_LOCAL_QUERY : QUERY_BY_TEXT[text]
    return Buffer.from(formatLines(`QUERY ${id} ${query}`))
  }

  encodeTail (tail: Tail): Buffer {
    return Buffer.from(TEXT_BY_TAIL[tail])
  }

  decodeChunk (bytes: Buffer): string {
    return bytes.toString()
  }
}

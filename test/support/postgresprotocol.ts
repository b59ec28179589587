/** The PostgreSQL protocol, for random schedules of its connections. */
import { serialize } from 'pg-protocol'
import { BACKEND, HEADER_BYTES } from '../../src/databases/postgres/codes.js'
import { readStrings, splitMessages, type BackendMessage } from '../../src/databases/postgres/framing.js'
import { decodePayload } from '../../src/databases/postgres/payload.js'
import { CallerConnection } from '../../src/frontends/postgres/connection.js'
import { encodeComplete, encodeFailure } from '../../src/frontends/postgres/encode.js'
import { createFailure } from '../../src/core/errors.js'
import { AnswerReader, CallerProtocol, type ObservedAnswer, type SessionParts, type StatementText, type Tail } from './callerprotocol.js'
import type { HostedSession } from './simulatedhost.js'

const MESSAGE_BYTES = 65_536
const STATUS_BY_LETTER = { I: 'idle', T: 'open', E: 'failed' } as const
const SQL_BY_TEXT: Readonly<Record<StatementText, string>> = {
  BEGIN: 'BEGIN',
  COMMIT: 'COMMIT',
  ROLLBACK: 'ROLLBACK',
  READ: 'SELECT a FROM t',
  WRITE: 'INSERT INTO t VALUES (1)',
  LOCAL: "SET fulmartally.route = 'r'"
}
/** The header of a message that is longer than the limit, and one of an unknown type. */
const OVERLONG_HEADER = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff])
const UNKNOWN_MESSAGE = Buffer.from([0x21, 0, 0, 0, 4])

/** Reads messages; an answer is complete with ReadyForQuery, or with a fatal error. */
class MessageAnswerReader extends AnswerReader {
  #incomplete: Buffer = Buffer.alloc(0)
  #messages: readonly BackendMessage[] = []

  get hasPart (): boolean {
    return this.#messages.length > 0 || this.#incomplete.length > 0
  }

  read (bytes: Buffer): readonly ObservedAnswer[] {
    const framed = splitMessages(Buffer.concat([this.#incomplete, bytes]), MESSAGE_BYTES)
    this.#incomplete = framed.incomplete
    return framed.messages.flatMap(message => this.#readMessage(message))
  }

  #readMessage (message: BackendMessage): readonly ObservedAnswer[] {
    const fields = message.code === BACKEND.error ? readStrings(message) : []
    const fatal = fields.includes('SFATAL')
    if (message.code !== BACKEND.ready && !fatal) {
      if (message.code === BACKEND.error || message.code === BACKEND.commandComplete) this.#messages = [...this.#messages, message]
      return []
    }
    const answered = fatal ? message : this.#messages.find(({ code }) => code === BACKEND.error) ?? this.#messages[0]
    this.#messages = []
    const status = fatal ? 'idle' : STATUS_BY_LETTER[String.fromCharCode(message.bytes[HEADER_BYTES]!) as 'I' | 'T' | 'E']
    return [{ status, last: fatal, hasOutcome: answered !== undefined, ...describeMessage(answered) }]
  }
}

// A COMMIT that the database answers with ROLLBACK kept nothing.
function describeMessage (message: BackendMessage | undefined): Pick<ObservedAnswer, 'error' | 'notKept'> {
  if (message === undefined) return { notKept: false }
  const fields = readStrings(message)
  if (message.code === BACKEND.commandComplete) return fields[0] === 'ROLLBACK' ? { error: 'ROLLBACK', notKept: true } : { notKept: false }
  return { error: fields.find(field => field.startsWith('C')) ?? 'none', notKept: fields.includes('Dnot run') }
}

/** Speaks the PostgreSQL protocol. */
export class PostgresProtocol extends CallerProtocol {
  static create (): PostgresProtocol {
    return new PostgresProtocol()
  }

  readonly encodeAnswer: CallerProtocol['encodeAnswer'] = error => {
    if (error === 'FAILED') return encodeFailure(createFailure('outcome-unknown', 'the statement failed'), 'ERROR')
    return encodeComplete(error === 'ABORTED' ? 'ROLLBACK' : 'DONE')
  }

  readonly readId = (payload: Uint8Array): string => /request='(\w+)'/.exec(Buffer.from(decodePayload(payload).messages).toString())![1]!

  createSession ({ caller, socket, post }: SessionParts): HostedSession {
    return CallerConnection.create({ caller, socket, post, messageBytes: MESSAGE_BYTES })
  }

  createReader (): AnswerReader {
    return new MessageAnswerReader()
  }

  encodeStart (): Buffer {
    return Buffer.concat([serialize.startup({ user: 'parish', database: 'rota' }), serialize.password('key-1')])
  }

  encodeStatement (id: string, text: StatementText): Buffer {
    return Buffer.from(serialize.query(text === 'LOCAL' ? SQL_BY_TEXT[text] : `/*request='${id}'*/ ${SQL_BY_TEXT[text]}`))
  }

  encodeTail (tail: Tail): Buffer {
    if (tail === 'close') return Buffer.from(serialize.end())
    return tail === 'overlong' ? OVERLONG_HEADER : UNKNOWN_MESSAGE
  }

  decodeChunk (bytes: Buffer): Buffer {
    return bytes
  }
}

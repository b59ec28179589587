/** One pooled connection to a PostgreSQL database. */
import { connect, type Socket } from 'node:net'
import { serialize } from 'pg-protocol'
import { splitAddress } from '../../core/address.js'
import type { HostPost } from '../../messages.js'
import type { Execute } from '../driver.js'
import { createAnswer, takeMessage, type Answer } from './answer.js'
import { BACKEND, HEADER_BYTES } from './codes.js'
import { readStrings, splitMessages, type BackendMessage } from './framing.js'
import { decodeWork } from './work.js'

const AUTHENTICATION_OK = 0
/** Bytes of an answer that may be under way to the caller. */
const WINDOW_BYTES = 262_144
/** Largest message that a database may send. */
const MAX_MESSAGE_BYTES = 64 * 1_048_576
/** How long a connection may take to open. */
const CONNECT_TIMEOUT_MS = 1_000
const WORKSPACE_SETTING = 'fulmartally.workspace'
const READ_ONLY_SETTING = 'default_transaction_read_only'

/** What a connection is made of. */
export interface DatabaseConnectionParts {
  readonly connection: string
  readonly address: string
  readonly user: string
  readonly post: HostPost
}

/** Runs one request at a time on one connection. */
export class DatabaseConnection {
  readonly #parts: DatabaseConnectionParts
  readonly #socket: Socket
  #ready = false
  #ended = false
  #rest: Buffer = Buffer.alloc(0)
  #answer: Answer | undefined
  /** What the settings of the connection say at present. */
  #settings: string | undefined
  readonly #opening: NodeJS.Timeout
  #failure = 'the connection was closed'
  #underWay = 0

  private constructor (parts: DatabaseConnectionParts) {
    this.#parts = parts
    const [ip, port] = splitAddress(parts.address)
    this.#socket = connect({ host: ip, port, noDelay: true })
    this.#opening = setTimeout(() => this.#fail('the database does not answer'), CONNECT_TIMEOUT_MS)
    this.#socket.on('connect', () => this.#socket.write(serialize.startup({ user: parts.user, database: 'postgres' })))
    this.#socket.on('data', chunk => this.#read(chunk))
    this.#socket.on('error', error => { this.#failure = error.message })
    this.#socket.on('close', () => this.#end())
  }

  /**
   * Creates a connection and starts to open it.
   * @example DatabaseConnection.create({ connection: 'db-1#1', address: '127.0.0.1:5432', user: 'fulmartally', post })
   */
  static create (parts: DatabaseConnectionParts): DatabaseConnection {
    return new DatabaseConnection(parts)
  }

  /** Runs a request in the name of a workspace. */
  execute (work: Execute): void {
    const { skip, messages } = decodeWork(work.payload)
    const settings = formatSettings(work)
    const preludes = settings === this.#settings ? 0 : 1
    this.#settings = settings
    this.#answer = createAnswer(skip, preludes)
    this.#underWay = 0
    this.#socket.resume()
    this.#socket.write(preludes === 0 ? messages : Buffer.concat([serialize.query(settings), messages]))
  }

  /** Allows more of the answer after the caller took in a part of it. */
  grantCredit (bytes: number): void {
    this.#underWay = Math.max(0, this.#underWay - bytes)
    if (this.#underWay < WINDOW_BYTES) this.#socket.resume()
  }

  /** Closes the connection without another message. */
  close (): void {
    this.#ended = true
    clearTimeout(this.#opening)
    this.#socket.destroy()
  }

  #read (chunk: Buffer): void {
    try {
      const framed = splitMessages(this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]), MAX_MESSAGE_BYTES)
      this.#rest = framed.rest
      this.#takeAll(framed.messages)
    } catch (error) {
      this.#fail(error instanceof Error ? error.message : String(error))
    }
  }

  #fail (failure: string): void {
    this.#failure = failure
    this.#socket.destroy()
  }

  #takeAll (messages: readonly BackendMessage[]): void {
    const passed: Buffer[] = []
    for (const message of messages) {
      if (this.#ready) this.#takeOne(message, passed)
      else this.#takeStartup(message)
    }
    this.#passOn(passed)
  }

  #takeStartup (message: BackendMessage): void {
    const { connection, post } = this.#parts
    if (message.code === BACKEND.error) {
      this.#fail(readStrings(message).find(field => field.startsWith('M'))?.slice(1) ?? 'refused')
    } else if (message.code === BACKEND.authentication && message.bytes.readInt32BE(HEADER_BYTES) !== AUTHENTICATION_OK) {
      this.#fail('the database asks for a password')
    } else if (message.code === BACKEND.ready) {
      this.#ready = true
      clearTimeout(this.#opening)
      post({ kind: 'transactions/opened', connection })
    }
  }

  #takeOne (message: BackendMessage, passed: Buffer[]): void {
    if (this.#answer === undefined) {
      if (message.code === BACKEND.parameterStatus || message.code === BACKEND.notice) return
      throw new RangeError('the database answers what was not asked')
    }
    const step = takeMessage(this.#answer, message)
    this.#answer = step.answer
    if (step.pass !== undefined) passed.push(step.pass)
    if (step.status === undefined) return
    this.#passOn(passed.splice(0))
    const { held, position, refused } = step.answer
    this.#answer = undefined
    this.#parts.post({ kind: 'transactions/finished', connection: this.#parts.connection, status: step.status, position, refused, payload: Buffer.concat(held) })
  }

  #passOn (passed: readonly Buffer[]): void {
    if (passed.length === 0) return
    const payload = Buffer.concat(passed)
    this.#underWay += payload.length
    if (this.#underWay >= WINDOW_BYTES) this.#socket.pause()
    this.#parts.post({ kind: 'transactions/output', connection: this.#parts.connection, payload })
  }

  #end (): void {
    if (this.#ended) return
    this.#ended = true
    clearTimeout(this.#opening)
    const { connection, post } = this.#parts
    if (this.#ready) post({ kind: 'transactions/broken', connection })
    else post({ kind: 'transactions/open-failed', connection, text: this.#failure })
  }
}

// The names have passed admission, which knows none with a quote.
function formatSettings (work: Execute): string {
  const named = `${work.service}/${work.workspace ?? ''}`.replaceAll("'", "''")
  return `SELECT set_config('${WORKSPACE_SETTING}', '${named}', false), set_config('${READ_ONLY_SETTING}', '${work.readOnly ? 'on' : 'off'}', false)`
}

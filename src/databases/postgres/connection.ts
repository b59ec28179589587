/** One pooled connection to a PostgreSQL database. */
import type { Socket } from 'node:net'
import { serialize } from 'pg-protocol'
import { openSocket } from '../socket.js'
import type { HostPost } from '../../messages.js'
import type { ExecuteRequest } from '../driver.js'
import { createAnswer, processMessage, type Answer } from './answer.js'
import { BACKEND, HEADER_BYTES } from './codes.js'
import { readStrings, splitMessages, type BackendMessage } from './framing.js'
import { decodePayload } from './payload.js'

const AUTHENTICATION_OK = 0
/** Bytes of an answer that may be in flight to the caller before reading from the database pauses. */
const FLOW_CONTROL_WINDOW_BYTES = 262_144
/** The largest message that a database may send. */
const MAX_MESSAGE_BYTES = 64 * 1_048_576
/** Covers the TCP connect and the startup. */
const CONNECT_TIMEOUT_MS = 1_000
const WORKSPACE_SETTING = 'fulmartally.workspace'
const READ_ONLY_SETTING = 'default_transaction_read_only'

/** The dependencies of a connection. */
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
  #incomplete: Buffer = Buffer.alloc(0)
  #answer: Answer | undefined
  /** The statement that set the connection's current session settings. */
  #settings: string | undefined
  readonly #connectTimer: NodeJS.Timeout
  #failureReason = 'the connection was closed'
  #inFlightBytes = 0

  private constructor (parts: DatabaseConnectionParts) {
    this.#parts = parts
    this.#socket = openSocket(parts.address)
    this.#connectTimer = setTimeout(() => this.#fail('the database did not answer in time'), CONNECT_TIMEOUT_MS)
    this.#socket.on('connect', () => this.#socket.write(serialize.startup({ user: parts.user, database: 'postgres' })))
    this.#socket.on('data', chunk => this.#receive(chunk))
    this.#socket.on('error', error => { this.#failureReason = error.message })
    this.#socket.on('close', () => this.#end())
  }

  /**
   * Creates a connection and starts to open it.
   * @example DatabaseConnection.create({ connection: 'db-1#1', address: '127.0.0.1:5432', user: 'fulmartally', post })
   */
  static create (parts: DatabaseConnectionParts): DatabaseConnection {
    return new DatabaseConnection(parts)
  }

  /** Runs a request on behalf of a workspace. */
  execute (request: ExecuteRequest): void {
    const { skipCount, messages } = decodePayload(request.payload)
    const settings = formatSettings(request)
    const preludeCount = settings === this.#settings ? 0 : 1
    this.#settings = settings
    this.#answer = createAnswer(skipCount, preludeCount)
    this.#inFlightBytes = 0
    this.#socket.resume()
    this.#socket.write(preludeCount === 0 ? messages : Buffer.concat([serialize.query(settings), messages]))
  }

  /** Grants flow-control credit after the caller has read a part of the answer. */
  grantCredit (bytes: number): void {
    this.#inFlightBytes = Math.max(0, this.#inFlightBytes - bytes)
    if (this.#inFlightBytes < FLOW_CONTROL_WINDOW_BYTES) this.#socket.resume()
  }

  /** Closes the connection; nothing is posted for it any more. */
  close (): void {
    this.#ended = true
    clearTimeout(this.#connectTimer)
    this.#socket.destroy()
  }

  #receive (chunk: Buffer): void {
    try {
      const framed = splitMessages(this.#incomplete.length === 0 ? chunk : Buffer.concat([this.#incomplete, chunk]), MAX_MESSAGE_BYTES)
      this.#incomplete = framed.incomplete
      this.#handleMessages(framed.messages)
    } catch (error) {
      this.#fail(error instanceof Error ? error.message : String(error))
    }
  }

  #fail (failure: string): void {
    this.#failureReason = failure
    this.#socket.destroy()
  }

  #handleMessages (messages: readonly BackendMessage[]): void {
    const outputs: Buffer[] = []
    for (const message of messages) {
      if (this.#ready) this.#handleAnswerMessage(message, outputs)
      else this.#handleStartupMessage(message)
    }
    this.#forwardOutput(outputs)
  }

  #handleStartupMessage (message: BackendMessage): void {
    const { connection, post } = this.#parts
    if (message.code === BACKEND.error) {
      this.#fail(readStrings(message).find(field => field.startsWith('M'))?.slice(1) ?? 'the database refused the connection')
    } else if (message.code === BACKEND.authentication && message.bytes.readInt32BE(HEADER_BYTES) !== AUTHENTICATION_OK) {
      this.#fail('the database asks for authentication, which the driver does not support')
    } else if (message.code === BACKEND.ready) {
      this.#ready = true
      clearTimeout(this.#connectTimer)
      post({ kind: 'transactions/opened', connection })
    }
  }

  #handleAnswerMessage (message: BackendMessage, outputs: Buffer[]): void {
    if (this.#answer === undefined) {
      if (message.code === BACKEND.parameterStatus || message.code === BACKEND.notice) return
      throw new RangeError('the database sent an answer without a request')
    }
    const step = processMessage(this.#answer, message)
    this.#answer = step.answer
    if (step.output !== undefined) outputs.push(step.output)
    if (step.status === undefined) return
    this.#forwardOutput(outputs.splice(0))
    const { held, position, refused } = step.answer
    this.#answer = undefined
    this.#parts.post({ kind: 'transactions/finished', connection: this.#parts.connection, status: step.status, position, refused, payload: Buffer.concat(held) })
  }

  #forwardOutput (outputs: readonly Buffer[]): void {
    if (outputs.length === 0) return
    const payload = Buffer.concat(outputs)
    this.#inFlightBytes += payload.length
    if (this.#inFlightBytes >= FLOW_CONTROL_WINDOW_BYTES) this.#socket.pause()
    this.#parts.post({ kind: 'transactions/output', connection: this.#parts.connection, payload })
  }

  #end (): void {
    if (this.#ended) return
    this.#ended = true
    clearTimeout(this.#connectTimer)
    const { connection, post } = this.#parts
    if (this.#ready) post({ kind: 'transactions/broken', connection })
    else post({ kind: 'transactions/open-failed', connection, text: this.#failureReason })
  }
}

// Admission accepts only known names, none of which contains a quote; quotes are doubled all the same.
function formatSettings (request: ExecuteRequest): string {
  const sessionName = `${request.service}/${request.workspace ?? ''}`.replaceAll("'", "''")
  return `SELECT set_config('${WORKSPACE_SETTING}', '${sessionName}', false), set_config('${READ_ONLY_SETTING}', '${request.readOnly ? 'on' : 'off'}', false)`
}

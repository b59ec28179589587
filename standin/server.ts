/** The stand-in's server, which speaks the PostgreSQL protocol to the proxy. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { State } from 'pg-gateway'
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js'
import { Writer } from 'pg-protocol/dist/buffer-writer.js'
import { BACKEND, FRONTEND, HEADER_BYTES } from '../src/databases/postgres/codes.js'
import { SerialProtocol } from '../src/frontends/postgres/protocol.js'
import { runControlCommand } from './control.js'
import { formatPosition, abortOnViolation, SqlError, type StandInDatabase } from './database.js'
import { StandInSession, type StatementResult } from './session.js'
import { StatementParser, type ParsedStatement } from './statement.js'

const CONTROL_USER = 'fulmartally_control'
const TEXT_OID = 25
const NULL_LENGTH = -1
const MAX_MESSAGE_BYTES = 16 * 1_048_576

/** The limits of a server. */
export interface ServerLimits {
  readonly connections: number
  /** The simulated time to open a connection. */
  readonly connectMs: number
  /** Texts that must never reach the database, such as callers' API keys. */
  readonly secrets: readonly string[]
}

/** Serves one stand-in database. */
export class StandInServer {
  readonly #database: StandInDatabase
  readonly #limits: ServerLimits
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  #connections = 0

  private constructor (database: StandInDatabase, limits: ServerLimits) {
    this.#database = database
    this.#limits = limits
    this.#server = createServer(socket => this.#accept(socket))
  }

  /**
   * Creates a server; call `listen` to accept connections.
   * @example StandInServer.create(database, { connections: 20, connectMs: 10, secrets: [] })
   */
  static create (database: StandInDatabase, limits: ServerLimits): StandInServer {
    return new StandInServer(database, limits)
  }

  /**
   * Listens on loopback and returns the address.
   * @throws Error when the port cannot be bound.
   */
  async listen (port: number): Promise<string> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, '127.0.0.1', resolve)
    })
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #accept (socket: Socket): void {
    socket.setNoDelay(true)
    this.#sockets.add(socket)
    socket.on('data', chunk => this.#checkSecrets(chunk))
    socket.on('error', () => socket.destroy())
    socket.on('close', () => this.#sockets.delete(socket))
    const connection: SerialProtocol = SerialProtocol.create(socket, {
      serverVersion: '16.0 (stand-in)',
      authMode: 'none',
      messageBytes: MAX_MESSAGE_BYTES,
      onStartup: async (state): Promise<boolean> => await this.#handleStartup(connection, state),
      onMessage: async (bytes, state): Promise<boolean> => state.isAuthenticated && await handler.handle(Buffer.from(bytes)),
      onRefuse: () => connection.socket.destroy()
    })
    const handler = MessageHandler.create(connection, this.#database)
  }

  async #handleStartup (connection: SerialProtocol, state: State): Promise<boolean> {
    if (state.clientInfo?.parameters.user === CONTROL_USER) return false
    if (this.#connections >= this.#limits.connections) {
      connection.sendError({ severity: 'FATAL', code: '53300', message: 'sorry, too many clients already' })
      connection.socket.end()
      return true
    }
    this.#connections += 1
    connection.socket.once('close', () => { this.#connections -= 1 })
    await new Promise(resolve => setTimeout(resolve, this.#limits.connectMs))
    return false
  }

  #checkSecrets (chunk: Buffer): void {
    for (const secret of this.#limits.secrets) {
      if (chunk.includes(secret)) abortOnViolation('an API key was sent to the database')
    }
  }
}

interface Portal {
  readonly statements: readonly ParsedStatement[]
  readonly parameters: ReadonlyArray<string | null>
  result?: StatementResult
}

class MessageHandler {
  readonly #connection: SerialProtocol
  readonly #database: StandInDatabase
  readonly #session: StandInSession
  readonly #prepared = new Map<string, readonly ParsedStatement[]>()
  #portal: Portal | undefined
  #skipsUntilSync = false

  private constructor (connection: SerialProtocol, database: StandInDatabase) {
    this.#connection = connection
    this.#database = database
    this.#session = StandInSession.create(database)
    connection.socket.on('close', () => this.#session.rollback())
  }

  static create (connection: SerialProtocol, database: StandInDatabase): MessageHandler {
    return new MessageHandler(connection, database)
  }

  async handle (bytes: Buffer): Promise<boolean> {
    const code = bytes[0]!
    if (code === FRONTEND.terminate) {
      this.#connection.socket.end()
      return true
    }
    if (this.#skipsUntilSync && code !== FRONTEND.sync) return true
    try {
      await this.#dispatch(code, bytes)
    } catch (error) {
      this.#session.fail()
      this.#skipsUntilSync = code !== FRONTEND.query
      this.#sendError(error)
      if (code === FRONTEND.query || code === FRONTEND.sync) this.#sendReady()
    }
    return true
  }

  async #dispatch (code: number, bytes: Buffer): Promise<void> {
    const reader = new BufferReader()
    reader.setBuffer(HEADER_BYTES, bytes)
    switch (code) {
      case FRONTEND.query: return await this.#runSimpleQuery(reader.cstring())
      case FRONTEND.parse: return this.#parse(reader.cstring(), reader.cstring())
      case FRONTEND.bind: return this.#bind(reader, bytes)
      case FRONTEND.describe: return await this.#describe(String.fromCharCode(reader.byte()))
      case FRONTEND.execute: return await this.#execute()
      case FRONTEND.close: return this.#close(String.fromCharCode(reader.byte()), reader.cstring())
      case FRONTEND.sync: return await this.#sync()
    }
    throw new SqlError('08P01', `unknown message type ${code}`)
  }

  async #runSimpleQuery (text: string): Promise<void> {
    const control = await runControlCommand(this.#database, text)
    if (control !== undefined) {
      this.#sendResult(control, true)
      this.#sendReady()
      return
    }
    const statements = parseStatements(text)
    if (statements.length === 0) this.#sendEmptyMessage(BACKEND.emptyQuery)
    const results: StatementResult[] = []
    for (const statement of statements) results.push(await this.#session.run(statement, []))
    this.#session.endImplicit()
    await this.#database.awaitSync()
    for (const result of results) this.#sendResult(result, true)
    this.#sendReady()
  }

  #parse (name: string, text: string): void {
    if (name !== '' && this.#prepared.has(name)) throw new SqlError('42P05', `prepared statement "${name}" already exists`)
    this.#prepared.set(name, parseStatements(text))
    this.#sendEmptyMessage(BACKEND.parseComplete)
  }

  #bind (reader: BufferReader, bytes: Buffer): void {
    reader.cstring()
    const name = reader.cstring()
    const statements = this.#prepared.get(name)
    if (statements === undefined) throw new SqlError('26000', `prepared statement "${name}" does not exist`)
    const formats = reader.int16()
    for (let index = 0; index < formats; index++) reader.int16()
    const parameters: Array<string | null> = []
    for (let remaining = reader.int16(); remaining > 0; remaining--) {
      const length = reader.int32()
      parameters.push(length === NULL_LENGTH ? null : reader.string(length))
    }
    if (bytes.length < HEADER_BYTES) throw new SqlError('08P01', 'Bind message is too short')
    this.#portal = { statements, parameters }
    this.#sendEmptyMessage(BACKEND.bindComplete)
  }

  // Executes the statement at Describe, since the columns of `*` are known only from its table.
  async #describe (type: string): Promise<void> {
    if (type !== 'P' || this.#portal === undefined) return this.#sendEmptyMessage(BACKEND.noData)
    this.#portal.result = await this.#runPortal(this.#portal)
    const { columns } = this.#portal.result
    if (columns === undefined) this.#sendEmptyMessage(BACKEND.noData)
    else this.#sendDescription(columns)
  }

  async #execute (): Promise<void> {
    if (this.#portal === undefined) throw new SqlError('34000', 'portal does not exist')
    const result = this.#portal.result ?? await this.#runPortal(this.#portal)
    await this.#database.awaitSync()
    this.#sendResult(result, false)
  }

  async #runPortal (portal: Portal): Promise<StatementResult> {
    const [statement] = portal.statements
    if (statement === undefined) return { rows: [], tag: '' }
    return await this.#session.run(statement, portal.parameters)
  }

  #close (type: string, name: string): void {
    if (type === 'S') this.#prepared.delete(name)
    this.#sendEmptyMessage(BACKEND.closeComplete)
  }

  async #sync (): Promise<void> {
    this.#skipsUntilSync = false
    this.#portal = undefined
    this.#session.endImplicit()
    await this.#database.awaitSync()
    this.#sendReady()
  }

  #sendResult (result: StatementResult, describe: boolean): void {
    if (describe && result.columns !== undefined) this.#sendDescription(result.columns)
    for (const row of result.rows) this.#sendRow(row)
    this.#connection.sendData(new Writer().addCString(result.tag).flush(BACKEND.commandComplete))
  }

  #sendDescription (columns: readonly string[]): void {
    const writer = new Writer().addInt16(columns.length)
    for (const column of columns) writer.addCString(column).addInt32(0).addInt16(0).addInt32(TEXT_OID).addInt16(-1).addInt32(-1).addInt16(0)
    this.#connection.sendData(writer.flush(BACKEND.rowDescription))
  }

  #sendRow (row: ReadonlyArray<string | null>): void {
    const writer = new Writer().addInt16(row.length)
    for (const value of row) {
      if (value === null) writer.addInt32(NULL_LENGTH)
      else writer.addInt32PrefixedString(value)
    }
    this.#connection.sendData(writer.flush(BACKEND.dataRow))
  }

  #sendReady (): void {
    const position = this.#session.takeCommitPosition()
    if (position !== undefined) this.#connection.sendParameterStatus('fulmartally.position', formatPosition(position))
    this.#connection.sendReadyForQuery(this.#session.status)
  }

  #sendError (error: unknown): void {
    const code = error instanceof SqlError ? error.sqlState : error instanceof SyntaxError ? '42601' : 'XX000'
    this.#connection.sendError({ severity: 'ERROR', code, message: error instanceof Error ? error.message : String(error) })
  }

  #sendEmptyMessage (code: number): void {
    this.#connection.sendData(new Writer().flush(code))
  }
}

function parseStatements (text: string): readonly ParsedStatement[] {
  return StatementParser.parseAll(text)
}

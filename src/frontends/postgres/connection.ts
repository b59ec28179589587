/** One caller's connection in the PostgreSQL protocol. */
import type { Socket } from 'node:net'
import type { State } from 'pg-gateway'
import { hashKey } from '../../admission/keys.js'
import { createFailure, type Failure } from '../../core/errors.js'
import { FRONTEND } from '../../databases/postgres/codes.js'
import type { HostPost } from '../../messages.js'
import type { CallerEffect } from '../frontend.js'
import { readBatch, readString, type Batch, type BatchMessage, type PreparedStatements } from './batch.js'
import { encodeComplete, encodeFailure, encodeParameter, encodeReady } from './encode.js'
import { answerLocally, answerSetting } from './local.js'
import { readOption } from './options.js'
import { SerialProtocol } from './protocol.js'

/** The user that stands for no workspace: it reaches open routes only. */
export const OPEN_USER = 'open'
const SESSION_PARAMETER = 'fulmartally.session'
/** How long a caller may take to present itself. */
const START_TIMEOUT_MS = 10_000
/** Bytes of answers that may wait in a caller's socket before its next request is taken. */
const MAX_UNREAD_BYTES = 1_048_576
const SERVER_VERSION = '16.0 (fulmartally)'

/** What a connection needs from its front end. */
export interface ConnectionParts {
  readonly caller: string
  readonly socket: Socket
  readonly post: HostPost
  readonly messageBytes: number
}

/** Reads a caller's requests and writes its answers. */
export class CallerConnection {
  readonly #parts: ConnectionParts
  readonly #protocol: SerialProtocol
  #prepared: PreparedStatements = new Map()
  #waiting: BatchMessage[] = []
  #waitingBytes = 0
  #stopping = false
  #batch: Batch | undefined
  #route: string | undefined
  #session = ''
  readonly #started: () => void
  /** Ends the wait for the answer of the request that runs. */
  #resolve: (() => void) | undefined
  #opened: ((failure: Failure | undefined) => void) | undefined
  #status: 'idle' | 'open' | 'failed' = 'idle'

  private constructor (parts: ConnectionParts) {
    this.#parts = parts
    this.#protocol = SerialProtocol.create(parts.socket, {
      serverVersion: SERVER_VERSION,
      authMode: 'cleartextPassword',
      messageBytes: parts.messageBytes,
      onStartup: state => this.#start(state),
      onMessage: (bytes, state) => this.#take(bytes, state),
      onRefuse: failure => this.stop(failure)
    })
    const starting = setTimeout(() => this.stop(createFailure('protocol-violation', 'the start-up took too long')), START_TIMEOUT_MS)
    this.#started = () => clearTimeout(starting)
    parts.socket.on('close', () => this.#close())
    parts.socket.on('error', () => parts.socket.destroy())
  }

  /**
   * Creates the connection of a caller that has just connected.
   * @example CallerConnection.create({ caller: 'host-1/7', socket, post, messageBytes: 1_048_576 })
   */
  static create (parts: ConnectionParts): CallerConnection {
    return new CallerConnection(parts)
  }

  /** True while no request runs and no transaction is open. */
  get idle (): boolean {
    return this.#resolve === undefined && this.#status === 'idle'
  }

  /** Carries out an effect that names this caller. */
  carryOut (effect: CallerEffect): void {
    switch (effect.kind) {
      case 'caller/opened': return this.#opened?.(undefined)
      case 'caller/refused': return this.#refuse(effect.failure)
      case 'caller/output': return this.#write(Buffer.from(effect.payload))
      case 'caller/finished': return this.#finish(effect)
      case 'caller/failed': return this.#end([encodeFailure(effect.failure, 'ERROR')], effect.status)
      case 'caller/rolled-back': return this.#end([this.#answerBatch(encodeComplete('ROLLBACK'))], 'idle')
    }
  }

  /** Ends the connection after a last error; a request that runs may still be carried out. */
  stop (failure: Failure): void {
    const running = this.#resolve !== undefined && failure.effect === 'not-run'
    const told = running ? createFailure('outcome-unknown', 'the connection was ended') : failure
    this.#parts.socket.end(encodeFailure(told, 'FATAL'))
  }

  /** Ends the connection as soon as its caller has no request and no transaction. */
  endWhenIdle (): void {
    this.#stopping = true
    if (this.idle) this.stop(createFailure('host-stopping'))
  }

  async #start (state: State): Promise<boolean> {
    if (state.clientInfo?.parameters.user !== OPEN_USER) return false
    await this.#open(state, undefined)
    return true
  }

  async #take (bytes: Uint8Array, state: State): Promise<boolean> {
    if (!state.hasStarted) return false
    const message: BatchMessage = { code: bytes[0]!, bytes: Buffer.from(bytes) }
    if (!state.isAuthenticated) {
      if (message.code !== FRONTEND.password) return this.#violate('a password was expected')
      await this.#open(state, hashKey(readString(message, 0)))
      return true
    }
    return await this.#collect(message)
  }

  async #open (state: State, keyHash: string | undefined): Promise<void> {
    const parameters: Readonly<Record<string, string | undefined>> = state.clientInfo?.parameters ?? {}
    const failure = await new Promise<Failure | undefined>(resolve => {
      this.#opened = resolve
      this.#parts.post({
        kind: 'requests/open',
        caller: this.#parts.caller,
        service: parameters.database ?? parameters.user ?? '',
        workspace: keyHash === undefined ? undefined : parameters.user,
        keyHash,
        session: readOption(parameters.options ?? '', SESSION_PARAMETER)
      })
    })
    this.#opened = undefined
    this.#started()
    if (failure !== undefined) return this.stop(failure)
    await this.#protocol.completeAuthentication()
  }

  #refuse (failure: Failure): void {
    if (this.#opened !== undefined) this.#opened(failure)
    // What the slices have not seen by now will not run, so their word on it stands.
    else this.#parts.socket.end(encodeFailure(failure, 'FATAL'))
  }

  async #collect (message: BatchMessage): Promise<boolean> {
    switch (message.code) {
      case FRONTEND.query: return await this.#run([message])
      case FRONTEND.sync: return await this.#run([...this.#waiting, message])
      case FRONTEND.parse:
      case FRONTEND.bind:
      case FRONTEND.describe:
      case FRONTEND.execute:
      case FRONTEND.close:
        return this.#keepWaiting(message)
      case FRONTEND.flush:
        this.stop(createFailure('not-supported', 'Flush'))
        return true
      case FRONTEND.terminate:
        this.#parts.socket.end()
        return true
      default: return this.#violate(`message type ${message.code} is not expected here`)
    }
  }

  #keepWaiting (message: BatchMessage): true {
    const { messageBytes } = this.#parts
    this.#waiting.push(message)
    this.#waitingBytes += message.bytes.length
    if (this.#waitingBytes > messageBytes) this.stop(createFailure('message-too-large', String(messageBytes)))
    return true
  }

  #violate (detail: string): true {
    this.stop(createFailure('protocol-violation', detail))
    return true
  }

  // The next message is read only when this request is answered, so a caller that
  // sends ahead waits in its own socket.
  async #run (messages: readonly BatchMessage[]): Promise<true> {
    this.#waiting = []
    this.#waitingBytes = 0
    await this.#waitUntilRead()
    const batch = readBatch(messages, this.#prepared)
    await new Promise<void>(resolve => {
      this.#resolve = resolve
      batch.match({ Ok: whole => this.#send(whole), Err: failure => this.#reject(failure) })
    })
    return true
  }

  // A caller that sends requests but reads no answers would fill the memory.
  async #waitUntilRead (): Promise<void> {
    const { socket } = this.#parts
    if (socket.writableLength < MAX_UNREAD_BYTES) return
    await new Promise<void>(resolve => {
      socket.once('drain', resolve)
      socket.once('close', resolve)
    })
  }

  #reject (failure: Failure): void {
    this.#parts.post({ kind: 'requests/rejected', caller: this.#parts.caller, failure })
  }

  #send (batch: Batch): void {
    const { caller, post } = this.#parts
    this.#prepared = batch.prepared
    this.#batch = batch
    const { setting, intent, route, requestId, deadlineMs } = batch.statement
    if (setting?.name === 'session' && setting.value !== undefined) {
      post({ kind: 'requests/session-set', caller, session: setting.value })
      return
    }
    if (setting !== undefined) return this.#changeSetting(batch, setting.name, setting.value)
    if (batch.messages.length === 1 && batch.messages[0]!.code === FRONTEND.sync) return this.#end([], this.#status)
    const input = { intent, route: route ?? this.#route, requestId, deadlineMs }
    post({ kind: 'requests/arrived', caller, input, payload: batch.payload })
  }

  #changeSetting (batch: Batch, name: string, value: string | undefined): void {
    const answer = answerSetting(batch.messages, { name, value, route: this.#route, session: this.#session })
    if (answer.isErr) return this.#reject(answer.error)
    if (name === 'route' && value !== undefined) this.#route = value === '' ? undefined : value
    this.#end([answer.value], this.#status)
  }

  #finish (effect: Extract<CallerEffect, { kind: 'caller/finished' }>): void {
    const set = this.#batch?.statement.setting !== undefined
    const payload = set ? this.#answerBatch(encodeComplete('SET')) : Buffer.from(effect.payload)
    const moved = effect.session !== undefined && effect.session !== this.#session
    if (moved) this.#session = effect.session!
    this.#end(moved ? [payload, encodeParameter(SESSION_PARAMETER, this.#session)] : [payload], effect.status)
  }

  #answerBatch (end: Buffer): Buffer {
    return answerLocally(this.#batch?.messages ?? [], end)
  }

  #end (parts: readonly Buffer[], status: 'idle' | 'open' | 'failed'): void {
    const resolve = this.#resolve
    if (resolve === undefined) return
    this.#batch = undefined
    this.#resolve = undefined
    this.#status = status
    this.#parts.socket.write(Buffer.concat([...parts, encodeReady(status)]))
    resolve()
    if (this.#stopping && this.idle) this.stop(createFailure('host-stopping'))
  }

  #write (payload: Buffer): void {
    const { socket, caller, post } = this.#parts
    const bytes = payload.length
    socket.write(payload, () => post({ kind: 'requests/drained', caller, bytes }))
  }

  #close (): void {
    this.#started()
    this.#resolve?.()
    this.#resolve = undefined
    this.#opened?.(createFailure('protocol-violation', 'the caller left'))
    this.#parts.post({ kind: 'requests/closed', caller: this.#parts.caller })
  }
}

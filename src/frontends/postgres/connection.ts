/** One caller's connection in the PostgreSQL protocol. */
import type { Socket } from 'node:net'
import type { State } from 'pg-gateway'
import { Result } from 'true-myth'
import { hashKey } from '../../admission/keys.js'
import { createFailure, type Failure } from '../../core/errors.js'
import { FRONTEND } from '../../databases/postgres/codes.js'
import type { ConnectionShare } from '../../memory/account.js'
import type { HostPost } from '../../messages.js'
import type { CallerEffect } from '../frontend.js'
import { parseBatch, readString, type Batch, type BatchMessage, type PreparedStatements } from './batch.js'
import { encodeComplete, encodeFailure, encodeParameter, encodeReady } from './encode.js'
import { answerLocally, answerSetting } from './local.js'
import { readOption } from './options.js'
import { SerialProtocol } from './protocol.js'

/** The user name for callers without a workspace, who may use open routes only. */
export const ANONYMOUS_USER = 'open'
const SESSION_PARAMETER = 'fulmartally.session'
/** How long a caller may take for the startup and its password. */
const START_TIMEOUT_MS = 10_000
/** Bytes of unsent answers from which on the caller's next request waits until the socket has drained. */
const SOCKET_HIGH_WATER_MARK_BYTES = 1_048_576
/** A running request is held as its messages, their text and the encoded payload. */
const COPIES = 3
const SERVER_VERSION = '16.0 (fulmartally)'

/** The dependencies of a connection. */
export interface ConnectionParts {
  readonly caller: string
  readonly socket: Socket
  readonly post: HostPost
  readonly messageBytes: number
  /** The connection in the account of the process; absent where nothing is counted. */
  readonly share?: ConnectionShare
}

/** Reads a caller's requests and writes its answers. */
export class CallerConnection {
  readonly #parts: ConnectionParts
  readonly #protocol: SerialProtocol
  #preparedStatements: PreparedStatements = new Map()
  #collected: BatchMessage[] = []
  #collectedBytes = 0
  #runningBytes = 0
  #stopping = false
  #ended = false
  #batch: Batch | undefined
  #route: string | undefined
  #session = ''
  readonly #clearStartTimer: () => void
  /** Resolves the promise of the running request once it is answered. */
  #resolveRequest: (() => void) | undefined
  #resolveOpen: ((failure: Failure | undefined) => void) | undefined
  #status: 'idle' | 'open' | 'failed' = 'idle'

  private constructor (parts: ConnectionParts) {
    this.#parts = parts
    this.#protocol = SerialProtocol.create(parts.socket, {
      serverVersion: SERVER_VERSION,
      authMode: 'cleartextPassword',
      messageBytes: parts.messageBytes,
      onStartup: state => this.#start(state),
      onMessage: (bytes, state) => this.#handleMessage(bytes, state),
      onRefuse: failure => this.stop(failure),
      share: parts.share,
      countHeldBytes: () => [this.#collectedBytes + this.#runningBytes, this.#collectedBytes]
    })
    const starting = setTimeout(() => this.stop(createFailure('protocol-violation', 'the startup took too long')), START_TIMEOUT_MS)
    this.#clearStartTimer = () => clearTimeout(starting)
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
    return this.#resolveRequest === undefined && this.#status === 'idle'
  }

  /** True while the socket holds bytes of an answer, which would be lost with the process. */
  get hasUnsent (): boolean {
    return this.#parts.socket.writableLength > 0
  }

  /** Executes an effect that names this caller. */
  execute (effect: CallerEffect): void {
    switch (effect.kind) {
      case 'caller/opened': return this.#resolveOpen?.(undefined)
      case 'caller/refused': return this.#refuse(effect.failure)
      case 'caller/output': return this.#write(Buffer.from(effect.payload))
      case 'caller/finished': return this.#finish(effect)
      case 'caller/failed': return this.#end([encodeFailure(effect.failure, 'ERROR')], effect.status)
      case 'caller/rolled-back': return this.#end([this.#answerBatch(encodeComplete('ROLLBACK'))], 'idle')
    }
  }

  /** Closes the connection after a last error. A running request may still complete, so its outcome is reported as unknown. */
  stop (failure: Failure): void {
    const running = this.#resolveRequest !== undefined && failure.effect === 'not-run'
    this.#endSocket(running ? createFailure('outcome-unknown', 'the connection was ended') : failure)
  }

  // Final: a write after it would destroy the socket with the answers that it still holds.
  #endSocket (failure?: Failure): void {
    if (this.#ended) return
    this.#ended = true
    this.#parts.socket.end(failure === undefined ? '' : encodeFailure(failure, 'FATAL'))
    this.#parts.share?.finish()
  }

  /** Closes the connection as soon as its caller has no running request and no open transaction. */
  endWhenIdle (): void {
    this.#stopping = true
    if (this.idle) this.stop(createFailure('host-stopping'))
  }

  async #start (state: State): Promise<boolean> {
    if (state.clientInfo?.parameters.user !== ANONYMOUS_USER) return false
    await this.#open(state, undefined)
    return true
  }

  async #handleMessage (bytes: Uint8Array, state: State): Promise<boolean> {
    if (!state.hasStarted) return false
    const message: BatchMessage = { code: bytes[0]!, bytes: Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length) }
    if (!state.isAuthenticated) {
      if (message.code !== FRONTEND.password) return this.#refuseMessage('a password was expected')
      await this.#open(state, hashKey(readString(message, 0)))
      return true
    }
    return await this.#dispatch(message)
  }

  async #open (state: State, keyHash: string | undefined): Promise<void> {
    if (keyHash !== undefined) this.#parts.share?.setParty(keyHash)
    const parameters: Readonly<Record<string, string | undefined>> = state.clientInfo?.parameters ?? {}
    const failure = await new Promise<Failure | undefined>(resolve => {
      this.#resolveOpen = resolve
      this.#parts.post({
        kind: 'requests/open',
        caller: this.#parts.caller,
        service: parameters.database ?? parameters.user ?? '',
        workspace: keyHash === undefined ? undefined : parameters.user,
        keyHash,
        session: readOption(parameters.options ?? '', SESSION_PARAMETER)
      })
    })
    this.#resolveOpen = undefined
    this.#clearStartTimer()
    this.#parts.share?.finishStart()
    if (failure !== undefined) return this.stop(failure)
    await this.#protocol.completeAuthentication()
  }

  #refuse (failure: Failure): void {
    if (this.#resolveOpen !== undefined) this.#resolveOpen(failure)
    // A request that the slices have not received by now will not run, so their failure is reported unchanged.
    else this.#endSocket(failure)
  }

  async #dispatch (message: BatchMessage): Promise<boolean> {
    switch (message.code) {
      case FRONTEND.query: return await this.#run([message])
      case FRONTEND.sync: return await this.#run([...this.#collected, message])
      case FRONTEND.parse:
      case FRONTEND.bind:
      case FRONTEND.describe:
      case FRONTEND.execute:
      case FRONTEND.close:
        return this.#collect(message)
      case FRONTEND.flush:
        this.stop(createFailure('not-supported', 'Flush'))
        return true
      case FRONTEND.terminate:
        this.#endSocket()
        return true
      default: return this.#refuseMessage(`message type ${message.code} is not expected here`)
    }
  }

  #collect (message: BatchMessage): true {
    const { messageBytes } = this.#parts
    this.#collected.push(message)
    this.#collectedBytes += message.bytes.length
    if (this.#collectedBytes > messageBytes) this.stop(createFailure('message-too-large', String(messageBytes)))
    return true
  }

  #refuseMessage (detail: string): true {
    this.stop(createFailure('protocol-violation', detail))
    return true
  }

  // The next message is read only after this request is answered, so the messages
  // of a pipelining caller wait in its socket.
  async #run (messages: readonly BatchMessage[]): Promise<true> {
    this.#collected = []
    this.#collectedBytes = 0
    this.#runningBytes = messages.reduce((sum, { bytes }) => sum + bytes.length, 0) * COPIES
    this.#protocol.updateShare()
    await this.#waitForDrain()
    const { share } = this.#parts
    const hasRoom = share?.isAdmitted() !== false
    if (!hasRoom) share?.countRefused()
    const batch = hasRoom ? parseBatch(messages, this.#preparedStatements) : Result.err<Batch, Failure>(createFailure('memory-full'))
    await new Promise<void>(resolve => {
      this.#resolveRequest = resolve
      batch.match({ Ok: complete => this.#keepStatements(complete) ? this.#postBatch(complete) : this.#reject(createFailure('memory-full')), Err: failure => this.#reject(failure) })
    })
    this.#runningBytes = 0
    return true
  }

  // Backpressure: a caller that sends requests but reads no answers would exhaust the memory.
  async #waitForDrain (): Promise<void> {
    const { socket } = this.#parts
    if (socket.writableLength < SOCKET_HIGH_WATER_MARK_BYTES) return
    await new Promise<void>(resolve => {
      socket.once('drain', resolve)
      socket.once('close', resolve)
    })
  }

  #reject (failure: Failure): void {
    this.#parts.post({ kind: 'requests/rejected', caller: this.#parts.caller, failure })
  }

  #keepStatements ({ preparedStatements }: Batch): boolean {
    const { share } = this.#parts
    if (share === undefined || (preparedStatements.size === 0 && this.#preparedStatements.size === 0)) return true
    let bytes = 0
    for (const statement of preparedStatements.values()) bytes += statement.length
    return share.setStateBytes(bytes)
  }

  #postBatch (batch: Batch): void {
    const { caller, post } = this.#parts
    this.#preparedStatements = batch.preparedStatements
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
    const isSetting = this.#batch?.statement.setting !== undefined
    const payload = isSetting ? this.#answerBatch(encodeComplete('SET')) : Buffer.from(effect.payload)
    const sessionChanged = effect.session !== undefined && effect.session !== this.#session
    if (sessionChanged) this.#session = effect.session!
    this.#end(sessionChanged ? [payload, encodeParameter(SESSION_PARAMETER, this.#session)] : [payload], effect.status)
  }

  #answerBatch (end: Buffer): Buffer {
    return answerLocally(this.#batch?.messages ?? [], end)
  }

  #end (parts: readonly Buffer[], status: 'idle' | 'open' | 'failed'): void {
    const resolve = this.#resolveRequest
    if (resolve === undefined) return
    this.#batch = undefined
    this.#resolveRequest = undefined
    this.#status = status
    if (!this.#ended) this.#parts.socket.write(Buffer.concat([...parts, encodeReady(status)]))
    this.#protocol.updateShare()
    resolve()
    if (this.#stopping && this.idle) this.stop(createFailure('host-stopping'))
  }

  #write (payload: Buffer): void {
    const { socket, caller, post } = this.#parts
    if (this.#ended) return
    const bytes = payload.length
    socket.write(payload, () => post({ kind: 'requests/drained', caller, bytes }))
    this.#protocol.updateShare()
  }

  #close (): void {
    this.#clearStartTimer()
    this.#resolveRequest?.()
    this.#resolveRequest = undefined
    this.#resolveOpen?.(createFailure('protocol-violation', 'the caller disconnected'))
    this.#parts.post({ kind: 'requests/closed', caller: this.#parts.caller })
  }
}

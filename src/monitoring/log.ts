/** The log of a process: JSON lines by bunyan, each message prefixed with the component that wrote it. */
import bunyan from 'bunyan'
import { Adapter } from '../core/adapter.js'
import type { LogFields, LogLevel, WriteLog } from '../core/message.js'
import type { HybridLogicalClock } from '../timeline/clock.js'
import { LogRateLimiter } from './ratelimit.js'
import type { LineStream } from './linewriter.js'

/** The parts of a log. */
export interface LogParts {
  readonly host: string
  /** The lowest level that is written. */
  readonly level: LogLevel
  /** The output stream; standard error by default. */
  readonly stream?: LineStream
  /** Stamps each line, so that lines of several processes can be sorted in causal order. */
  readonly clock?: HybridLogicalClock
}

/** Writes short sentences, each prefixed with its component. */
export class Log extends Adapter {
  readonly name = 'log'
  readonly #logger: bunyan
  readonly #clock: HybridLogicalClock | undefined
  readonly #rateLimiter = LogRateLimiter.create()

  private constructor (logger: bunyan, clock: HybridLogicalClock | undefined) {
    super()
    this.#logger = logger
    this.#clock = clock
  }

  /**
   * Creates the log of a process.
   * @example Log.create({ host: 'host-1', level: 'info' }).write('daemon', 'info', 'Started.')
   */
  static create ({ host, level, stream = process.stderr, clock }: LogParts): Log {
    return new Log(bunyan.createLogger({ name: 'fulmartallyd', host, level, stream: stream as NodeJS.WritableStream }), clock)
  }

  execute (effect: WriteLog, component = 'daemon'): void {
    this.write(component, effect.level, effect.text, effect.fields)
  }

  /** Writes a sentence of a component, unless its level exceeds the rate limit. */
  write (component: string, level: LogLevel, text: string, fields: LogFields = {}): void {
    if (!this.#rateLimiter.acquire(level, performance.now())) return
    const left = this.#rateLimiter.drainSuppressed()
    if (left !== undefined) this.#logger.warn({ left }, 'daemon: Log lines were suppressed by the rate limit.')
    this.#logger[level]({ ...fields, ...this.#readStamp() }, `${component}: ${text}`)
  }

  /** Reports an error of a listening server. */
  readonly reportServerError = (error: Error): void => this.write('daemon', 'error', 'A listening server reported an error.', { reason: error.message })

  #readStamp (): { readonly stamp?: readonly [number, number] } {
    if (this.#clock === undefined) return {}
    const { wallMs, count } = this.#clock.advance()
    return { stamp: [wallMs, count] }
  }
}

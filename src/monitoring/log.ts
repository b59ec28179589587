/** Logs: one JSON line for each, by bunyan, with a fixed prefix for each part. */
import bunyan from 'bunyan'
import { Adapter } from '../core/adapter.js'
import type { LogFields, LogLevel, WriteLog } from '../core/message.js'
import type { StampClock } from '../timeline/clock.js'
import { LineBudget } from './budget.js'
import type { LineStream } from './outlet.js'

/** What a log is made of. */
export interface LogParts {
  readonly host: string
  /** The least level that is written. */
  readonly level: LogLevel
  /** Where lines go; standard error when absent. */
  readonly stream?: LineStream
  /** Stamps each line, so that lines of several processes can be put in the order of cause and effect. */
  readonly clock?: StampClock
}

/** Writes short sentences, each after the prefix of its part. */
export class Log extends Adapter {
  readonly name = 'log'
  readonly #logger: bunyan
  readonly #clock: StampClock | undefined
  readonly #budget = LineBudget.create()

  private constructor (logger: bunyan, clock: StampClock | undefined) {
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

  execute (effect: WriteLog, part = 'daemon'): void {
    this.write(part, effect.level, effect.text, effect.fields)
  }

  /** Writes a sentence of a part, unless there were too many within a second. */
  write (part: string, level: LogLevel, text: string, fields: LogFields = {}): void {
    if (!this.#budget.take(level, performance.now())) return
    const left = this.#budget.drainLeftOut()
    if (left !== undefined) this.#logger.warn({ left }, 'daemon: Lines were left out.')
    this.#logger[level]({ ...fields, ...this.#readStamp() }, `${part}: ${text}`)
  }

  #readStamp (): { readonly stamp?: readonly [number, number] } {
    if (this.#clock === undefined) return {}
    const { wallMs, count } = this.#clock.advance()
    return { stamp: [wallMs, count] }
  }
}

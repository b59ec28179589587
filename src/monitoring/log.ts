/** Logs: one JSON line for each, by bunyan, with a fixed prefix for each part. */
import bunyan from 'bunyan'
import { Adapter } from '../core/adapter.js'
import type { LogLevel, WriteLog } from '../core/message.js'

/** What a log is made of. */
export interface LogParts {
  readonly host: string
  /** The least level that is written. */
  readonly level: LogLevel
  /** Where lines go; standard error when absent. */
  readonly stream?: NodeJS.WritableStream
}

/** Writes short sentences, each after the prefix of its part. */
export class Log extends Adapter {
  readonly name = 'log'
  readonly #logger: bunyan

  private constructor (logger: bunyan) {
    super()
    this.#logger = logger
  }

  /**
   * Creates the log of a process.
   * @example Log.create({ host: 'host-1', level: 'info' }).write('daemon', 'info', 'Started.')
   */
  static create ({ host, level, stream = process.stderr }: LogParts): Log {
    return new Log(bunyan.createLogger({ name: 'fulmartallyd', host, level, stream }))
  }

  carryOut (effect: WriteLog, part = 'daemon'): void {
    this.write(part, effect.level, effect.text)
  }

  /** Writes a sentence of a part. */
  write (part: string, level: LogLevel, text: string): void {
    this.#logger[level](`${part}: ${text}`)
  }
}

/** Rate limits of the log, one for each level, so that many debug or info lines do not suppress the warnings and errors that explain failures. */
import type { LogLevel } from '../core/message.js'

/** The most lines of each level per second; further lines are counted and suppressed. */
const MAX_LINES_PER_SECOND: Readonly<Record<LogLevel, number>> = { debug: 50, info: 150, warn: 150, error: 150 }
const WINDOW_MS = 1_000

/** Numbers of suppressed lines, by level. */
export type SuppressedLines = Readonly<Partial<Record<LogLevel, number>>>

/** Limits log lines in windows of one second. */
export class LogRateLimiter {
  #windowEndsAtMs = 0
  #written = new Map<LogLevel, number>()
  #suppressed = new Map<LogLevel, number>()

  private constructor () {}

  /**
   * Creates a rate limiter.
   * @example LogRateLimiter.create().acquire('info', performance.now()) // true
   */
  static create (): LogRateLimiter {
    return new LogRateLimiter()
  }

  /** Counts a line of this level; returns whether it may be written. */
  acquire (level: LogLevel, nowMs: number): boolean {
    if (nowMs >= this.#windowEndsAtMs) {
      this.#windowEndsAtMs = nowMs + WINDOW_MS
      this.#written = new Map()
    }
    const written = this.#written.get(level) ?? 0
    if (written >= MAX_LINES_PER_SECOND[level]) {
      this.#suppressed.set(level, (this.#suppressed.get(level) ?? 0) + 1)
      return false
    }
    this.#written.set(level, written + 1)
    return true
  }

  /** Returns the lines suppressed since the last call, and resets their number; undefined when there are none. */
  drainSuppressed (): SuppressedLines | undefined {
    if (this.#suppressed.size === 0) return undefined
    const suppressed = Object.fromEntries(this.#suppressed)
    this.#suppressed = new Map()
    return suppressed
  }
}

/** How many log lines a process writes under load: those that explain failures are kept longest. */
import type { LogLevel } from '../core/message.js'

/** Lines of each level in a second; beyond that they are counted and left out. */
const LINES_PER_SECOND: Readonly<Record<LogLevel, number>> = { debug: 50, info: 150, warn: 150, error: 150 }
const SECOND_MS = 1_000

/** Lines that were left out, by level. */
export type LeftOut = Readonly<Partial<Record<LogLevel, number>>>

/** Counts lines by second. */
export class LineBudget {
  #endsAtMs = 0
  #written = new Map<LogLevel, number>()
  #left = new Map<LogLevel, number>()

  private constructor () {}

  /**
   * Creates a budget.
   * @example LineBudget.create().take('info', performance.now()) // true
   */
  static create (): LineBudget {
    return new LineBudget()
  }

  /** Tells whether a line of this level may be written now. */
  take (level: LogLevel, nowMs: number): boolean {
    if (nowMs >= this.#endsAtMs) {
      this.#endsAtMs = nowMs + SECOND_MS
      this.#written = new Map()
    }
    const written = this.#written.get(level) ?? 0
    if (written >= LINES_PER_SECOND[level]) {
      this.#left.set(level, (this.#left.get(level) ?? 0) + 1)
      return false
    }
    this.#written.set(level, written + 1)
    return true
  }

  /** Returns what was left out since the last call; undefined when nothing was. */
  drainLeftOut (): LeftOut | undefined {
    if (this.#left.size === 0) return undefined
    const left = Object.fromEntries(this.#left)
    this.#left = new Map()
    return left
  }
}

/** Time and randomness, read by the loop alone. */
import type { Moment } from './message.js'

/** Where the loop takes time and randomness from. */
export abstract class Clock {
  /** Reads time and a fresh random number. */
  abstract read (): Moment
}

/** The time of day running ahead of the steady clock by more than this tells of a suspension, or of a step of the time of day. */
const SUSPENDED_MS = 150

/** What a clock is read from. */
export interface ClockSources {
  /** Milliseconds that never step back, and may not count the time in which the machine was suspended. */
  readonly readSteadyMs: () => number
  readonly readWallMs: () => number
}

const SYSTEM_SOURCES: ClockSources = { readSteadyMs: () => performance.now(), readWallMs: () => Date.now() }

/**
 * The machine's clocks and random numbers. The steady clock may stand still while the machine is suspended, so
 * the time by which the time of day jumped ahead is added: a step forward then ages what is known for no
 * reason, which costs a renewal, while a suspension that goes unnoticed would extend leases.
 */
export class SystemClock extends Clock {
  readonly #sources: ClockSources
  #suspendedMs = 0
  #aheadMs: number

  private constructor (sources: ClockSources) {
    super()
    this.#sources = sources
    this.#aheadMs = sources.readWallMs() - sources.readSteadyMs()
  }

  /**
   * Creates a clock that reads the machine's time.
   * @example SystemClock.create().read().monotonicMs
   */
  static create (sources: ClockSources = SYSTEM_SOURCES): SystemClock {
    return new SystemClock(sources)
  }

  read (): Moment {
    const steadyMs = this.#sources.readSteadyMs()
    const wallMs = this.#sources.readWallMs()
    const aheadMs = wallMs - steadyMs
    if (aheadMs - this.#aheadMs > SUSPENDED_MS) this.#suspendedMs += aheadMs - this.#aheadMs
    this.#aheadMs = aheadMs
    return { monotonicMs: steadyMs + this.#suspendedMs, wallMs, random: Math.random() }
  }
}

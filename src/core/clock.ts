/** The source of time and randomness; only the loop reads it, which keeps decisions deterministic. */
import type { Moment } from './message.js'

/** A source of time and randomness for the loop. */
export abstract class Clock {
  /** Reads the current time and draws a random number. */
  abstract read (): Moment
}

/** A wall clock that gains more than this on the steady clock between two reads indicates a suspension, or a step of the wall clock. */
const SUSPENSION_THRESHOLD_MS = 150

/** The two clocks that a {@link SystemClock} combines. */
export interface ClockSources {
  /** Milliseconds of a clock that never steps back, but may not advance while the host is suspended. */
  readonly readSteadyMs: () => number
  readonly readWallMs: () => number
}

const SYSTEM_SOURCES: ClockSources = { readSteadyMs: () => performance.now(), readWallMs: () => Date.now() }

/**
 * The clocks and random numbers of the host. The steady clock may stop while the host is suspended, so a
 * forward jump of the wall clock beyond the threshold is added to it. If the wall clock was merely stepped
 * forward, leases expire early, which costs a renewal; an undetected suspension would extend leases instead.
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
   * Creates a clock that reads the host's time.
   * @example SystemClock.create().read().monotonicMs
   */
  static create (sources: ClockSources = SYSTEM_SOURCES): SystemClock {
    return new SystemClock(sources)
  }

  read (): Moment {
    const steadyMs = this.#sources.readSteadyMs()
    const wallMs = this.#sources.readWallMs()
    const aheadMs = wallMs - steadyMs
    if (aheadMs - this.#aheadMs > SUSPENSION_THRESHOLD_MS) this.#suspendedMs += aheadMs - this.#aheadMs
    this.#aheadMs = aheadMs
    return { monotonicMs: steadyMs + this.#suspendedMs, wallMs, random: Math.random() }
  }
}

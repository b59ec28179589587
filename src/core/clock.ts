/** Time and randomness, read by the loop alone. */
import type { Moment } from './message.js'

/** Where the loop takes time and randomness from. */
export abstract class Clock {
  /** Reads time and a fresh random number. */
  abstract read (): Moment
}

/** The machine's clocks and random numbers. */
export class SystemClock extends Clock {
  /**
   * Creates a clock that reads the machine's time.
   * @example SystemClock.create().read().monotonicMs
   */
  static create (): SystemClock {
    return new SystemClock()
  }

  read (): Moment {
    return { monotonicMs: performance.now(), wallMs: Date.now(), random: Math.random() }
  }
}

/** The hybrid logical clock of one process, shared by its links and its time line. */
import { advanceStamp, FIRST_STAMP, mergeStamp, type Stamp } from './stamp.js'

/** Stamps what leaves and what happens, and follows what arrives. */
export class StampClock {
  readonly #readWallMs: () => number
  #last: Stamp = FIRST_STAMP

  private constructor (readWallMs: () => number) {
    this.#readWallMs = readWallMs
  }

  /**
   * Creates a clock over the machine's wall time.
   * @example StampClock.create().advance().wallMs
   */
  static create (readWallMs: () => number = Date.now): StampClock {
    return new StampClock(readWallMs)
  }

  /** Returns the stamp of the next event. */
  advance (): Stamp {
    this.#last = advanceStamp(this.#last, this.#readWallMs())
    return this.#last
  }

  /** Takes in the stamp of a message that arrived. */
  merge (received: Stamp): void {
    this.#last = mergeStamp(this.#last, received, this.#readWallMs())
  }
}

/** The hybrid logical clock of a process, shared by its links, its log and its timeline. */
import { advanceStamp, FIRST_STAMP, mergeStamp, type Stamp } from './stamp.js'

/** Stamps events and outgoing messages, and advances past the stamps of received messages. */
export class HybridLogicalClock {
  readonly #readWallMs: () => number
  #last: Stamp = FIRST_STAMP

  private constructor (readWallMs: () => number) {
    this.#readWallMs = readWallMs
  }

  /**
   * Creates a clock that follows the host's wall clock.
   * @example HybridLogicalClock.create().advance().wallMs
   */
  static create (readWallMs: () => number = Date.now): HybridLogicalClock {
    return new HybridLogicalClock(readWallMs)
  }

  /** Returns the stamp of the next event. */
  advance (): Stamp {
    this.#last = advanceStamp(this.#last, this.#readWallMs())
    return this.#last
  }

  /** Merges the stamp of a received message. */
  merge (received: Stamp): void {
    this.#last = mergeStamp(this.#last, received, this.#readWallMs())
  }
}

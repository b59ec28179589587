/** The effect that ends the process. */
import { Adapter } from '../core/adapter.js'
import type { ExitProcess } from '../stopping/decide.js'

/** The time that the last messages get to be sent. */
const FLUSH_DELAY_MS = 50

/** Notifies the daemon that the graceful stop is complete. */
export class ProcessExit extends Adapter {
  readonly name = 'process'
  /** Resolves when the process may end. */
  readonly ended: Promise<void>
  #resolveEnded: () => void = () => undefined

  private constructor () {
    super()
    this.ended = new Promise(resolve => { this.#resolveEnded = resolve })
  }

  /**
   * Creates the adapter.
   * @example await ProcessExit.create().ended
   */
  static create (): ProcessExit {
    return new ProcessExit()
  }

  carryOut (_effect: ExitProcess): void {
    setTimeout(this.#resolveEnded, FLUSH_DELAY_MS)
  }
}

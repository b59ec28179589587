/** The end of the process, as an effect. */
import { Adapter } from '../core/adapter.js'
import type { ExitProcess } from '../stopping/decide.js'

/** How long the last messages may take to leave. */
const FLUSH_MS = 50

/** Tells the daemon when the stop is over. */
export class ProcessExit extends Adapter {
  readonly name = 'process'
  /** Resolves when the process may end. */
  readonly ended: Promise<void>
  #end: () => void = () => undefined

  private constructor () {
    super()
    this.ended = new Promise(resolve => { this.#end = resolve })
  }

  /**
   * Creates the adapter.
   * @example await ProcessExit.create().ended
   */
  static create (): ProcessExit {
    return new ProcessExit()
  }

  execute (_effect: ExitProcess): void {
    setTimeout(this.#end, FLUSH_MS)
  }
}

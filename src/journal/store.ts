/** What a journal is: it makes records lasting, in order, and reports each write once it is synced. */
import { Adapter, type Post } from '../core/adapter.js'
import type { JournalEffect } from './messages.js'

/** Collects writes while one sync runs; the next sync takes all that waited. */
export abstract class JournalStore extends Adapter {
  readonly name = 'journal'
  readonly #post: Post
  readonly #onFault: (fault: unknown) => void
  #waiting: readonly JournalEffect[] = []
  #running: Promise<void> | undefined

  protected constructor (post: Post, onFault: (fault: unknown) => void) {
    super()
    this.#post = post
    this.#onFault = onFault
  }

  execute (effect: JournalEffect): void {
    this.#waiting = [...this.#waiting, effect]
    this.#running ??= this.#run()
  }

  /** Waits for the writes that were handed in, and closes the journal. */
  async [Symbol.asyncDispose] (): Promise<void> {
    await this.#running
    await this.close()
  }

  /** Makes one batch lasting. Rejects when that is not certain. */
  protected abstract store (batch: readonly JournalEffect[]): Promise<void>

  /** Closes what is open. */
  protected abstract close (): Promise<void>

  async #run (): Promise<void> {
    try {
      while (this.#waiting.length > 0) {
        const batch = this.#waiting
        this.#waiting = []
        await this.store(batch)
        this.#post({ kind: 'agreement/stored', write: batch[batch.length - 1]!.write } as { readonly kind: string })
      }
    } catch (fault) {
      // What reached the disk is not known any more, and a second sync may report success for lost pages.
      this.#onFault(fault)
    } finally {
      this.#running = undefined
    }
  }
}

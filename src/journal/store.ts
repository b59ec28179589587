/** The journal interface: stores writes durably and in order, and reports them once they are synced. */
import { Adapter, type Post } from '../core/adapter.js'
import type { JournalEffect } from './messages.js'

/** Group commit: writes that arrive during a sync form the next batch. */
export abstract class JournalStore extends Adapter {
  readonly name = 'journal'
  readonly #post: Post
  readonly #onError: (error: unknown) => void
  #pending: readonly JournalEffect[] = []
  #running: Promise<void> | undefined

  protected constructor (post: Post, onError: (error: unknown) => void) {
    super()
    this.#post = post
    this.#onError = onError
  }

  execute (effect: JournalEffect): void {
    this.#pending = [...this.#pending, effect]
    this.#running ??= this.#run()
  }

  /** Waits for the pending writes, and closes the journal. */
  async [Symbol.asyncDispose] (): Promise<void> {
    await this.#running
    await this.close()
  }

  /** Stores one batch durably. Rejects if durability is not certain. */
  protected abstract store (batch: readonly JournalEffect[]): Promise<void>

  /** Closes the underlying files. */
  protected abstract close (): Promise<void>

  async #run (): Promise<void> {
    try {
      while (this.#pending.length > 0) {
        const batch = this.#pending
        this.#pending = []
        await this.store(batch)
        this.#post({ kind: 'agreement/stored', write: batch[batch.length - 1]!.write } as { readonly kind: string })
      }
    } catch (error) {
      // After a failed sync it is unknown what reached the disk, and a retried sync may report success for lost pages.
      this.#onError(error)
    } finally {
      this.#running = undefined
    }
  }
}

/** A bounded send queue for the frames of one stream. */

/** The most frames in the send queue; the link is closed when it is full. */
const MAX_QUEUED_ITEMS = 65_536
/** The most bytes in the send queue; the link is closed when it is full. */
const MAX_QUEUED_BYTES = 256 * 1_048_576

/** Passes items to one reader in order; the writer never waits. */
export class SendQueue<T> implements AsyncIterable<T> {
  #queued: T[] = []
  #queuedBytes = 0
  #wake: (() => void) | undefined
  #closed = false

  private constructor () {}

  /**
   * Creates an empty queue.
   * @example const queue = SendQueue.create<Frame>()
   */
  static create<T> (): SendQueue<T> {
    return new SendQueue<T>()
  }

  /** Adds an item and its approximate size in bytes; returns false when the queue is full or closed. */
  push (item: T, bytes: number): boolean {
    if (this.#closed || this.#queued.length >= MAX_QUEUED_ITEMS || this.#queuedBytes + bytes > MAX_QUEUED_BYTES) return false
    this.#queued.push(item)
    this.#queuedBytes += bytes
    this.#wake?.()
    return true
  }

  /** Ends the reader once the queued items are read. */
  close (): void {
    this.#closed = true
    this.#wake?.()
  }

  async * [Symbol.asyncIterator] (): AsyncIterator<T> {
    while (true) {
      const batch = this.#queued
      this.#queued = []
      this.#queuedBytes = 0
      yield * batch
      if (this.#queued.length > 0) continue
      if (this.#closed) return
      await new Promise<void>(resolve => { this.#wake = resolve })
      this.#wake = undefined
    }
  }
}

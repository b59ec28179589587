/** A bounded queue of frames that feeds one stream. */

/** Frames that may wait for a link before it is given up. */
const MAX_WAITING = 65_536
/** Bytes that may wait for a link before it is given up. */
const MAX_WAITING_BYTES = 256 * 1_048_576

/** Hands items to one reader, in order, without ever blocking the writer. */
export class SendQueue<T> implements AsyncIterable<T> {
  #waiting: T[] = []
  #waitingBytes = 0
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

  /** Adds an item of about so many bytes; false when the queue is full or closed. */
  push (item: T, bytes: number): boolean {
    if (this.#closed || this.#waiting.length >= MAX_WAITING || this.#waitingBytes + bytes > MAX_WAITING_BYTES) return false
    this.#waiting.push(item)
    this.#waitingBytes += bytes
    this.#wake?.()
    return true
  }

  /** Ends the reader after the items that wait. */
  close (): void {
    this.#closed = true
    this.#wake?.()
  }

  async * [Symbol.asyncIterator] (): AsyncIterator<T> {
    while (true) {
      const batch = this.#waiting
      this.#waiting = []
      this.#waitingBytes = 0
      yield * batch
      if (this.#waiting.length > 0) continue
      if (this.#closed) return
      await new Promise<void>(resolve => { this.#wake = resolve })
      this.#wake = undefined
    }
  }
}

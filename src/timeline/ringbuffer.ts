/** A ring buffer: adding an item takes constant time. */

/** Keeps the most recent items up to a fixed capacity. */
export class RingBuffer<T> {
  readonly #capacity: number
  readonly #items: T[] = []
  #next = 0

  private constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * Creates an empty buffer.
   * @example RingBuffer.create<string>(10_000)
   */
  static create<T> (capacity: number): RingBuffer<T> {
    return new RingBuffer<T>(capacity)
  }

  /** Adds an item; replaces the oldest one when the buffer is full. */
  add (item: T): void {
    this.#items[this.#next] = item
    this.#next = (this.#next + 1) % this.#capacity
  }

  /** Lists the items, oldest first. */
  list (): readonly T[] {
    return [...this.#items.slice(this.#next), ...this.#items.slice(0, this.#next)]
  }
}

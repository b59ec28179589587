/** A ring of fixed size: adding costs the same however much it holds. */

/** Keeps the last items that were added. */
export class Ring<T> {
  readonly #capacity: number
  readonly #items: T[] = []
  #next = 0

  private constructor (capacity: number) {
    this.#capacity = capacity
  }

  /**
   * Creates an empty ring.
   * @example Ring.create<string>(10_000)
   */
  static create<T> (capacity: number): Ring<T> {
    return new Ring<T>(capacity)
  }

  /** Adds an item in place of the oldest when the ring is full. */
  add (item: T): void {
    this.#items[this.#next] = item
    this.#next = (this.#next + 1) % this.#capacity
  }

  /** Lists the items, oldest first. */
  list (): readonly T[] {
    return [...this.#items.slice(this.#next), ...this.#items.slice(0, this.#next)]
  }
}

/** A slice whose state consists of many records, of which each decision changes only a few. */
import type { Effect, Message, Moment } from './message.js'
import { Slice } from './slice.js'

/** The state that a decision reads: one shared value, and records by key. */
export interface Store<Shared, Item> {
  readonly shared: Shared
  readonly items: ReadonlyMap<string, Item>
}

/** The outcome of a decision over a store. */
export interface StoreStep<Shared, Item, E extends Effect> {
  /** The next shared value; absent when it is unchanged. */
  readonly shared?: Shared
  /** The records that change; an undefined record is deleted. */
  readonly changes?: ReadonlyArray<readonly [key: string, item: Item | undefined]>
  readonly effects: readonly E[]
}

/** A pure function that decides on a message, given a store. */
export type DecideStore<Shared, Item, M extends Message, E extends Effect> =
  (store: Store<Shared, Item>, message: M, moment: Moment) => StoreStep<Shared, Item, E>

/** The parts of a store slice. */
export interface StoreParts<Shared, Item, M extends Message, E extends Effect> {
  readonly name: string
  readonly shared: Shared
  readonly decide: DecideStore<Shared, Item, M, E>
  /** Throws an InvariantError when a changed record violates an invariant. */
  readonly checkItem?: (item: Item, shared: Shared) => void
}

/** The step without changes or effects. */
export const UNCHANGED: { readonly effects: readonly never[] } = { effects: [] }

/** A slice that updates its records one at a time. */
export class StoreSlice<Shared, Item, M extends Message, E extends Effect> extends Slice {
  readonly name: string
  readonly #items = new Map<string, Item>()
  readonly #parts: StoreParts<Shared, Item, M, E>
  #shared: Shared

  private constructor (parts: StoreParts<Shared, Item, M, E>) {
    super()
    this.name = parts.name
    this.#parts = parts
    this.#shared = parts.shared
  }

  /**
   * Creates a slice without records.
   * @example StoreSlice.create({ name: 'requests', shared: createRequestsShared(), decide: decideRequests })
   */
  static create<Shared, Item, M extends Message, E extends Effect> (parts: StoreParts<Shared, Item, M, E>): StoreSlice<Shared, Item, M, E> {
    return new StoreSlice(parts)
  }

  /** A read-only view of the store. */
  get store (): Store<Shared, Item> {
    return { shared: this.#shared, items: this.#items }
  }

  take (message: Message, moment: Moment): readonly Effect[] {
    const step = this.#parts.decide(this.store, message as M, moment)
    if (step.shared !== undefined) this.#shared = step.shared
    for (const [key, item] of step.changes ?? []) this.#replace(key, item)
    return step.effects
  }

  #replace (key: string, item: Item | undefined): void {
    if (item === undefined) {
      this.#items.delete(key)
      return
    }
    this.#items.set(key, item)
    this.#parts.checkItem?.(item, this.#shared)
  }
}

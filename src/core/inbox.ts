/** The messages that wait for a loop, and the order in which it handles them. */
import { readOwner, type Message } from './message.js'

/** Handled messages at the start of a queue are removed in batches of this size, since each removal moves the others. */
const COMPACTION_SIZE = 1_024

/** A first-in, first-out queue. */
class MessageQueue {
  #messages: Message[] = []
  #next = 0

  push (message: Message): void {
    this.#messages.push(message)
  }

  take (): Message | undefined {
    if (this.#next === this.#messages.length) return undefined
    const message = this.#messages[this.#next++]
    if (this.#next === this.#messages.length || this.#next >= COMPACTION_SIZE) {
      this.#messages = this.#messages.slice(this.#next)
      this.#next = 0
    }
    return message
  }

  get size (): number {
    return this.#messages.length - this.#next
  }
}

/** Orders messages: first those for urgent slices, then all others, each in the order of their arrival. */
export class Inbox {
  readonly #urgentSlices: ReadonlySet<string>
  readonly #urgent = new MessageQueue()
  readonly #others = new MessageQueue()

  private constructor (urgentSlices: ReadonlySet<string>) {
    this.#urgentSlices = urgentSlices
  }

  /**
   * Creates an empty inbox.
   * @example Inbox.create(new Set(['agreement'])).size // 0
   */
  static create (urgentSlices: ReadonlySet<string> = new Set()): Inbox {
    return new Inbox(urgentSlices)
  }

  /** The number of messages that wait. */
  get size (): number {
    return this.#urgent.size + this.#others.size
  }

  /** Adds a message from an adapter or a timer. */
  post (message: Message): void {
    const queue = this.#urgentSlices.has(readOwner(message.kind)) ? this.#urgent : this.#others
    queue.push(message)
  }

  /** Adds a message from a slice of the same process. */
  tell (message: Message): void {
    this.#others.push(message)
  }

  /** Removes and returns the next message; undefined if none waits. */
  take (): Message | undefined {
    return this.#urgent.take() ?? this.#others.take()
  }
}

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

/**
 * Orders messages: first those for urgent slices and all that is told because of them, then the others, each in the order of
 * their arrival.
 */
export class Inbox {
  readonly #urgentSlices: ReadonlySet<string>
  readonly #urgent = new MessageQueue()
  readonly #others = new MessageQueue()
  /** True while the message that was taken last is urgent. */
  #isUrgent = false

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
    this.#add(message, false)
  }

  /**
   * Adds a message that a slice tells another while it handles the message that was taken last. It is as urgent as that one:
   * a lease whose renewal waits behind a backlog has ended by the time it is known.
   */
  tell (message: Message): void {
    this.#add(message, this.#isUrgent)
  }

  /** Removes and returns the next message; undefined if none waits. */
  take (): Message | undefined {
    this.#isUrgent = this.#urgent.size > 0
    return this.#isUrgent ? this.#urgent.take() : this.#others.take()
  }

  #add (message: Message, isUrgent: boolean): void {
    const queue = isUrgent || this.#urgentSlices.has(readOwner(message.kind)) ? this.#urgent : this.#others
    queue.push(message)
  }
}

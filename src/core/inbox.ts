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

/** The slices whose messages go before those of others: the first set before the second, and so on, and all before the rest. */
export type Priorities = ReadonlyArray<ReadonlySet<string>>

/** Orders messages by the priority of their slices, and by their arrival where that is equal. */
export class Inbox {
  readonly #priorities: Priorities
  /** One queue for each set of slices, and one for the rest. */
  readonly #queues: readonly MessageQueue[]
  /** The queue from which the last message was taken. */
  #current: number

  private constructor (priorities: Priorities) {
    this.#priorities = priorities
    this.#queues = [...priorities, undefined].map(() => new MessageQueue())
    this.#current = priorities.length
  }

  /**
   * Creates an empty inbox.
   * @example Inbox.create([new Set(['agreement'])]).size // 0
   */
  static create (priorities: Priorities = []): Inbox {
    return new Inbox(priorities)
  }

  /** The number of messages that wait. */
  get size (): number {
    return this.#queues.reduce((sum, queue) => sum + queue.size, 0)
  }

  /** Adds a message from an adapter or a timer. */
  post (message: Message): void {
    this.#queues[this.#findQueue(message)]!.push(message)
  }

  /**
   * Adds a message that a slice tells another while it handles the message that was taken last. It goes no later than that
   * one's successors would: a lease whose renewal waits behind a backlog has ended by the time it is known.
   */
  tell (message: Message): void {
    this.#queues[Math.min(this.#current, this.#findQueue(message))]!.push(message)
  }

  /** Removes and returns the next message; undefined if none waits. */
  take (): Message | undefined {
    const next = this.#queues.findIndex(queue => queue.size > 0)
    if (next < 0) return undefined
    this.#current = next
    return this.#queues[next]!.take()
  }

  #findQueue (message: Message): number {
    const owner = readOwner(message.kind)
    const index = this.#priorities.findIndex(slices => slices.has(owner))
    return index < 0 ? this.#priorities.length : index
  }
}

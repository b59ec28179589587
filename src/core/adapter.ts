/** Adapters: they execute the effects that slices decide on, and post the outcomes back to the loop. */
import type { Effect, Message } from './message.js'

/** Adds a message to the loop's inbox. */
export type Post = (message: Message) => void

/** Executes the effects of one kind. */
export abstract class Adapter {
  /** The part of an effect's kind before the slash. */
  abstract readonly name: string

  /** Executes an effect that a slice decided on. Must not block; outcomes are posted to the loop. */
  abstract carryOut (effect: Effect, slice?: string): void
}

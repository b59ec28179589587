/** The border of the loop: adapters carry effects out and post messages back. */
import type { Effect, Message } from './message.js'

/** Puts a message into the inbox of the loop. */
export type Post = (message: Message) => void

/** Carries out the effects of one kind. */
export abstract class Adapter {
  /** The part of an effect's kind before the slash. */
  abstract readonly name: string

  /** Carries an effect of a slice out. Must not block; outcomes are posted to the loop. */
  abstract carryOut (effect: Effect, slice?: string): void
}

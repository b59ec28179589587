/** A slice: private state, and a pure function that decides on each message. */
import type { Effect, Message, Moment, Step } from './message.js'

/** A pure function: the same state, message and moment always give the same step. */
export type Decide<State, M extends Message, E extends Effect> = (state: State, message: M, moment: Moment) => Step<State, E>

/** The interface between the loop and a slice. */
export abstract class Slice {
  /** The part of a message's kind before the slash. */
  abstract readonly name: string

  /** Handles one message and returns the effects to execute. */
  abstract take (message: Message, moment: Moment): readonly Effect[]
}

/** The parts of a slice. */
export interface SliceParts<State, M extends Message, E extends Effect> {
  readonly name: string
  readonly initial: State
  readonly decide: Decide<State, M, E>
  /** Throws an InvariantError when the state violates an invariant; called after each decision. */
  readonly check?: (state: State) => void
}

/** A slice that replaces its whole state with the outcome of each decision. */
export class DecidingSlice<State, M extends Message, E extends Effect> extends Slice {
  readonly name: string
  #state: State
  readonly #decide: Decide<State, M, E>
  readonly #check: ((state: State) => void) | undefined

  private constructor (parts: SliceParts<State, M, E>) {
    super()
    this.name = parts.name
    this.#state = parts.initial
    this.#decide = parts.decide
    this.#check = parts.check
  }

  /**
   * Creates a slice from its initial state and its decision function.
   * @example DecidingSlice.create({ name: 'routing', initial: createRoutingState(), decide: decideRouting })
   */
  static create<State, M extends Message, E extends Effect> (parts: SliceParts<State, M, E>): DecidingSlice<State, M, E> {
    return new DecidingSlice(parts)
  }

  /** The current state, which is read-only. */
  get state (): State {
    return this.#state
  }

  take (message: Message, moment: Moment): readonly Effect[] {
    const step = this.#decide(this.#state, message as M, moment)
    this.#state = step.state
    this.#check?.(step.state)
    return step.effects
  }
}

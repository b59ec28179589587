/** What the replicated log drives: a state that follows from the log's commands alone. */

/** The outcome of one command. */
export interface Applied<State, Outcome> {
  readonly state: State
  readonly outcome: Outcome
}

/** A deterministic state machine; state, commands and outcomes are plain JSON. */
export abstract class StateMachine<State, Command, Outcome> {
  /** The state before the first command. */
  abstract readonly initial: State

  /** Applies a command; the same state and command always give the same outcome. */
  abstract apply (state: State, command: Command): Applied<State, Outcome>
}

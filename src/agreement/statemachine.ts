/** The state machine behind the replicated log: its state depends on the log's commands alone. */

/** The state after a command, and the outcome of the command. */
export interface ApplyResult<State, Outcome> {
  readonly state: State
  readonly outcome: Outcome
}

/** A deterministic state machine; state, commands and outcomes are plain JSON. */
export abstract class StateMachine<State, Command, Outcome> {
  /** The state before the first command. */
  abstract readonly initial: State

  /** Applies a command. Must be deterministic: the same state and command give the same result on every replica. */
  abstract apply (state: State, command: Command): ApplyResult<State, Outcome>
}

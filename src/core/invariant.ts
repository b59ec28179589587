/** Invariants that are checked while the program runs. */

/** An invariant did not hold. The process ends: its state can't be trusted. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/**
 * Ends the decision with an {@link InvariantError} unless the condition holds.
 * @example assertInvariant(balance <= burst, 'balance within burst', `${balance} of ${burst}`)
 */
export function assertInvariant (condition: boolean, rule: string, detail = ''): asserts condition {
  if (!condition) throw new InvariantError(detail === '' ? rule : `${rule}: ${detail}`)
}

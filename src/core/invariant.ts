/** Invariants that are checked at run time. */

/** An invariant was violated. The process ends, since its state can no longer be trusted. */
export class InvariantError extends Error {
  override readonly name = 'InvariantError'
}

/**
 * Throws an {@link InvariantError} unless the condition holds.
 * @example assertInvariant(balance <= burst, 'balance within burst', `${balance} of ${burst}`)
 */
export function assertInvariant (condition: boolean, rule: string, detail = ''): asserts condition {
  if (!condition) throw new InvariantError(detail === '' ? rule : `${rule}: ${detail}`)
}

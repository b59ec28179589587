/** Which requests write, and which of them may commit what was written. */
import type { RunRequest } from './messages.js'
import type { UnitOfWork } from './state.js'

/**
 * Tells whether a request may commit a write: a single write, or the COMMIT of a transaction that has written.
 * @example isCommit(message, false)
 */
export function isCommit ({ intent, transaction, writes }: RunRequest, hasWritten: boolean): boolean {
  return intent === 'commit' ? hasWritten : intent === 'statement' && transaction === undefined && writes === true
}

/**
 * Tells whether a unit of work waits for the answer to a commit.
 * @example isCommitting(unit)
 */
export function isCommitting ({ phase, run, wrote }: UnitOfWork): boolean {
  return phase === 'running' && isCommit(run, wrote === true)
}

/**
 * Returns a unit of work as it is once its request is sent.
 * @example markWrote(unit).wrote
 */
export function markWrote (unit: UnitOfWork): UnitOfWork {
  const { intent, writes } = unit.run
  return unit.wrote === true || intent !== 'statement' || writes !== true ? unit : { ...unit, wrote: true }
}

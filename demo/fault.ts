/** The fault that the demo brings about: the primary of one group goes. */
import type { StartedDatabase } from './processes.js'

/** How the primary goes. */
export type FaultName = 'kill' | 'freeze' | 'cut' | 'none'

/** A fault that was brought about. */
export interface Fault {
  readonly group: string
  readonly atMs: number
  /** Ends a freeze or a cut. */
  readonly end: () => void
}

/**
 * Brings the fault about on the first primary.
 * @example startFault('kill', databases)
 */
export function startFault (name: FaultName, databases: readonly StartedDatabase[]): Fault | undefined {
  const primary = databases.find(database => database.plan.primary)
  if (primary === undefined || name === 'none') return undefined
  const { child } = primary.process
  const fault = { group: primary.plan.group, atMs: performance.now() }
  switch (name) {
    case 'kill':
      child.kill('SIGKILL')
      return { ...fault, end: () => undefined }
    case 'freeze':
      child.kill('SIGSTOP')
      return { ...fault, end: () => child.kill('SIGCONT') }
    case 'cut':
      primary.relay.cut()
      return { ...fault, end: () => primary.relay.join() }
  }
}

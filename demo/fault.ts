/** Fault injection of the demo: the primary of one group fails. */
import type { StartedDatabase } from './processes.js'

/** How the primary fails: its process is killed or frozen, or its network is cut. */
export type FaultName = 'kill' | 'freeze' | 'cut' | 'none'

/** An injected fault. */
export interface Fault {
  readonly group: string
  readonly atMs: number
  /** Ends a freeze or a cut; does nothing after a kill. */
  readonly end: () => void
}

/**
 * Injects the fault into the first primary; returns undefined for the fault `none` or without a primary.
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
      return { ...fault, end: () => primary.relay.resume() }
  }
}

/** The edge of a host: how it speaks with callers, with databases and with those who announce them. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Adapter } from '../core/adapter.js'
import type { Clock } from '../core/clock.js'
import type { DatabaseGuarantees } from '../databases/guarantees.js'
import type { HostPost } from '../messages.js'
import type { LineStream } from '../monitoring/outlet.js'
import type { Readiness } from '../monitoring/readiness.js'
import type { Command } from '../operations/messages.js'
import type { Settings } from '../settings/settings.js'

/** What an edge is given by its host. */
export interface EdgeParts {
  readonly settings: Settings
  readonly clock: Clock
  readonly post: HostPost
  readonly checkReadiness: () => Readiness
  /** Has an operator's command carried out, and waits for its outcome. */
  readonly operate: (command: Command) => Promise<unknown>
}

/** Translates between the slices and one manner of speaking; it decides nothing. */
export abstract class Edge {
  /** What the databases behind this edge guarantee by themselves. */
  abstract readonly guarantees: DatabaseGuarantees
  /** Where log lines go; standard error when absent. */
  readonly logStream?: LineStream

  /** Creates the adapters that carry out effects for callers and databases. */
  abstract createAdapters (parts: EdgeParts): readonly Adapter[]

  /** Adds what databases call on the address of the peers; nothing unless an edge says otherwise. */
  addRoutes (_router: ConnectRouter): void {}

  /** Starts to listen; returns the callers' address, if there is one. */
  abstract listen (): Promise<string | undefined>

  /** Closes all that the edge opened. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

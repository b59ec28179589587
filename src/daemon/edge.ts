/** The edge of a host: the protocols by which it serves callers, connects to databases and receives their announcements. */
import type { ConnectRouter } from '@connectrpc/connect'
import type { Adapter } from '../core/adapter.js'
import type { Clock } from '../core/clock.js'
import type { DatabaseGuarantees } from '../databases/guarantees.js'
import type { MemoryAccount } from '../memory/account.js'
import type { HostPost } from '../messages.js'
import type { LineStream } from '../monitoring/linewriter.js'
import type { Log } from '../monitoring/log.js'
import type { Readiness } from '../monitoring/readiness.js'
import type { Command } from '../operations/messages.js'
import type { Settings } from '../settings/settings.js'

/** The parts of a host that its edge uses. */
export interface EdgeParts {
  readonly settings: Settings
  readonly clock: Clock
  readonly post: HostPost
  readonly checkReadiness: () => Readiness
  /** Submits an operator's command and resolves with its outcome. */
  readonly operate: (command: Command) => Promise<unknown>
  /** Writes what fails outside of the slices. */
  readonly log: Log
  /** Counts the bytes and connections of the process. */
  readonly account: MemoryAccount
}

/** Translates between the slices and one set of protocols; it makes no decisions. */
export abstract class Edge {
  /** The guarantees that the databases of this edge give by themselves. */
  abstract readonly guarantees: DatabaseGuarantees
  /** The destination of log lines; standard error when absent. */
  readonly logStream?: LineStream

  /** Creates the adapters that execute effects for callers and databases. */
  abstract createAdapters (parts: EdgeParts): readonly Adapter[]

  /** Adds the services that databases call at the peers' address; none by default. */
  addRoutes (_router: ConnectRouter): void {}

  /** Starts to listen for callers; returns their address, or undefined when the host serves none. */
  abstract listen (): Promise<string | undefined>

  /** Closes all servers and connections of the edge. */
  abstract [Symbol.asyncDispose] (): Promise<void>
}

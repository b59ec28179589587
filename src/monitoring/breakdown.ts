/** Requests by route, workspace and database: which of them fails or is late, with bounded sets of labels. */
import { Histogram, type Registry } from 'prom-client'
import type { HostMessage } from '../messages.js'
import { Counts, METRIC_PREFIX } from './counts.js'

/** Names of one kind that get labels of their own; 200 names with 10 outcomes are 2,000 lines on the page. */
const MAX_NAMES = 200
/** The label of all names beyond them. */
const OTHER = 'other'
/** Coarser than the histogram of all requests, since there is one for each route. */
const ROUTE_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5]

/** What is known of a caller's requests. */
interface Labels {
  readonly workspace?: string
  readonly route?: string
  readonly database?: string
}

/** Counts requests by what they asked for and by who asked. */
export class Breakdown {
  readonly #callers = new Map<string, Labels>()
  readonly #names = new Map<string, Set<string>>()
  readonly #workspaces: Counts
  readonly #routes: Counts
  readonly #databases: Counts
  readonly #durations: Histogram

  private constructor (registry: Registry) {
    this.#workspaces = Counts.create({ registry, name: `${METRIC_PREFIX}workspace_requests_total`, help: 'Requests that ended, by workspace, and by outcome: finished, rolled-back, or the code of the error.', labels: ['workspace', 'outcome'] })
    this.#routes = Counts.create({ registry, name: `${METRIC_PREFIX}route_requests_total`, help: 'The same by route.', labels: ['route', 'outcome'] })
    this.#databases = Counts.create({ registry, name: `${METRIC_PREFIX}database_requests_total`, help: 'The same by the database of the last attempt.', labels: ['database', 'outcome'] })
    this.#durations = new Histogram({ name: `${METRIC_PREFIX}route_request_duration_seconds`, help: 'Time from the arrival of a request to the end of its answer, by route.', labelNames: ['route'], buckets: ROUTE_BUCKETS_SECONDS, registers: [registry] })
  }

  /**
   * Creates counts without a request.
   * @example Breakdown.create(registry)
   */
  static create (registry: Registry): Breakdown {
    return new Breakdown(registry)
  }

  /** Learns what a caller's requests ask for. */
  observeMessage (message: HostMessage): void {
    switch (message.kind) {
      case 'requests/open': this.#learn(message.caller, { route: message.route }); break
      case 'requests/open-checked': this.#learn(message.caller, { workspace: message.workspace }); break
      case 'requests/arrived':
        this.#learn(message.caller, message.input.route === undefined ? { database: undefined } : { route: message.input.route, database: undefined })
        break
      case 'requests/routed': this.#learn(message.caller, { database: message.target.database }); break
      case 'requests/closed': this.#callers.delete(message.caller); break
    }
  }

  /** Counts a request that ended. */
  endRequest (caller: string, outcome: string, seconds: number): void {
    const { workspace, route, database } = this.#callers.get(caller) ?? {}
    this.#workspaces.add(this.#pickLabel('workspace', workspace), outcome)
    const label = this.#pickLabel('route', route)
    this.#routes.add(label, outcome)
    this.#durations.observe({ route: label }, seconds)
    if (database !== undefined) this.#databases.add(this.#pickLabel('database', database), outcome)
  }

  #learn (caller: string, labels: Labels): void {
    this.#callers.set(caller, { ...this.#callers.get(caller), ...labels })
  }

  // An empty label stands for requests without a name of that kind.
  #pickLabel (kind: string, name = ''): string {
    const names = this.#names.get(kind) ?? new Set<string>()
    this.#names.set(kind, names)
    if (names.has(name)) return name
    if (names.size >= MAX_NAMES) return OTHER
    names.add(name)
    return name
  }
}

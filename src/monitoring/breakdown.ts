/** Request metrics by route, workspace and database, with a bounded number of label values. */
import { Histogram, type Registry } from 'prom-client'
import type { HostMessage } from '../messages.js'
import { LabeledCounter, METRIC_PREFIX } from './labeledcounter.js'

/** The most names of one kind with a label value of their own; 200 names with 10 outcomes give 2,000 lines on the page. */
const MAX_LABEL_VALUES = 200
/** The label value of all further names. */
const OTHER_LABEL = 'other'
/** Fewer buckets than the histogram of all requests has, since there is one histogram for each route. */
const ROUTE_BUCKETS_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5]

/** The label values of a caller's requests. */
interface Labels {
  readonly workspace?: string
  readonly route?: string
  readonly database?: string
}

/** Counts requests by route, workspace and database. */
export class RequestBreakdown {
  readonly #callers = new Map<string, Labels>()
  readonly #names = new Map<string, Set<string>>()
  readonly #workspaces: LabeledCounter
  readonly #routes: LabeledCounter
  readonly #databases: LabeledCounter
  readonly #durations: Histogram

  private constructor (registry: Registry) {
    this.#workspaces = LabeledCounter.create({ registry, name: `${METRIC_PREFIX}workspace_requests_total`, help: 'Requests that ended, by workspace, and by outcome: finished, rolled-back, or the code of the error.', labels: ['workspace', 'outcome'] })
    this.#routes = LabeledCounter.create({ registry, name: `${METRIC_PREFIX}route_requests_total`, help: 'The same by route.', labels: ['route', 'outcome'] })
    this.#databases = LabeledCounter.create({ registry, name: `${METRIC_PREFIX}database_requests_total`, help: 'The same by the database of the last attempt.', labels: ['database', 'outcome'] })
    this.#durations = new Histogram({ name: `${METRIC_PREFIX}route_request_duration_seconds`, help: 'Time from the arrival of a request to the end of its answer, by route.', labelNames: ['route'], buckets: ROUTE_BUCKETS_SECONDS, registers: [registry] })
  }

  /**
   * Creates and registers the metrics.
   * @example RequestBreakdown.create(registry)
   */
  static create (registry: Registry): RequestBreakdown {
    return new RequestBreakdown(registry)
  }

  /** Updates the label values of a caller from a message. */
  observeMessage (message: HostMessage): void {
    switch (message.kind) {
      case 'requests/open': this.#updateLabels(message.caller, { route: message.route }); break
      case 'requests/open-checked': this.#updateLabels(message.caller, { workspace: message.workspace }); break
      case 'requests/arrived':
        this.#updateLabels(message.caller, message.input.route === undefined ? { database: undefined } : { route: message.input.route, database: undefined })
        break
      case 'requests/routed': this.#updateLabels(message.caller, { database: message.target.database }); break
      case 'requests/closed': this.#callers.delete(message.caller); break
    }
  }

  /** Counts a completed request. */
  endRequest (caller: string, outcome: string, seconds: number): void {
    const { workspace, route, database } = this.#callers.get(caller) ?? {}
    this.#workspaces.increment(this.#pickLabel('workspace', workspace), outcome)
    const label = this.#pickLabel('route', route)
    this.#routes.increment(label, outcome)
    this.#durations.observe({ route: label }, seconds)
    if (database !== undefined) this.#databases.increment(this.#pickLabel('database', database), outcome)
  }

  #updateLabels (caller: string, labels: Labels): void {
    this.#callers.set(caller, { ...this.#callers.get(caller), ...labels })
  }

  // Requests without a name of that kind get an empty label value.
  #pickLabel (kind: string, name = ''): string {
    const names = this.#names.get(kind) ?? new Set<string>()
    this.#names.set(kind, names)
    if (names.has(name)) return name
    if (names.size >= MAX_LABEL_VALUES) return OTHER_LABEL
    names.add(name)
    return name
  }
}

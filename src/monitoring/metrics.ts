/** Metrics of a process, derived from the messages and effects of its loop; slices are not involved. */
import { collectDefaultMetrics, Gauge, Histogram, Registry } from 'prom-client'
import type { Effect } from '../core/message.js'
import type { DatabaseEffect } from '../databases/driver.js'
import type { CallerEffect } from '../frontends/frontend.js'
import { isEvacuated } from '../evacuation/view.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { CloseConnection } from '../memory/decide.js'
import type { HostMessage } from '../messages.js'
import type { Traffic } from '../peers/traffic.js'
import { RequestBreakdown } from './breakdown.js'
import { LabeledCounter, METRIC_PREFIX } from './labeledcounter.js'

const DURATION_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]
const MS_PER_SECOND = 1_000
/** How often the delay of the event loop is sampled: each sample wakes an otherwise idle process. */
const EVENT_LOOP_SAMPLE_MS = 100

/** Counts messages and effects of the loop, and the traffic between hosts. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #startedAtMs = new Map<string, number>()
  readonly #pendingActions = new Map<string, 'read' | 'write'>()
  readonly #callers = new Set<string>()
  readonly #connections = new Set<string>()
  readonly #terms = new Map<string, number>()
  readonly #versions = new Map<string, number>()
  readonly #evacuated = new Set<string>()
  readonly #messages = this.#createCounter('messages_total', 'Messages of the loop, by kind.', ['kind'])
  readonly #requests = this.#createCounter('requests_total', 'Requests of callers, by outcome.', ['outcome'])
  readonly #refusals = this.#createCounter('refusals_total', 'Requests and callers that got an error, by its code.', ['code'])
  readonly #routed = this.#createCounter('routed_total', 'Attempts that found a database, by what they do and by the role of the database.', ['action', 'role'])
  readonly #left = this.#createCounter('reads_left_total', 'Attempts of reads that left the failure domain of their host, by reason; none where a fixed cost decides.', ['reason'])
  readonly #beats = this.#createCounter('beats_total', 'Reports of this host to the leader, sent and answered.', ['outcome'])
  readonly #events = this.#createCounter('events_total', 'Events of the time line, by name.', ['event'])
  readonly #failovers = this.#createCounter('failovers_total', 'Changes of a primary that this host saw.', [])
  readonly #peerBytes = this.#createCounter('peer_bytes_total', 'Bytes of messages between hosts, without TCP and TLS.', ['direction', 'purpose'])
  readonly #limited = this.#createCounter('limits_total', 'Actions of the limits on bytes and connections, by action.', ['action'])
  readonly #breakdown = RequestBreakdown.create(this.#registry)
  readonly #duration = new Histogram({
    name: `${METRIC_PREFIX}request_duration_seconds`,
    help: 'Time from the arrival of a request to the end of its answer.',
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.#registry]
  })

  private constructor () {
    collectDefaultMetrics({ register: this.#registry, prefix: METRIC_PREFIX, eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_MS })
    this.#addGauge('requests_running', 'Requests that wait or run.', this.#startedAtMs)
    this.#addGauge('callers_connected', 'Connections of callers.', this.#callers)
    this.#addVersions()
    this.#addGauge('databases_evacuated', 'Databases that get no requests, by an operators\' order that this host knows.', this.#evacuated)
    this.#addGauge('database_connections', 'Connections to databases that this host owns.', this.#connections)
  }

  /**
   * Creates metrics in a registry of their own, beginning at zero.
   * @example const metrics = Metrics.create()
   */
  static create (): Metrics {
    return new Metrics()
  }

  /** Adds the gauge of the age of the leader's last confirmation; it has no value before the first one. */
  addConfirmationAge (readAgeMs: () => number | undefined): void {
    const gauge: Gauge = new Gauge({
      name: `${METRIC_PREFIX}confirmation_age_seconds`,
      help: 'Time since this host sent the last report that the leader answered.',
      registers: [this.#registry],
      collect: () => gauge.set((readAgeMs() ?? NaN) / MS_PER_SECOND)
    })
  }

  /** Adds the gauge of the bytes that connections hold. */
  addHeldBytes (readBytes: () => number): void {
    const gauge: Gauge = new Gauge({
      name: `${METRIC_PREFIX}held_bytes`,
      help: 'Bytes that connections hold: read and not answered, or written and not read.',
      registers: [this.#registry],
      collect: () => gauge.set(readBytes())
    })
  }

  /** The content type of the rendered metrics. */
  get contentType (): string {
    return this.#registry.contentType
  }

  /** Renders all metrics in the Prometheus text format. */
  async render (): Promise<string> {
    return await this.#registry.metrics()
  }

  /** Counts a message before its decision. */
  observeMessage (message: HostMessage): void {
    this.#messages.increment(message.kind)
    this.#breakdown.observeMessage(message)
    switch (message.kind) {
      case 'requests/open': this.#callers.add(message.caller); break
      case 'requests/arrived': this.#startedAtMs.set(message.caller, performance.now()); break
      case 'requests/closed': this.#removeCaller(message.caller); break
      case 'requests/routed':
        this.#observeRoute(message.caller, message.target.purpose)
        if (message.target.left !== undefined) this.#left.increment(message.target.left)
        break
      case 'routing/choose': this.#pendingActions.set(message.caller, message.rules.action); break
      case 'routing/directory-changed': this.#observeGrants(message.grants); this.#observeEvacuated(message.databases); break
      case 'transactions/open-failed':
      case 'transactions/broken': this.#connections.delete(message.connection); break
      case 'admission/documents-confirmed':
        for (const { service, version } of message.documents ?? []) this.#versions.set(service, Math.max(version, this.#versions.get(service) ?? 0))
        break
      case 'memory/measured':
        for (const [action, count] of Object.entries(message.counts)) if (count > 0) this.#limited.incrementBy(count as number, action)
        break
      case 'membership/beat-due': this.#beats.increment('sent'); break
      case 'membership/beat-answered': this.#beats.increment('answered'); break
    }
  }

  /** Counts an effect before it is executed. */
  observeEffect (effect: Effect): void {
    const known = effect as CallerEffect | DatabaseEffect | CloseConnection | { readonly kind: 'timeline/record', readonly event: string }
    switch (known.kind) {
      case 'caller/finished': this.#endRequest(known.caller, 'finished'); break
      case 'caller/failed':
        this.#endRequest(known.caller, 'failed', known.failure.code)
        this.#refusals.increment(known.failure.code)
        break
      case 'caller/rolled-back': this.#endRequest(known.caller, 'rolled-back'); break
      case 'caller/refused': this.#refusals.increment(known.failure.code); break
      case 'database/open': this.#connections.add(known.connection); break
      case 'database/close': this.#connections.delete(known.connection); break
      case 'connection/close': this.#limited.increment(known.reason); break
      case 'timeline/record': this.#events.increment(known.event); break
    }
  }

  /** Counts the bytes of one message between hosts. */
  observeTraffic ({ direction, purpose, bytes }: Traffic): void {
    this.#peerBytes.incrementBy(bytes, direction, purpose)
  }

  #observeRoute (caller: string, role: string): void {
    const action = this.#pendingActions.get(caller)
    if (action === undefined) return
    this.#pendingActions.delete(caller)
    this.#routed.increment(action, role)
  }

  #observeEvacuated (databases: readonly DatabaseEntry[]): void {
    this.#evacuated.clear()
    for (const entry of databases) if (isEvacuated(entry)) this.#evacuated.add(entry.database)
  }

  #observeGrants (grants: readonly GrantEntry[]): void {
    for (const { group, term, primary } of grants) {
      const known = this.#terms.get(group)
      if (primary === undefined || known === term) continue
      if (known !== undefined) this.#failovers.increment()
      this.#terms.set(group, term)
    }
  }

  #endRequest (caller: string, outcome: string, detail = outcome): void {
    const startedAtMs = this.#startedAtMs.get(caller)
    if (startedAtMs === undefined) return
    this.#startedAtMs.delete(caller)
    this.#requests.increment(outcome)
    const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND
    this.#duration.observe(seconds)
    this.#breakdown.endRequest(caller, detail, seconds)
  }

  #removeCaller (caller: string): void {
    this.#callers.delete(caller)
    this.#startedAtMs.delete(caller)
    this.#pendingActions.delete(caller)
  }

  #createCounter (name: string, help: string, labels: readonly string[]): LabeledCounter {
    return LabeledCounter.create({ registry: this.#registry, name: `${METRIC_PREFIX}${name}`, help, labels })
  }

  #addVersions (): void {
    const gauge: Gauge = new Gauge({
      name: `${METRIC_PREFIX}document_version`,
      help: 'Version of each document in force on this host.',
      labelNames: ['service'],
      registers: [this.#registry],
      collect: () => {
        for (const [service, version] of this.#versions) gauge.set({ service }, version)
      }
    })
  }

  #addGauge (name: string, help: string, counted: { readonly size: number }): void {
    const gauge: Gauge = new Gauge({ name: `${METRIC_PREFIX}${name}`, help, registers: [this.#registry], collect: () => gauge.set(counted.size) })
  }
}

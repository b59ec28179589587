/** Metrics of a process, counted from the messages and effects of its loop; slices know nothing of them. */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client'
import type { Effect } from '../core/message.js'
import type { DatabaseEffect } from '../databases/driver.js'
import type { CallerEffect } from '../frontends/frontend.js'
import type { GrantEntry } from '../membership/directory.js'
import type { HostMessage } from '../messages.js'
import type { Traffic } from '../peers/traffic.js'

const PREFIX = 'fulmartally_'
const DURATION_BUCKETS_SECONDS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5]
const MS_PER_SECOND = 1_000

/** Counts what passes the loop and the links. */
export class Metrics {
  readonly #registry = new Registry()
  readonly #messages = new Map<string, number>()
  readonly #startedAtMs = new Map<string, number>()
  readonly #choices = new Map<string, 'read' | 'write'>()
  readonly #callers = new Set<string>()
  readonly #connections = new Set<string>()
  readonly #terms = new Map<string, number>()
  readonly #requests = this.#createCounter('requests_total', 'Requests of callers, by outcome.', ['outcome'])
  readonly #refusals = this.#createCounter('refusals_total', 'Requests and callers that got an error, by its code.', ['code'])
  readonly #routed = this.#createCounter('routed_total', 'Attempts that found a database, by what they do and by the role of the database.', ['action', 'role'])
  readonly #beats = this.#createCounter('beats_total', 'Reports of this host to the leader, sent and answered.', ['outcome'])
  readonly #events = this.#createCounter('events_total', 'Events of the time line, by name.', ['event'])
  readonly #failovers = this.#createCounter('failovers_total', 'Changes of a primary that this host saw.', [])
  readonly #peerBytes = this.#createCounter('peer_bytes_total', 'Bytes of messages between hosts, without TCP and TLS.', ['direction', 'purpose'])
  readonly #duration = new Histogram({
    name: `${PREFIX}request_duration_seconds`,
    help: 'Time from the arrival of a request to the end of its answer.',
    buckets: DURATION_BUCKETS_SECONDS,
    registers: [this.#registry]
  })

  private constructor () {
    collectDefaultMetrics({ register: this.#registry, prefix: PREFIX })
    this.#addGauge('requests_running', 'Requests that wait or run.', this.#startedAtMs)
    this.#addGauge('callers_connected', 'Connections of callers.', this.#callers)
    this.#addGauge('database_connections', 'Connections to databases that this host owns.', this.#connections)
    this.#addMessageCounter()
  }

  /**
   * Creates metrics that start at zero.
   * @example const metrics = Metrics.create()
   */
  static create (): Metrics {
    return new Metrics()
  }

  /** The type of the page. */
  get contentType (): string {
    return this.#registry.contentType
  }

  /** Writes all metrics in the text format of Prometheus. */
  async render (): Promise<string> {
    return await this.#registry.metrics()
  }

  /** Counts a message before its decision. */
  observeMessage (message: HostMessage): void {
    this.#messages.set(message.kind, (this.#messages.get(message.kind) ?? 0) + 1)
    switch (message.kind) {
      case 'requests/open': this.#callers.add(message.caller); break
      case 'requests/arrived': this.#startedAtMs.set(message.caller, performance.now()); break
      case 'requests/closed': this.#dropCaller(message.caller); break
      case 'requests/routed': this.#observeRoute(message.caller, message.target.purpose); break
      case 'routing/choose': this.#choices.set(message.caller, message.rules.action); break
      case 'routing/directory-changed': this.#observeGrants(message.grants); break
      case 'transactions/open-failed':
      case 'transactions/broken': this.#connections.delete(message.connection); break
      case 'membership/beat-due': this.#beats.inc({ outcome: 'sent' }); break
      case 'membership/beat-answered': this.#beats.inc({ outcome: 'answered' }); break
    }
  }

  /** Counts an effect as it leaves. */
  observeEffect (effect: Effect): void {
    const known = effect as CallerEffect | DatabaseEffect | { readonly kind: 'timeline/record', readonly event: string }
    switch (known.kind) {
      case 'caller/finished': this.#endRequest(known.caller, 'finished'); break
      case 'caller/failed':
        this.#endRequest(known.caller, 'failed')
        this.#refusals.inc({ code: known.failure.code })
        break
      case 'caller/rolled-back': this.#endRequest(known.caller, 'rolled-back'); break
      case 'caller/refused': this.#refusals.inc({ code: known.failure.code }); break
      case 'database/open': this.#connections.add(known.connection); break
      case 'database/close': this.#connections.delete(known.connection); break
      case 'timeline/record': this.#events.inc({ event: known.event }); break
    }
  }

  /** Counts the bytes of one message between hosts. */
  observeTraffic ({ direction, purpose, bytes }: Traffic): void {
    this.#peerBytes.inc({ direction, purpose }, bytes)
  }

  #observeRoute (caller: string, role: string): void {
    const action = this.#choices.get(caller)
    if (action === undefined) return
    this.#choices.delete(caller)
    this.#routed.inc({ action, role })
  }

  #observeGrants (grants: readonly GrantEntry[]): void {
    for (const { group, term, primary } of grants) {
      const known = this.#terms.get(group)
      if (primary === undefined || known === term) continue
      if (known !== undefined) this.#failovers.inc()
      this.#terms.set(group, term)
    }
  }

  #endRequest (caller: string, outcome: string): void {
    const startedAtMs = this.#startedAtMs.get(caller)
    if (startedAtMs === undefined) return
    this.#startedAtMs.delete(caller)
    this.#requests.inc({ outcome })
    this.#duration.observe((performance.now() - startedAtMs) / MS_PER_SECOND)
  }

  #dropCaller (caller: string): void {
    this.#callers.delete(caller)
    this.#startedAtMs.delete(caller)
    this.#choices.delete(caller)
  }

  #createCounter<L extends string> (name: string, help: string, labelNames: readonly L[]): Counter<L> {
    return new Counter({ name: `${PREFIX}${name}`, help, labelNames, registers: [this.#registry] })
  }

  #addGauge (name: string, help: string, counted: { readonly size: number }): void {
    const gauge: Gauge = new Gauge({ name: `${PREFIX}${name}`, help, registers: [this.#registry], collect: () => gauge.set(counted.size) })
  }

  #addMessageCounter (): void {
    const messages = this.#messages
    const counter: Counter<'kind'> = new Counter({
      name: `${PREFIX}messages_total`,
      help: 'Messages of the loop, by kind.',
      labelNames: ['kind'],
      registers: [this.#registry],
      collect: () => {
        counter.reset()
        for (const [kind, count] of messages) counter.inc({ kind }, count)
      }
    })
  }
}

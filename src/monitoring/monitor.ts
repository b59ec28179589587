/** Observes the loop of a process for metrics, readiness and logs, without involving the slices. */
import { SystemClock, type Clock } from '../core/clock.js'
import type { Effect, Message, RecordEvent } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import { LoadReport } from './load.js'
import type { Log } from './log.js'
import { Metrics } from './metrics.js'
import { createPages, type HandlePage } from './pages.js'
import { checkReadiness, INITIAL_FACTS, updateReadiness, type Readiness, type ReadinessFacts } from './readiness.js'

/** Observes each message and each effect of a process. */
export class Monitor {
  readonly metrics = Metrics.create()
  readonly #host: string
  readonly #log: Log
  readonly #clock: Clock
  readonly #load: LoadReport
  #facts: ReadinessFacts

  private constructor (host: string, log: Log, clock: Clock, keepsAuthority: boolean) {
    this.#host = host
    this.#log = log
    this.#clock = clock
    this.#load = LoadReport.create(log)
    this.#facts = { ...INITIAL_FACTS, keepsAuthority }
    this.metrics.addConfirmationAge(() => this.#facts.confirmedAtMs === undefined ? undefined : this.#clock.read().monotonicMs - this.#facts.confirmedAtMs)
  }

  /**
   * Creates the monitor of a host.
   * @example Monitor.create('host-1', log, SystemClock.create())
   */
  static create (host: string, log: Log, clock: Clock = SystemClock.create(), keepsAuthority = false): Monitor {
    return new Monitor(host, log, clock, keepsAuthority)
  }

  /** Updates metrics and readiness from a message before its decision, at its monotonic time. */
  readonly observeMessage = (message: Message, nowMs = this.#clock.read().monotonicMs): void => {
    this.#load.observeMessage(message, nowMs)
    this.metrics.observeMessage(message as HostMessage)
    this.#facts = updateReadiness(this.#facts, this.#host, message as HostMessage)
  }

  /** Adds the time that a message took to the report of the load, in milliseconds. */
  readonly observeHandled = (message: Message, tookMs: number): void => this.#load.observeHandled(message, tookMs)

  /** Updates metrics from an effect before it is executed; timeline events are logged, too. */
  readonly observeEffect = (effect: Effect, slice: string): void => {
    this.metrics.observeEffect(effect)
    if (effect.kind === 'timeline/record') this.#recordEvent(effect as RecordEvent, slice)
  }

  #recordEvent ({ event, text, group, request }: RecordEvent, slice: string): void {
    this.#log.write(slice, 'info', text, { event, group, request })
  }

  /** Returns whether the load balancer should send callers to this host. */
  readonly checkReadiness = (): Readiness => checkReadiness(this.#facts, this.#clock.read().monotonicMs)

  /** Creates the handler of the pages `/metrics`, `/health` and `/ready`. */
  createPages (): HandlePage {
    return createPages({
      metrics: this.metrics,
      checkReadiness: this.checkReadiness,
      onError: (path, error) => this.#log.write('monitoring', 'error', 'A page could not be rendered.', { path, reason: String(error) })
    })
  }
}

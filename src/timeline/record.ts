/** The time line of one process: a bounded list of its events. */
import { Adapter } from '../core/adapter.js'
import type { RecordEvent } from '../core/message.js'

const EVENTS_KEPT = 10_000

/** One event, with the time at which it was recorded. */
export interface TimelineEvent {
  readonly wallMs: number
  readonly event: string
  readonly text: string
  readonly group?: string
  readonly request?: string
}

/** Keeps the last events of this process. */
export class TimelineRecorder extends Adapter {
  readonly name = 'timeline'
  #events: readonly TimelineEvent[] = []

  private constructor () {
    super()
  }

  /**
   * Creates a recorder without events.
   * @example TimelineRecorder.create()
   */
  static create (): TimelineRecorder {
    return new TimelineRecorder()
  }

  /** The events, oldest first. */
  get events (): readonly TimelineEvent[] {
    return this.#events
  }

  carryOut (effect: RecordEvent): void {
    const { event, text, group, request } = effect
    this.#events = [...this.#events.slice(-(EVENTS_KEPT - 1)), { wallMs: Date.now(), event, text, group, request }]
  }
}

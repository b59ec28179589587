/** The adapter that records the events of this process in a bounded buffer. */
import { Adapter } from '../core/adapter.js'
import type { RecordEvent } from '../core/message.js'
import type { HostPost } from '../messages.js'
import type { HybridLogicalClock } from './clock.js'
import type { SelectEvents } from './decide.js'
import type { TimelineEvent, TimelineQuery } from './messages.js'
import { RingBuffer } from './ringbuffer.js'

const MAX_EVENTS = 10_000

/** The parts of a recorder. */
export interface RecorderParts {
  readonly host: string
  readonly clock: HybridLogicalClock
  readonly post: HostPost
}

/** Keeps the most recent events of this process. */
export class TimelineRecorder extends Adapter {
  readonly name = 'timeline'
  readonly #parts: RecorderParts
  readonly #events = RingBuffer.create<TimelineEvent>(MAX_EVENTS)

  private constructor (parts: RecorderParts) {
    super()
    this.#parts = parts
  }

  /**
   * Creates a recorder without events.
   * @example TimelineRecorder.create({ host: 'host-1', clock: HybridLogicalClock.create(), post: loop.post })
   */
  static create (parts: RecorderParts): TimelineRecorder {
    return new TimelineRecorder(parts)
  }

  /** The recorded events, oldest first. */
  get events (): readonly TimelineEvent[] {
    return this.#events.list()
  }

  execute (effect: RecordEvent | SelectEvents, part = 'daemon'): void {
    if (effect.kind === 'timeline/record') return this.#record(effect, part)
    const { to, operation, query } = effect
    const sinceMs = Date.now() - query.sinceMs
    const events = this.events.filter(event => event.stamp.wallMs >= sinceMs && matchesQuery(event, query))
    this.#parts.post({ kind: 'timeline/selected', to, operation, events })
  }

  #record ({ event, text, group, request }: RecordEvent, part: string): void {
    const { host, clock } = this.#parts
    this.#events.add({ stamp: clock.advance(), host, part, event, text, group, request })
  }
}

/**
 * Tells whether an event matches the group and the request of a query, where it names them.
 * @example matchesQuery(event, { sinceMs: 30_000, group: 'a' })
 */
export function matchesQuery (event: TimelineEvent, query: TimelineQuery): boolean {
  if (query.group !== undefined && event.group !== query.group) return false
  return query.request === undefined || event.request === query.request
}

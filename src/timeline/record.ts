/** The time line of one process: a bounded list of its events. */
import { Adapter } from '../core/adapter.js'
import type { RecordEvent } from '../core/message.js'
import type { HostPost } from '../messages.js'
import type { StampClock } from './clock.js'
import type { SelectEvents } from './decide.js'
import type { TimelineEvent, TimelineQuery } from './messages.js'
import { Ring } from './ring.js'

const EVENTS_KEPT = 10_000

/** What a recorder is made of. */
export interface RecorderParts {
  readonly host: string
  readonly clock: StampClock
  readonly post: HostPost
}

/** Keeps the last events of this process. */
export class TimelineRecorder extends Adapter {
  readonly name = 'timeline'
  readonly #parts: RecorderParts
  readonly #events = Ring.create<TimelineEvent>(EVENTS_KEPT)

  private constructor (parts: RecorderParts) {
    super()
    this.#parts = parts
  }

  /**
   * Creates a recorder without events.
   * @example TimelineRecorder.create({ host: 'host-1', clock: StampClock.create(), post: loop.post })
   */
  static create (parts: RecorderParts): TimelineRecorder {
    return new TimelineRecorder(parts)
  }

  /** The events, oldest first. */
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
 * Tells whether an event belongs to the group and the request that are asked for.
 * @example matchesQuery(event, { sinceMs: 30_000, group: 'a' })
 */
export function matchesQuery (event: TimelineEvent, query: TimelineQuery): boolean {
  if (query.group !== undefined && event.group !== query.group) return false
  return query.request === undefined || event.request === query.request
}

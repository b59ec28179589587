/** Messages of the timeline slice: the events of all processes, merged. */
import type { Stamp } from './stamp.js'

/** Which events to show. */
export interface TimelineQuery {
  /** How far back to look. */
  readonly sinceMs: number
  readonly request?: string
  readonly group?: string
}

/** One event of one process. */
export interface TimelineEvent {
  readonly stamp: Stamp
  /** The process that recorded it. */
  readonly host: string
  /** The slice that recorded it. */
  readonly part: string
  readonly event: string
  readonly text: string
  readonly group?: string
  readonly request?: string
}

/** The merged time line. */
export interface MergedTimeline {
  /** In the order of their stamps. */
  readonly events: readonly TimelineEvent[]
  /** Hosts whose events are in it. */
  readonly hosts: readonly string[]
  /** Hosts that did not answer in time. */
  readonly silent: readonly string[]
}

/** The hosts of the directory changed. */
export interface HostsKnown {
  readonly kind: 'timeline/hosts-known'
  readonly hosts: readonly string[]
}

/** An operator asks for the merged time line. */
export interface Read {
  readonly kind: 'timeline/read'
  /** Names the operator's waiting call. */
  readonly operation: string
  readonly query: TimelineQuery
}

/** A host asks for the events of this process. */
export interface EventsAsked {
  readonly kind: 'timeline/events-asked'
  readonly from?: string
  readonly operation: string
  readonly query: TimelineQuery
}

/** The events of this process were selected for a host. */
export interface Selected {
  readonly kind: 'timeline/selected'
  readonly to: string
  readonly operation: string
  readonly events: readonly TimelineEvent[]
}

/** A host's events. */
export interface EventsTold {
  readonly kind: 'timeline/events-told'
  readonly from?: string
  readonly operation: string
  readonly events: readonly TimelineEvent[]
}

/** Hosts that have not answered by now are left out. */
export interface ReadOver {
  readonly kind: 'timeline/read-over'
  readonly operation: string
}

/** Any message of the timeline slice. */
export type TimelineMessage = HostsKnown | Read | EventsAsked | Selected | EventsTold | ReadOver

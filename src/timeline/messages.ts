/** Messages of the timeline slice, which merges the events of all processes. */
import type { Stamp } from './stamp.js'

/** Selects the events to show. */
export interface TimelineQuery {
  /** The maximum age of events, in milliseconds. */
  readonly sinceMs: number
  readonly request?: string
  readonly group?: string
}

/** An event that a process recorded. */
export interface TimelineEvent {
  readonly stamp: Stamp
  /** The host whose process recorded it. */
  readonly host: string
  /** The slice that recorded it. */
  readonly part: string
  readonly event: string
  readonly text: string
  readonly group?: string
  readonly request?: string
}

/** The merged timeline. */
export interface MergedTimeline {
  /** In the order of their stamps. */
  readonly events: readonly TimelineEvent[]
  /** Hosts whose events are included. */
  readonly hosts: readonly string[]
  /** Hosts that did not answer in time. */
  readonly silent: readonly string[]
}

/** The set of hosts in the directory changed. */
export interface HostsChanged {
  readonly kind: 'timeline/hosts-known'
  readonly hosts: readonly string[]
}

/** An operator requests the merged timeline. */
export interface ReadTimeline {
  readonly kind: 'timeline/read'
  /** Identifies the operator's call that waits for the answer. */
  readonly operation: string
  readonly query: TimelineQuery
}

/** A host requests the events of this process. */
export interface EventsRequested {
  readonly kind: 'timeline/events-asked'
  readonly from?: string
  readonly operation: string
  readonly query: TimelineQuery
}

/** The events of this process were selected for a host. */
export interface EventsSelected {
  readonly kind: 'timeline/selected'
  readonly to: string
  readonly operation: string
  readonly events: readonly TimelineEvent[]
}

/** A host answered with its events. */
export interface EventsReceived {
  readonly kind: 'timeline/events-told'
  readonly from?: string
  readonly operation: string
  readonly events: readonly TimelineEvent[]
}

/** The read timed out: it is answered without the hosts that have not answered yet. */
export interface ReadTimedOut {
  readonly kind: 'timeline/read-over'
  readonly operation: string
}

/** Any message of the timeline slice. */
export type TimelineMessage = HostsChanged | ReadTimeline | EventsRequested | EventsSelected | EventsReceived | ReadTimedOut

/** Decisions of the timeline slice: collects the events of all hosts, within a bounded wait. */
import { clearTimer, type CoreEffect, type Effect } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { EventsAsked, EventsTold, MergedTimeline, Read, TimelineEvent, TimelineMessage, TimelineQuery } from './messages.js'
import { compareStamps } from './stamp.js'

/** How long hosts have to answer. */
export const READ_WITHIN_MS = 2_000
/** Events in one merged time line; the oldest are left out. */
export const MAX_MERGED_EVENTS = 20_000

/** Facts of the timeline slice. */
export interface TimelineShared {
  readonly self: string
  readonly hosts: readonly string[]
}

/** A time line that is being collected. */
export interface Collection {
  readonly waiting: readonly string[]
  readonly answered: readonly string[]
  readonly events: readonly TimelineEvent[]
}

/** Selects events of this process and posts them back. */
export interface SelectEvents extends Effect {
  readonly kind: 'timeline/select'
  readonly to: string
  readonly operation: string
  readonly query: TimelineQuery
}

type TimelineStore = Store<TimelineShared, Collection>
type TimelineStep = StoreStep<TimelineShared, Collection, CoreEffect | SelectEvents>

/**
 * Creates the facts of a host that knows only itself.
 * @example createTimelineShared('host-1').hosts // ['host-1']
 */
export function createTimelineShared (self: string): TimelineShared {
  return { self, hosts: [self] }
}

/**
 * Decides on one message of the timeline slice.
 * @example decideTimeline(store, { kind: 'timeline/read', operation: '1', query: { sinceMs: 30_000 } })
 */
export function decideTimeline (store: TimelineStore, message: TimelineMessage): TimelineStep {
  switch (message.kind) {
    case 'timeline/hosts-known': return takeHosts(store, message.hosts)
    case 'timeline/read': return startRead(store, message)
    case 'timeline/events-asked': return selectEvents(store, message)
    case 'timeline/selected': return { effects: [sendPeer(message.to, { kind: 'timeline/events-told', operation: message.operation, events: message.events })] }
    case 'timeline/events-told': return takeEvents(store, message)
    case 'timeline/read-over': return endRead(store, message.operation)
  }
}

function takeHosts (store: TimelineStore, hosts: readonly string[]): TimelineStep {
  const { self } = store.shared
  return { shared: { self, hosts: hosts.includes(self) ? hosts : [self, ...hosts] }, effects: [] }
}

function startRead (store: TimelineStore, { operation, query }: Read): TimelineStep {
  const { hosts } = store.shared
  const asked = hosts.map(host => sendPeer(host, { kind: 'timeline/events-asked', operation, query }))
  const timer = setTimer(nameTimer(operation), READ_WITHIN_MS, { kind: 'timeline/read-over', operation })
  return { changes: [[operation, { waiting: hosts, answered: [], events: [] }]], effects: [...asked, timer] }
}

function selectEvents (store: TimelineStore, { operation, query, from }: EventsAsked): TimelineStep {
  return { effects: [{ kind: 'timeline/select', to: from ?? store.shared.self, operation, query }] }
}

function takeEvents (store: TimelineStore, { operation, events, from }: EventsTold): TimelineStep {
  const collection = store.items.get(operation)
  if (collection === undefined || from === undefined || !collection.waiting.includes(from)) return UNCHANGED
  const next: Collection = {
    waiting: collection.waiting.filter(host => host !== from),
    answered: [...collection.answered, from],
    events: [...collection.events, ...events]
  }
  return next.waiting.length === 0 ? answerRead(operation, next) : { changes: [[operation, next]], effects: [] }
}

function endRead (store: TimelineStore, operation: string): TimelineStep {
  const collection = store.items.get(operation)
  return collection === undefined ? UNCHANGED : answerRead(operation, collection)
}

function answerRead (operation: string, collection: Collection): TimelineStep {
  const outcome = mergeEvents(collection)
  return {
    changes: [[operation, undefined]],
    effects: [clearTimer(nameTimer(operation)), tell({ kind: 'operations/answered', operation, outcome })]
  }
}

/**
 * Merges the events of several processes into one order.
 * @example mergeEvents({ waiting: [], answered: ['host-1'], events }).events
 */
export function mergeEvents ({ waiting, answered, events }: Collection): MergedTimeline {
  const ordered = [...events].sort((a, b) => compareStamps(a.stamp, b.stamp) || a.host.localeCompare(b.host))
  return { events: ordered.slice(-MAX_MERGED_EVENTS), hosts: [...answered].sort(), silent: [...waiting].sort() }
}

function nameTimer (operation: string): string {
  return `timeline/read/${operation}`
}

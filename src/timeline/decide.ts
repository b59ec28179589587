/** Decisions of the timeline slice, which collects the events of all hosts with a timeout. */
import { clearTimer, type CoreEffect, type Effect } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { EventsRequested, EventsReceived, MergedTimeline, ReadTimeline, TimelineEvent, TimelineMessage, TimelineQuery } from './messages.js'
import { compareStamps } from './stamp.js'

/** How long hosts have to answer; the events of hosts that answer later are omitted. */
export const READ_TIMEOUT_MS = 2_000
/** The most events in a merged timeline; the oldest are omitted. */
export const MAX_MERGED_EVENTS = 20_000

/** The shared state of the timeline slice. */
export interface TimelineShared {
  readonly self: string
  readonly hosts: readonly string[]
}

/** A read of the timeline that waits for the events of other hosts. */
export interface PendingRead {
  readonly waiting: readonly string[]
  readonly answered: readonly string[]
  readonly events: readonly TimelineEvent[]
}

/** Selects events of this process and posts them to the slice. */
export interface SelectEvents extends Effect {
  readonly kind: 'timeline/select'
  readonly to: string
  readonly operation: string
  readonly query: TimelineQuery
}

type TimelineStore = Store<TimelineShared, PendingRead>
type TimelineStep = StoreStep<TimelineShared, PendingRead, CoreEffect | SelectEvents>

/**
 * Creates the shared state of a host that knows only itself.
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
    case 'timeline/hosts-known': return updateHosts(store, message.hosts)
    case 'timeline/read': return requestEvents(store, message)
    case 'timeline/events-asked': return selectEvents(store, message)
    case 'timeline/selected': return { effects: [sendPeer(message.to, { kind: 'timeline/events-told', operation: message.operation, events: message.events })] }
    case 'timeline/events-told': return addEvents(store, message)
    case 'timeline/read-over': return endRead(store, message.operation)
  }
}

function updateHosts (store: TimelineStore, hosts: readonly string[]): TimelineStep {
  const { self } = store.shared
  return { shared: { self, hosts: hosts.includes(self) ? hosts : [self, ...hosts] }, effects: [] }
}

function requestEvents (store: TimelineStore, { operation, query }: ReadTimeline): TimelineStep {
  const { hosts } = store.shared
  const asked = hosts.map(host => sendPeer(host, { kind: 'timeline/events-asked', operation, query }))
  const timer = setTimer(nameTimer(operation), READ_TIMEOUT_MS, { kind: 'timeline/read-over', operation })
  return { changes: [[operation, { waiting: hosts, answered: [], events: [] }]], effects: [...asked, timer] }
}

function selectEvents (store: TimelineStore, { operation, query, from }: EventsRequested): TimelineStep {
  return { effects: [{ kind: 'timeline/select', to: from ?? store.shared.self, operation, query }] }
}

function addEvents (store: TimelineStore, { operation, events, from }: EventsReceived): TimelineStep {
  const pendingRead = store.items.get(operation)
  if (pendingRead === undefined || from === undefined || !pendingRead.waiting.includes(from)) return UNCHANGED
  const next: PendingRead = {
    waiting: pendingRead.waiting.filter(host => host !== from),
    answered: [...pendingRead.answered, from],
    events: [...pendingRead.events, ...events]
  }
  return next.waiting.length === 0 ? answerRead(operation, next) : { changes: [[operation, next]], effects: [] }
}

function endRead (store: TimelineStore, operation: string): TimelineStep {
  const pendingRead = store.items.get(operation)
  return pendingRead === undefined ? UNCHANGED : answerRead(operation, pendingRead)
}

function answerRead (operation: string, pendingRead: PendingRead): TimelineStep {
  const outcome = mergeEvents(pendingRead)
  return {
    changes: [[operation, undefined]],
    effects: [clearTimer(nameTimer(operation)), tell({ kind: 'operations/answered', operation, outcome })]
  }
}

/**
 * Merges the events of several processes in the order of their stamps.
 * @example mergeEvents({ waiting: [], answered: ['host-1'], events }).events
 */
export function mergeEvents ({ waiting, answered, events }: PendingRead): MergedTimeline {
  const ordered = [...events].sort((a, b) => compareStamps(a.stamp, b.stamp) || a.host.localeCompare(b.host))
  return { events: ordered.slice(-MAX_MERGED_EVENTS), hosts: [...answered].sort(), silent: [...waiting].sort() }
}

function nameTimer (operation: string): string {
  return `timeline/read/${operation}`
}

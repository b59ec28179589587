/**
 * Fair queue: flows of equal weight take turns, and each flow is first in, first out.
 *
 * Each flow has a virtual time that grows by one with each dequeued entry; the backlogged flow
 * with the lowest virtual time is next. A flow that was idle starts at the queue's virtual time,
 * so it gains no credit while idle. Each operation takes O(log n) and returns a new queue, except
 * that listing the entries, evicting from a full queue, and looking ahead visit all flows.
 */
import { assertInvariant } from '../core/invariant.js'
import { SortedMap } from './sortedmap.js'

/** A queued item of a flow. Its key is unique in the queue. */
export interface Entry<Item> {
  readonly flow: string
  readonly key: string
  readonly item: Item
}

/** Largest number of queued entries, in total and per flow. */
export interface QueueLimits {
  readonly length: number
  readonly flowLength: number
}

interface FlowRank {
  readonly virtualTime: number
  readonly sequence: number
}

interface Flow<Item> {
  readonly rank: FlowRank
  readonly entries: SortedMap<number, Entry<Item>>
}

interface EntryLocation {
  readonly flow: string
  readonly sequence: number
}

/** An immutable fair queue. */
export interface FairQueue<Item> {
  /** The lowest virtual time of a backlogged flow when the last entry was dequeued. */
  readonly virtualTime: number
  /** Counter of changes; orders equal virtual times and the entries of a flow. */
  readonly sequence: number
  readonly flows: SortedMap<string, Flow<Item>>
  readonly backloggedFlows: SortedMap<FlowRank, string>
  /** Flows without entries whose virtual time is still ahead of the queue's. */
  readonly idleFlows: SortedMap<FlowRank, string>
  readonly locations: SortedMap<string, EntryLocation>
}

/** The queue after an insertion, and the refused entry, if any: the new one or one that it evicted. */
export interface EnqueueResult<Item> {
  readonly queue: FairQueue<Item>
  readonly refused?: Entry<Item>
}

/** The queue without its next entry. */
export interface DequeueResult<Item> {
  readonly queue: FairQueue<Item>
  readonly entry: Entry<Item>
}

const compareText = (a: string, b: string): number => (a < b ? -1 : a > b ? 1 : 0)
const compareNumbers = (a: number, b: number): number => a - b
const compareRanks = (a: FlowRank, b: FlowRank): number => (a.virtualTime === b.virtualTime ? a.sequence - b.sequence : a.virtualTime - b.virtualTime)

/**
 * Creates an empty queue.
 * @example createQueue<RunRequest>()
 */
export function createQueue<Item> (): FairQueue<Item> {
  return {
    virtualTime: 0,
    sequence: 0,
    flows: SortedMap.create(compareText),
    backloggedFlows: SortedMap.create(compareRanks),
    idleFlows: SortedMap.create(compareRanks),
    locations: SortedMap.create(compareText)
  }
}

/**
 * Returns the number of queued entries.
 * @example countEntries(queue) // 0
 */
export function countEntries (queue: FairQueue<unknown>): number {
  return queue.locations.size
}

/**
 * Finds the entry with a key.
 * @example findEntry(queue, 'caller-1')?.item
 */
export function findEntry<Item> (queue: FairQueue<Item>, key: string): Entry<Item> | undefined {
  const location = queue.locations.get(key)
  return location === undefined ? undefined : queue.flows.get(location.flow)?.entries.get(location.sequence)
}

/**
 * Lists all entries, grouped by flow.
 * @example listEntries(queue).map(entry => entry.item)
 */
export function listEntries<Item> (queue: FairQueue<Item>): ReadonlyArray<Entry<Item>> {
  return queue.flows.listValues().flatMap(flow => flow.entries.listValues())
}

/**
 * Adds an entry and replaces one with the same key. An entry of a flow at its limit is refused.
 * A full queue evicts the newest entry of its longest flow, or refuses the new one if its own flow
 * would then be at least as long.
 * @example enqueueEntry(queue, { flow: 'parish', key: 'caller-1', item }, { length: 1_000, flowLength: 500 })
 */
export function enqueueEntry<Item> (queue: FairQueue<Item>, entry: Entry<Item>, limits: QueueLimits): EnqueueResult<Item> {
  const remaining = removeEntry(queue, entry.key)
  const flowLength = remaining.flows.get(entry.flow)?.entries.size ?? 0
  if (flowLength >= limits.flowLength) return { queue: remaining, refused: entry }
  if (countEntries(remaining) < limits.length) return { queue: addEntry(remaining, entry) }
  const longest = findLongest(remaining)
  if (longest === undefined || longest.entries.size <= flowLength + 1) return { queue: remaining, refused: entry }
  const [, evicted] = longest.entries.last!
  return { queue: addEntry(removeEntry(remaining, evicted.key), entry), refused: evicted }
}

/**
 * Returns the first entry of the first flow, in the order of turns, that a condition accepts. Flows that it does not
 * accept keep their turn.
 * @example findFirstEntry(queue, ({ item }) => hasConnection(item))?.key
 */
export function findFirstEntry<Item> (queue: FairQueue<Item>, accepts: (entry: Entry<Item>, flowLength: number) => boolean): Entry<Item> | undefined {
  for (const name of queue.backloggedFlows.listValues()) {
    const { entries } = queue.flows.get(name)!
    const [, entry] = entries.first!
    if (accepts(entry, entries.size)) return entry
  }
  return undefined
}

/**
 * Counts the entries that are dequeued before a new entry of a flow, if flows with entries take turns.
 * @example countEntriesAhead(queue, 'parish') // 3
 */
export function countEntriesAhead (queue: FairQueue<unknown>, flow: string): number {
  const turns = (queue.flows.get(flow)?.entries.size ?? 0) + 1
  return queue.backloggedFlows.listValues().reduce((sum, name) => sum + Math.min(queue.flows.get(name)!.entries.size, name === flow ? turns - 1 : turns), 0)
}

/**
 * Removes and returns the next entry, or the next one of a given flow, which thereby takes its turn early.
 * @example dequeueEntry(queue)?.entry.item
 */
export function dequeueEntry<Item> (queue: FairQueue<Item>, flowName?: string): DequeueResult<Item> | undefined {
  const first = queue.backloggedFlows.first
  if (first === undefined) return undefined
  const [{ virtualTime }, firstName] = first
  assertInvariant(virtualTime >= queue.virtualTime, 'virtual time never decreases', `${virtualTime} after ${queue.virtualTime}`)
  const name = flowName ?? firstName
  const flow = queue.flows.get(name)
  const next = flow?.entries.first
  if (flow === undefined || next === undefined) return undefined
  const [, entry] = next
  const served = { ...flow, rank: { virtualTime: flow.rank.virtualTime + 1, sequence: queue.sequence } }
  const advanced: FairQueue<Item> = {
    ...queue,
    virtualTime,
    sequence: queue.sequence + 1,
    flows: queue.flows.set(name, served),
    backloggedFlows: queue.backloggedFlows.delete(flow.rank).set(served.rank, name)
  }
  return { queue: evictIdleFlows(removeEntry(advanced, entry.key)), entry }
}

/**
 * Removes the entry with a key, if it is queued; its flow keeps its turn.
 * @example removeEntry(queue, 'caller-1')
 */
export function removeEntry<Item> (queue: FairQueue<Item>, key: string): FairQueue<Item> {
  const location = queue.locations.get(key)
  if (location === undefined) return queue
  const flow = queue.flows.get(location.flow)!
  const entries = flow.entries.delete(location.sequence)
  const next: FairQueue<Item> = { ...queue, locations: queue.locations.delete(key), flows: queue.flows.set(location.flow, { ...flow, entries }) }
  return entries.size > 0 ? next : markFlowIdle(next, location.flow, flow.rank)
}

function addEntry<Item> (queue: FairQueue<Item>, entry: Entry<Item>): FairQueue<Item> {
  const { sequence } = queue
  const flow = queue.flows.get(entry.flow)
  const rank = flow === undefined || flow.entries.size === 0 ? { virtualTime: Math.max(queue.virtualTime, flow?.rank.virtualTime ?? 0), sequence } : flow.rank
  const entries = (flow?.entries ?? SortedMap.create<number, Entry<Item>>(compareNumbers)).set(sequence, entry)
  return {
    ...queue,
    sequence: sequence + 1,
    flows: queue.flows.set(entry.flow, { rank, entries }),
    backloggedFlows: queue.backloggedFlows.set(rank, entry.flow),
    idleFlows: flow === undefined ? queue.idleFlows : queue.idleFlows.delete(flow.rank),
    locations: queue.locations.set(entry.key, { flow: entry.flow, sequence })
  }
}

function markFlowIdle<Item> (queue: FairQueue<Item>, flow: string, rank: FlowRank): FairQueue<Item> {
  const backloggedFlows = queue.backloggedFlows.delete(rank)
  if (rank.virtualTime <= queue.virtualTime) return { ...queue, backloggedFlows, flows: queue.flows.delete(flow) }
  return { ...queue, backloggedFlows, idleFlows: queue.idleFlows.set(rank, flow) }
}

// Evicts an idle flow once the queue's virtual time has caught up with the flow's.
function evictIdleFlows<Item> (queue: FairQueue<Item>): FairQueue<Item> {
  const first = queue.idleFlows.first
  if (first === undefined || first[0].virtualTime > queue.virtualTime) return queue
  const [rank, flow] = first
  return evictIdleFlows({ ...queue, idleFlows: queue.idleFlows.delete(rank), flows: queue.flows.delete(flow) })
}

// Visits all flows, but only when the queue is full.
function findLongest<Item> (queue: FairQueue<Item>): Flow<Item> | undefined {
  return queue.flows.listValues().reduce<Flow<Item> | undefined>((longest, flow) => (flow.entries.size > (longest?.entries.size ?? 0) ? flow : longest), undefined)
}

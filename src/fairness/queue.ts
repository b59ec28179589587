/**
 * A fair queue: flows of equal weight take turns, and within a flow the first comes first.
 *
 * Each flow has a virtual time that grows by one with each item taken; the backlogged flow
 * with the lowest virtual time is next. A flow that was idle starts at the queue's virtual
 * time, so it can't save up turns. Every operation is O(log n) and returns a new queue.
 */
import { assertInvariant } from '../core/invariant.js'
import { SortedMap } from './sortedmap.js'

/** One item of a flow; its key is unique in the queue. */
export interface Entry<Item> {
  readonly flow: string
  readonly key: string
  readonly item: Item
}

/** How many items may wait. */
export interface QueueLimits {
  readonly length: number
  readonly flowLength: number
}

interface Rank {
  readonly time: number
  readonly sequence: number
}

interface Flow<Item> {
  readonly rank: Rank
  readonly entries: SortedMap<number, Entry<Item>>
}

interface Place {
  readonly flow: string
  readonly sequence: number
}

/** A read-only fair queue. */
export interface FairQueue<Item> {
  /** The virtual time of the flow that was served last. */
  readonly time: number
  /** Counts changes, to order equal virtual times and the items of a flow. */
  readonly sequence: number
  readonly flows: SortedMap<string, Flow<Item>>
  readonly backlogged: SortedMap<Rank, string>
  /** Flows without items whose virtual time is still ahead of the queue's. */
  readonly resting: SortedMap<Rank, string>
  readonly places: SortedMap<string, Place>
}

/** The queue after an arrival, and the entry that found no place: the new one or one that it displaced. */
export interface Enqueued<Item> {
  readonly queue: FairQueue<Item>
  readonly refused?: Entry<Item>
}

/** The queue without its next entry. */
export interface Taken<Item> {
  readonly queue: FairQueue<Item>
  readonly entry: Entry<Item>
}

const compareText = (one: string, other: string): number => (one < other ? -1 : one > other ? 1 : 0)
const compareNumbers = (one: number, other: number): number => one - other
const compareRanks = (one: Rank, other: Rank): number => (one.time === other.time ? one.sequence - other.sequence : one.time - other.time)

/**
 * Creates an empty queue.
 * @example createQueue<Run>()
 */
export function createQueue<Item> (): FairQueue<Item> {
  return {
    time: 0,
    sequence: 0,
    flows: SortedMap.create(compareText),
    backlogged: SortedMap.create(compareRanks),
    resting: SortedMap.create(compareRanks),
    places: SortedMap.create(compareText)
  }
}

/**
 * Returns how many items wait.
 * @example countWaiting(queue) // 0
 */
export function countWaiting (queue: FairQueue<unknown>): number {
  return queue.places.size
}

/**
 * Finds the entry of a key.
 * @example findWaiting(queue, 'caller-1')?.item
 */
export function findWaiting<Item> (queue: FairQueue<Item>, key: string): Entry<Item> | undefined {
  const place = queue.places.find(key)
  return place === undefined ? undefined : queue.flows.find(place.flow)?.entries.find(place.sequence)
}

/**
 * Lists all that waits, flow by flow.
 * @example listWaiting(queue).map(entry => entry.item)
 */
export function listWaiting<Item> (queue: FairQueue<Item>): ReadonlyArray<Entry<Item>> {
  return queue.flows.list().flatMap(flow => flow.entries.list())
}

/**
 * Adds an entry in place of one with the same key. A flow at its limit is refused. A full
 * queue refuses the newest entry of its longest flow.
 * @example enqueueEntry(queue, { flow: 'parish', key: 'caller-1', item }, { length: 1_000, flowLength: 500 })
 */
export function enqueueEntry<Item> (queue: FairQueue<Item>, entry: Entry<Item>, limits: QueueLimits): Enqueued<Item> {
  const without = dropWaiting(queue, entry.key)
  const own = without.flows.find(entry.flow)?.entries.size ?? 0
  if (own >= limits.flowLength) return { queue: without, refused: entry }
  if (countWaiting(without) < limits.length) return { queue: addEntry(without, entry) }
  const longest = findLongest(without)
  if (longest === undefined || longest.entries.size <= own + 1) return { queue: without, refused: entry }
  const [, displaced] = longest.entries.last!
  return { queue: addEntry(dropWaiting(without, displaced.key), entry), refused: displaced }
}

/**
 * Takes the next entry.
 * @example takeNext(queue)?.entry.item
 */
export function takeNext<Item> (queue: FairQueue<Item>): Taken<Item> | undefined {
  const next = queue.backlogged.first
  if (next === undefined) return undefined
  const [rank, name] = next
  assertInvariant(rank.time >= queue.time, 'virtual time never goes back', `${rank.time} after ${queue.time}`)
  const flow = queue.flows.find(name)!
  const [, entry] = flow.entries.first!
  const served = { ...flow, rank: { time: rank.time + 1, sequence: queue.sequence } }
  const moved: FairQueue<Item> = {
    ...queue,
    time: rank.time,
    sequence: queue.sequence + 1,
    flows: queue.flows.put(name, served),
    backlogged: queue.backlogged.drop(rank).put(served.rank, name)
  }
  return { queue: sweepResting(dropWaiting(moved, entry.key)), entry }
}

/**
 * Drops the entry of a key, if it waits; its flow keeps its turn.
 * @example dropWaiting(queue, 'caller-1')
 */
export function dropWaiting<Item> (queue: FairQueue<Item>, key: string): FairQueue<Item> {
  const place = queue.places.find(key)
  if (place === undefined) return queue
  const flow = queue.flows.find(place.flow)!
  const entries = flow.entries.drop(place.sequence)
  const next: FairQueue<Item> = { ...queue, places: queue.places.drop(key), flows: queue.flows.put(place.flow, { ...flow, entries }) }
  return entries.size > 0 ? next : idleFlow(next, place.flow, flow.rank)
}

function addEntry<Item> (queue: FairQueue<Item>, entry: Entry<Item>): FairQueue<Item> {
  const { sequence } = queue
  const known = queue.flows.find(entry.flow)
  const rank = known === undefined || known.entries.size === 0 ? { time: Math.max(queue.time, known?.rank.time ?? 0), sequence } : known.rank
  const entries = (known?.entries ?? SortedMap.create<number, Entry<Item>>(compareNumbers)).put(sequence, entry)
  return {
    ...queue,
    sequence: sequence + 1,
    flows: queue.flows.put(entry.flow, { rank, entries }),
    backlogged: queue.backlogged.put(rank, entry.flow),
    resting: known === undefined ? queue.resting : queue.resting.drop(known.rank),
    places: queue.places.put(entry.key, { flow: entry.flow, sequence })
  }
}

function idleFlow<Item> (queue: FairQueue<Item>, flow: string, rank: Rank): FairQueue<Item> {
  const backlogged = queue.backlogged.drop(rank)
  if (rank.time <= queue.time) return { ...queue, backlogged, flows: queue.flows.drop(flow) }
  return { ...queue, backlogged, resting: queue.resting.put(rank, flow) }
}

// An idle flow is forgotten once the queue's virtual time has caught up with its own.
function sweepResting<Item> (queue: FairQueue<Item>): FairQueue<Item> {
  const first = queue.resting.first
  if (first === undefined || first[0].time > queue.time) return queue
  const [rank, flow] = first
  return sweepResting({ ...queue, resting: queue.resting.drop(rank), flows: queue.flows.drop(flow) })
}

// Only a full queue looks at all its flows.
function findLongest<Item> (queue: FairQueue<Item>): Flow<Item> | undefined {
  return queue.flows.list().reduce<Flow<Item> | undefined>((longest, flow) => (flow.entries.size > (longest?.entries.size ?? 0) ? flow : longest), undefined)
}

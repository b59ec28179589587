/**
 * Fair queue: flows of equal weight take turns. Within a flow, and among flows whose turns are at most `MAX_LEAD_TURNS`
 * apart, the most urgent entry is next; of equally urgent ones the first that came. Each `PLAIN_INTERVAL`-th turn goes to the
 * oldest entry of the flow that is due, however urgent others are, so that none starves.
 *
 * Each flow has a virtual time that grows with each dequeued entry by the turns that it takes; the backlogged flow
 * with the lowest virtual time is due. A flow that was idle starts at the queue's virtual time,
 * so it gains no credit while idle. Adding and removing entries takes O(log n) and returns a new queue; finding the
 * next entry, listing the entries, evicting from a full queue, and looking ahead visit all flows.
 */
import { assertInvariant } from '../core/invariant.js'
import { SortedMap } from './sortedmap.js'

/** How far an urgent entry's flow may be ahead of the flow that is due, in turns. */
const MAX_LEAD_TURNS = 1
/** One of so many turns goes to the flow that is due, whatever is urgent. */
const PLAIN_INTERVAL = 8

/** Which of two entries goes first: the one of the lower rank, then the one that is due sooner. */
export interface Urgency {
  readonly rank: number
  readonly dueAtMs: number
}

const EQUAL_URGENCY: Urgency = { rank: 0, dueAtMs: 0 }

/** A queued item of a flow. Its key is unique in the queue. Entries without an urgency are equally urgent. */
export interface Entry<Item> {
  readonly flow: string
  readonly key: string
  readonly item: Item
  readonly urgency?: Urgency
  /** How many turns of its flow it takes; 1 when absent. */
  readonly turns?: number
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

interface EntryRank extends Urgency {
  readonly sequence: number
}

interface Flow<Item> {
  readonly rank: FlowRank
  readonly entries: SortedMap<EntryRank, Entry<Item>>
}

interface EntryLocation {
  readonly flow: string
  readonly rank: EntryRank
}

/** An immutable fair queue. */
export interface FairQueue<Item> {
  /** The lowest virtual time of a backlogged flow when the last entry was dequeued. */
  readonly virtualTime: number
  /** Counter of changes; orders equal virtual times and the entries of a flow. */
  readonly sequence: number
  /** Entries that were dequeued while others waited. */
  readonly choices: number
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
const compareUrgency = (a: Urgency, b: Urgency): number => a.rank - b.rank || a.dueAtMs - b.dueAtMs
const compareEntries = (a: EntryRank, b: EntryRank): number => compareUrgency(a, b) || a.sequence - b.sequence
const compareRanks = (a: FlowRank, b: FlowRank): number => (a.virtualTime === b.virtualTime ? a.sequence - b.sequence : a.virtualTime - b.virtualTime)

/**
 * Creates an empty queue.
 * @example createQueue<RunRequest>()
 */
export function createQueue<Item> (): FairQueue<Item> {
  return {
    virtualTime: 0,
    sequence: 0,
    choices: 0,
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
  return location === undefined ? undefined : queue.flows.get(location.flow)?.entries.get(location.rank)
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
 * Returns the entry that is next among those that a condition accepts: one of each flow is offered. Flows that are not
 * accepted keep their turn.
 * @example findFirstEntry(queue, ({ item }) => hasConnection(item))?.key
 */
export function findFirstEntry<Item> (queue: FairQueue<Item>, accepts: (entry: Entry<Item>, flowLength: number) => boolean): Entry<Item> | undefined {
  const plain = isPlainTurn(queue)
  const leadEndsAt = (queue.backloggedFlows.first?.[0].virtualTime ?? 0) + MAX_LEAD_TURNS
  let best: Entry<Item> | undefined
  for (const name of queue.backloggedFlows.listValues()) {
    const { entries, rank } = queue.flows.get(name)!
    if (best !== undefined && (plain || rank.virtualTime > leadEndsAt)) return best
    const entry = plain ? findOldest(queue, entries) : entries.first![1]
    const isNext = best === undefined || compareUrgency(entry.urgency ?? EQUAL_URGENCY, best.urgency ?? EQUAL_URGENCY) < 0
    if (isNext && accepts(entry, entries.size)) best = entry
  }
  return best
}

// A turn that is out of the order of urgency counts only while there is a choice.
function isPlainTurn ({ choices }: FairQueue<unknown>): boolean {
  return choices % PLAIN_INTERVAL === PLAIN_INTERVAL - 1
}

function findOldest<Item> (queue: FairQueue<Item>, entries: Flow<Item>['entries']): Entry<Item> {
  const getSequence = (entry: Entry<Item>): number => queue.locations.get(entry.key)!.rank.sequence
  return entries.listValues().reduce((oldest, entry) => (getSequence(entry) < getSequence(oldest) ? entry : oldest))
}

/**
 * Counts the entries that are dequeued before a new entry of a flow: those that are as urgent, as far as flows take turns,
 * and what the turns out of the order of urgency take meanwhile.
 * @example countEntriesAhead(queue, 'parish') // 3
 */
export function countEntriesAhead (queue: FairQueue<unknown>, flow: string, urgency: Urgency = EQUAL_URGENCY): number {
  const countUrgent = (name: string): number => queue.flows.get(name)?.entries.listValues().filter(entry => compareUrgency(entry.urgency ?? EQUAL_URGENCY, urgency) <= 0).length ?? 0
  const own = countUrgent(flow)
  const ahead = queue.backloggedFlows.listValues().reduce((sum, name) => sum + (name === flow ? own : Math.min(countUrgent(name), own + 1)), 0)
  return Math.min(countEntries(queue), ahead + Math.floor(ahead / (PLAIN_INTERVAL - 1)))
}

/**
 * Removes and returns the next entry, or the one with a given key, whose flow thereby takes its turn early.
 * @example dequeueEntry(queue)?.entry.item
 */
export function dequeueEntry<Item> (queue: FairQueue<Item>, flowName?: string, key?: string): DequeueResult<Item> | undefined {
  const first = queue.backloggedFlows.first
  if (first === undefined) return undefined
  const [{ virtualTime }] = first
  assertInvariant(virtualTime >= queue.virtualTime, 'virtual time never decreases', `${virtualTime} after ${queue.virtualTime}`)
  const entry = findNamed(queue, flowName, key)
  const flow = entry === undefined ? undefined : queue.flows.get(entry.flow)
  if (flow === undefined || entry === undefined) return undefined
  const served = { ...flow, rank: { virtualTime: flow.rank.virtualTime + (entry.turns ?? 1), sequence: queue.sequence } }
  const advanced: FairQueue<Item> = {
    ...queue,
    virtualTime,
    sequence: queue.sequence + 1,
    choices: queue.choices + (countEntries(queue) > 1 ? 1 : 0),
    flows: queue.flows.set(entry.flow, served),
    backloggedFlows: queue.backloggedFlows.delete(flow.rank).set(served.rank, entry.flow)
  }
  return { queue: evictIdleFlows(removeEntry(advanced, entry.key)), entry }
}

function findNamed<Item> (queue: FairQueue<Item>, flowName: string | undefined, key: string | undefined): Entry<Item> | undefined {
  if (key !== undefined) return findEntry(queue, key)
  return flowName === undefined ? findFirstEntry(queue, () => true) : queue.flows.get(flowName)?.entries.first?.[1]
}

/**
 * Removes the entry with a key, if it is queued; its flow keeps its turn.
 * @example removeEntry(queue, 'caller-1')
 */
export function removeEntry<Item> (queue: FairQueue<Item>, key: string): FairQueue<Item> {
  const location = queue.locations.get(key)
  if (location === undefined) return queue
  const flow = queue.flows.get(location.flow)!
  const entries = flow.entries.delete(location.rank)
  const next: FairQueue<Item> = { ...queue, locations: queue.locations.delete(key), flows: queue.flows.set(location.flow, { ...flow, entries }) }
  return entries.size > 0 ? next : markFlowIdle(next, location.flow, flow.rank)
}

function addEntry<Item> (queue: FairQueue<Item>, entry: Entry<Item>): FairQueue<Item> {
  const { sequence } = queue
  const flow = queue.flows.get(entry.flow)
  const entryRank: EntryRank = { ...(entry.urgency ?? EQUAL_URGENCY), sequence }
  const rank = flow === undefined || flow.entries.size === 0 ? { virtualTime: Math.max(queue.virtualTime, flow?.rank.virtualTime ?? 0), sequence } : flow.rank
  const entries = (flow?.entries ?? SortedMap.create<EntryRank, Entry<Item>>(compareEntries)).set(entryRank, entry)
  return {
    ...queue,
    sequence: sequence + 1,
    flows: queue.flows.set(entry.flow, { rank, entries }),
    backloggedFlows: queue.backloggedFlows.set(rank, entry.flow),
    idleFlows: flow === undefined ? queue.idleFlows : queue.idleFlows.delete(flow.rank),
    locations: queue.locations.set(entry.key, { flow: entry.flow, rank: entryRank })
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

/**
 * How urgent a request is in the queue of its database. Covers the load pattern of more requests than a primary can run, of
 * which some could run on any replica and others name neither a priority nor a latency target.
 */
import type { Urgency } from '../fairness/queue.js'
import type { RunRequest } from './messages.js'
import type { OwnedDatabase } from './state.js'

/** The lowest priority that a route can name. */
const MAX_PRIORITY = 999
/** The ranks of one class of requests: its priorities. */
const CLASS_SIZE = MAX_PRIORITY + 1

/** Classes of requests, the most urgent first: only this database can run it; a read that waits at the primary although a replica may run it; its route names neither a priority nor a latency target. */
const ONLY_HERE = 0
const ELSEWHERE = 1
const UNRANKED = 2

/** The turns that an unranked request takes: it gets what ranked ones leave, and this fraction of a workspace's share beside them. */
const UNRANKED_TURNS = 8

/**
 * Counts the turns of its flow that a request takes.
 * @example countTurns(message) // 1
 */
export function countTurns (message: RunRequest): number {
  return isRanked(message) ? 1 : UNRANKED_TURNS
}

function isRanked ({ priority, latencyMs }: RunRequest): boolean {
  return priority !== undefined || latencyMs !== undefined
}

/**
 * Computes the urgency of a request: first its class, then its priority, then when it is due. It is due at its latency target, counted from its
 * first attempt, so that one that comes back keeps its place; one that has missed its target is due at its deadline.
 * @example computeUrgency(database, message) // { rank: 1, dueAtMs: 4_200 }
 */
export function computeUrgency (database: OwnedDatabase, message: RunRequest): Urgency {
  const { priority, latencyMs, receivedAtMs = 0, remainingMs, targetLeftMs = latencyMs ?? remainingMs } = message
  const rank = findClass(database, message) * CLASS_SIZE + Math.min(MAX_PRIORITY, priority ?? MAX_PRIORITY)
  if (!isRanked(message)) return { rank, dueAtMs: 0 }
  return { rank, dueAtMs: receivedAtMs + (targetLeftMs > 0 ? Math.min(targetLeftMs, remainingMs) : remainingMs) }
}

function findClass (database: OwnedDatabase, message: RunRequest): number {
  if (!isRanked(message)) return UNRANKED
  return message.target.purpose === 'replica' && database.term !== undefined ? ELSEWHERE : ONLY_HERE
}

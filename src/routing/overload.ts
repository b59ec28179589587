/**
 * Databases whose owner said that it refuses requests of all workspaces. Covers the load pattern of an owner with more
 * requests than its processor handles: on small hosts refusals alone can use it up, so other hosts refuse by themselves.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import type { RouteRules } from '../requests/messages.js'
import type { OwnerAnswered } from './messages.js'
import type { RoutingState } from './state.js'

/** Fraction of the latency target within which an estimated answer has to come: requests that arrive later take turns, too. */
const TARGET_FRACTION = 0.5
/** Longest time for which requests are refused here on the word of an owner. */
const MAX_OVERLOAD_MS = 1_000

/**
 * Calculates how long the answer to a request may take from its arrival at the owner of its database.
 * @example calculateAnswerLimitMs(250, 800) // 125
 */
export function calculateAnswerLimitMs (latencyMs: number, remainingMs: number): number {
  return Math.min(remainingMs, latencyMs * TARGET_FRACTION)
}

/**
 * Records how long an owner expects a request of any workspace to take.
 * @example recordOverload(state, { kind: 'routing/owner-answered', owner: 'host-2', database: 'a1', answerMs: 400 }, moment)
 */
export function recordOverload (state: RoutingState, { database, answerMs }: OwnerAnswered, moment: Moment): RoutingState {
  if (answerMs === undefined) return state
  const known = [...state.expectedAnswerAtMs].filter(([, atMs]) => atMs > moment.monotonicMs)
  const atMs = moment.monotonicMs + Math.min(answerMs, MAX_OVERLOAD_MS)
  return { ...state, expectedAnswerAtMs: new Map([...known, [database, atMs]]) }
}

/**
 * Lists the databases whose owner would refuse a request of a route; none for routes without a latency target.
 * @example listOverloaded(state, rules, moment) // ['a1']
 */
export function listOverloaded ({ expectedAnswerAtMs }: RoutingState, { latencyMs }: RouteRules, moment: Moment): readonly string[] {
  if (latencyMs === undefined) return []
  const limitMs = calculateAnswerLimitMs(latencyMs, MAX_OVERLOAD_MS)
  return [...expectedAnswerAtMs].filter(([, atMs]) => atMs - moment.monotonicMs > limitMs).map(([database]) => database)
}

/**
 * Creates the refusal of a request that its owner would refuse, with the time to come back.
 * @example createOverloadFailure(state, 'a1', rules, moment).retryAfterMs
 */
export function createOverloadFailure (state: RoutingState, database: string, { latencyMs = 0 }: RouteRules, moment: Moment): Failure {
  const answerMs = Math.round((state.expectedAnswerAtMs.get(database) ?? 0) - moment.monotonicMs)
  const limitMs = calculateAnswerLimitMs(latencyMs, MAX_OVERLOAD_MS)
  const retryAfterMs = Math.ceil((answerMs - limitMs) * (1 + moment.random))
  return { ...createFailure('overloaded', database), retryAfterMs, inputs: { saidBy: state.databases.get(database)?.owner ?? '', answerMs, limitMs } }
}

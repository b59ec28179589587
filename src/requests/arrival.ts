/**
 * What a host does with a new request while its own loop is late: a request that can't be answered in time, or that gives way
 * to more urgent ones, is refused before it costs more. Covers entry hosts that use all of their processor.
 */
import { createFailure, type Failure } from '../core/errors.js'
import { writeLog, type Moment } from '../core/message.js'
import { setTimer } from '../messages.js'
import { isBeyondBudget, updateLag, type TimedRequest } from './budget.js'
import { computeRetryAfterMs } from './comeback.js'
import type { LagDue, RouteRules } from './messages.js'
import { admitArrival, FULL_ADMITTANCE, updateAdmittance } from './shedding.js'
import type { Caller, InFlightRequest, RequestsShared } from './state.js'
import type { RequestsEffect, RequestsStep, RequestsStore } from './step.js'

/** The interval at which a host measures how late its loop is, while requests with a latency target arrive. */
const LAG_INTERVAL_MS = 100
/** The most routes whose rules are remembered. */
const MAX_ROUTES = 1_000

/** A new request after the decision on it; without a failure it goes on. */
export interface ArrivalDecision {
  readonly shared: RequestsShared
  readonly failure?: Failure
}

/**
 * Decides whether a new request is refused at once. Those of routes that were not asked for before, and those within a
 * transaction, never are.
 * @example decideArrival(shared, caller, running, moment).failure?.code // 'not-in-time'
 */
export function decideArrival (before: RequestsShared, caller: Caller, running: InFlightRequest, moment: Moment): ArrivalDecision {
  const rules = before.routeRules.get(nameRoute(caller, running))
  if (rules === undefined || caller.transaction !== undefined) return { shared: before }
  const { admittance, admitted } = admitArrival(before.admittance, rules, moment.random)
  const shared: RequestsShared = { ...before, admittance, arrivedSinceLag: before.arrivedSinceLag === undefined ? undefined : before.arrivedSinceLag + 1 }
  const timeoutMs = Math.min(running.deadlineAtMs - running.startedAtMs, rules.timeoutMs ?? Infinity)
  const timed: TimedRequest = { startedAtMs: running.startedAtMs, deadlineAtMs: running.startedAtMs + timeoutMs, mayHaveRun: false, rules }
  if (admitted && !isBeyondBudget(shared, timed, undefined, moment)) return { shared }
  const inputs = { lagMs: Math.round(shared.lagMs), room: Number(admittance.room.toFixed(2)), priority: rules.priority ?? 'none' }
  return { shared, failure: { ...createFailure('not-in-time'), retryAfterMs: computeRetryAfterMs(admittance.room, rules.priority, moment), inputs } }
}

/**
 * Remembers what the route of an admitted request names. The lateness of this host is measured from the first one on that names a
 * latency target or a priority.
 * @example recordRoute(shared, caller, running, rules, moment)
 */
export function recordRoute (shared: RequestsShared, caller: Caller, running: InFlightRequest, rules: RouteRules, moment: Moment): Pick<RequestsStep, 'effects'> & { readonly shared: RequestsShared } {
  const { priority, latencyMs, timeoutMs } = rules
  const name = nameRoute(caller, running)
  const known = shared.routeRules.get(name)
  const isKnown = known !== undefined && known.priority === priority && known.latencyMs === latencyMs && known.timeoutMs === timeoutMs
  const routeRules = isKnown || (known === undefined && shared.routeRules.size >= MAX_ROUTES) ? shared.routeRules : new Map(shared.routeRules).set(name, { priority, latencyMs, timeoutMs })
  const starts = shared.arrivedSinceLag === undefined && (priority !== undefined || latencyMs !== undefined)
  if (!starts) return { shared: isKnown ? shared : { ...shared, routeRules }, effects: [] }
  return { shared: { ...shared, routeRules, arrivedSinceLag: 1 }, effects: [createLagTimer(moment)] }
}

/**
 * Measures how late this host's loop is, and adjusts what it admits. A host without requests measures nothing.
 * @example updateLateness(store, { kind: 'requests/lag-due', dueAtMs: 1_000 }, moment)
 */
export function updateLateness ({ shared }: RequestsStore, { dueAtMs }: LagDue, moment: Moment): RequestsStep {
  if (shared.arrivedSinceLag === 0) return { shared: { ...shared, lagMs: 0, arrivedSinceLag: undefined, admittance: FULL_ADMITTANCE }, effects: [] }
  const lagMs = updateLag(shared.lagMs, dueAtMs, moment)
  const admittance = updateAdmittance(shared.admittance, lagMs)
  return { shared: { ...shared, lagMs, arrivedSinceLag: 0, admittance }, effects: [createLagTimer(moment), ...logChange(shared, admittance.room, lagMs)] }
}

function logChange ({ admittance: { room: before } }: RequestsShared, room: number, lagMs: number): readonly RequestsEffect[] {
  if ((before < 1) === (room < 1)) return []
  const text = room < 1 ? 'This host is late: less urgent requests are refused.' : 'This host is in time again: all requests are admitted.'
  return [writeLog('warn', text, { event: 'admittance', lagMs: Math.round(lagMs), room: Number(room.toFixed(2)) })]
}

function createLagTimer (moment: Moment): RequestsEffect {
  return setTimer('requests/lag', LAG_INTERVAL_MS, { kind: 'requests/lag-due', dueAtMs: moment.monotonicMs + LAG_INTERVAL_MS })
}

function nameRoute ({ service }: Caller, { input }: InFlightRequest): string {
  return `${service} ${input.route ?? ''}`
}

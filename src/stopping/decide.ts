/** Decisions of the stopping slice: a graceful stop accepts no new callers, drains the work in flight, and then leaves the directory. */
import { clearTimer, recordEvent, type CoreEffect, type Effect, type Moment, type Step } from '../core/message.js'
import type { FrontEndEffect, StopAccepting } from '../frontends/frontend.js'
import { setTimer, tell } from '../messages.js'
import type { StopRequested, WorkCounted, DrainedPart, StoppingMessage } from './messages.js'

/** The interval at which the work in flight is counted. */
export const CHECK_INTERVAL_MS = 50
/** How long work for owned databases is still accepted after the stop began, so that all hosts learn of the new owners. */
export const HANDOVER_PERIOD_MS = 600
/** How long the host still refuses work once it is drained, so that requests on their way to it get an answer. */
export const REFUSAL_PERIOD_MS = 200

/** How long before the time limit all work has to have ended, so that its answers reach their callers. */
export const END_MARGIN_MS = 100
/** How long before the time limit requests whose answers have not come by then are answered. */
export const ANSWER_MARGIN_MS = 50

/**
 * The phase of a stop: `draining` waits for the work in flight, `refusing` refuses late requests, `ending` answers what is
 * left, `gone` ends the process.
 */
export type Phase = 'running' | 'draining' | 'refusing' | 'ending' | 'gone'

/** State of the stopping slice. */
export interface StoppingState {
  readonly host: string
  /** How long callers are still accepted, until the load balancer has detected that the host is not ready. */
  readonly balancerMs: number
  readonly phase: Phase
  /** The monotonic time at which the current phase began. */
  readonly sinceMs: number
  /** The work in flight at the last count. */
  readonly busy: Readonly<Record<DrainedPart, number>>
  /** How many of the busy transactions are those of this host's own callers. */
  readonly localTransactions: number
  /** How many requests and transactions the stop aborted. */
  readonly aborted: number
}

/** Ends the process. */
export interface ExitProcess extends Effect {
  readonly kind: 'process/exit'
  /** The number of requests and transactions in flight that were aborted at the time limit. */
  readonly abortedRequests: number
}

const STOP_ACCEPTING: StopAccepting = { kind: 'caller/stop-accepting' }

type StoppingStep = Step<StoppingState, CoreEffect | ExitProcess | FrontEndEffect>

/**
 * Creates the state of a running host.
 * @example createStoppingState('host-1').phase // 'running'
 */
export function createStoppingState (host: string, balancerMs = 0): StoppingState {
  return { host, balancerMs, phase: 'running', sinceMs: 0, busy: { requests: 0, transactions: 0, answers: 0 }, localTransactions: 0, aborted: 0 }
}

/**
 * Decides on one message of the stopping slice.
 * @example decideStopping(state, { kind: 'stopping/asked', limitMs: 30_000 }, moment)
 */
export function decideStopping (state: StoppingState, message: StoppingMessage, moment: Moment): StoppingStep {
  switch (message.kind) {
    case 'stopping/asked': return state.phase === 'running' ? startStop(state, message, moment) : { state, effects: [] }
    case 'stopping/check-due': return state.phase === 'gone' ? { state, effects: [] } : { state, effects: [...requestCounts(state.host), createCheckTimer()] }
    case 'stopping/balancer-noticed': return { state, effects: [STOP_ACCEPTING] }
    case 'stopping/counted': return updateCount(state, message, moment)
    case 'stopping/end-due': return state.phase === 'gone' ? { state, effects: [] } : endWork(state, moment)
    case 'stopping/limit-passed': return state.phase === 'gone' ? { state, effects: [] } : expireStop(state, moment)
  }
}

function startStop (state: StoppingState, message: StopRequested, moment: Moment): StoppingStep {
  const endsAtMs = moment.monotonicMs + message.limitMs - END_MARGIN_MS
  // Assumes one of each in flight until the first counts arrive.
  const next: StoppingState = { ...state, phase: 'draining', sinceMs: moment.monotonicMs, busy: { requests: 1, transactions: 1, answers: 1 }, localTransactions: 0 }
  return {
    state: next,
    effects: [
      ...(state.balancerMs === 0 ? [STOP_ACCEPTING] : [setTimer('stopping/balancer', state.balancerMs, { kind: 'stopping/balancer-noticed' })]),
      tell({ kind: 'membership/drain-asked', operation: 'stopping', host: state.host }),
      tell({ kind: 'requests/stop-asked', endsAtMs }),
      tell({ kind: 'transactions/stop-asked', endsAtMs }),
      recordEvent('stop-asked', 'A graceful stop was requested.'),
      setTimer('stopping/end', Math.max(0, message.limitMs - ANSWER_MARGIN_MS), { kind: 'stopping/end-due' }),
      setTimer('stopping/limit', message.limitMs, { kind: 'stopping/limit-passed' }),
      createCheckTimer()
    ]
  }
}

function requestCounts (host: string): ReadonlyArray<CoreEffect | FrontEndEffect> {
  return [tell({ kind: 'requests/count-asked' }), tell({ kind: 'transactions/count-asked', host }), { kind: 'caller/count-unsent' }]
}

function createCheckTimer (): CoreEffect {
  return setTimer('stopping/check', CHECK_INTERVAL_MS, { kind: 'stopping/check-due' })
}

function updateCount (state: StoppingState, message: WorkCounted, moment: Moment): StoppingStep {
  const localTransactions = message.part === 'transactions' ? message.local ?? 0 : state.localTransactions
  const counted: StoppingState = { ...state, busy: { ...state.busy, [message.part]: message.busy }, localTransactions }
  const elapsedMs = moment.monotonicMs - state.sinceMs
  const drained = Object.values(counted.busy).every(busy => busy === 0)
  if (state.phase === 'draining' && elapsedMs >= Math.max(HANDOVER_PERIOD_MS, state.balancerMs) && drained) return refuseWork(counted, moment)
  if (state.phase === 'refusing' && elapsedMs >= REFUSAL_PERIOD_MS && drained) return endStop(counted, moment)
  if (state.phase === 'ending' && drained) return endStop(counted, moment)
  return { state: counted, effects: [] }
}

function refuseWork (state: StoppingState, moment: Moment): StoppingStep {
  return { state: { ...state, phase: 'refusing', sinceMs: moment.monotonicMs }, effects: [tell({ kind: 'transactions/refuse-work' })] }
}

// The balancer may not have noticed by now where the limit is short.
function endWork (state: StoppingState, moment: Moment): StoppingStep {
  const { busy, localTransactions } = state
  const aborted = busy.requests + busy.transactions - localTransactions
  return { state: { ...state, phase: 'ending', sinceMs: moment.monotonicMs, aborted }, effects: [STOP_ACCEPTING, tell({ kind: 'requests/end-asked' })] }
}

function expireStop (state: StoppingState, moment: Moment): StoppingStep {
  if (state.phase === 'ending') return endStop(state, moment)
  const ended = endWork(state, moment)
  const stopped = endStop(ended.state, moment)
  return { state: stopped.state, effects: [...ended.effects, ...stopped.effects] }
}

function endStop (state: StoppingState, moment: Moment): StoppingStep {
  const { aborted: abortedRequests, busy } = state
  const cut = `${abortedRequests} requests and transactions in flight were aborted, ${busy.answers} answers were not sent in full`
  const text = abortedRequests + busy.answers === 0 ? 'The host stopped; no request or transaction was aborted.' : `The host stopped at the time limit; ${cut}.`
  return {
    state: { ...state, phase: 'gone', sinceMs: moment.monotonicMs },
    effects: [
      clearTimer('stopping/check'),
      clearTimer('stopping/end'),
      clearTimer('stopping/limit'),
      tell({ kind: 'membership/leave' }),
      recordEvent('stopped', text),
      { kind: 'process/exit', abortedRequests }
    ]
  }
}

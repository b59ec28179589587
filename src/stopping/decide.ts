/** Decisions of the stopping slice: a graceful stop accepts no new callers, drains the work in flight, and then leaves the directory. */
import { clearTimer, recordEvent, type CoreEffect, type Effect, type Moment, type Step } from '../core/message.js'
import type { StopAccepting } from '../frontends/frontend.js'
import { setTimer, tell } from '../messages.js'
import type { StopRequested, WorkCounted, DrainedSlice, StoppingMessage } from './messages.js'

/** The interval at which the work in flight is counted. */
export const CHECK_INTERVAL_MS = 50
/** How long work for owned databases is still accepted after the stop began, so that all hosts learn of the new owners. */
export const HANDOVER_PERIOD_MS = 600
/** How long the host still refuses work once it is drained, so that requests on their way to it get an answer. */
export const REFUSAL_PERIOD_MS = 200

/** The phase of a stop: `draining` waits for the work in flight, `refusing` refuses late requests, `gone` ends the process. */
export type Phase = 'running' | 'draining' | 'refusing' | 'gone'

/** State of the stopping slice. */
export interface StoppingState {
  readonly host: string
  /** How long callers are still accepted, until the load balancer has detected that the host is not ready. */
  readonly balancerMs: number
  readonly phase: Phase
  /** The monotonic time at which the current phase began. */
  readonly sinceMs: number
  /** The work in flight at the last count. */
  readonly busy: Readonly<Record<DrainedSlice, number>>
  /** How many of the busy transactions are those of this host's own callers. */
  readonly localTransactions: number
}

/** Ends the process. */
export interface ExitProcess extends Effect {
  readonly kind: 'process/exit'
  /** The number of requests and transactions in flight that were aborted at the time limit. */
  readonly abortedRequests: number
}

const STOP_ACCEPTING: StopAccepting = { kind: 'caller/stop-accepting' }

type StoppingStep = Step<StoppingState, CoreEffect | ExitProcess | StopAccepting>

/**
 * Creates the state of a running host.
 * @example createStoppingState('host-1').phase // 'running'
 */
export function createStoppingState (host: string, balancerMs = 0): StoppingState {
  return { host, balancerMs, phase: 'running', sinceMs: 0, busy: { requests: 0, transactions: 0 }, localTransactions: 0 }
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
    case 'stopping/limit-passed': return state.phase === 'gone' ? { state, effects: [] } : endStop(state, moment, state.busy.requests + state.busy.transactions - state.localTransactions)
  }
}

function startStop (state: StoppingState, message: StopRequested, moment: Moment): StoppingStep {
  // Assumes one of each in flight until the first counts arrive.
  const next: StoppingState = { ...state, phase: 'draining', sinceMs: moment.monotonicMs, busy: { requests: 1, transactions: 1 }, localTransactions: 0 }
  return {
    state: next,
    effects: [
      ...(state.balancerMs === 0 ? [STOP_ACCEPTING] : [setTimer('stopping/balancer', state.balancerMs, { kind: 'stopping/balancer-noticed' })]),
      tell({ kind: 'membership/drain-asked', operation: 'stopping', host: state.host }),
      recordEvent('stop-asked', 'A graceful stop was requested.'),
      setTimer('stopping/limit', message.limitMs, { kind: 'stopping/limit-passed' }),
      createCheckTimer()
    ]
  }
}

function requestCounts (host: string): readonly CoreEffect[] {
  return [tell({ kind: 'requests/count-asked' }), tell({ kind: 'transactions/count-asked', host })]
}

function createCheckTimer (): CoreEffect {
  return setTimer('stopping/check', CHECK_INTERVAL_MS, { kind: 'stopping/check-due' })
}

function updateCount (state: StoppingState, message: WorkCounted, moment: Moment): StoppingStep {
  const localTransactions = message.part === 'transactions' ? message.local ?? 0 : state.localTransactions
  const counted: StoppingState = { ...state, busy: { ...state.busy, [message.part]: message.busy }, localTransactions }
  const elapsedMs = moment.monotonicMs - state.sinceMs
  const drained = counted.busy.requests === 0 && counted.busy.transactions === 0
  if (state.phase === 'draining' && elapsedMs >= Math.max(HANDOVER_PERIOD_MS, state.balancerMs) && drained) return refuseWork(counted, moment)
  if (state.phase === 'refusing' && elapsedMs >= REFUSAL_PERIOD_MS && drained) return endStop(counted, moment, 0)
  return { state: counted, effects: [] }
}

function refuseWork (state: StoppingState, moment: Moment): StoppingStep {
  return { state: { ...state, phase: 'refusing', sinceMs: moment.monotonicMs }, effects: [tell({ kind: 'transactions/refuse-work' })] }
}

function endStop (state: StoppingState, moment: Moment, abortedRequests: number): StoppingStep {
  const text = abortedRequests === 0 ? 'The host stopped; no request or transaction was aborted.' : `The host stopped at the time limit; ${abortedRequests} requests and transactions in flight were aborted.`
  return {
    state: { ...state, phase: 'gone', sinceMs: moment.monotonicMs },
    effects: [
      clearTimer('stopping/check'),
      clearTimer('stopping/limit'),
      tell({ kind: 'requests/end-asked' }),
      tell({ kind: 'membership/leave' }),
      recordEvent('stopped', text),
      { kind: 'process/exit', abortedRequests }
    ]
  }
}

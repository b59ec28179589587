/** Decisions of the stopping slice: first nothing new, then nothing running, then leave. */
import { clearTimer, recordEvent, type CoreEffect, type Effect, type Moment, type Step } from '../core/message.js'
import type { StopAccepting } from '../frontends/frontend.js'
import { setTimer, tell } from '../messages.js'
import type { Asked, Counted, Part, StoppingMessage } from './messages.js'

/** Time between two looks at what still runs. */
export const CHECK_EVERY_MS = 50
/** How long work for owned databases is still taken after the stop began, so that all hosts hear of the new owners. */
export const HANDOVER_MS = 600
/** How long refusals are still given once nothing runs, for requests that are under way to this host. */
export const REFUSE_MS = 200

/** How far a stop has come. */
export type Phase = 'running' | 'draining' | 'refusing' | 'gone'

/** State of the stopping slice. */
export interface StoppingState {
  readonly host: string
  /** How long callers are still taken, until the balancer has noticed that the host is not ready. */
  readonly balancerMs: number
  readonly phase: Phase
  /** When the present phase began. */
  readonly sinceMs: number
  readonly busy: Readonly<Record<Part, number>>
}

/** Ends the process. */
export interface ExitProcess extends Effect {
  readonly kind: 'process/exit'
  /** Requests that the end of the limit cut. */
  readonly cut: number
}

const STOP_ACCEPTING: StopAccepting = { kind: 'caller/stop-accepting' }

type StoppingStep = Step<StoppingState, CoreEffect | ExitProcess | StopAccepting>

/**
 * Creates the state of a host that runs.
 * @example createStoppingState('host-1').phase // 'running'
 */
export function createStoppingState (host: string, balancerMs = 0): StoppingState {
  return { host, balancerMs, phase: 'running', sinceMs: 0, busy: { requests: 0, transactions: 0 } }
}

/**
 * Decides on one message of the stopping slice.
 * @example decideStopping(state, { kind: 'stopping/asked', limitMs: 30_000 }, moment)
 */
export function decideStopping (state: StoppingState, message: StoppingMessage, moment: Moment): StoppingStep {
  switch (message.kind) {
    case 'stopping/asked': return state.phase === 'running' ? start(state, message, moment) : { state, effects: [] }
    case 'stopping/check-due': return state.phase === 'gone' ? { state, effects: [] } : { state, effects: [...askCounts(), createCheckTimer()] }
    case 'stopping/balancer-noticed': return { state, effects: [STOP_ACCEPTING] }
    case 'stopping/counted': return takeCount(state, message, moment)
    case 'stopping/limit-passed': return state.phase === 'gone' ? { state, effects: [] } : endStop(state, moment, state.busy.requests + state.busy.transactions)
  }
}

function start (state: StoppingState, message: Asked, moment: Moment): StoppingStep {
  // One each, until the first count says otherwise.
  const next: StoppingState = { ...state, phase: 'draining', sinceMs: moment.monotonicMs, busy: { requests: 1, transactions: 1 } }
  return {
    state: next,
    effects: [
      ...(state.balancerMs === 0 ? [STOP_ACCEPTING] : [setTimer('stopping/balancer', state.balancerMs, { kind: 'stopping/balancer-noticed' })]),
      tell({ kind: 'membership/drain-asked', operation: 'stopping', host: state.host }),
      recordEvent('stop-asked', 'The host is asked to stop.'),
      setTimer('stopping/limit', message.limitMs, { kind: 'stopping/limit-passed' }),
      createCheckTimer()
    ]
  }
}

function askCounts (): readonly CoreEffect[] {
  return [tell({ kind: 'requests/count-asked' }), tell({ kind: 'transactions/count-asked' })]
}

function createCheckTimer (): CoreEffect {
  return setTimer('stopping/check', CHECK_EVERY_MS, { kind: 'stopping/check-due' })
}

function takeCount (state: StoppingState, message: Counted, moment: Moment): StoppingStep {
  const counted: StoppingState = { ...state, busy: { ...state.busy, [message.part]: message.busy } }
  const elapsedMs = moment.monotonicMs - state.sinceMs
  const rests = counted.busy.requests === 0 && counted.busy.transactions === 0
  if (state.phase === 'draining' && elapsedMs >= Math.max(HANDOVER_MS, state.balancerMs) && rests) return refuseWork(counted, moment)
  if (state.phase === 'refusing' && elapsedMs >= REFUSE_MS && rests) return endStop(counted, moment, 0)
  return { state: counted, effects: [] }
}

function refuseWork (state: StoppingState, moment: Moment): StoppingStep {
  return { state: { ...state, phase: 'refusing', sinceMs: moment.monotonicMs }, effects: [tell({ kind: 'transactions/refuse-work' })] }
}

function endStop (state: StoppingState, moment: Moment, cut: number): StoppingStep {
  const text = cut === 0 ? 'The host stopped and cut nothing.' : `The host stopped at the limit and cut ${cut} requests.`
  return {
    state: { ...state, phase: 'gone', sinceMs: moment.monotonicMs },
    effects: [
      clearTimer('stopping/check'),
      clearTimer('stopping/limit'),
      tell({ kind: 'membership/leave' }),
      recordEvent('stopped', text),
      { kind: 'process/exit', cut }
    ]
  }
}

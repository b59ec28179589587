/**
 * Decisions on requests of a host that stops. What can't end in time is refused before it runs, and its transaction is rolled
 * back, so that its caller can start over at another host at once. What is left at the end is answered with what is known of it.
 */
import { createFailure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { isTooLate } from '../stopping/remaining.js'
import { abortTransaction, endTransaction, failRequest } from './failure.js'
import { logCutTransaction } from './log.js'
import type { Caller, InFlightRequest, RequestsShared } from './state.js'
import type { RequestsStep, RequestsStore } from './step.js'

/**
 * Tells whether a request would outlast the stop of this host: by what the requests of its transaction took so far, or by the
 * latency target of its route.
 * @example isRequestTooLate(shared, caller, running, moment) // false
 */
export function isRequestTooLate (shared: RequestsShared, caller: Caller, running: InFlightRequest, moment: Moment): boolean {
  return isTooLate(shared.endsAtMs, estimateMs(caller, running), moment)
}

/**
 * Estimates how long a request takes, in milliseconds.
 * @example estimateMs(caller, running) // 150
 */
export function estimateMs ({ transaction }: Caller, { rules }: InFlightRequest): number {
  return transaction?.longestMs ?? rules?.latencyMs ?? 0
}

/**
 * Refuses a request that was not sent to an owner, and ends its transaction.
 * @example refuseStopping(caller, running)
 */
export function refuseStopping (caller: Caller, running: InFlightRequest): RequestsStep {
  if (caller.transaction === undefined) return failRequest(caller, running, createFailure('host-stopping'))
  return endTransaction(caller, running.input.intent, createFailure('transaction-stopped'))
}

/**
 * Answers all requests in flight, and ends all transactions.
 * @example endRequests(store)
 */
export function endRequests (store: RequestsStore): RequestsStep {
  const steps = [...store.items.values()].map(endCaller)
  return { changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function endCaller (caller: Caller): RequestsStep {
  const { running, transaction } = caller
  if (running !== undefined) return running.phase === 'running' ? cutRequest(caller, running) : refuseStopping(caller, running)
  if (transaction === undefined) return { effects: [] }
  const { effects } = abortTransaction(caller, { kind: 'caller/refused', caller: caller.caller, failure: createFailure('transaction-stopped') })
  // The refusal also answers a request that waits in the inbox.
  return { changes: [[caller.caller, undefined]], effects: [...effects, logCutTransaction(caller, transaction)] }
}

// The database may have run it, but whatever its transaction did is rolled back unless the request commits it.
function cutRequest (caller: Caller, running: InFlightRequest): RequestsStep {
  const failure = createFailure('outcome-unknown', 'this host stopped before the answer came')
  if (caller.transaction === undefined) return failRequest(caller, running, failure)
  return abortTransaction(caller, { kind: 'caller/failed', caller: caller.caller, failure, status: 'idle' })
}

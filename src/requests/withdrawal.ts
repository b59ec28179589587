/**
 * Decisions on connections whose key was withdrawn. A request that has left for a database may
 * finish, and its caller gets the answer; then the connection ends. An open transaction is rolled
 * back, and what has not left is refused as not run.
 */
import type { CoreEffect } from '../core/message.js'
import { setTimer, tell } from '../messages.js'
import { endWithFailure } from './failure.js'
import type { KeyWithdrawn } from './messages.js'
import type { Caller } from './state.js'
import { createCancel, createTimersCleared, replaceCaller, type RequestsStep } from './step.js'

/**
 * Ends a connection whose key was withdrawn, or marks it to end after its running request.
 * @example withdrawKey(caller, { kind: 'requests/key-withdrawn', caller: 'c1', failure })
 */
export function withdrawKey (caller: Caller, message: KeyWithdrawn): RequestsStep {
  const { running } = caller
  const { failure } = message
  if (running === undefined) return endConnection(caller, message)
  const marked: Caller = { ...caller, withdrawn: failure }
  return running.phase === 'running' ? replaceCaller(marked, []) : endWithFailure(marked, running, failure)
}

/**
 * Adds the end of the connection to a step that leaves a marked caller without a request. It
 * comes as a later message, after what may still be told of the request's lease.
 * @example endWithdrawn(step)
 */
export function endWithdrawn (step: RequestsStep): RequestsStep {
  const ends = (step.changes ?? []).flatMap(([, caller]) => (caller?.withdrawn === undefined || caller.running !== undefined
    ? []
    : [setTimer(`requests/withdrawn/${caller.caller}`, 0, { kind: 'requests/key-withdrawn', caller: caller.caller, failure: caller.withdrawn })]))
  return ends.length === 0 ? step : { ...step, effects: [...step.effects, ...ends] }
}

function endConnection (caller: Caller, message: KeyWithdrawn): RequestsStep {
  const refused = { kind: 'caller/refused' as const, caller: caller.caller, failure: message.failure }
  return {
    changes: [[caller.caller, undefined]],
    effects: [...createTimersCleared(caller.caller), ...createCancel(caller), refused]
  }
}

/**
 * Creates the effect that tells admission of the end of a connection that came with a key.
 * @example createCallerClosed(caller)
 */
export function createCallerClosed (caller: Caller): readonly CoreEffect[] {
  if (caller.workspace === undefined) return []
  return [tell({ kind: 'admission/caller-closed', caller: caller.caller, service: caller.service })]
}

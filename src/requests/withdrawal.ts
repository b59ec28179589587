/**
 * Decisions on connections whose key was revoked. A request that was already sent to a database
 * may finish and is answered before the connection is closed. An open transaction is rolled back,
 * and a request that was not yet sent is refused as not run.
 */
import type { CoreEffect } from '../core/message.js'
import { setTimer, tell } from '../messages.js'
import { failRequest } from './failure.js'
import type { KeyRevoked } from './messages.js'
import type { Caller } from './state.js'
import { clearTimers, createCancelEffects, replaceCaller, type RequestsStep } from './step.js'

/**
 * Closes a connection whose key was revoked, or marks it to be closed after its running request.
 * @example revokeKey(caller, { kind: 'requests/key-withdrawn', caller: 'c1', failure })
 */
export function revokeKey (caller: Caller, message: KeyRevoked): RequestsStep {
  const { running } = caller
  const { failure } = message
  if (running === undefined) return closeConnection(caller, message)
  const marked: Caller = { ...caller, revoked: failure }
  return running.phase === 'running' ? replaceCaller(marked, []) : failRequest(marked, running, failure)
}

/**
 * Schedules the close of marked connections that a step leaves without a request. The close is a
 * separate message, so that an expired lease of that request is still reported before it.
 * @example closeRevoked(step)
 */
export function closeRevoked (step: RequestsStep): RequestsStep {
  const closes = (step.changes ?? []).flatMap(([, caller]) => (caller?.revoked === undefined || caller.running !== undefined
    ? []
    : [setTimer(`requests/withdrawn/${caller.caller}`, 0, { kind: 'requests/key-withdrawn', caller: caller.caller, failure: caller.revoked })]))
  return closes.length === 0 ? step : { ...step, effects: [...step.effects, ...closes] }
}

function closeConnection (caller: Caller, message: KeyRevoked): RequestsStep {
  const refused = { kind: 'caller/refused' as const, caller: caller.caller, failure: message.failure }
  return {
    changes: [[caller.caller, undefined]],
    effects: [...clearTimers(caller.caller), ...createCancelEffects(caller), refused]
  }
}

/**
 * Creates the effect that reports a closed connection to admission, if it has a workspace.
 * @example createCallerClosedEffects(caller)
 */
export function createCallerClosedEffects (caller: Caller): readonly CoreEffect[] {
  if (caller.workspace === undefined) return []
  return [tell({ kind: 'admission/caller-closed', caller: caller.caller, service: caller.service })]
}

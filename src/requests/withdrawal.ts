/**
 * Decisions on connections whose key was withdrawn. A request that was already sent to a database may finish and is answered,
 * one that was not is refused as not run, and an open transaction is rolled back. The connection itself stays until its caller
 * is silent: whoever sends a request before it sees the end of its connection would wait for an answer that never comes.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import { setTimer, tell } from '../messages.js'
import { endTransaction, failRequest } from './failure.js'
import type { KeyRevoked, RouteRules } from './messages.js'
import type { Caller, InFlightRequest } from './state.js'
import { clearTimers, createCancelEffects, isActive, replaceCaller, type RequestsEffect, type RequestsStep } from './step.js'

/** How long the caller of a withdrawn key may send nothing, unless its transaction may be idle for longer. */
const SILENCE_MS = 2_000

/**
 * Marks a connection whose key was withdrawn, and refuses its request if that was not sent to a database.
 * @example revokeKey(caller, { kind: 'requests/key-withdrawn', caller: 'c1', failure })
 */
export function revokeKey (caller: Caller, { failure }: KeyRevoked): RequestsStep {
  const { running, transaction } = caller
  if (caller.revoked !== undefined) return UNCHANGED
  const revoked: Caller = { ...caller, revoked: failure }
  if (running === undefined || running.phase === 'running') return replaceCaller(revoked, [])
  return isActive(transaction) ? refuseInTransaction(revoked, running) : failRequest(revoked, running, failure)
}

/**
 * Refuses a request within a transaction that a withdrawal rolled back, and ends that transaction.
 * @example refuseInTransaction(caller, running)
 */
export function refuseInTransaction (caller: Caller, { input }: InFlightRequest): RequestsStep {
  return endTransaction(caller, input.intent, createRollbackFailure(caller))
}

/**
 * Rolls back the transactions of marked connections that a step leaves without a request, and watches for their silence.
 * @example applyRevocations(step)
 */
export function applyRevocations (step: RequestsStep): RequestsStep {
  const applied = (step.changes ?? []).flatMap(([, caller]) => (caller?.revoked === undefined || caller.running !== undefined ? [] : [applyRevocation(caller)]))
  if (applied.length === 0) return step
  const changes = new Map([...step.changes!, ...applied.flatMap(({ changes = [] }) => changes)])
  return { ...step, changes: [...changes], effects: [...step.effects, ...applied.flatMap(({ effects }) => effects)] }
}

function applyRevocation (caller: Caller): RequestsStep {
  const { transaction } = caller
  const silenceMs = Math.max(SILENCE_MS, transaction?.rules.idleTransactionMs ?? 0)
  const timer = setTimer(`requests/silence/${caller.caller}`, silenceMs, { kind: 'requests/silence-passed', caller: caller.caller })
  if (!isActive(transaction)) return replaceCaller(caller, [timer])
  return replaceCaller({ ...caller, transaction: { ...transaction, phase: 'revoked' } }, [...createCancelEffects(caller), timer])
}

function createRollbackFailure ({ workspace }: Caller): Failure {
  return createFailure('transaction-revoked', workspace)
}

/**
 * Returns a connection whose key admission has just accepted: a later version may have given it back. Open routes need no key.
 * @example acceptKey(caller, rules).revoked // undefined
 */
export function acceptKey (caller: Caller, { open }: RouteRules): Caller {
  return caller.revoked === undefined || open === true ? caller : { ...caller, revoked: undefined }
}

/**
 * Ends a marked connection whose caller sent no request.
 * @example endSilent(caller)
 */
export function endSilent (caller: Caller): RequestsStep {
  const { revoked, running, transaction } = caller
  if (revoked === undefined || running !== undefined) return UNCHANGED
  const failure = transaction?.phase === 'revoked' ? createRollbackFailure(caller) : revoked
  return removeCaller(caller, [{ kind: 'caller/refused', caller: caller.caller, failure }])
}

/**
 * Creates a step that forgets a caller.
 * @example removeCaller(caller, [])
 */
export function removeCaller (caller: Caller, effects: readonly RequestsEffect[]): RequestsStep {
  return { changes: [[caller.caller, undefined]], effects: [...clearTimers(caller.caller), ...effects, ...createCallerClosedEffects(caller)] }
}

function createCallerClosedEffects (caller: Caller): readonly CoreEffect[] {
  if (caller.workspace === undefined) return []
  return [tell({ kind: 'admission/caller-closed', caller: caller.caller, service: caller.service })]
}

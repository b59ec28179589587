/**
 * Decisions on connections whose key was revoked. A request that was already sent to a database may finish and is answered,
 * one that was not is refused as not run, and an open transaction is rolled back. The connection ends with the refusal of the
 * next request: a caller may have sent it before it sees the end, and would wait for an answer that never comes.
 */
import { createFailure, type Failure } from '../core/errors.js'
import type { CoreEffect } from '../core/message.js'
import { setTimer, tell } from '../messages.js'
import { endTransaction, failRequest } from './failure.js'
import type { Intent, KeyRevoked } from './messages.js'
import type { Caller } from './state.js'
import { clearTimers, createCancelEffects, replaceCaller, type RequestsStep, type RequestsStore } from './step.js'

/** How long a connection whose key was revoked waits for a request, unless its transaction may stay idle for longer. */
const SILENCE_MS = 5_000

/**
 * Marks a connection whose key was revoked, and refuses its request if that was not sent to a database.
 * @example revokeKey(caller, { kind: 'requests/key-withdrawn', caller: 'c1', failure })
 */
export function revokeKey (caller: Caller, { failure }: KeyRevoked): RequestsStep {
  const { running, transaction } = caller
  const revoked: Caller = { ...caller, revoked: failure }
  if (running === undefined || running.phase === 'running') return replaceCaller(revoked, [])
  return transaction === undefined ? failRequest(revoked, running, failure) : endTransaction(revoked, running.input.intent, createRollbackFailure(caller))
}

/**
 * Rolls back the transactions of marked connections that a step leaves without a request, and lets them wait for the next one.
 * @example applyRevocations(store, step)
 */
export function applyRevocations (store: RequestsStore, step: RequestsStep): RequestsStep {
  const applied = (step.changes ?? []).flatMap(([name, caller]) => {
    const before = store.items.get(name)
    const isDone = before?.revoked !== undefined && before.running === undefined
    return caller?.revoked === undefined || caller.running !== undefined || isDone ? [] : [applyRevocation(caller)]
  })
  if (applied.length === 0) return step
  const changes = new Map([...step.changes!, ...applied.flatMap(({ changes = [] }) => changes)])
  return { ...step, changes: [...changes], effects: [...step.effects, ...applied.flatMap(({ effects }) => effects)] }
}

function applyRevocation (caller: Caller): RequestsStep {
  const { transaction } = caller
  const silenceMs = Math.max(SILENCE_MS, transaction?.rules.idleTransactionMs ?? 0)
  const timer = createSilenceTimer(caller, silenceMs)
  if (transaction === undefined) return replaceCaller(caller, [timer])
  return replaceCaller({ ...caller, transaction: undefined, revoked: createRollbackFailure(caller) }, [...createCancelEffects(caller), timer])
}

function createSilenceTimer ({ caller }: Caller, silenceMs: number): CoreEffect {
  return setTimer(`requests/silence/${caller}`, silenceMs, { kind: 'requests/silence-passed', caller })
}

function createRollbackFailure ({ workspace }: Caller): Failure {
  return createFailure('transaction-revoked', workspace)
}

/**
 * Refuses the request of a marked connection, which ends with that answer. The end of its transaction by a rollback succeeds,
 * and the connection waits for the next request: an end right behind an answer that succeeds could cross it.
 * @example refuseRevoked(caller, failure, 'statement')
 */
export function refuseRevoked (caller: Caller, failure: Failure, intent: Intent): RequestsStep {
  if (intent !== 'rollback' || failure.code !== 'transaction-revoked') return endConnection(caller, failure)
  const revoked: Caller = { ...caller, revoked: createFailure('wrong-key', caller.workspace) }
  return replaceCaller(revoked, [{ kind: 'caller/rolled-back', caller: caller.caller }, createSilenceTimer(caller, SILENCE_MS)])
}

/**
 * Ends a marked connection whose caller sent no request.
 * @example endSilent(caller)
 */
export function endSilent (caller: Caller): RequestsStep {
  return caller.revoked === undefined || caller.running !== undefined ? { effects: [] } : endConnection(caller, caller.revoked)
}

function endConnection ({ caller }: Caller, failure: Failure): RequestsStep {
  return { changes: [[caller, undefined]], effects: [...clearTimers(caller), { kind: 'caller/refused', caller, failure }] }
}

/**
 * Creates the effect that reports a closed connection to admission, if it has a workspace.
 * @example createCallerClosedEffects(caller)
 */
export function createCallerClosedEffects (caller: Caller): readonly CoreEffect[] {
  if (caller.workspace === undefined) return []
  return [tell({ kind: 'admission/caller-closed', caller: caller.caller, service: caller.service })]
}

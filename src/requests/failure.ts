/** Decisions on failed requests: retry, or end the request and report what is known about its effect. */
import { createFailure, type ErrorCode, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import type { GrantEntry } from '../membership/directory.js'
import { computeWaitEndMs, estimateDelayMs } from './budget.js'
import { computeRetryAfterMs } from './comeback.js'
import type { AttemptFailed, Intent, PeerLost, Target } from './messages.js'
import type { Caller, InFlightRequest, RequestsShared } from './state.js'
import { clearTimers, createCancelEffects, getTransactionStatus, isActive, replaceCaller, type RequestsEffect, type RequestsStep, type RequestsStore } from './step.js'
import { setTimer } from '../messages.js'

/** First delay before a request is routed or dispatched again. */
const BASE_BACKOFF_MS = 25
/** Longest delay before routing is tried again: at 100 ms, all waiting requests reach a new primary within a tenth of a second. */
const MAX_ROUTING_DELAY_MS = 100
/** Typical time until a cause of failure is gone: a failover, a change of owner, a drained queue. */
const RECOVERY_MS: Readonly<Partial<Record<ErrorCode, number>>> = { 'no-primary': 1_000, 'no-database': 500, 'queue-full': 200, 'no-authority': 500, evacuated: 1_000, 'transaction-evacuated': 500 }
/** Longest backoff of a request that owners keep refusing. */
const MAX_BACKOFF_MS = 400

/**
 * Decides on a failed attempt. A request that did not run may be retried. One that may have
 * run is retried only if it is idempotent or ran on a replica, and within the retry budget.
 * @example failAttempt(store.shared, caller, running, message, moment)
 */
export function failAttempt (shared: RequestsShared, caller: Caller, running: InFlightRequest, message: AttemptFailed, moment: Moment): RequestsStep {
  if (message.failure.code === 'transaction-evacuated') return endTransaction(caller, running.input.intent, addRetryAfter(message.failure, moment))
  const delayMs = computeBackoffMs(running, moment)
  const mayHaveRun = running.mayHaveRun || message.failure.effect !== 'not-run'
  const inTime = moment.monotonicMs + delayMs < computeWaitEndMs({ ...running, mayHaveRun })
  const allowed = message.retriable === true && inTime && running.parts === 0 && caller.transaction === undefined && caller.revoked === undefined
  if (allowed && message.failure.effect === 'not-run') return retry(caller, markUnbounded(running, message.failure), delayMs)
  const repeatable = running.rules?.idempotent === true || running.target?.purpose === 'replica'
  if (!allowed || !repeatable || shared.retryBudget < 1) return failRequest(caller, running, addRetryAfter(message.failure, moment))
  return { ...retry(caller, { ...running, mayHaveRun: true }, delayMs), shared: { ...shared, retryBudget: shared.retryBudget - 1 } }
}

function markUnbounded (running: InFlightRequest, failure: Failure): InFlightRequest {
  return failure.code === 'no-primary' && running.target?.bound !== undefined ? { ...running, primaryOnly: true } : running
}

// The jitter spreads the retries of callers that were refused for the same reason.
function addRetryAfter (failure: Failure, moment: Moment): Failure {
  const recoveryMs = RECOVERY_MS[failure.code]
  if (failure.effect !== 'not-run' || failure.retryAfterMs !== undefined || recoveryMs === undefined) return failure
  return { ...failure, retryAfterMs: Math.ceil(recoveryMs * (0.5 + moment.random)) }
}

// Routing again costs only this host, so its delay grows linearly; an owner that refused is retried with exponential backoff.
function computeBackoffMs (running: InFlightRequest, moment: Moment): number {
  if (running.target === undefined) return Math.min(MAX_ROUTING_DELAY_MS, BASE_BACKOFF_MS * (1 + (running.attempt - running.request) / 2))
  // The primary can serve what a replica could not, so this retry needs no delay.
  if (running.target.purpose === 'replica') return 0
  const backoffMs = Math.min(BASE_BACKOFF_MS * 2 ** running.refusals, MAX_BACKOFF_MS)
  return backoffMs / 2 + moment.random * backoffMs / 2
}

// A request that waits for a retry holds neither a connection nor a slot; it is routed
// again after the delay.
function retry (caller: Caller, running: InFlightRequest, afterMs: number): RequestsStep {
  const attempt = caller.attempts + 1
  const { target } = running
  const excluded = target === undefined ? running.excluded : [...running.excluded, target.database]
  const refusals = target === undefined ? running.refusals : running.refusals + 1
  const next: InFlightRequest = { ...running, attempt, excluded, refusals, phase: 'waiting', target: undefined }
  return replaceCaller({ ...caller, attempts: attempt, running: next }, [
    setTimer(`requests/retry/${caller.caller}`, afterMs, { kind: 'requests/retry-due', caller: caller.caller, attempt })
  ])
}

/**
 * Ends a request whose deadline has passed, or that may wait no longer. It did not run if it was never sent to an owner.
 * @example expireRequest(caller, running, moment)
 */
export function expireRequest (caller: Caller, running: InFlightRequest, moment: Moment): RequestsStep {
  if (running.phase === 'running') return failRequest(caller, running, createFailure('outcome-unknown', 'the deadline passed'))
  if (moment.monotonicMs >= running.deadlineAtMs) return failRequest(caller, running, createFailure('deadline-passed'))
  return failRequest(caller, running, { ...createFailure('not-in-time'), retryAfterMs: computeRetryAfterMs(0, running.rules?.priority, moment) })
}

/**
 * Refuses a request whose target's owner is too late to answer in time, before it is sent: another replica may be in time, the
 * primary is the only one.
 * @example refuseLate(shared, caller, running, target, moment)
 */
export function refuseLate (shared: RequestsShared, caller: Caller, running: InFlightRequest, target: Target, moment: Moment): RequestsStep {
  const delayMs = estimateDelayMs(shared, target.owner, moment)
  const inputs = { lateOwner: target.owner, delayMs: Math.round(delayMs), lagMs: Math.round(shared.lagMs) }
  // Where this host is late itself, its owner's delay says nothing.
  const retryAfterMs = Math.max(Math.ceil(delayMs * (1 + moment.random)), computeRetryAfterMs(shared.admittance.room, running.rules?.priority, moment))
  const failure: Failure = { ...createFailure('not-in-time'), retryAfterMs, inputs }
  if (target.purpose === 'primary') return failRequest(caller, running, failure)
  return failAttempt(shared, caller, { ...running, target }, { kind: 'requests/failed', caller: caller.caller, attempt: running.attempt, failure, retriable: true }, moment)
}

/**
 * Ends a request with a failure. A failed commit or rollback still closes the transaction;
 * after any other failure the caller has to end its transaction itself.
 * @example failRequest(caller, running, createFailure('no-primary', 'a'))
 */
export function failRequest (caller: Caller, running: InFlightRequest, failure: Failure): RequestsStep {
  const { intent } = running.input
  const closesTransaction = intent === 'commit' || intent === 'rollback'
  const transaction = closesTransaction || caller.transaction === undefined ? undefined : { ...caller.transaction, phase: 'lost' as const }
  const next: Caller = { ...caller, transaction, running: undefined }
  return replaceCaller(next, [
    ...clearTimers(caller.caller),
    ...createCancelEffects(caller),
    { kind: 'caller/failed', caller: caller.caller, failure: mergeEarlierAttempts(running, failure), status: getTransactionStatus(next) }
  ])
}

// An earlier attempt may have run even if the last one did not.
function mergeEarlierAttempts (running: InFlightRequest, failure: Failure): Failure {
  if (!running.mayHaveRun || failure.effect === 'unknown') return failure
  return createFailure('outcome-unknown', `an earlier attempt may have run, and the last one failed with ${failure.code}`)
}

/**
 * Rolls an open transaction back, and answers the request that was to continue it: a rollback succeeds, any other one is
 * refused as not run.
 * @example endTransaction(caller, 'commit', createFailure('transaction-stopped'))
 */
export function endTransaction (caller: Caller, intent: Intent, failure: Failure): RequestsStep {
  return abortTransaction(caller, intent === 'rollback'
    ? { kind: 'caller/rolled-back', caller: caller.caller }
    : { kind: 'caller/failed', caller: caller.caller, failure, status: 'idle' })
}

/**
 * Rolls an open transaction back: the cancellation closes the connection to the database.
 * @example abortTransaction(caller, { kind: 'caller/failed', caller: 'c1', failure, status: 'idle' })
 */
export function abortTransaction (caller: Caller, answer: RequestsEffect): RequestsStep {
  const ended: Caller = { ...caller, transaction: undefined, running: undefined }
  return replaceCaller(ended, [...clearTimers(caller.caller), ...createCancelEffects(caller), answer])
}

/**
 * Reports input that the front end refused. As in the database, this aborts an open transaction.
 * @example rejectInput(caller, createFailure('not-supported', 'LISTEN'))
 */
export function rejectInput (caller: Caller, failure: Failure): RequestsStep {
  const { transaction } = caller
  const cancel = isActive(transaction) ? createCancelEffects(caller) : []
  const next: Caller = isActive(transaction) ? { ...caller, transaction: { ...transaction, phase: 'lost' } } : caller
  return replaceCaller(next, [...cancel, { kind: 'caller/failed', caller: caller.caller, failure, status: getTransactionStatus(next) }])
}

/**
 * Reports an unknown outcome when the lease expired between the decision and the acknowledgement.
 * @example failAcknowledgement(caller)
 */
export function failAcknowledgement (caller: Caller): RequestsStep {
  return rejectInput(caller, createFailure('outcome-unknown', 'the lease on the primary expired'))
}

/**
 * Handles the loss of a host for all callers whose requests or transactions ran there.
 * @example handlePeerLost(store, { kind: 'requests/peer-lost', host: 'host-2' }, moment)
 */
export function handlePeerLost (store: RequestsStore, message: PeerLost, moment: Moment): RequestsStep {
  return failTargets(store, `the connection to host ${message.host} was lost`, target => target.owner === message.host, moment, message.reached !== false)
}

/**
 * Handles the replacement of primaries for all callers whose requests or transactions ran
 * there. An answer of the old primary could not be acknowledged, and may never arrive.
 * @example failReplacedPrimaries(store, grants, moment)
 */
export function failReplacedPrimaries (store: RequestsStore, grants: RequestsShared['grants'], moment: Moment): RequestsStep {
  const replaced = [...grants].filter(([group, { grant }]) => isReplaced(store.shared.grants.get(group)?.grant, grant))
  if (replaced.length === 0) return UNCHANGED
  const groups = new Set(replaced.map(([group]) => group))
  return failTargets(store, 'the primary was replaced', (target, group) => target.purpose === 'primary' && groups.has(group), moment)
}

function isReplaced (before: GrantEntry | undefined, after: GrantEntry): boolean {
  return before !== undefined && (before.term !== after.term || before.primary !== after.primary)
}

type TargetFilter = (target: Target, group: string) => boolean

function failTargets (store: RequestsStore, reason: string, matches: TargetFilter, moment: Moment, reached = true): RequestsStep {
  let { shared } = store
  const steps = [...store.items.values()].map(caller => {
    const step = failTarget(shared, caller, reason, matches, moment, reached)
    shared = step.shared ?? shared
    return step
  })
  return { shared, changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function failTarget (shared: RequestsShared, caller: Caller, reason: string, matches: TargetFilter, moment: Moment, reached: boolean): RequestsStep {
  const { running, transaction } = caller
  if (running?.target !== undefined && matches(running.target, running.rules?.group ?? '')) {
    const failure = reached ? createFailure('outcome-unknown', reason) : createFailure('no-database', running.rules?.group)
    return failAttempt(shared, caller, running, { kind: 'requests/failed', caller: caller.caller, attempt: running.attempt, failure, retriable: true }, moment)
  }
  if (!isActive(transaction) || !matches(transaction.target, transaction.rules.group)) return UNCHANGED
  return replaceCaller({ ...caller, transaction: { ...transaction, phase: 'lost' } }, [])
}

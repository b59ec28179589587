/** Decisions on requests that failed: another attempt, or the end with what is known of the effect. */
import { createFailure, type ErrorCode, type Failure } from '../core/errors.js'
import type { Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import type { GrantEntry } from '../membership/directory.js'
import type { Failed, PeerLost, Target } from './messages.js'
import type { Caller, RequestsShared, Running } from './state.js'
import { createCancel, createTimersCleared, readStatus, replaceCaller, type RequestsStep, type RequestsStore } from './step.js'
import { setTimer } from '../messages.js'

/** How long a request that found no place waits before it looks again, the first time. */
const RETRY_AFTER_MS = 25
/** The longest such pause: a tenth of a second after a change of primary, all that waited have found the new one. */
const MAX_LOOK_AFTER_MS = 100
/** When what was missing is there again, in most cases: a change of primary, another owner, the work of a queue. */
const COMES_BACK_MS: Readonly<Partial<Record<ErrorCode, number>>> = { 'no-primary': 1_000, 'no-database': 500, 'queue-full': 200 }
/** The longest pause of a request that owners refuse again and again. */
const MAX_RETRY_AFTER_MS = 400

/**
 * Decides on a failed attempt. What surely did not run may be tried again; what may
 * have run only if it is idempotent or ran on a replica, and within the budget of retries.
 * @example failAttempt(store.shared, caller, running, message, moment)
 */
export function failAttempt (shared: RequestsShared, caller: Caller, running: Running, message: Failed, moment: Moment): RequestsStep {
  const pauseMs = readPause(running, moment)
  const inTime = moment.monotonicMs + pauseMs < running.endsAtMs
  const allowed = message.retriable === true && inTime && running.parts === 0 && caller.transaction === undefined
  if (allowed && message.failure.effect === 'not-run') return retry(caller, running, pauseMs)
  const harmless = running.rules?.idempotent === true || running.target?.purpose === 'replica'
  if (!allowed || !harmless || shared.retries < 1) return endWithFailure(caller, running, addRetryTime(message.failure, moment))
  return { ...retry(caller, { ...running, mayHaveRun: true }, pauseMs), shared: { ...shared, retries: shared.retries - 1 } }
}

// Callers that were refused for the same reason come back one after the other.
function addRetryTime (failure: Failure, moment: Moment): Failure {
  const afterMs = COMES_BACK_MS[failure.code]
  if (failure.effect !== 'not-run' || failure.retryAfterMs !== undefined || afterMs === undefined) return failure
  return { ...failure, retryAfterMs: Math.ceil(afterMs * (0.5 + moment.random)) }
}

// Looking for a place costs this host alone; an owner that refused is asked ever more rarely.
function readPause (running: Running, moment: Moment): number {
  if (running.target === undefined) return Math.min(MAX_LOOK_AFTER_MS, RETRY_AFTER_MS * (1 + (running.attempt - running.request) / 2))
  // The primary serves what a replica could not.
  if (running.target.purpose === 'replica') return 0
  const pauseMs = Math.min(RETRY_AFTER_MS * 2 ** running.refusals, MAX_RETRY_AFTER_MS)
  return pauseMs / 2 + moment.random * pauseMs / 2
}

// A request that waits holds no connection and no slot: it leaves its place and
// looks for one again later.
function retry (caller: Caller, running: Running, afterMs: number): RequestsStep {
  const attempt = caller.attempts + 1
  const { target } = running
  const avoid = target === undefined ? running.avoid : [...running.avoid, target.database]
  const refusals = target === undefined ? running.refusals : running.refusals + 1
  const next: Running = { ...running, attempt, avoid, refusals, phase: 'waiting', target: undefined }
  return replaceCaller({ ...caller, attempts: attempt, running: next }, [
    setTimer(`requests/retry/${caller.caller}`, afterMs, { kind: 'requests/retry-due', caller: caller.caller, attempt })
  ])
}

/**
 * Ends a request whose time is over: it did not run if it never left for an owner.
 * @example passDeadline(caller, running)
 */
export function passDeadline (caller: Caller, running: Running): RequestsStep {
  const left = running.phase === 'running'
  return endWithFailure(caller, running, left ? createFailure('outcome-unknown', 'the deadline passed') : createFailure('deadline-passed'))
}

/**
 * Ends a request with a failure. The end of a transaction ends it also when it fails;
 * after any other failure the caller has to end its transaction itself.
 * @example endWithFailure(caller, running, createFailure('no-primary', 'a'))
 */
export function endWithFailure (caller: Caller, running: Running, failure: Failure): RequestsStep {
  const { intent } = running.input
  const ends = intent === 'commit' || intent === 'rollback'
  const transaction = ends || caller.transaction === undefined ? undefined : { ...caller.transaction, phase: 'lost' as const }
  const next: Caller = { ...caller, transaction, running: undefined }
  return replaceCaller(next, [
    ...createTimersCleared(caller.caller),
    ...createCancel(caller),
    { kind: 'caller/failed', caller: caller.caller, failure: tellEffect(running, failure), status: readStatus(next) }
  ])
}

// That the last attempt did not run says nothing of an earlier one.
function tellEffect (running: Running, failure: Failure): Failure {
  if (!running.mayHaveRun || failure.effect === 'unknown') return failure
  return createFailure('outcome-unknown', `an earlier attempt may have run, and then: ${failure.text}`)
}

/**
 * Passes a refusal of the front end on; as in the database, it aborts an open transaction.
 * @example rejectInput(caller, createFailure('not-supported', 'LISTEN'))
 */
export function rejectInput (caller: Caller, failure: Failure): RequestsStep {
  const { transaction } = caller
  const cancel = transaction === undefined || transaction.phase === 'lost' ? [] : createCancel(caller)
  const next: Caller = transaction === undefined ? caller : { ...caller, transaction: { ...transaction, phase: 'lost' } }
  return replaceCaller(next, [...cancel, { kind: 'caller/failed', caller: caller.caller, failure, status: readStatus(next) }])
}

/**
 * Tells a caller that its acknowledgement came too late: the lease ended after the decision.
 * @example failAcknowledgement(caller)
 */
export function failAcknowledgement (caller: Caller): RequestsStep {
  return rejectInput(caller, createFailure('outcome-unknown', 'the lease on the primary ended'))
}

/**
 * Decides for all callers whose requests or transactions were at a lost host.
 * @example losePeer(store, { kind: 'requests/peer-lost', host: 'host-2' }, moment)
 */
export function losePeer (store: RequestsStore, message: PeerLost, moment: Moment): RequestsStep {
  return loseTargets(store, `host ${message.host} was lost`, target => target.owner === message.host, moment, message.reached !== false)
}

/**
 * Decides for all callers whose requests or transactions were at a primary that was
 * replaced: its answer would acknowledge nothing, and may never come.
 * @example loseReplaced(store, grants, moment)
 */
export function loseReplaced (store: RequestsStore, grants: RequestsShared['grants'], moment: Moment): RequestsStep {
  const replaced = [...grants].filter(([group, { grant }]) => isReplaced(store.shared.grants.get(group)?.grant, grant))
  if (replaced.length === 0) return UNCHANGED
  const groups = new Set(replaced.map(([group]) => group))
  return loseTargets(store, 'the primary was replaced', (target, group) => target.purpose === 'primary' && groups.has(group), moment)
}

function isReplaced (before: GrantEntry | undefined, after: GrantEntry): boolean {
  return before !== undefined && (before.term !== after.term || before.primary !== after.primary)
}

type IsLost = (target: Target, group: string) => boolean

function loseTargets (store: RequestsStore, reason: string, isLost: IsLost, moment: Moment, reached = true): RequestsStep {
  let { shared } = store
  const steps = [...store.items.values()].map(caller => {
    const step = loseTarget(shared, caller, reason, isLost, moment, reached)
    shared = step.shared ?? shared
    return step
  })
  return { shared, changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function loseTarget (shared: RequestsShared, caller: Caller, reason: string, isLost: IsLost, moment: Moment, reached: boolean): RequestsStep {
  const { running, transaction } = caller
  if (running?.target !== undefined && isLost(running.target, running.rules?.group ?? '')) {
    const failure = reached ? createFailure('outcome-unknown', reason) : createFailure('no-database', running.rules?.group)
    return failAttempt(shared, caller, running, { kind: 'requests/failed', caller: caller.caller, attempt: running.attempt, failure, retriable: true }, moment)
  }
  if (transaction === undefined || !isLost(transaction.target, transaction.rules.group)) return UNCHANGED
  return replaceCaller({ ...caller, transaction: { ...transaction, phase: 'lost' } }, [])
}

/** Decisions of the requests slice: from a request's arrival to the end of its answer. */
import { createFailure, type Failure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import type { CallerEffect } from '../frontends/frontend.js'
import { advanceSession, formatToken, parseToken, readSeen } from '../sessions/token.js'
import type { Admitted, Arrived, Drained, Failed, Finished, GrantsConfirmed, Open, OpenChecked, Output, PeerLost, RequestsMessage, Routed, SessionSet, WorkName } from './messages.js'
import type { Caller, RequestsShared, Running } from './state.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a host may rely on a grant after it asked for its confirmation. */
export const GRANT_LEASE_MS = 1_000
/** How long a request that found no place waits before it looks again. */
const RETRY_AFTER_MS = 25
/** How long after a deadline the answer of the database's owner is awaited. */
const DEADLINE_GRACE_MS = 100

/** The effects of the requests slice. */
export type RequestsEffect = CoreEffect | CallerEffect
type RequestsStore = Store<RequestsShared, Caller>
type RequestsStep = StoreStep<RequestsShared, Caller, RequestsEffect>

/**
 * Decides on one message of the requests slice.
 * @example decideRequests(store, { kind: 'requests/closed', caller: 'c1' }, moment)
 */
export function decideRequests (store: RequestsStore, message: RequestsMessage, moment: Moment): RequestsStep {
  switch (message.kind) {
    case 'requests/open': return open(message)
    case 'requests/grants-confirmed': return holdGrants(store, message)
    case 'requests/peer-lost': return losePeer(store, message, moment)
    default: return decideForCaller(store, message, moment)
  }
}

type CallerMessage = Exclude<RequestsMessage, Open | GrantsConfirmed | PeerLost>

function decideForCaller (store: RequestsStore, message: CallerMessage, moment: Moment): RequestsStep {
  const caller = store.items.get(message.caller)
  if (caller === undefined) return UNCHANGED
  switch (message.kind) {
    case 'requests/open-checked': return finishOpen(caller, message)
    case 'requests/arrived': return arrive(store.shared, caller, message, moment)
    case 'requests/session-set': return setSession(caller, message)
    case 'requests/drained': return passCredit(caller, message)
    case 'requests/closed': return close(caller)
    case 'requests/retry-due': return decideForRunning(caller, message, running => chooseAgain(caller, running))
    case 'requests/admitted': return decideForRunning(caller, message, running => admit(caller, running, message))
    case 'requests/routed': return decideForRunning(caller, message, running => run(caller, running, message, moment))
    case 'requests/failed': return decideForRunning(caller, message, running => fail(caller, running, message, moment))
    case 'requests/output': return decideForRunning(caller, message, running => output(caller, running, message))
    case 'requests/finished': return decideForRunning(caller, message, running => finish(store.shared, caller, running, message, moment))
    case 'requests/deadline-passed': return caller.running?.request === message.request ? passDeadline(caller, caller.running) : UNCHANGED
    case 'requests/overdue': return failAcknowledgement(caller)
  }
}

// Answers to an earlier attempt are late or crossed: they change nothing.
function decideForRunning (caller: Caller, name: WorkName, decide: (running: Running) => RequestsStep): RequestsStep {
  const { running } = caller
  return running?.attempt === name.attempt ? decide(running) : UNCHANGED
}

function replace (caller: Caller, effects: readonly RequestsEffect[]): RequestsStep {
  return { changes: [[caller.caller, caller]], effects }
}

function open (message: Open): RequestsStep {
  const { caller, service, workspace, keyHash } = message
  const session = parseToken(service, message.session ?? '')
  if (session.isErr) return { effects: [{ kind: 'caller/refused', caller, failure: session.error }] }
  const record: Caller = { caller, service, workspace, keyHash, session: session.value, open: false, attempts: 0 }
  return replace(record, [tell({ kind: 'admission/check-open', caller, service, workspace, keyHash })])
}

function finishOpen (caller: Caller, message: OpenChecked): RequestsStep {
  if (message.failure === undefined) return replace({ ...caller, open: true }, [{ kind: 'caller/opened', caller: caller.caller }])
  return { changes: [[caller.caller, undefined]], effects: [{ kind: 'caller/refused', caller: caller.caller, failure: message.failure }] }
}

function setSession (caller: Caller, message: SessionSet): RequestsStep {
  const session = parseToken(caller.service, message.session)
  if (session.isErr) return { effects: [{ kind: 'caller/failed', caller: caller.caller, failure: session.error, status: readStatus(caller) }] }
  return replace({ ...caller, session: session.value }, [createFinished({ ...caller, session: session.value }, new Uint8Array(0))])
}

function arrive (shared: RequestsShared, caller: Caller, message: Arrived, moment: Moment): RequestsStep {
  const attempt = caller.attempts + 1
  const limitMs = Math.min(message.input.deadlineMs ?? shared.requestMs, shared.requestMs)
  const running: Running = {
    request: attempt,
    attempt,
    input: message.input,
    payload: message.payload,
    phase: 'admitting',
    endsAtMs: moment.monotonicMs + limitMs,
    avoid: [],
    answering: false
  }
  const next: Caller = { ...caller, attempts: attempt, running }
  if (caller.transaction?.lost === true) return answerLost(next, running)
  const check = tell({
    kind: 'admission/check-request',
    caller: caller.caller,
    attempt,
    service: caller.service,
    workspace: caller.workspace,
    keyHash: caller.keyHash,
    route: message.input.route,
    action: message.input.intent === 'begin-read-only' ? 'read' : 'write',
    inTransaction: caller.transaction !== undefined
  })
  return replace(next, [check, createDeadline(caller.caller, attempt, limitMs)])
}

// The owner of the database counts the same deadline and knows whether the request
// ran, so its answer goes first.
function createDeadline (caller: string, request: number, afterMs: number): CoreEffect {
  return setTimer(`requests/deadline/${caller}`, afterMs + DEADLINE_GRACE_MS, { kind: 'requests/deadline-passed', caller, request })
}

function answerLost (caller: Caller, running: Running): RequestsStep {
  const ends = running.input.intent === 'commit' || running.input.intent === 'rollback'
  if (!ends) return endWithFailure(caller, running, createFailure('transaction-lost', 'its end is awaited'))
  const next: Caller = { ...caller, transaction: undefined, running: undefined }
  return replace(next, [{ kind: 'caller/rolled-back', caller: caller.caller }])
}

function admit (caller: Caller, running: Running, message: Admitted): RequestsStep {
  const { transaction } = caller
  if (transaction === undefined) return chooseAgain(caller, { ...running, rules: message.rules })
  const next: Running = { ...running, rules: transaction.rules, phase: 'routing' }
  const routed = tell({ kind: 'requests/routed', caller: caller.caller, attempt: running.attempt, target: transaction.target })
  return replace({ ...caller, running: next }, [routed])
}

function chooseAgain (caller: Caller, running: Running): RequestsStep {
  if (running.rules === undefined) return UNCHANGED
  const choose = tell({
    kind: 'routing/choose',
    caller: caller.caller,
    attempt: running.attempt,
    rules: running.rules,
    seen: readSeen(caller.session, running.rules.group),
    avoid: running.avoid
  })
  return replace({ ...caller, running: { ...running, phase: 'routing' } }, [choose])
}

function run (caller: Caller, running: Running, message: Routed, moment: Moment): RequestsStep {
  const { target } = message
  const order = sendPeer(target.owner, {
    kind: 'transactions/run',
    caller: caller.caller,
    attempt: running.attempt,
    service: caller.service,
    workspace: caller.workspace,
    target,
    intent: running.input.intent,
    inTransaction: caller.transaction !== undefined,
    remainingMs: Math.max(0, running.endsAtMs - moment.monotonicMs),
    payload: running.payload
  })
  return replace({ ...caller, running: { ...running, phase: 'running', target } }, [order])
}

function output (caller: Caller, running: Running, message: Output): RequestsStep {
  const effect: RequestsEffect = { kind: 'caller/output', caller: caller.caller, payload: message.payload }
  return replace({ ...caller, running: { ...running, answering: true } }, [effect])
}

function passCredit (caller: Caller, message: Drained): RequestsStep {
  const target = caller.running?.target
  if (target === undefined) return UNCHANGED
  return { effects: [sendPeer(target.owner, { kind: 'transactions/credit', database: target.database, caller: caller.caller, bytes: message.bytes })] }
}

function finish (shared: RequestsShared, caller: Caller, running: Running, message: Finished, moment: Moment): RequestsStep {
  const { rules, target } = running
  if (rules === undefined || target === undefined) return UNCHANGED
  const held = shared.grants.get(rules.group)
  const leased = target.purpose === 'replica' || (held?.grant.term === target.term && held.grant.primary === target.database && held.leaseEndsMs > moment.monotonicMs)
  if (!leased) return endWithFailure(caller, running, createFailure('outcome-unknown', 'the primary was replaced'))
  const session = message.wrote ? advanceSession(caller.session, rules.group, message.position) : caller.session
  const transaction = message.status === 'idle' ? undefined : { target, rules, lost: false }
  const next: Caller = { ...caller, session, transaction, running: undefined }
  const finished = createFinished(next, message.payload)
  const guarded = target.purpose === 'replica'
    ? finished
    : { ...finished, notAfterMs: held!.leaseEndsMs, otherwise: { kind: 'requests/overdue', caller: caller.caller } }
  return replace(next, [clearTimer(`requests/deadline/${caller.caller}`), guarded])
}

function createFinished (caller: Caller, payload: Uint8Array): Extract<CallerEffect, { kind: 'caller/finished' }> {
  return { kind: 'caller/finished', caller: caller.caller, payload, status: readStatus(caller), session: formatToken(caller.service, caller.session) }
}

function readStatus (caller: Caller): 'idle' | 'open' | 'failed' {
  if (caller.transaction === undefined) return 'idle'
  return caller.transaction.lost ? 'failed' : 'open'
}

function fail (caller: Caller, running: Running, message: Failed, moment: Moment): RequestsStep {
  const repeatable = message.failure.effect === 'not-run' || running.rules?.idempotent === true || running.target?.purpose === 'replica'
  const inTime = moment.monotonicMs + RETRY_AFTER_MS < running.endsAtMs
  const again = message.retriable === true && repeatable && inTime && !running.answering && caller.transaction === undefined
  return again ? retry(caller, running) : endWithFailure(caller, running, message.failure)
}

// A request that waits holds no connection and no slot: it leaves its place and
// looks for one again later.
function retry (caller: Caller, running: Running): RequestsStep {
  const attempt = caller.attempts + 1
  const avoid = running.target === undefined ? running.avoid : [...running.avoid, running.target.database]
  const next: Running = { ...running, attempt, avoid, phase: 'waiting', target: undefined }
  return replace({ ...caller, attempts: attempt, running: next }, [
    setTimer(`requests/retry/${caller.caller}`, RETRY_AFTER_MS, { kind: 'requests/retry-due', caller: caller.caller, attempt })
  ])
}

function passDeadline (caller: Caller, running: Running): RequestsStep {
  const ran = running.phase === 'running'
  return endWithFailure(caller, running, ran ? createFailure('outcome-unknown', 'the deadline passed') : createFailure('deadline-passed'))
}

// The lease ended after the decision to acknowledge: the request is over, but the
// caller has not heard of it.
function failAcknowledgement (caller: Caller): RequestsStep {
  const failure = createFailure('outcome-unknown', 'the lease on the primary ended')
  return { effects: [{ kind: 'caller/failed', caller: caller.caller, failure, status: readStatus(caller) }] }
}

function endWithFailure (caller: Caller, running: Running, failure: Failure): RequestsStep {
  const transaction = caller.transaction === undefined ? undefined : { ...caller.transaction, lost: true }
  const next: Caller = { ...caller, transaction, running: undefined }
  return replace(next, [
    clearTimer(`requests/deadline/${caller.caller}`),
    clearTimer(`requests/retry/${caller.caller}`),
    ...createCancel(caller, running),
    { kind: 'caller/failed', caller: caller.caller, failure, status: readStatus(next) }
  ])
}

function createCancel (caller: Caller, running: Running | undefined): readonly RequestsEffect[] {
  const target = running?.target ?? caller.transaction?.target
  return target === undefined ? [] : [sendPeer(target.owner, { kind: 'transactions/cancel', database: target.database, caller: caller.caller })]
}

function close (caller: Caller): RequestsStep {
  return {
    changes: [[caller.caller, undefined]],
    effects: [
      clearTimer(`requests/deadline/${caller.caller}`),
      clearTimer(`requests/retry/${caller.caller}`),
      ...createCancel(caller, caller.running)
    ]
  }
}

function holdGrants (store: RequestsStore, message: GrantsConfirmed): RequestsStep {
  const leaseEndsMs = message.askedAtMs + GRANT_LEASE_MS
  const grants = new Map(message.grants.map(grant => [grant.group, { grant, leaseEndsMs }]))
  return { shared: { ...store.shared, grants }, effects: [] }
}

function losePeer (store: RequestsStore, message: PeerLost, moment: Moment): RequestsStep {
  const steps = [...store.items.values()].map(caller => loseTarget(caller, message.host, moment))
  return { changes: steps.flatMap(step => step.changes ?? []), effects: steps.flatMap(step => step.effects) }
}

function loseTarget (caller: Caller, host: string, moment: Moment): RequestsStep {
  const { running, transaction } = caller
  if (running?.target?.owner === host) {
    const failure = createFailure('outcome-unknown', `host ${host} was lost`)
    return fail(caller, running, { kind: 'requests/failed', caller: caller.caller, attempt: running.attempt, failure, retriable: true }, moment)
  }
  if (transaction?.target.owner !== host) return UNCHANGED
  return replace({ ...caller, transaction: { ...transaction, lost: true } }, [])
}

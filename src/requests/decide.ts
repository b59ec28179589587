/** Decisions of the requests slice: from a request's arrival to the end of its answer. */
import { createFailure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import { advanceSession, parseToken, readSeen } from '../sessions/token.js'
import { endWithFailure, failAcknowledgement, failAttempt, losePeer, loseReplaced, passDeadline, rejectInput } from './failure.js'
import { logRequests } from './log.js'
import type { Admitted, Arrived, CountAsked, Drained, Finished, GrantsConfirmed, Late, Open, OpenChecked, Output, PeerLost, RequestInput, RequestsMessage, Routed, RouteRules, SessionSet, WorkName } from './messages.js'
import { MAX_RETRIES, RETRIES_PER_SUCCESS, type Caller, type OpenTransaction, type RequestsShared, type Running } from './state.js'
import { createCancel, createFinished, createTimersCleared, readStatus, replaceCaller, type RequestsEffect, type RequestsStep, type RequestsStore } from './step.js'
import { createCallerClosed, endWithdrawn, withdrawKey } from './withdrawal.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a host may rely on a grant after it asked for its confirmation. */
export const GRANT_LEASE_MS = 1_000
/** The part of a route's latency target after which a read leaves a replica that has not answered: enough is left for another one. */
const LATE_PART = 0.6
/** How long after a deadline the answer of the database's owner is awaited. */
const DEADLINE_GRACE_MS = 100

/**
 * Decides on one message of the requests slice.
 * @example decideRequests(store, { kind: 'requests/closed', caller: 'c1' }, moment)
 */
export function decideRequests (store: RequestsStore, message: RequestsMessage, moment: Moment): RequestsStep {
  return logRequests(store, message, endWithdrawn(decideMessage(store, message, moment)), moment)
}

function decideMessage (store: RequestsStore, message: RequestsMessage, moment: Moment): RequestsStep {
  switch (message.kind) {
    case 'requests/open': return open(message)
    case 'requests/grants-confirmed': return holdGrants(store, message, moment)
    case 'requests/peer-lost': return losePeer(store, message, moment)
    case 'requests/count-asked': return countBusy(store)
    default: return decideForCaller(store, message, moment)
  }
}

type CallerMessage = Exclude<RequestsMessage, Open | GrantsConfirmed | PeerLost | CountAsked>

function countBusy (store: RequestsStore): RequestsStep {
  const busy = [...store.items.values()].filter(caller => caller.running !== undefined || caller.transaction !== undefined).length
  return { effects: [tell({ kind: 'stopping/counted', part: 'requests', busy })] }
}

function decideForCaller (store: RequestsStore, message: CallerMessage, moment: Moment): RequestsStep {
  const caller = store.items.get(message.caller)
  if (caller === undefined) return UNCHANGED
  switch (message.kind) {
    case 'requests/open-checked': return finishOpen(caller, message)
    case 'requests/arrived': return arrive(store.shared, caller, message, moment)
    case 'requests/rejected': return rejectInput(caller, message.failure)
    case 'requests/session-set': return setSession(caller, message)
    case 'requests/drained': return passCredit(caller, message)
    case 'requests/closed': return close(caller)
    case 'requests/retry-due': return decideForRunning(caller, message, running => chooseAgain(caller, running))
    case 'requests/admitted': return decideForRunning(caller, message, running => admit(caller, running, message, moment))
    case 'requests/routed': return decideForRunning(caller, message, running => run(store.shared, caller, running, message, moment))
    case 'requests/late': return decideForRunning(caller, message, running => retryLate(store.shared, caller, running, message, moment))
    case 'requests/failed': return decideForRunning(caller, message, running => failAttempt(store.shared, caller, running, message, moment))
    case 'requests/output': return decideForRunning(caller, message, running => output(caller, running, message))
    case 'requests/finished': return decideForRunning(caller, message, running => finish(store.shared, caller, running, message, moment))
    case 'requests/deadline-passed': return caller.running?.request === message.request ? passDeadline(caller, caller.running) : UNCHANGED
    case 'requests/key-withdrawn': return withdrawKey(caller, message)
    case 'requests/overdue': return failAcknowledgement(caller)
  }
}

// Answers to an earlier attempt are late or crossed: they change nothing.
function decideForRunning (caller: Caller, name: WorkName, decide: (running: Running) => RequestsStep): RequestsStep {
  const { running } = caller
  return running?.attempt === name.attempt ? decide(running) : UNCHANGED
}

function open (message: Open): RequestsStep {
  const { caller, service, route, workspace, keyHash } = message
  const session = parseToken(service, message.session ?? '')
  if (session.isErr) return { effects: [{ kind: 'caller/refused', caller, failure: session.error }] }
  const record: Caller = { caller, service, workspace, keyHash, session: session.value, open: false, attempts: 0 }
  return replaceCaller(record, [tell({ kind: 'admission/check-open', caller, service, route, workspace, keyHash })])
}

function finishOpen (caller: Caller, message: OpenChecked): RequestsStep {
  const workspace = message.workspace ?? caller.workspace
  if (message.failure === undefined) return replaceCaller({ ...caller, workspace, open: true }, [{ kind: 'caller/opened', caller: caller.caller }])
  return { changes: [[caller.caller, undefined]], effects: [{ kind: 'caller/refused', caller: caller.caller, failure: message.failure }] }
}

function setSession (caller: Caller, message: SessionSet): RequestsStep {
  const session = parseToken(caller.service, message.session)
  if (session.isErr) return { effects: [{ kind: 'caller/failed', caller: caller.caller, failure: session.error, status: readStatus(caller) }] }
  return replaceCaller({ ...caller, session: session.value }, [createFinished({ ...caller, session: session.value }, new Uint8Array(0))])
}

function arrive (shared: RequestsShared, caller: Caller, message: Arrived, moment: Moment): RequestsStep {
  const attempt = caller.attempts + 1
  const limitMs = Math.min(message.input.deadlineMs ?? shared.requestMs, shared.requestMs)
  const running: Running = {
    request: attempt,
    startedAtMs: moment.monotonicMs,
    attempt,
    input: message.input,
    payload: message.payload,
    phase: 'admitting',
    endsAtMs: moment.monotonicMs + limitMs,
    avoid: [],
    parts: 0,
    refusals: 0,
    mayHaveRun: false
  }
  const next: Caller = { ...caller, attempts: attempt, running }
  if (caller.transaction?.phase === 'lost') return answerLost(next, running)
  const check = tell({
    kind: 'admission/check-request',
    caller: caller.caller,
    attempt,
    service: caller.service,
    workspace: caller.workspace,
    keyHash: caller.keyHash,
    route: message.input.route,
    action: readAction(message.input),
    inTransaction: caller.transaction !== undefined
  })
  return replaceCaller(next, [check, createDeadline(caller.caller, attempt, limitMs)])
}

function readAction ({ action, intent }: RequestInput): 'read' | 'write' {
  return action ?? (intent === 'begin-read-only' ? 'read' : 'write')
}

// The owner of the database counts the same deadline and knows whether the request
// ran, so its answer goes first.
function createDeadline (caller: string, request: number, afterMs: number): CoreEffect {
  return setTimer(`requests/deadline/${caller}`, afterMs + DEADLINE_GRACE_MS, { kind: 'requests/deadline-passed', caller, request })
}

function answerLost (caller: Caller, running: Running): RequestsStep {
  const ends = running.input.intent === 'commit' || running.input.intent === 'rollback'
  if (!ends) return endWithFailure(caller, running, createFailure('transaction-aborted'))
  const next: Caller = { ...caller, transaction: undefined, running: undefined }
  return replaceCaller(next, [{ kind: 'caller/rolled-back', caller: caller.caller }])
}

function admit (caller: Caller, admitted: Running, message: Admitted, moment: Moment): RequestsStep {
  const rules = caller.transaction?.rules ?? message.rules
  const endsAtMs = rules.timeoutMs === undefined ? admitted.endsAtMs : Math.min(admitted.endsAtMs, admitted.startedAtMs + rules.timeoutMs)
  const limited = endsAtMs < admitted.endsAtMs
  const running: Running = limited ? { ...admitted, endsAtMs } : admitted
  const step = place(caller, running, message.rules)
  if (!limited || step.changes?.[0]?.[1]?.running === undefined) return step
  return { ...step, effects: [...step.effects, createDeadline(caller.caller, running.request, endsAtMs - moment.monotonicMs)] }
}

function place (caller: Caller, running: Running, rules: RouteRules): RequestsStep {
  const { transaction } = caller
  if (transaction?.phase === 'lost') return endWithFailure(caller, running, createFailure('transaction-lost', 'its host was lost'))
  if (transaction === undefined) return chooseAgain(caller, { ...running, rules })
  const next: Running = { ...running, rules: transaction.rules, phase: 'routing' }
  const routed = tell({ kind: 'requests/routed', caller: caller.caller, attempt: running.attempt, target: transaction.target })
  return replaceCaller({ ...caller, running: next }, [routed])
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
  return replaceCaller({ ...caller, running: { ...running, phase: 'routing' } }, [choose])
}

function run (shared: RequestsShared, caller: Caller, running: Running, message: Routed, moment: Moment): RequestsStep {
  const { target } = message
  const sender = shared.sender ?? String(moment.random)
  const ticket = { sender, order: shared.orders + 1 }
  const order = sendPeer(target.owner, {
    kind: 'transactions/run',
    caller: caller.caller,
    attempt: running.attempt,
    ticket,
    service: caller.service,
    workspace: running.rules?.open === true ? undefined : caller.workspace,
    target,
    intent: running.input.intent,
    transaction: caller.transaction?.began,
    remainingMs: Math.max(0, Math.round(running.endsAtMs - moment.monotonicMs)),
    idleMs: running.rules?.idleTransactionMs,
    payload: running.payload
  })
  const next: Caller = { ...caller, ticket, running: { ...running, phase: 'running', target } }
  return { ...replaceCaller(next, [order, ...createLateTimer(next)]), shared: { ...shared, sender, orders: ticket.order } }
}

// Answers the load pattern of a database that runs reads and loses their answers.
function createLateTimer ({ caller, transaction, running }: Caller): readonly CoreEffect[] {
  const latencyMs = running?.rules?.latencyMs
  const single = running?.target?.purpose === 'replica' && transaction === undefined && running.input.intent === 'statement'
  if (!single || latencyMs === undefined) return []
  return [setTimer(`requests/late/${caller}`, latencyMs * LATE_PART, { kind: 'requests/late', caller, attempt: running.attempt })]
}

// What a replica runs changes nothing, so another one may run it again, within the budget of retries.
function retryLate (shared: RequestsShared, caller: Caller, running: Running, message: Late, moment: Moment): RequestsStep {
  if (running.phase !== 'running' || running.parts > 0 || shared.retries < 1) return UNCHANGED
  const failure = createFailure('outcome-unknown', 'the replica did not answer')
  const step = failAttempt(shared, caller, running, { ...message, kind: 'requests/failed', failure, retriable: true }, moment)
  return { ...step, effects: [...createCancel(caller), ...step.effects] }
}

// A part that is missing can't be made good: the rest of the answer is not the caller's.
function output (caller: Caller, running: Running, message: Output): RequestsStep {
  if (message.part < running.parts) return UNCHANGED
  if (message.part > running.parts) return endWithFailure(caller, running, createFailure('outcome-unknown', 'a part of the answer was lost'))
  const effect: RequestsEffect = { kind: 'caller/output', caller: caller.caller, payload: message.payload }
  return replaceCaller({ ...caller, running: { ...running, parts: running.parts + 1 } }, [effect])
}

function passCredit (caller: Caller, message: Drained): RequestsStep {
  const target = caller.running?.target
  if (target === undefined) return UNCHANGED
  return { effects: [sendPeer(target.owner, { kind: 'transactions/credit', database: target.database, caller: caller.caller, bytes: message.bytes })] }
}

function finish (shared: RequestsShared, caller: Caller, running: Running, message: Finished, moment: Moment): RequestsStep {
  const { rules, target } = running
  if (rules === undefined || target === undefined) return UNCHANGED
  if (message.parts !== running.parts) return endWithFailure(caller, running, createFailure('outcome-unknown', 'a part of the answer was lost'))
  const { selfFencing } = shared.guarantees
  const held = shared.grants.get(rules.group)
  const granted = selfFencing || (held?.grant.term === target.term && held.grant.primary === target.database)
  const stands = target.purpose === 'replica' ? !message.wrote : granted
  if (!stands) return endWithFailure(caller, running, createFailure('outcome-unknown', 'the primary was replaced'))
  // The same grant may be confirmed again within the deadline, such as by the next leader.
  const lapsed = target.purpose === 'primary' && !selfFencing && held!.leaseEndsMs <= moment.monotonicMs
  if (lapsed) return { ...UNCHANGED, shared: { ...shared, unconfirmed: [...shared.unconfirmed.filter(other => other.caller !== message.caller), message] } }
  const session = message.wrote ? advanceSession(caller.session, rules.group, message.position) : caller.session
  const next: Caller = { ...caller, session, transaction: followTransaction(caller, running, message), running: undefined }
  const finished = createFinished(next, message.payload)
  const guarded = target.purpose === 'replica' || selfFencing
    ? finished
    : { ...finished, notAfterMs: held!.leaseEndsMs, otherwise: { kind: 'requests/overdue', caller: caller.caller } }
  const retries = Math.min(MAX_RETRIES, shared.retries + RETRIES_PER_SUCCESS)
  return { ...replaceCaller(next, [clearTimer(`requests/deadline/${caller.caller}`), guarded]), shared: { ...shared, retries } }
}

function followTransaction (caller: Caller, running: Running, message: Finished): OpenTransaction | undefined {
  const { rules, target } = running
  if (message.status === 'idle' || rules === undefined || target === undefined) return undefined
  return { target, rules, began: caller.transaction?.began ?? running.attempt, phase: message.status }
}

function close (caller: Caller): RequestsStep {
  return { changes: [[caller.caller, undefined]], effects: [...createTimersCleared(caller.caller), ...createCancel(caller), ...createCallerClosed(caller)] }
}

function holdGrants (store: RequestsStore, message: GrantsConfirmed, moment: Moment): RequestsStep {
  const leaseEndsMs = message.askedAtMs + GRANT_LEASE_MS
  const grants = new Map(message.grants.map(grant => [grant.group, { grant, leaseEndsMs }]))
  // The answer of a primary that fences itself stands, whichever host is primary by now.
  const step: RequestsStep = store.shared.guarantees.selfFencing ? UNCHANGED : loseReplaced(store, grants, moment)
  const again = store.shared.unconfirmed.map(tell)
  return { ...step, effects: [...step.effects, ...again], shared: { ...(step.shared ?? store.shared), grants, unconfirmed: [] } }
}

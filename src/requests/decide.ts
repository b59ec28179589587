/** Decisions of the requests slice, from the arrival of a request to the end of its answer. */
import { createFailure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { UNCHANGED } from '../core/store.js'
import { advanceSession, parseToken, getSeenPosition } from '../sessions/token.js'
import { isAtHome } from '../homes/homes.js'
import { decideArrival, updateLateness, recordRoute } from './arrival.js'
import { computeWaitEndMs, isBeyondBudget, recordDelay } from './budget.js'
import { endTransaction, expireRequest, failAcknowledgement, refuseLate, failAttempt, failReplacedPrimaries, failRequest, handlePeerLost, rejectInput } from './failure.js'
import { logRequests, logUnanswered } from './log.js'
import type { AttemptFailed, AttemptFinished, CallerConnected, ConnectionChecked, CountRequested, EndRequested, GrantsConfirmed, LagDue, OutputDrained, OutputReceived, PeerLost, ReplicaSlow, RequestAdmitted, RequestArrived, RequestInput, RequestRouted, RequestsMessage, RequestUnanswered, RouteRules, SessionReplaced, StopRequested, AttemptId } from './messages.js'
import { MAX_RETRY_BUDGET, RETRY_BUDGET_PER_SUCCESS, type Caller, type InFlightRequest, type OpenTransaction, type RequestsShared } from './state.js'
import { createCancelEffects, createFinishedEffect, getTransactionStatus, replaceCaller, type RequestsEffect, type RequestsStep, type RequestsStore } from './step.js'
import { endRequests, estimateMs, isRequestTooLate, refuseStopping } from './stopping.js'
import { acceptKey, applyRevocations, endSilent, refuseInTransaction, removeCaller, revokeKey } from './withdrawal.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a host may rely on a grant, counted from the time at which it requested the confirmation. */
export const GRANT_LEASE_MS = 1_000
/** How long after the deadline the entry host still waits for the owner's answer. */
const DEADLINE_GRACE_MS = 300

/**
 * Decides on one message of the requests slice.
 * @example decideRequests(store, { kind: 'requests/closed', caller: 'c1' }, moment)
 */
export function decideRequests (store: RequestsStore, message: RequestsMessage, moment: Moment): RequestsStep {
  return logRequests(store, message, applyRevocations(decideMessage(store, message, moment)), moment)
}

function decideMessage (store: RequestsStore, message: RequestsMessage, moment: Moment): RequestsStep {
  switch (message.kind) {
    case 'requests/open': return openConnection(message)
    case 'requests/grants-confirmed': return updateGrants(store, message, moment)
    case 'requests/peer-lost': return handlePeerLost(store, message, moment)
    case 'requests/count-asked': return countBusy(store)
    case 'requests/stop-asked': return { shared: { ...store.shared, endsAtMs: message.endsAtMs }, effects: [] }
    case 'requests/lag-due': return updateLateness(store, message, moment)
    case 'requests/end-asked': return endRequests(store)
    case 'requests/unanswered': return { effects: [logUnanswered(message)] }
    default: return decideForCaller(store, message, moment)
  }
}

type CallerMessage = Exclude<RequestsMessage, LagDue | CallerConnected | GrantsConfirmed | PeerLost | CountRequested | StopRequested | EndRequested | RequestUnanswered>

function countBusy (store: RequestsStore): RequestsStep {
  const busy = [...store.items.values()].filter(caller => caller.running !== undefined || caller.transaction !== undefined).length
  return { effects: [tell({ kind: 'stopping/counted', part: 'requests', busy })] }
}

function decideForCaller (store: RequestsStore, message: CallerMessage, moment: Moment): RequestsStep {
  const caller = store.items.get(message.caller)
  if (caller === undefined) return UNCHANGED
  switch (message.kind) {
    case 'requests/open-checked': return finishConnecting(caller, message)
    case 'requests/arrived': return acceptRequest(store.shared, caller, message, moment)
    case 'requests/rejected': return rejectInput(caller, message.failure)
    case 'requests/session-set': return setSession(caller, message)
    case 'requests/drained': return forwardCredit(caller, message)
    case 'requests/closed': return closeConnection(caller)
    case 'requests/retry-due': return decideForAttempt(caller, message, running => requestTarget(caller, running))
    case 'requests/admitted': return decideForAttempt(caller, message, running => admitRequest(store.shared, acceptKey(caller, message.rules), running, message, moment))
    case 'requests/routed': return decideForAttempt(caller, message, running => dispatchRequest(store.shared, caller, running, message, moment))
    case 'requests/late': return decideForAttempt(caller, message, running => retrySlowRead(store.shared, caller, running, message, moment))
    case 'requests/failed': return decideForAttempt(caller, message, running => reportOwner(store.shared, running, message, moment, failAttempt(store.shared, caller, running, message, moment)))
    case 'requests/output': return decideForAttempt(caller, message, running => forwardOutput(caller, running, message))
    case 'requests/finished': return decideForAttempt(caller, message, running => reportOwner(store.shared, running, message, moment, finishRequest(store.shared, caller, running, message, moment)))
    case 'requests/deadline-passed': return caller.running?.request === message.request ? handleTimeOver(caller, caller.running, moment) : UNCHANGED
    case 'requests/key-withdrawn': return revokeKey(caller, message)
    case 'requests/silence-passed': return endSilent(caller)
    case 'requests/overdue': return failAcknowledgement(caller)
  }
}

// Messages about an earlier attempt are stale and are ignored.
function decideForAttempt (caller: Caller, message: AttemptId, decide: (running: InFlightRequest) => RequestsStep): RequestsStep {
  const { running } = caller
  return running?.attempt === message.attempt ? decide(running) : UNCHANGED
}

// Routing places requests by the load that owners report, and avoids owners that do not answer.
function reportOwner (before: RequestsShared, { target, sentAtMs }: InFlightRequest, message: AttemptFailed | AttemptFinished, moment: Moment, step: RequestsStep): RequestsStep {
  const { from, load, waitedMs, ranMs } = message
  if (from === undefined || target === undefined) return step
  const shared = step.shared ?? before
  const measured = waitedMs === undefined || ranMs === undefined || sentAtMs === undefined ? undefined : Math.max(0, moment.monotonicMs - sentAtMs - waitedMs - ranMs)
  const ownerDelays = measured === undefined ? shared.ownerDelays : recordDelay(shared.ownerDelays, from, measured, moment)
  const times = sentAtMs === undefined || waitedMs === undefined ? {} : { elapsedMs: moment.monotonicMs - sentAtMs, waitedMs, ranMs, bytes: message.kind === 'requests/finished' ? message.payload.byteLength : 0 }
  return { ...step, shared: ownerDelays === shared.ownerDelays ? step.shared : { ...shared, ownerDelays }, effects: [...step.effects, tell({ kind: 'routing/owner-answered', owner: from, database: target.database, load, ...times })] }
}

function openConnection (message: CallerConnected): RequestsStep {
  const { caller, service, route, workspace, keyHash } = message
  const session = parseToken(service, message.session ?? '')
  if (session.isErr) return { effects: [{ kind: 'caller/refused', caller, failure: session.error }] }
  const record: Caller = { caller, service, workspace, keyHash, session: session.value, open: false, attempts: 0 }
  return replaceCaller(record, [tell({ kind: 'admission/check-open', caller, service, route, workspace, keyHash })])
}

function finishConnecting (caller: Caller, message: ConnectionChecked): RequestsStep {
  const workspace = message.workspace ?? caller.workspace
  if (message.failure === undefined) return replaceCaller({ ...caller, workspace, open: true }, [{ kind: 'caller/opened', caller: caller.caller }])
  return { changes: [[caller.caller, undefined]], effects: [{ kind: 'caller/refused', caller: caller.caller, failure: message.failure }] }
}

function setSession (caller: Caller, message: SessionReplaced): RequestsStep {
  const session = parseToken(caller.service, message.session)
  if (session.isErr) return { effects: [{ kind: 'caller/failed', caller: caller.caller, failure: session.error, status: getTransactionStatus(caller) }] }
  return replaceCaller({ ...caller, session: session.value }, [createFinishedEffect({ ...caller, session: session.value }, new Uint8Array(0))])
}

function acceptRequest (shared: RequestsShared, caller: Caller, message: RequestArrived, moment: Moment): RequestsStep {
  const attempt = caller.attempts + 1
  const limitMs = Math.min(message.input.deadlineMs ?? shared.requestMs, shared.requestMs)
  const running: InFlightRequest = {
    request: attempt,
    startedAtMs: moment.monotonicMs,
    attempt,
    input: message.input,
    payload: message.payload,
    phase: 'admitting',
    deadlineAtMs: moment.monotonicMs + limitMs,
    excluded: [],
    parts: 0,
    refusals: 0,
    mayHaveRun: false
  }
  const next: Caller = { ...caller, attempts: attempt, running }
  if (caller.transaction?.phase === 'lost') return answerLostTransaction(next, running)
  if (caller.transaction?.phase === 'revoked') return refuseInTransaction(next, running)
  if (isRequestTooLate(shared, next, running, moment)) return refuseStopping(next, running)
  const arrival = decideArrival(shared, caller, running, moment)
  if (arrival.failure !== undefined) return { ...failRequest(next, running, arrival.failure), shared: arrival.shared }
  const check = tell({
    kind: 'admission/check-request',
    caller: caller.caller,
    attempt,
    service: caller.service,
    workspace: caller.workspace,
    keyHash: caller.keyHash,
    route: message.input.route,
    action: resolveAction(message.input),
    inTransaction: caller.transaction !== undefined
  })
  return { ...replaceCaller(next, [check, createDeadlineTimer(caller.caller, attempt, limitMs)]), shared: arrival.shared }
}

function resolveAction ({ action, intent }: RequestInput): 'read' | 'write' {
  return action ?? (intent === 'begin-read-only' ? 'read' : 'write')
}

// The database's owner enforces the same deadline and knows whether the request ran,
// so its answer takes precedence.
function createDeadlineTimer (caller: string, request: number, afterMs: number): CoreEffect {
  return createTimer(caller, request, afterMs + DEADLINE_GRACE_MS)
}

function createTimer (caller: string, request: number, afterMs: number): CoreEffect {
  return setTimer(`requests/deadline/${caller}`, afterMs, { kind: 'requests/deadline-passed', caller, request })
}

// The first time counts for what was not sent yet, the second for what an owner runs or may have run.
function handleTimeOver (caller: Caller, running: InFlightRequest, moment: Moment): RequestsStep {
  const endMs = running.phase === 'running' ? running.deadlineAtMs + DEADLINE_GRACE_MS : computeWaitEndMs(running)
  const leftMs = endMs - moment.monotonicMs
  if (leftMs > 0) return { effects: [createTimer(caller.caller, running.request, leftMs)] }
  return expireRequest(caller, running, moment)
}

function answerLostTransaction (caller: Caller, running: InFlightRequest): RequestsStep {
  const closesTransaction = running.input.intent === 'commit' || running.input.intent === 'rollback'
  if (!closesTransaction) return failRequest(caller, running, createFailure('transaction-aborted'))
  const next: Caller = { ...caller, transaction: undefined, running: undefined }
  return replaceCaller(next, [{ kind: 'caller/rolled-back', caller: caller.caller }])
}

function admitRequest (shared: RequestsShared, caller: Caller, admitted: InFlightRequest, message: RequestAdmitted, moment: Moment): RequestsStep {
  const rules = caller.transaction?.rules ?? message.rules
  const deadlineAtMs = rules.timeoutMs === undefined ? admitted.deadlineAtMs : Math.min(admitted.deadlineAtMs, admitted.startedAtMs + rules.timeoutMs)
  const running: InFlightRequest = { ...admitted, deadlineAtMs, admittedAtMs: moment.monotonicMs }
  const remembered = recordRoute(shared, caller, running, message.rules, moment)
  const step = chooseTarget(caller, running, message.rules)
  const timers = step.changes?.[0]?.[1]?.running === undefined ? [] : createShorterTimer(caller, admitted, { ...running, rules }, moment)
  return { ...step, shared: remembered.shared, effects: [...step.effects, ...timers, ...remembered.effects] }
}

function createShorterTimer ({ caller, transaction }: Caller, before: InFlightRequest, running: InFlightRequest, { monotonicMs }: Moment): readonly CoreEffect[] {
  const waitEndMs = computeWaitEndMs(running)
  if (transaction === undefined && waitEndMs < running.deadlineAtMs) return [createTimer(caller, running.request, waitEndMs - monotonicMs)]
  return running.deadlineAtMs < before.deadlineAtMs ? [createDeadlineTimer(caller, running.request, running.deadlineAtMs - monotonicMs)] : []
}

function chooseTarget (caller: Caller, running: InFlightRequest, rules: RouteRules): RequestsStep {
  const { transaction } = caller
  if (transaction?.phase === 'lost') return failRequest(caller, running, createFailure('transaction-lost', 'the connection to its host was lost or its primary was replaced'))
  if (transaction === undefined) return requestTarget(caller, { ...running, rules })
  if (!isAtHome(rules.homes, transaction.regions)) return endTransaction(caller, running.input.intent, createFailure('transaction-homeless'))
  const next: InFlightRequest = { ...running, rules: transaction.rules, phase: 'routing' }
  const routed = tell({ kind: 'requests/routed', caller: caller.caller, attempt: running.attempt, target: transaction.target })
  return replaceCaller({ ...caller, running: next }, [routed])
}

function requestTarget (caller: Caller, running: InFlightRequest): RequestsStep {
  if (running.rules === undefined) return UNCHANGED
  const choose = tell({
    kind: 'routing/choose',
    caller: caller.caller,
    attempt: running.attempt,
    rules: running.rules,
    workspace: caller.workspace,
    seen: getSeenPosition(caller.session, running.rules.group),
    avoid: running.excluded,
    primaryOnly: running.primaryOnly
  })
  return replaceCaller({ ...caller, running: { ...running, phase: 'routing' } }, [choose])
}

function dispatchRequest (shared: RequestsShared, caller: Caller, running: InFlightRequest, message: RequestRouted, moment: Moment): RequestsStep {
  const { target } = message
  if (isRequestTooLate(shared, caller, running, moment)) return refuseStopping(caller, running)
  if (caller.transaction === undefined && isBeyondBudget(shared, running, target.owner, moment)) return refuseLate(shared, caller, running, target, moment)
  const endsAtMs = Math.min(running.deadlineAtMs, shared.endsAtMs ?? Infinity)
  const sender = shared.sender ?? String(moment.random)
  const ticket = { sender, order: shared.lastTicket + 1 }
  const order = sendPeer(target.owner, {
    kind: 'transactions/run',
    caller: caller.caller,
    attempt: running.attempt,
    ticket,
    service: caller.service,
    workspace: running.rules?.open === true ? undefined : caller.workspace,
    target,
    intent: running.input.intent,
    ...(target.purpose === 'primary' && resolveAction(running.input) === 'write' ? { writes: true } as const : {}),
    transaction: caller.transaction?.beginAttempt,
    remainingMs: Math.max(0, Math.round(endsAtMs - moment.monotonicMs)),
    expectedMs: estimateMs(caller, running),
    latencyMs: running.rules?.latencyMs,
    targetLeftMs: computeTargetLeftMs(running, moment),
    waitMs: computeWaitMs(caller, running, moment),
    priority: running.rules?.priority,
    idleMs: running.rules?.idleTransactionMs,
    payload: running.payload
  })
  const next: Caller = { ...caller, ticket, running: { ...running, phase: 'running', target, regions: message.regions, sentAtMs: moment.monotonicMs } }
  return { ...replaceCaller(next, [order, ...createSlowReplicaTimer(next)]), shared: { ...shared, sender, lastTicket: ticket.order } }
}

function computeTargetLeftMs ({ startedAtMs, rules }: InFlightRequest, moment: Moment): number | undefined {
  return rules?.latencyMs === undefined ? undefined : Math.round(startedAtMs + rules.latencyMs - moment.monotonicMs)
}

function computeWaitMs ({ transaction }: Caller, running: InFlightRequest, moment: Moment): number | undefined {
  const waitEndMs = computeWaitEndMs(running)
  return transaction !== undefined || waitEndMs >= running.deadlineAtMs ? undefined : Math.max(0, Math.round(waitEndMs - moment.monotonicMs))
}

// The owner reports a replica that does not answer. This timer covers an owner that is lost.
function createSlowReplicaTimer ({ caller, transaction, running }: Caller): readonly CoreEffect[] {
  const latencyMs = running?.rules?.latencyMs
  const single = running?.target?.purpose === 'replica' && transaction === undefined && running.input.intent === 'statement'
  if (!single || latencyMs === undefined) return []
  return [setTimer(`requests/late/${caller}`, latencyMs, { kind: 'requests/late', caller, attempt: running.attempt })]
}

// A replica only runs reads, so another one may repeat the statement within the retry budget.
function retrySlowRead (shared: RequestsShared, caller: Caller, running: InFlightRequest, message: ReplicaSlow, moment: Moment): RequestsStep {
  if (running.phase !== 'running' || running.parts > 0 || shared.retryBudget < 1) return UNCHANGED
  const failure = createFailure('outcome-unknown', 'the replica did not answer')
  const step = failAttempt(shared, caller, running, { ...message, kind: 'requests/failed', failure, retriable: true }, moment)
  return { ...step, effects: [...createCancelEffects(caller), ...step.effects] }
}

// A missing part can't be recovered, so the rest of the answer is not forwarded.
function forwardOutput (caller: Caller, running: InFlightRequest, message: OutputReceived): RequestsStep {
  if (message.part < running.parts) return UNCHANGED
  if (message.part > running.parts) return failRequest(caller, running, createFailure('outcome-unknown', 'a part of the answer was lost'))
  const effect: RequestsEffect = { kind: 'caller/output', caller: caller.caller, payload: message.payload }
  return replaceCaller({ ...caller, running: { ...running, parts: running.parts + 1 } }, [effect])
}

function forwardCredit (caller: Caller, message: OutputDrained): RequestsStep {
  const target = caller.running?.target
  if (target === undefined) return UNCHANGED
  return { effects: [sendPeer(target.owner, { kind: 'transactions/credit', database: target.database, caller: caller.caller, bytes: message.bytes })] }
}

function finishRequest (shared: RequestsShared, caller: Caller, running: InFlightRequest, message: AttemptFinished, moment: Moment): RequestsStep {
  const { rules, target } = running
  if (rules === undefined || target === undefined) return UNCHANGED
  if (message.parts !== running.parts) return failRequest(caller, running, createFailure('outcome-unknown', 'a part of the answer was lost'))
  const { selfFencing } = shared.guarantees
  const held = shared.grants.get(rules.group)
  const granted = selfFencing || (held?.grant.term === target.term && held.grant.primary === target.database)
  const confirmed = target.purpose === 'replica' ? !message.wrote : granted
  if (!confirmed) return failRequest(caller, running, createFailure('outcome-unknown', 'the primary was replaced'))
  // The same grant may be confirmed again before the deadline, for example by the next leader.
  const expired = target.purpose === 'primary' && !selfFencing && held!.leaseEndsAtMs <= moment.monotonicMs
  if (expired) return { ...UNCHANGED, shared: { ...shared, withheldAnswers: [...shared.withheldAnswers.filter(other => other.caller !== message.caller), message] } }
  const session = message.wrote ? advanceSession(caller.session, rules.group, message.position) : caller.session
  const next: Caller = { ...caller, session, transaction: trackTransaction(caller, running, message, moment), running: undefined }
  const finished = createFinishedEffect(next, message.payload)
  const guarded = target.purpose === 'replica' || selfFencing
    ? finished
    : { ...finished, notAfterMs: held!.leaseEndsAtMs, otherwise: { kind: 'requests/overdue', caller: caller.caller } }
  const retryBudget = Math.min(MAX_RETRY_BUDGET, shared.retryBudget + RETRY_BUDGET_PER_SUCCESS)
  return { ...replaceCaller(next, [clearTimer(`requests/deadline/${caller.caller}`), guarded]), shared: { ...shared, retryBudget } }
}

function trackTransaction ({ transaction }: Caller, running: InFlightRequest, message: AttemptFinished, moment: Moment): OpenTransaction | undefined {
  const { rules, target } = running
  if (message.status === 'idle' || rules === undefined || target === undefined) return undefined
  const longestMs = Math.max(transaction?.longestMs ?? 0, moment.monotonicMs - running.startedAtMs)
  return { target, regions: transaction?.regions ?? running.regions, rules, beginAttempt: transaction?.beginAttempt ?? running.attempt, phase: message.status, longestMs }
}

function closeConnection (caller: Caller): RequestsStep {
  return removeCaller(caller, createCancelEffects(caller))
}

function updateGrants (store: RequestsStore, message: GrantsConfirmed, moment: Moment): RequestsStep {
  const leaseEndsAtMs = message.askedAtMs + GRANT_LEASE_MS
  const grants = new Map(message.grants.map(grant => [grant.group, { grant, leaseEndsAtMs }]))
  // An answer of a primary that fences itself stays valid even after another database became primary.
  const step: RequestsStep = store.shared.guarantees.selfFencing ? UNCHANGED : failReplacedPrimaries(store, grants, moment)
  const released = store.shared.withheldAnswers.map(tell)
  return { ...step, effects: [...step.effects, ...released], shared: { ...(step.shared ?? store.shared), grants, withheldAnswers: [] } }
}

/** Rate-limit decisions: tokens of this host's shares, loans from the leader's reserve, and waiting requests. */
import { createFailure, type Failure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import type { Workspace } from '../documents/document.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import { LOAN_MS, MAX_LOAN_MS, TOTAL_PARTS } from '../shares/state.js'
import { createAllowance, refillAllowance } from './allowance.js'
import { answerLoan, createWaitingLoan, findLender, findSilence, getSharesEndMs, grantTokens, recordAnswer, recordAttempt, recordSilence } from './lending.js'
import type { LoanAnswered, LoanTimedOut, LoanWanted, TokensDue } from './messages.js'
import { findLimit, type AdmissionShared, type Allowance, type PendingLoan, type WaitingRequest } from './state.js'
import { countStockTokens, countTokensForWaiting, addStock, recordArrival, takeStockToken } from './stock.js'
import { computeTermMs, getTermMs, recordDelay, recordLateAnswer, addOverdue } from './terms.js'
import { computeRetryAfterMs, estimateLocalWaitMs, estimateWaitMs, insertWaiting, splitExpired, splitWaiting } from './waiting.js'

/** Minimum interval between two loans when the last one granted too few tokens. */
const MIN_LOAN_INTERVAL_MS = 25
/** The same for a lender that holds a share: the reserve then lends all that came in meanwhile, and the leader is asked no more often when requests become more. */
const MIN_LENDER_LOAN_INTERVAL_MS = 1_000
/** A token of the local share that accrues within this time is awaited without a loan, which saves the leader two messages. */
const LOCAL_WAIT_MS = 30
/** A host counts as isolated this long after the leader's last confirmation: seven heartbeats. */
const ISOLATED_AFTER_MS = 700
/** Largest number of tokens that a loan requests beyond those of the waiting requests. */
const MAX_EXTRA_TOKENS = 8
/** Beyond the waiting requests, a loan requests at most the free space of the bucket divided by this. */
const EXTRA_TOKENS_DIVISOR = 4

/** What a host knows of the leader's reserve when it refuses a request. */
export type ReserveState = 'complete' | 'incomplete' | 'unanswered' | 'unreachable'
/** Store of the admission slice. */
export type AdmissionStore = Store<AdmissionShared, Allowance>
/** The outcome of a decision of the admission slice. */
export type AdmissionStep = StoreStep<AdmissionShared, Allowance, CoreEffect>

/**
 * Acquires a token for a request, queues the request if a token comes in time, or refuses it.
 * @example acquireToken(store, 'rota', workspace, { caller, attempt, rules, sinceMs }, moment)
 */
export function acquireToken (store: AdmissionStore, service: string, workspace: Workspace, request: WaitingRequest, moment: Moment): AdmissionStep {
  const key = `${service}/${workspace.name}`
  const { shared } = store
  const known = store.items.get(key) ?? createAllowance(workspace, moment.monotonicMs)
  const filled = refillAllowance(known, workspace, getSharesEndMs(shared), moment.monotonicMs)
  const borrows = findLender(shared, key, moment) !== undefined
  // What a lender admits is part of its demand.
  const counted = borrows ? recordArrival(filled, moment.monotonicMs) : { ...filled, arrived: filled.arrived + 1 }
  const stocked = takeStockToken(counted, moment.monotonicMs)
  if (stocked !== undefined) return admitRequest(key, stocked, request)
  return processWaiting(shared, key, { ...counted, waiting: insertWaiting(counted.waiting, request) }, moment)
}

function admitRequest (key: string, allowance: Allowance, { caller, attempt, rules }: WaitingRequest): AdmissionStep {
  return { changes: [[key, allowance]], effects: [tell({ kind: 'requests/admitted', caller, attempt, rules })] }
}

/**
 * Lends tokens of this host's share to another host. What the share lacks is borrowed from the leader in turn.
 * @example acceptLoanRequest(store, { kind: 'admission/loan-wanted', from: 'host-9', holder, loan: 7, workspace: 'rota/parish', tokens: 1 }, moment)
 */
export function acceptLoanRequest (store: AdmissionStore, message: LoanWanted, moment: Moment): AdmissionStep {
  const { from, workspace: key, tokens } = message
  const limit = findLimit(store.shared, key)
  if (from === undefined || limit === undefined) return UNCHANGED
  const known = store.items.get(key) ?? createAllowance(limit, moment.monotonicMs)
  const filled = refillAllowance(known, limit, getSharesEndMs(store.shared), moment.monotonicMs)
  const waiting = insertWaiting(filled.waiting.filter(request => request.caller !== message.holder), createWaitingLoan(message, from, moment))
  return processWaiting(store.shared, key, { ...filled, arrived: filled.arrived + tokens, waiting }, moment)
}

/**
 * Admits waiting requests with the tokens of a loan. What a lender borrowed of the leader is lent on for no longer than the
 * leader counts it.
 * @example acceptLoan(store, { kind: 'admission/lent', holder, loan, workspace, tokens: 3, nextMs: 0 }, moment)
 */
export function acceptLoan (store: AdmissionStore, message: LoanAnswered, moment: Moment): AdmissionStep {
  const key = message.workspace
  const allowance = store.items.get(key)
  if (allowance?.loan === undefined || !isSameLoan(allowance.loan, message)) return acceptLateAnswer(store.shared, message, moment)
  const filled = refillAllowance({ ...allowance, loan: undefined, unanswered: false }, allowance, getSharesEndMs(store.shared), moment.monotonicMs)
  const termMs = Math.min(getTermMs(allowance.loan), message.termMs ?? LOAN_MS)
  const shared = recordDelay(recordAnswer(store.shared, allowance.loan), allowance.loan, moment)
  if (moment.monotonicMs > allowance.loan.sentAtMs + termMs) return { shared, ...processWaiting(shared, key, filled, moment) }
  const nextLoanAtMs = computeNextLoanAtMs(store.shared, key, filled, message.nextMs, moment)
  const tokens = filled.bucket.tokens + message.tokens
  const { extra = 0 } = message
  const needed = countTokensForWaiting(filled, tokens, extra, allowance.loan.sentAtMs, moment.monotonicMs)
  const bucket = { ...filled.bucket, tokens: tokens + needed }
  const maxTermMs = allowance.loan.lender === undefined ? LOAN_MS : MAX_LOAN_MS
  const stocked = addStock(filled, extra - needed, allowance.loan.sentAtMs)
  const step = processWaiting(shared, key, { ...stocked, bucket, nextLoanAtMs, nextMs: message.nextMs, reserveShortfall: message.shortfall }, moment, maxTermMs)
  return { shared, ...step, effects: [clearTimer(formatTimerName(key)), ...step.effects] }
}

function acceptLateAnswer (shared: AdmissionShared, message: LoanAnswered, moment: Moment): AdmissionStep {
  const next = recordLateAnswer(shared, message, moment)
  return next === undefined ? UNCHANGED : { shared: next, effects: [] }
}

function computeNextLoanAtMs ({ lends }: AdmissionShared, key: string, { parts }: Allowance, nextMs: number, { monotonicMs }: Moment): number {
  if (lends.has(key) && parts > 0) return monotonicMs + Math.max(MIN_LENDER_LOAN_INTERVAL_MS, nextMs)
  return nextMs === 0 ? 0 : monotonicMs + Math.max(MIN_LOAN_INTERVAL_MS, nextMs)
}

/**
 * Handles a loan request that timed out. A lender may be down or overloaded, so this host asks the next one; it backs off
 * from the leader, and refuses the requests that no token will reach in time.
 * @example expireLoan(store, { kind: 'admission/loan-overdue', holder, loan, workspace }, moment)
 */
export function expireLoan (store: AdmissionStore, message: LoanTimedOut, moment: Moment): AdmissionStep {
  const allowance = store.items.get(message.workspace)
  if (allowance?.loan === undefined || !isSameLoan(allowance.loan, message)) return UNCHANGED
  const silent = recordSilence(store.shared, allowance.loan, moment)
  // Without silence, this host itself was late, and the answer may have come and wait.
  const shared = addOverdue(silent === store.shared ? recordDelay(silent, allowance.loan, moment) : silent, allowance.loan, moment)
  return { shared, ...processAgain({ ...store, shared }, message.workspace, { ...allowance, loan: undefined }, moment) }
}

/**
 * Processes the waiting requests again: a token has accrued, or the next loan may be requested.
 * @example retryWaiting(store, { kind: 'admission/tokens-due', workspace: 'rota/parish' }, moment)
 */
export function retryWaiting (store: AdmissionStore, message: TokensDue, moment: Moment): AdmissionStep {
  const allowance = store.items.get(message.workspace)
  if (allowance === undefined || allowance.waiting.length === 0) return UNCHANGED
  return processAgain(store, message.workspace, allowance, moment)
}

function refuseRequest (request: WaitingRequest, key: string, retryAfterMs: number, inputs: Failure['inputs']): CoreEffect {
  if (request.loan !== undefined) return answerLoan(key, request.loan, 0, retryAfterMs)
  const workspace = key.slice(key.indexOf('/') + 1)
  const failure = { ...createFailure('rate-exceeded', workspace), retryAfterMs, inputs }
  return tell({ kind: 'requests/failed', caller: request.caller, attempt: request.attempt, failure })
}

function isSameLoan (pending: PendingLoan, answered: Pick<PendingLoan, 'holder' | 'loan'>): boolean {
  return pending.holder === answered.holder && pending.loan === answered.loan
}

function processAgain (store: AdmissionStore, key: string, allowance: Allowance, moment: Moment): AdmissionStep {
  return processWaiting(store.shared, key, refillAllowance(allowance, allowance, getSharesEndMs(store.shared), moment.monotonicMs), moment)
}

// Admits requests that have a token, requests a loan for the others, and refuses those that would wait too long.
function processWaiting (shared: AdmissionShared, key: string, allowance: Allowance, moment: Moment, maxTermMs = MAX_LOAN_MS): AdmissionStep {
  const { bucket } = allowance
  const granted = grantTokens(key, allowance.waiting, bucket, maxTermMs, moment)
  const tokens = Math.min(bucket.burst, bucket.tokens - granted.spent)
  const backedOff = applyLoanBackoff(shared, key, { ...allowance, bucket: { ...bucket, tokens }, waiting: granted.waiting, lent: [...allowance.lent, ...granted.lent] }, moment)
  const expired = splitExpired(backedOff, moment)
  const remaining: Allowance = { ...backedOff, waiting: expired.kept }
  if (backedOff.waiting.length === 0) return { changes: [[key, backedOff]], effects: granted.effects }
  const requested = isLoanNeeded(shared, remaining, moment) ? requestLoan(shared, key, remaining, moment) : { allowance: remaining, effects: [] }
  const { kept, refused: late } = splitWaiting(requested.allowance, moment)
  const refused = [...expired.refused, ...late]
  const { reserveShortfall = 0 } = requested.allowance
  const next: Allowance = { ...requested.allowance, waiting: kept, reserveShortfall: Math.max(0, reserveShortfall - refused.length) }
  const retryMs = computeRetryAfterMs(next, moment)
  return {
    ...(requested.shared === undefined ? {} : { shared: requested.shared }),
    changes: [[key, next]],
    effects: [...granted.effects, ...refused.map((request, index) => refuseRequest(request, key, retryMs, describeTokens(shared, { ...next, reserveShortfall: reserveShortfall - index }, moment))), ...requested.effects, ...createTokenTimer(key, next, moment)]
  }
}

function describeTokens (shared: AdmissionShared, allowance: Allowance, moment: Moment): Failure['inputs'] {
  return {
    tokens: Number(allowance.bucket.tokens.toFixed(2)),
    share: Number((allowance.parts / TOTAL_PARTS).toFixed(3)),
    shareLeftMs: Math.max(0, Math.round(shared.lease.endsAtMs - moment.monotonicMs)),
    queued: allowance.waiting.length,
    reserve: describeReserve(shared, allowance, moment)
  }
}

function describeReserve (shared: AdmissionShared, allowance: Allowance, moment: Moment): ReserveState {
  if (isIsolated(shared, moment)) return 'unreachable'
  if (allowance.unanswered === true || allowance.nextMs === undefined) return 'unanswered'
  return (allowance.reserveShortfall ?? 0) >= 1 ? 'incomplete' : 'complete'
}

// Applies the backoff from the lender or the leader, which holds for all its workspaces. An isolated host expects no loans.
function applyLoanBackoff (shared: AdmissionShared, key: string, allowance: Allowance, moment: Moment): Allowance {
  if (isIsolated(shared, moment)) return { ...allowance, unanswered: false, nextMs: undefined }
  const silence = findSilence(shared, findSource(shared, key, allowance, moment))
  // Whoever was silent has answered another loan since.
  const knownAtMs = allowance.unanswered === true && silence === undefined ? 0 : allowance.nextLoanAtMs
  return { ...allowance, nextLoanAtMs: Math.max(knownAtMs, silence?.untilMs ?? 0), unanswered: silence !== undefined }
}

// A host that lends borrows from the leader alone, so that loans form no chains.
function findSource (shared: AdmissionShared, key: string, { waiting }: Allowance, moment: Moment): string | undefined {
  return waiting.some(request => request.loan !== undefined) ? undefined : findLender(shared, key, moment)
}

// Lenders may be in reach while the leader is not.
function isIsolated (shared: AdmissionShared, moment: Moment): boolean {
  return shared.lenders.length === 0 && shared.servesWhenIsolated && moment.monotonicMs - (shared.confirmedAtMs ?? -Infinity) > ISOLATED_AFTER_MS
}

function isLoanNeeded (shared: AdmissionShared, allowance: Allowance, moment: Moment): boolean {
  if (isIsolated(shared, moment)) return false
  if (allowance.waiting.length === 0 || estimateLocalWaitMs(allowance, allowance.waiting.length - 1) <= LOCAL_WAIT_MS) return false
  return allowance.loan === undefined && moment.monotonicMs >= allowance.nextLoanAtMs
}

interface LoanRequest {
  readonly shared?: AdmissionShared
  readonly allowance: Allowance
  readonly effects: readonly CoreEffect[]
}

function requestLoan (shared: AdmissionShared, key: string, allowance: Allowance, moment: Moment): LoanRequest {
  const { lease } = shared
  const { holder, nextLoanId: loan } = lease
  const extra = Math.min(MAX_EXTRA_TOKENS, Math.floor((allowance.bucket.burst - allowance.bucket.tokens) / EXTRA_TOKENS_DIVISOR))
  const tokens = allowance.waiting.reduce((sum, request) => sum + (request.loan?.tokens ?? 1), 0) + extra
  const lender = findSource(shared, key, allowance, moment)
  const wanted = { holder, loan, workspace: key, tokens }
  const termMs = lender === undefined ? LOAN_MS : computeTermMs(shared)
  const stockTokens = lender === undefined ? 0 : countStockTokens(allowance)
  const toLeader = lease.leader === undefined ? [] : [sendPeer(lease.leader, { kind: 'shares/wanted', epoch: lease.epoch, ...wanted, lendsOn: shared.lenders.length > 0 ? true : undefined })]
  const sent = lender === undefined ? toLeader : [sendPeer(lender, { kind: 'admission/loan-wanted', ...wanted, extra: stockTokens === 0 ? undefined : stockTokens, termMs: termMs === LOAN_MS ? undefined : termMs })]
  return {
    shared: recordAttempt({ ...shared, lease: { ...lease, nextLoanId: lease.nextLoanId + 1 } }, lender, termMs, moment),
    allowance: { ...allowance, loan: { holder, loan, lender, sentAtMs: moment.monotonicMs, termMs } },
    effects: [...sent, setTimer(formatTimerName(key), termMs, { kind: 'admission/loan-overdue', holder, loan, workspace: key })]
  }
}

function createTokenTimer (key: string, allowance: Allowance, moment: Moment): readonly CoreEffect[] {
  if (allowance.loan !== undefined || allowance.waiting.length === 0) return []
  return [setTimer(formatTimerName(key), Math.max(1, Math.ceil(estimateWaitMs(allowance, 0, moment))), { kind: 'admission/tokens-due', workspace: key })]
}

function formatTimerName (key: string): string {
  return `admission/tokens/${key}`
}

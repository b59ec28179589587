/** Decisions on rates: tokens of this host's shares, loans from the leader's reserve, and who waits for either. */
import { createFailure } from '../core/errors.js'
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { UNCHANGED, type Store, type StoreStep } from '../core/store.js'
import type { Workspace } from '../documents/document.js'
import { sendPeer, setTimer, tell } from '../messages.js'
import type { RouteRules, AttemptId } from '../requests/messages.js'
import { LOAN_MS } from '../shares/state.js'
import { createAllowance, refillAllowance } from './allowance.js'
import type { Lent, LoanOverdue, TokensDue } from './messages.js'
import type { AdmissionShared, Allowance, AskedLoan, WaitingRequest } from './state.js'
import { addWaiting, keepHopeful, readOwnMs, readRetryMs, readWaitMs } from './waiting.js'

/** The least time between two loans when the last one brought too little. */
const LOAN_PAUSE_MS = 25
/** A token of the own share that comes within this time is waited for without a loan: it saves the leader two messages. */
const OWN_NEAR_MS = 30
/** How often the pause after an unanswered loan doubles: up to 0.5 s, so that hosts do not swamp a leader that has just started. */
const MAX_DOUBLINGS = 3
/** How long after the leader's last word a host counts as out of touch: seven beats. */
const OUT_OF_TOUCH_MS = 700
/** Tokens that a loan may bring beyond those that are waited for. */
const LOAN_EXTRA = 8
/** The part of an empty bucket that a loan may fill. */
const LOAN_EXTRA_PART = 4

/** The records of the admission slice. */
export type AdmissionStore = Store<AdmissionShared, Allowance>
/** The outcome of a decision on the records of the admission slice. */
export type AdmissionStep = StoreStep<AdmissionShared, Allowance, CoreEffect>

/**
 * Takes a token for a request, lets the request wait for one that comes soon enough, or refuses it.
 * @example takeToken(store, 'rota', workspace, { caller, attempt, rules, sinceMs }, moment)
 */
export function takeToken (store: AdmissionStore, service: string, workspace: Workspace, request: WaitingRequest, moment: Moment): AdmissionStep {
  const key = `${service}/${workspace.name}`
  const { shared } = store
  const known = store.items.get(key) ?? createAllowance(workspace, moment.monotonicMs)
  const filled = refillAllowance(known, workspace, shared.lease.endsAtMs, moment.monotonicMs)
  const counted: Allowance = { ...filled, arrived: filled.arrived + 1 }
  return settle(shared, key, { ...counted, waiting: addWaiting(counted.waiting, request) }, moment)
}

/**
 * Admits those who wait, as far as the loan reaches.
 * @example takeLent(store, { kind: 'admission/lent', holder, loan, workspace, tokens: 3, nextMs: 0 }, moment)
 */
export function takeLent (store: AdmissionStore, message: Lent, moment: Moment): AdmissionStep {
  const key = message.workspace
  const allowance = store.items.get(key)
  if (allowance?.loan === undefined || !isSameLoan(allowance.loan, message)) return UNCHANGED
  const filled = refillAllowance({ ...allowance, loan: undefined }, allowance, store.shared.lease.endsAtMs, moment.monotonicMs)
  if (moment.monotonicMs > allowance.loan.askedAtMs + LOAN_MS) return settle(store.shared, key, filled, moment)
  const pausedUntilMs = message.nextMs === 0 ? 0 : moment.monotonicMs + Math.max(LOAN_PAUSE_MS, message.nextMs)
  const bucket = { ...filled.bucket, tokens: filled.bucket.tokens + message.tokens }
  const shared: AdmissionShared = { ...store.shared, lease: { ...store.shared.lease, overdue: 0, loansFromMs: 0 } }
  const step = settle(shared, key, { ...filled, bucket, pausedUntilMs, nextMs: message.nextMs }, moment)
  return { shared, ...step, effects: [clearTimer(nameTimer(key)), ...step.effects] }
}

/**
 * Takes a loan that did not come for a sign that the leader is silent or swamped: this host asks it ever more rarely,
 * and refuses those for whom no token is near.
 * @example endOverdue(store, { kind: 'admission/loan-overdue', holder, loan, workspace }, moment)
 */
export function endOverdue (store: AdmissionStore, message: LoanOverdue, moment: Moment): AdmissionStep {
  const allowance = store.items.get(message.workspace)
  if (allowance?.loan === undefined || !isSameLoan(allowance.loan, message)) return UNCHANGED
  const { lease } = store.shared
  const pauseMs = LOAN_MS * 2 ** Math.min(MAX_DOUBLINGS, lease.overdue) * (1 + moment.random) / 2
  const shared: AdmissionShared = { ...store.shared, lease: { ...lease, overdue: lease.overdue + 1, loansFromMs: moment.monotonicMs + pauseMs } }
  return { shared, ...settleAgain({ ...store, shared }, message.workspace, { ...allowance, loan: undefined }, moment) }
}

/**
 * Looks again at those who wait: a token has come in, or a loan may be asked for.
 * @example takeDue(store, { kind: 'admission/tokens-due', workspace: 'rota/parish' }, moment)
 */
export function takeDue (store: AdmissionStore, message: TokensDue, moment: Moment): AdmissionStep {
  const allowance = store.items.get(message.workspace)
  if (allowance === undefined || allowance.waiting.length === 0) return UNCHANGED
  return settleAgain(store, message.workspace, allowance, moment)
}

/**
 * Creates the effect that lets a request pass.
 * @example admit({ caller, attempt }, rules)
 */
export function admit (name: AttemptId, rules: RouteRules): CoreEffect {
  return tell({ kind: 'requests/admitted', caller: name.caller, attempt: name.attempt, rules })
}

function refuse (name: AttemptId, key: string, retryAfterMs: number): CoreEffect {
  const workspace = key.slice(key.indexOf('/') + 1)
  const failure = { ...createFailure('rate-exceeded', workspace), retryAfterMs }
  return tell({ kind: 'requests/failed', caller: name.caller, attempt: name.attempt, failure })
}

function isSameLoan (asked: AskedLoan, answered: Pick<AskedLoan, 'holder' | 'loan'>): boolean {
  return asked.holder === answered.holder && asked.loan === answered.loan
}

function settleAgain (store: AdmissionStore, key: string, allowance: Allowance, moment: Moment): AdmissionStep {
  return settle(store.shared, key, refillAllowance(allowance, allowance, store.shared.lease.endsAtMs, moment.monotonicMs), moment)
}

// Admits who has a token, asks for a loan, and refuses who would wait too long.
function settle (shared: AdmissionShared, key: string, allowance: Allowance, moment: Moment): AdmissionStep {
  const { bucket } = allowance
  const count = Math.min(allowance.waiting.length, Math.floor(bucket.tokens))
  const admitted = allowance.waiting.slice(0, count).map(request => admit(request, request.rules))
  const tokens = Math.min(bucket.burst, bucket.tokens - count)
  const left = updateLoans(shared, { ...allowance, bucket: { ...bucket, tokens }, waiting: allowance.waiting.slice(count) }, moment)
  if (left.waiting.length === 0) return { changes: [[key, left]], effects: admitted }
  const asked = isAskable(shared, left, moment) ? askLoan(shared, key, left, moment) : { allowance: left, effects: [] }
  const { kept, refused } = keepHopeful(asked.allowance, moment)
  const next: Allowance = { ...asked.allowance, waiting: kept }
  const retryMs = readRetryMs(next, moment)
  return {
    ...(asked.shared === undefined ? {} : { shared: asked.shared }),
    changes: [[key, next]],
    effects: [...admitted, ...refused.map(request => refuse(request, key, retryMs)), ...asked.effects, ...createTimer(key, next, moment)]
  }
}

// What the last loans tell of the next one. A host that is out of touch gets none.
function updateLoans (shared: AdmissionShared, allowance: Allowance, moment: Moment): Allowance {
  if (isOutOfTouch(shared, moment)) return { ...allowance, unanswered: false, nextMs: undefined }
  const { overdue, loansFromMs } = shared.lease
  return { ...allowance, pausedUntilMs: Math.max(allowance.pausedUntilMs, loansFromMs), unanswered: overdue > 0 }
}

function isOutOfTouch (shared: AdmissionShared, moment: Moment): boolean {
  return shared.keepsAuthority && moment.monotonicMs - (shared.confirmedAtMs ?? -Infinity) > OUT_OF_TOUCH_MS
}

function isAskable (shared: AdmissionShared, allowance: Allowance, moment: Moment): boolean {
  if (isOutOfTouch(shared, moment)) return false
  if (readOwnMs(allowance, allowance.waiting.length - 1) <= OWN_NEAR_MS) return false
  return allowance.loan === undefined && moment.monotonicMs >= allowance.pausedUntilMs
}

interface Asked {
  readonly shared?: AdmissionShared
  readonly allowance: Allowance
  readonly effects: readonly CoreEffect[]
}

function askLoan (shared: AdmissionShared, key: string, allowance: Allowance, moment: Moment): Asked {
  const { lease } = shared
  const { holder, loans: loan } = lease
  const extra = Math.min(LOAN_EXTRA, Math.floor((allowance.bucket.burst - allowance.bucket.tokens) / LOAN_EXTRA_PART))
  const tokens = allowance.waiting.length + extra
  const wanted = lease.leader === undefined ? [] : [sendPeer(lease.leader, { kind: 'shares/wanted', epoch: lease.epoch, holder, loan, workspace: key, tokens })]
  return {
    shared: { ...shared, lease: { ...lease, loans: lease.loans + 1 } },
    allowance: { ...allowance, loan: { holder, loan, askedAtMs: moment.monotonicMs } },
    effects: [...wanted, setTimer(nameTimer(key), LOAN_MS, { kind: 'admission/loan-overdue', holder, loan, workspace: key })]
  }
}

function createTimer (key: string, allowance: Allowance, moment: Moment): readonly CoreEffect[] {
  if (allowance.loan !== undefined || allowance.waiting.length === 0) return []
  return [setTimer(nameTimer(key), Math.max(1, Math.ceil(readWaitMs(allowance, 0, moment))), { kind: 'admission/tokens-due', workspace: key })]
}

function nameTimer (key: string): string {
  return `admission/tokens/${key}`
}

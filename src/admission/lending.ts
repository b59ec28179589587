/**
 * Lending: in a large fleet, a workspace's requests are spread over too many hosts for shares of their own. One host holds
 * the workspace's share and lends from it, token by token; a workspace with a high rate has several such hosts, each for a
 * part of the fleet. Neither every host nor the leader has to serve every workspace.
 */
import { pickHeaviest, rankCandidates } from '../core/rendezvous.js'
import { tell, type CoreEffect, type Moment } from '../core/message.js'
import { sendPeer } from '../messages.js'
import { LOAN_DRIFT_MARGIN_MS, LOAN_MS, MAX_LOAN_MS } from '../shares/state.js'
import type { LoanWanted } from './messages.js'
import { findLimit, type AdmissionShared, type LentTokens, type PendingLoan, type SilentLender, type WaitingLoan, type WaitingRequest } from './state.js'

/** The longest time until the next token that a lender names. */
const MAX_NEXT_MS = 1_000
/** The rate of a workspace, in tokens a second, for each lender that it has. */
const RATE_PER_LENDER = 50
/** How long a lender that left a loan unanswered is not asked; doubles with each further one. */
const SILENT_LENDER_MS = 500
/** How often that time doubles: up to 4 s. */
const MAX_LENDER_DOUBLINGS = 3
/** How often the backoff after an unanswered loan of the leader doubles: up to 1 s, so that hosts do not overload a leader that has just started. */
const MAX_LEADER_DOUBLINGS = 2
/** A timer that fires later than this says that the host itself was late: the answer may have come and wait. */
const MAX_OWN_DELAY_MS = 50

/** The name under which the leader's silence is kept. */
const LEADER = ''

/** The requests and loans that got their tokens. */
export interface GrantedTokens {
  readonly effects: readonly CoreEffect[]
  readonly spent: number
  readonly lent: readonly LentTokens[]
  readonly waiting: readonly WaitingRequest[]
}

/**
 * Returns the lender of a workspace for this host; undefined where the leader lends from its reserve: in a small fleet, and
 * on a lender of the workspace. Lenders that do not answer are passed over, unless there is no other.
 * @example findLender(shared, 'rota/parish', moment) // 'host-2'
 */
export function findLender (shared: AdmissionShared, workspace: string, { monotonicMs }: Moment): string | undefined {
  const { self, lenders, lends, silentLenders } = shared
  if (lenders.length === 0 || lends.has(workspace)) return undefined
  const answering = lenders.filter(lender => (silentLenders.get(lender)?.untilMs ?? 0) <= monotonicMs)
  const chosen = chooseLenders(workspace, findLimit(shared, workspace)?.rate ?? 0, answering.length > 0 ? answering : lenders)
  return chosen.includes(self) ? undefined : pickHeaviest(self, chosen)
}

function chooseLenders (workspace: string, rate: number, candidates: readonly string[]): readonly string[] {
  const count = Math.max(1, Math.ceil(rate / RATE_PER_LENDER))
  if (count > 1) return rankCandidates(workspace, candidates).slice(0, count)
  // Most workspaces have one lender, and each request looks for it several times.
  const lender = pickHeaviest(workspace, candidates)
  return lender === undefined ? [] : [lender]
}

/**
 * Determines the workspaces of which this host is a lender, after the lenders or the documents changed.
 * @example updateLends({ ...shared, lenders: ['host-1'] }).lends.size
 */
export function updateLends (shared: AdmissionShared): AdmissionShared {
  const { self, lenders, indexes } = shared
  if (!lenders.includes(self)) return shared.lends.size === 0 ? shared : { ...shared, lends: new Set() }
  const limits = [...indexes].flatMap(([service, { workspaces }]) => [...workspaces.values()].map(({ name, rate }) => ({ key: `${service}/${name}`, rate })))
  return { ...shared, lends: new Set(limits.filter(({ key, rate }) => chooseLenders(key, rate, lenders).includes(self)).map(({ key }) => key)) }
}

/**
 * Returns what is known of a lender, or of the leader if undefined, that does not answer.
 * @example findSilence(shared, 'host-2')?.untilMs
 */
export function findSilence ({ silentLenders }: AdmissionShared, lender: string | undefined): SilentLender | undefined {
  return silentLenders.get(lender ?? LEADER)
}

/**
 * Records that a loan was not answered in time.
 * @example recordSilence(shared, loan, moment).silentLenders.size
 */
export function recordSilence (shared: AdmissionShared, { lender, sentAtMs, termMs = LOAN_MS }: PendingLoan, moment: Moment): AdmissionShared {
  const isOwnDelay = moment.monotonicMs - sentAtMs > termMs + MAX_OWN_DELAY_MS
  if (lender !== undefined && isOwnDelay) return shared
  const unanswered = findSilence(shared, lender)?.unanswered ?? 0
  const pauseMs = lender === undefined
    ? LOAN_MS * 2 ** Math.min(MAX_LEADER_DOUBLINGS, unanswered)
    : SILENT_LENDER_MS * 2 ** Math.min(MAX_LENDER_DOUBLINGS, unanswered)
  const silence: SilentLender = { unanswered: unanswered + 1, untilMs: moment.monotonicMs + pauseMs * (1 + moment.random) / 2 }
  return { ...shared, silentLenders: new Map(shared.silentLenders).set(lender ?? LEADER, silence) }
}

/**
 * Records that a loan is asked of a lender that left the last one unanswered: the loans of other workspaces wait for the
 * outcome, so that a host sends one at a time to a lender that is short of processor time.
 * @param termMs how long the loan may take.
 * @example recordAttempt(shared, 'host-2', LOAN_MS, moment)
 */
export function recordAttempt (shared: AdmissionShared, lender: string | undefined, termMs: number, { monotonicMs }: Moment): AdmissionShared {
  const silence = findSilence(shared, lender)
  if (silence === undefined) return shared
  const untilMs = Math.max(silence.untilMs, monotonicMs + termMs)
  return { ...shared, silentLenders: new Map(shared.silentLenders).set(lender ?? LEADER, { ...silence, untilMs }) }
}

/**
 * Records that a loan was answered in time.
 * @example recordAnswer(shared, loan).silentLenders.size
 */
export function recordAnswer (shared: AdmissionShared, { lender = LEADER }: PendingLoan): AdmissionShared {
  if (!shared.silentLenders.has(lender)) return shared
  const silentLenders = new Map(shared.silentLenders)
  silentLenders.delete(lender)
  return { ...shared, silentLenders }
}

/**
 * Returns the time until which this host may spend tokens of its shares. In a large fleet it stops earlier, since its
 * borrowers may use a token later than it.
 * @example getSharesEndMs(shared)
 */
export function getSharesEndMs ({ lease, lenders }: AdmissionShared): number {
  return lenders.length === 0 ? lease.endsAtMs : lease.endsAtMs - MAX_LOAN_MS
}

/**
 * Creates the waiting request of another host's loan.
 * @example createWaitingLoan({ kind: 'admission/loan-wanted', holder, loan: 7, workspace, tokens: 1 }, 'host-9', moment)
 */
export function createWaitingLoan ({ holder, loan, tokens, termMs = LOAN_MS }: LoanWanted, borrower: string, moment: Moment): WaitingRequest {
  const rules = { group: '', action: 'read', maxStalenessMs: 0, idempotent: false } as const
  return { caller: holder, attempt: loan, rules, sinceMs: moment.monotonicMs, loan: { borrower, holder, loan, tokens, termMs: Math.min(MAX_LOAN_MS, termMs) } }
}

/**
 * Gives tokens to the requests and loans that wait, in their order; the last loan may get fewer than it asked for.
 * @param maxTermMs how long loans may be used at most.
 * @example grantTokens('rota/parish', allowance.waiting, allowance.bucket.tokens, MAX_LOAN_MS, moment).spent
 */
export function grantTokens (workspace: string, waiting: readonly WaitingRequest[], tokens: number, maxTermMs: number, moment: Moment): GrantedTokens {
  const effects: CoreEffect[] = []
  const lent: LentTokens[] = []
  let left = Math.floor(tokens)
  let index = 0
  for (; index < waiting.length && left > 0; index++) {
    const { caller, attempt, rules, loan } = waiting[index]!
    const granted = loan === undefined ? 1 : Math.min(loan.tokens, left)
    left -= granted
    if (loan === undefined) effects.push(tell({ kind: 'requests/admitted', caller, attempt, rules }))
    else {
      const termMs = Math.min(loan.termMs, maxTermMs)
      effects.push(answerLoan(workspace, { ...loan, termMs }, granted, 0))
      lent.push({ tokens: granted, expiresAtMs: moment.monotonicMs + termMs + LOAN_DRIFT_MARGIN_MS })
    }
  }
  return { effects, spent: Math.floor(tokens) - left, lent, waiting: waiting.slice(index) }
}

/**
 * Creates the answer to a loan.
 * @param nextMs the time until there may be another token.
 * @example answerLoan('rota/parish', loan, 0, 120)
 */
export function answerLoan (workspace: string, { borrower, holder, loan, termMs }: WaitingLoan, tokens: number, nextMs: number): CoreEffect {
  return sendPeer(borrower, { kind: 'admission/lent', holder, loan, workspace, tokens, nextMs: Math.min(MAX_NEXT_MS, Math.ceil(nextMs)), termMs: termMs === LOAN_MS ? undefined : termMs })
}

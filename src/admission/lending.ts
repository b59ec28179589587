/**
 * Lending: in a large fleet, a workspace's requests are spread over too many hosts for shares of their own. One control
 * host holds the workspace's share and lends from it, token by token, so that neither every host nor the leader has to
 * serve every workspace.
 */
import { pickHeaviest } from '../core/rendezvous.js'
import { tell, type CoreEffect, type Moment } from '../core/message.js'
import { sendPeer } from '../messages.js'
import { LOAN_DRIFT_MARGIN_MS, LOAN_MS } from '../shares/state.js'
import type { LoanWanted } from './messages.js'
import type { AdmissionShared, LentTokens, WaitingLoan, WaitingRequest } from './state.js'

/** The longest time until the next token that a lender names. */
const MAX_NEXT_MS = 1_000

/** The requests and loans that got their tokens. */
export interface GrantedTokens {
  readonly effects: readonly CoreEffect[]
  readonly spent: number
  readonly lent: readonly LentTokens[]
  readonly waiting: readonly WaitingRequest[]
}

/**
 * Returns the lender of a workspace; undefined where the leader lends from its reserve: in a small fleet, on a lender, and
 * for every other loan while loans stay unanswered.
 * @example findLender(shared, 'rota/parish') // 'host-2'
 */
export function findLender (shared: AdmissionShared, workspace: string): string | undefined {
  const isLeaderNext = shared.lease.unansweredLoans % 2 === 1
  return shared.acceptsCallers && !isLeaderNext ? pickHeaviest(workspace, shared.lenders) : undefined
}

/**
 * Returns the time until which this host may spend tokens of its shares. A lender stops earlier, since its borrowers may use
 * a token later than it.
 * @example getSharesEndMs(shared)
 */
export function getSharesEndMs ({ lease, acceptsCallers }: AdmissionShared): number {
  return acceptsCallers ? lease.endsAtMs : lease.endsAtMs - LOAN_MS
}

/**
 * Creates the waiting request of another host's loan.
 * @example createWaitingLoan({ kind: 'admission/loan-wanted', holder, loan: 7, workspace, tokens: 1 }, 'host-9', moment)
 */
export function createWaitingLoan ({ holder, loan, tokens }: LoanWanted, borrower: string, moment: Moment): WaitingRequest {
  const rules = { group: '', action: 'read', maxStalenessMs: 0, idempotent: false } as const
  return { caller: holder, attempt: loan, rules, sinceMs: moment.monotonicMs, loan: { borrower, holder, loan, tokens } }
}

/**
 * Gives tokens to the requests and loans that wait, in their order; the last loan may get fewer than it asked for.
 * @example grantTokens('rota/parish', allowance.waiting, allowance.bucket.tokens, moment).spent
 */
export function grantTokens (workspace: string, waiting: readonly WaitingRequest[], tokens: number, moment: Moment): GrantedTokens {
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
      effects.push(answerLoan(workspace, loan, granted, 0))
      lent.push({ tokens: granted, expiresAtMs: moment.monotonicMs + LOAN_MS + LOAN_DRIFT_MARGIN_MS })
    }
  }
  return { effects, spent: Math.floor(tokens) - left, lent, waiting: waiting.slice(index) }
}

/**
 * Creates the answer to a loan.
 * @param nextMs the time until there may be another token.
 * @example answerLoan('rota/parish', loan, 0, 120)
 */
export function answerLoan (workspace: string, { borrower, holder, loan }: WaitingLoan, tokens: number, nextMs: number): CoreEffect {
  return sendPeer(borrower, { kind: 'admission/lent', holder, loan, workspace, tokens, nextMs: Math.min(MAX_NEXT_MS, Math.ceil(nextMs)) })
}

/**
 * How long the loans of lenders may be used. A loan is void when its term ends, and its lender keeps room for it until then; so
 * the term follows how long answers take to be handled here, which a host that is short of processor time can't tell from a
 * late lender. An answer that comes after the term still tells that its lender is there, and how late.
 */
import type { Moment } from '../core/message.js'
import { LOAN_MS, MAX_LOAN_MS } from '../shares/state.js'
import { recordAnswer } from './lending.js'
import type { LoanAnswered } from './messages.js'
import type { AdmissionShared, PendingLoan } from './state.js'

/** The term, as a multiple of the time that answers take. */
const TERM_FACTOR = 2
/** Weight of the latest answer where it is faster than those before; a slower one counts at once. */
const FASTER_WEIGHT = 0.1
/** How long the answer to an overdue loan is still recognized. */
const OVERDUE_TTL_MS = 10_000

/**
 * Computes the term of the next loan of a lender.
 * @example computeTermMs({ ...shared, loanDelayMs: 300 }) // 600
 */
export function computeTermMs ({ loanDelayMs }: AdmissionShared): number {
  return Math.min(MAX_LOAN_MS, Math.max(LOAN_MS, Math.ceil(TERM_FACTOR * loanDelayMs)))
}

/**
 * Returns the term of a loan: those of the leader all have the same.
 * @example getTermMs({ holder, loan: 7, lender: 'host-2', sentAtMs: 0, termMs: 600 }) // 600
 */
export function getTermMs ({ termMs = LOAN_MS }: Pick<PendingLoan, 'termMs'>): number {
  return termMs
}

/**
 * Records how long the answer of a lender took, or at least took.
 * @example recordDelay(shared, loan, moment).loanDelayMs
 */
export function recordDelay (shared: AdmissionShared, { lender, sentAtMs }: PendingLoan, { monotonicMs }: Moment): AdmissionShared {
  if (lender === undefined) return shared
  const tookMs = Math.min(MAX_LOAN_MS, monotonicMs - sentAtMs)
  return { ...shared, loanDelayMs: Math.max(tookMs, shared.loanDelayMs + FASTER_WEIGHT * (tookMs - shared.loanDelayMs)) }
}

/**
 * Remembers a loan whose term ended without an answer.
 * @example addOverdue(shared, loan, moment).overdueLoans.size
 */
export function addOverdue (shared: AdmissionShared, loan: PendingLoan, { monotonicMs }: Moment): AdmissionShared {
  if (loan.lender === undefined) return shared
  const recent = [...shared.overdueLoans].filter(([, { sentAtMs }]) => monotonicMs - sentAtMs < OVERDUE_TTL_MS)
  return { ...shared, overdueLoans: new Map([...recent, [loan.loan, loan]]) }
}

/**
 * Records the answer to a loan whose term ended before: its tokens are void, but its lender answers. Undefined if there is no
 * such loan.
 * @example recordLateAnswer(shared, answer, moment)?.silentLenders.size
 */
export function recordLateAnswer (shared: AdmissionShared, { holder, loan }: LoanAnswered, moment: Moment): AdmissionShared | undefined {
  const overdue = shared.overdueLoans.get(loan)
  if (overdue?.holder !== holder) return undefined
  const overdueLoans = new Map(shared.overdueLoans)
  overdueLoans.delete(loan)
  return recordDelay(recordAnswer({ ...shared, overdueLoans }, overdue), overdue, moment)
}

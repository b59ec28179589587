/**
 * Stocks of borrowers: a host at which the requests of a workspace follow each other closely borrows tokens for the next ones,
 * too. Covers the load pattern of a large fleet whose callers stay with their hosts: without a stock, each request waits for a
 * loan of its own, and two hosts handle two messages for it.
 */
import type { Allowance, TokenStock } from './state.js'

/** How long the tokens of a stock may be used after their loan was asked for. */
export const STOCK_MS = 500
/** Bounds the relative drift of two hosts' clocks over that time. */
export const STOCK_DRIFT_MARGIN_MS = 10
/** The most tokens that one loan adds to a stock: what is not used is lost to the workspace. */
const MAX_STOCK_TOKENS = 4
/** Weight of the latest interval in the average of the intervals between requests. */
const INTERVAL_WEIGHT = 0.25
/** Longer intervals count as this one, so that the average recovers soon after a pause. */
const MAX_INTERVAL_MS = 4 * STOCK_MS
/** The fraction of a lender's burst that stays for requests that wait: a stock is filled only from what lies above it. */
const RESERVED_BURST_FRACTION = 0.5

/**
 * Records that a request of the workspace arrived.
 * @example recordArrival(allowance, moment.monotonicMs).intervalMs
 */
export function recordArrival (allowance: Allowance, nowMs: number): Allowance {
  const { arrivedAtMs, intervalMs = MAX_INTERVAL_MS } = allowance
  if (arrivedAtMs === undefined) return { ...allowance, arrivedAtMs: nowMs }
  const latestMs = Math.min(MAX_INTERVAL_MS, nowMs - arrivedAtMs)
  return { ...allowance, arrivedAtMs: nowMs, intervalMs: intervalMs + INTERVAL_WEIGHT * (latestMs - intervalMs) }
}

/**
 * Tells whether the interval between requests, or a stock, may still be of use.
 * @example isArrivalRecent(allowance, moment.monotonicMs)
 */
export function isArrivalRecent ({ arrivedAtMs }: Allowance, nowMs: number): boolean {
  return arrivedAtMs !== undefined && nowMs - arrivedAtMs < MAX_INTERVAL_MS
}

/**
 * Counts the tokens that a loan asks for beyond those of the waiting requests: the requests that are expected while the stock
 * may be used.
 * @example countStockTokens({ ...allowance, intervalMs: 200 }) // 2
 */
export function countStockTokens ({ intervalMs = MAX_INTERVAL_MS }: Pick<Allowance, 'intervalMs'>): number {
  return Math.min(MAX_STOCK_TOKENS, Math.floor(STOCK_MS / intervalMs))
}

/**
 * Counts the tokens that a lender adds to the stock of a borrower.
 * @param left the tokens that the lender has left.
 * @example countSpareTokens(2, 10, 12) // 2
 */
export function countSpareTokens (wanted: number, left: number, burst: number): number {
  return Math.max(0, Math.min(wanted, Math.floor(left - burst * RESERVED_BURST_FRACTION)))
}

/**
 * Counts the further tokens of a loan that requests need which came while it was on its way. None are lent on, since that would
 * be for longer than their time.
 * @param tokens the tokens that the waiting requests get without them.
 * @example countTokensForWaiting(allowance, 1, 3, loan.sentAtMs, moment.monotonicMs) // 2 if three requests wait
 */
export function countTokensForWaiting ({ waiting }: Allowance, tokens: number, extra: number, sentAtMs: number, nowMs: number): number {
  if (nowMs > sentAtMs + STOCK_MS || waiting.some(({ loan }) => loan !== undefined)) return 0
  return Math.max(0, Math.min(extra, waiting.length - Math.floor(tokens)))
}

/**
 * Adds the stock of a loan to what is left of the earlier one, which may be used no longer than before.
 * @example addStock(allowance, 2, loan.sentAtMs).stock
 */
export function addStock (allowance: Allowance, tokens: number, sentAtMs: number): Allowance {
  return tokens === 0 ? allowance : { ...allowance, stock: { tokens, expiresAtMs: sentAtMs + STOCK_MS } }
}

/**
 * Takes a token of the stock; undefined if there is none that may still be used.
 * @example takeStockToken(allowance, moment.monotonicMs)?.stock
 */
export function takeStockToken (allowance: Allowance, nowMs: number): Allowance | undefined {
  const { stock } = allowance
  if (stock === undefined || stock.tokens < 1 || nowMs > stock.expiresAtMs) return undefined
  const left: TokenStock | undefined = stock.tokens > 1 ? { ...stock, tokens: stock.tokens - 1 } : undefined
  return { ...allowance, stock: left }
}

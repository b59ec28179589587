/**
 * The rate of requests to a database that came back and is cold. Covers the load pattern of a database that comes back while
 * its callers wait: all of them would reach it at once.
 *
 * All hosts together may send `rate * excess + slack` requests in any second. Hosts that the directory no longer names as owner
 * may still send, since they are cut off, frozen or end their last transactions. So the owner uses half of the limit, each
 * former owner a quarter, and a new owner sends nothing until the last one has to count as a former one.
 */
const MS_PER_SECOND = 1_000
/** Age of the leader's last confirmation from which on an owner counts as a former one: longer than an owner in contact waits for it. */
const CONTACT_MS = 1_000
/** A database to which nothing was sent for this long may have become cold unheard: its failure domain may have been evacuated. */
const IDLE_MS = 1_000
const OWNER_SHARE = 1 / 2
const FORMER_OWNER_SHARE = 1 / 4
/** The most tokens that a bucket holds: one for new work, and one for the next statement of a transaction. */
const MAX_TOKENS = 2
/** Below this part of the limit, no token is kept for transactions. */
const MIN_BUDGET_WITH_RESERVE = 2 * MAX_TOKENS
const TOKEN = 1
/** Tokens accrue in fractions. */
const ROUNDING = 1e-6

/** How many requests a second a cold database may get beyond its rate, summed over all hosts. */
export interface ColdLimits {
  /** Factor of the group's rate. */
  readonly excess: number
  /** Requests beside it. */
  readonly slack: number
  /** How long a host may not have heard that a database became cold. */
  readonly unheardMs: number
}

/** What an owner knows of the rate of one database. */
export interface Refill {
  /** True while requests take tokens. */
  readonly limited: boolean
  readonly tokensPerSecond: number
  readonly capacity: number
  readonly tokens: number
  /** The monotonic time up to which tokens were added; in the future while a new owner waits for the last one. */
  readonly refilledAtMs: number
  /** The database counts as cold until then, whatever was announced. */
  readonly doubtedUntilMs: number
  readonly sentAtMs: number
  /** The monotonic time of this value. */
  readonly nowMs: number
}

/** What decides the rate of one database at a time. */
export interface RefillInputs {
  /** The rate of a cold database of the group, in requests per second. */
  readonly rate: number
  readonly limits: ColdLimits
  /** True while the database is announced as cold. */
  readonly cold: boolean
  /** True once another host owns the database. */
  readonly releasing: boolean
  /** The number of open connections to the database. */
  readonly connections: number
  /** When this host asked the leader for its last confirmation. */
  readonly confirmedAtMs: number
}

/**
 * Updates the rate of a database to the present time; creates it without tokens for a new owner.
 * @example updateRefill(undefined, { rate: 20, limits, cold: true, releasing: false, connections: 0, confirmedAtMs: 0 }, 0).tokens // 0
 */
export function updateRefill (known: Refill | undefined, inputs: RefillInputs, nowMs: number): Refill {
  const { limits, cold, releasing, connections, confirmedAtMs } = inputs
  const isFormer = releasing || nowMs - confirmedAtMs > CONTACT_MS
  const { tokensPerSecond, capacity } = calculateBucket(inputs, isFormer)
  const fresh = known ?? { limited: true, tokensPerSecond, capacity, tokens: 0, refilledAtMs: nowMs + CONTACT_MS, doubtedUntilMs: 0, sentAtMs: -Infinity, nowMs }
  // Without a connection nothing shows that the same process still runs at the address.
  const isUnheard = connections === 0 || nowMs - fresh.sentAtMs > IDLE_MS
  const doubtedUntilMs = isUnheard ? nowMs + limits.unheardMs : fresh.doubtedUntilMs
  const limited = cold || isFormer || nowMs < doubtedUntilMs
  const accrued = fresh.limited ? fresh.tokens + Math.max(0, nowMs - fresh.refilledAtMs) * Math.min(fresh.tokensPerSecond, tokensPerSecond) / MS_PER_SECOND : 0
  return { limited, tokensPerSecond, capacity, tokens: Math.min(capacity, accrued), refilledAtMs: Math.max(nowMs, fresh.refilledAtMs), doubtedUntilMs, sentAtMs: fresh.sentAtMs, nowMs }
}

// A bucket lets its capacity and its rate through in the worst second, so both come out of the same part of the limit.
function calculateBucket ({ rate, limits }: RefillInputs, isFormer: boolean): Pick<Refill, 'tokensPerSecond' | 'capacity'> {
  const budget = (rate * limits.excess + limits.slack) * (isFormer ? FORMER_OWNER_SHARE : OWNER_SHARE)
  if (budget < TOKEN) return { tokensPerSecond: 0, capacity: 0 }
  const capacity = budget < MIN_BUDGET_WITH_RESERVE ? TOKEN : MAX_TOKENS
  return { tokensPerSecond: budget - capacity, capacity }
}

/**
 * Checks whether a request that continues a transaction may reach the database.
 * @example hasToken(undefined) // true
 */
export function hasToken (refill: Refill | undefined): boolean {
  return refill?.limited !== true || refill.tokens >= TOKEN - ROUNDING
}

/**
 * Checks whether new work may reach the database: a token is left for transactions that have begun.
 * @example hasTokenForNewWork(undefined) // true
 */
export function hasTokenForNewWork (refill: Refill | undefined): boolean {
  return hasToken(refill) && (refill?.limited !== true || refill.tokens >= refill.capacity - ROUNDING)
}

/**
 * Takes the token of a request that is sent to the database.
 * @example takeToken(refill)?.tokens
 */
export function takeToken (refill: Refill | undefined): Refill | undefined {
  if (refill === undefined) return undefined
  return { ...refill, sentAtMs: refill.nowMs, tokens: refill.limited ? Math.max(0, refill.tokens - TOKEN) : refill.tokens }
}

/**
 * Estimates how long a request waits for its token.
 * @param tokens how many tokens the bucket has to have gained by then, and now holds in part.
 * @example estimateTokenWaitMs(refill, refill.capacity + 3) // 280
 */
export function estimateTokenWaitMs (refill: Refill, tokens: number): number {
  const missing = tokens - refill.tokens
  if (!refill.limited || missing <= ROUNDING) return 0
  return Math.max(0, refill.refilledAtMs - refill.nowMs) + (refill.tokensPerSecond === 0 ? Infinity : missing * MS_PER_SECOND / refill.tokensPerSecond)
}

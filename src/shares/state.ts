/** State of the shares slice: one record per holder and one per workspace. */
import { assertInvariant } from '../core/invariant.js'
import type { HoldersTable } from './holders.js'
import type { Limit } from './messages.js'

/** Number of parts into which a workspace's rate and burst are divided. */
export const TOTAL_PARTS = 1_048_576
/** Parts that are never granted as shares; a new leader lends from them while shares of the previous one may be in use. */
export const RESERVE_PARTS = TOTAL_PARTS / 4
/** How long a host may use its shares after it requested their renewal: longer than most network partitions between failure domains. */
export const SHARE_LEASE_MS = 10_000
/** How long a host may use a loan after it requested it. */
export const LOAN_MS = 250
/** How long a host may use a loan of a lender at most: answers come later where processors are full. */
export const MAX_LOAN_MS = 1_000
/** Margin beyond the duration of a loan after which the leader counts it as expired, since clocks differ in rate. */
export const LOAN_DRIFT_MARGIN_MS = 2
/** Margin beyond the duration of a lease after which the leader counts it as expired, since clocks differ in rate. */
export const LEASE_DRIFT_MARGIN_MS = 50

/** Size of a share as granted in one round. */
export interface ShareGrant {
  readonly round: number
  readonly parts: number
}

/** The share of a workspace that a host may hold: any grant since the last confirmed one. */
export interface Share {
  readonly perSecond: number
  /** Oldest first. */
  readonly grants: readonly ShareGrant[]
}

/** A host with shares. */
export interface Holder {
  readonly kind: 'holder'
  readonly holder: string
  readonly host: string
  /** True if it lends what it holds, so that others may use it for a while after it. */
  readonly lends: boolean
  readonly firstSeenAtMs: number
  /** True once the holder applied an answer of this leader. A message that was held up on its way never leads to that. */
  readonly isConfirmed: boolean
  readonly round: number
  readonly renewedAtMs: number
  readonly shares: ReadonlyMap<string, Share>
}

/** Tokens lent to a host. */
export interface Loan {
  readonly holder: string
  readonly loan: number
  readonly tokens: number
  readonly expiresAtMs: number
}

/** The split of a workspace's limit: the parts committed to hosts, and the remaining reserve. */
export interface WorkspaceQuota {
  readonly kind: 'workspace'
  readonly workspace: string
  /** Sum of the largest share that each holder may hold, in parts. */
  readonly committed: number
  readonly perSecond: number
  /** A holder whose share is far below its demand because others hold the rest; the last one found. */
  readonly shortHolder?: string
  /** Until then shares of the previous leader may be in use beside the committed ones. */
  readonly priorSharesUntilMs: number
  /** Time since which no host can have held anything of previous leaders; Infinity when unknown. */
  readonly emptySinceMs: number
  /** Time from which this leader accrues tokens of the reserve. */
  readonly accruesFromMs: number
  /** Tokens in the reserve. */
  readonly tokens: number
  /** Tokens that the reserve lacks because this leader started with an empty one; what prior shares keep back is not counted. */
  readonly shortfall: number
  readonly refilledAtMs: number
  readonly loans: readonly Loan[]
}

/** A record of the shares slice. */
export type SharesItem = Holder | WorkspaceQuota

/** A workspace's limit with the time at which this leader learned it. */
export interface KnownLimit extends Limit {
  readonly knownSinceMs: number
}

/** State of the slice that belongs to no single record. */
export interface SharesShared {
  readonly leads: boolean
  readonly epoch: number
  /** End of the leader lease; no answer is sent after it. */
  readonly leaseUntilMs: number
  /** Until then loans of the previous leader may be in use. */
  readonly priorLoansUntilMs: number
  /** Until then shares of the previous leader may be in use. */
  readonly priorSharesUntilMs: number
  readonly limits: ReadonlyMap<string, KnownLimit>
  /** Hosts that may hold shares; undefined without registration, where each new leader waits for prior shares to expire. */
  readonly holders?: HoldersTable
  /** Hosts that may hold shares of the previous leader and have not yet reported to this one. */
  readonly unreportedHosts: ReadonlySet<string>
  /** Time since which no host can have held anything of previous leaders; Infinity while a host still may. */
  readonly emptySinceMs: number
}

/**
 * Creates the initial shared state of a host that is not the leader.
 * @example createSharesShared().leads // false
 */
export function createSharesShared (): SharesShared {
  return { leads: false, epoch: 0, leaseUntilMs: -Infinity, priorLoansUntilMs: 0, priorSharesUntilMs: 0, limits: new Map(), unreportedHosts: new Set(), emptySinceMs: Infinity }
}

/**
 * Returns the largest share that the holder may hold, in parts.
 * @example getCommittedParts(share)
 */
export function getCommittedParts (share: Share): number {
  return share.grants.reduce((most, grant) => Math.max(most, grant.parts), 0)
}

/**
 * Throws unless all shares of a workspace together leave the reserve untouched.
 * @example checkSharesItem(quota)
 */
export function checkSharesItem (item: SharesItem): void {
  if (item.kind === 'holder') return
  const { committed, tokens, workspace } = item
  assertInvariant(committed >= 0 && committed <= TOTAL_PARTS - RESERVE_PARTS, 'committed shares leave the reserve untouched', `${workspace}: ${committed}`)
  assertInvariant(tokens >= 0, 'reserve tokens are not negative', `${workspace}: ${tokens}`)
}

/** State of the shares slice: one record for each holder, and one for each workspace. */
import { assertInvariant } from '../core/invariant.js'
import type { HoldersTable } from './holders.js'
import type { Limit } from './messages.js'

/** A whole rate and burst, in parts. */
export const TOTAL_PARTS = 1_048_576
/** What no leader ever gives as shares: a new leader lends from it while older shares may be in use. */
export const RESERVE_PARTS = TOTAL_PARTS / 4
/** How long a host may use its shares after it asked for their renewal: longer than most cuts between failure domains last. */
export const SHARE_LEASE_MS = 10_000
/** How long a host may use a loan after it asked for it. */
export const LOAN_MS = 60
/** What is added to a loan before it has surely run out, for clocks that differ in rate. */
export const LOAN_SLACK_MS = 2
/** What is added to a lease before it has surely run out, for clocks that differ in rate. */
export const LEASE_SLACK_MS = 50

/** A share as answered in a round. */
export interface Grant {
  readonly round: number
  readonly parts: number
}

/** What a host may hold of a workspace: any grant since the last one that it confirmed. */
export interface Share {
  readonly perSecond: number
  /** Oldest first. */
  readonly grants: readonly Grant[]
}

/** A host that holds shares. */
export interface Holder {
  readonly kind: 'holder'
  readonly holder: string
  readonly round: number
  readonly answeredAtMs: number
  readonly shares: ReadonlyMap<string, Share>
}

/** Tokens on their way to a host. */
export interface Loan {
  readonly holder: string
  readonly loan: number
  readonly tokens: number
  readonly endsAtMs: number
}

/** A workspace: what hosts may hold of it, and the reserve that is left. */
export interface Allotment {
  readonly kind: 'workspace'
  readonly workspace: string
  /** The sum of the most that each holder may hold, in parts. */
  readonly committed: number
  readonly perSecond: number
  /** Until then shares of the leader before may be in use, beside those committed. */
  readonly quietUntilMs: number
  /** From when on nobody can have held anything of the leaders before; Infinity where that is not known. */
  readonly emptySinceMs: number
  /** From when on this leader counts tokens of the reserve. */
  readonly countsFromMs: number
  /** Tokens of the reserve. */
  readonly tokens: number
  readonly countedAtMs: number
  readonly loans: readonly Loan[]
}

/** A record of the shares slice. */
export type SharesItem = Holder | Allotment

/** A workspace's limit, and since when this leader knows it. */
export interface KnownLimit extends Limit {
  readonly sinceMs: number
}

/** What the slice knows beside its records. */
export interface SharesShared {
  readonly leads: boolean
  readonly epoch: number
  /** No answer leaves after it. */
  readonly leaseUntilMs: number
  /** Until then loans of the leader before may be in use. */
  readonly lendsFromMs: number
  /** Until then shares of the leader before may be in use. */
  readonly quietUntilMs: number
  readonly limits: ReadonlyMap<string, KnownLimit>
  /** Who may hold shares; undefined where nobody registers, and each change of leader is waited out. */
  readonly holders?: HoldersTable
  /** Hosts that may hold shares of the leader before, and have not reported to this one. */
  readonly awaited: ReadonlySet<string>
  /** From when on nobody can have held anything of the leaders before; Infinity where a host still may. */
  readonly emptySinceMs: number
}

/**
 * Creates the facts of a host that does not lead.
 * @example createSharesShared().leads // false
 */
export function createSharesShared (): SharesShared {
  return { leads: false, epoch: 0, leaseUntilMs: -Infinity, lendsFromMs: 0, quietUntilMs: 0, limits: new Map(), awaited: new Set(), emptySinceMs: Infinity }
}

/**
 * Returns the most that the holder may hold of a workspace, in parts.
 * @example readCommitted(share)
 */
export function readCommitted (share: Share): number {
  return share.grants.reduce((most, grant) => Math.max(most, grant.parts), 0)
}

/**
 * Throws unless all shares of a workspace together leave the reserve whole.
 * @example checkSharesItem(allotment)
 */
export function checkSharesItem (item: SharesItem): void {
  if (item.kind === 'holder') return
  const { committed, tokens, workspace } = item
  assertInvariant(committed >= 0 && committed <= TOTAL_PARTS - RESERVE_PARTS, 'shares leave the reserve', `${workspace}: ${committed}`)
  assertInvariant(tokens >= 0, 'reserve not negative', `${workspace}: ${tokens}`)
}

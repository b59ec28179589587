/** State of the admission slice: shared state, and one record per workspace with requests at this host. */
import { assertInvariant } from '../core/invariant.js'
import type { Workspace } from '../documents/document.js'
import type { DocumentEntry } from '../membership/directory.js'
import type { RouteRules, AttemptId } from '../requests/messages.js'
import type { DocumentIndex } from './documentindex.js'
import type { TokenBucket } from './bucket.js'
import { createCallersByService, type CallersByService } from './callers.js'

/** This host's lease on its shares. */
export interface ShareLease {
  readonly leader?: string
  readonly epoch: number
  /** Random id, drawn while this host holds nothing; empty before the first one. */
  readonly holder: string
  /** Since when this host has held nothing under its current id; valid until the first answer. */
  readonly emptySinceMs: number
  readonly round: number
  /** Round of the last applied answer of this epoch; 0 before the first. */
  readonly applied: number
  readonly endsAtMs: number
  /** Send time of each round whose answer may still arrive. */
  readonly sentAtMsByRound: ReadonlyMap<number, number>
  /** When demand was last updated. */
  readonly demandUpdatedAtMs: number
  /** Consecutive renewals without a share; in a large fleet, while this host lacks a share that it is to lend, or holds another one. */
  readonly emptyRounds: number
  /** The first round in which this host said that it only borrows; undefined if the last one did not say so. The leader keeps no record of such a host. */
  readonly borrowsFromRound?: number
  /** Until then no renewal confirms a smaller share, which another host may get then: its tokens may still be lent. */
  readonly confirmsFromMs: number
  /** Id of the next loan. */
  readonly nextLoanId: number
}

/** A lender, or the leader, that did not answer the last loan requests in time. */
export interface SilentLender {
  /** Consecutive loan requests without an answer. */
  readonly unanswered: number
  /** Until then the leader is asked for no loan, and a lender only if there is no other. */
  readonly untilMs: number
}

/** State of the slice that belongs to no single workspace. */
export interface AdmissionShared {
  readonly documents: ReadonlyMap<string, DocumentEntry>
  readonly indexes: ReadonlyMap<string, DocumentIndex>
  /** True when an isolated host keeps serving with its last known documents. */
  readonly servesWhenIsolated: boolean
  /** True while no majority of the control hosts can be reached. */
  readonly isolated: boolean
  /** The name of this host. */
  readonly self: string
  /** False on a host that accepts no callers; it needs shares only to lend from them. */
  readonly acceptsCallers: boolean
  /** The hosts that lend tokens; empty where each host holds shares. */
  readonly lenders: readonly string[]
  /** The workspaces of which this host is a lender, by key. */
  readonly lends: ReadonlySet<string>
  /** Lenders that do not answer, by host, and the leader under an empty name. */
  readonly silentLenders: ReadonlyMap<string, SilentLender>
  /** How long answers of lenders take until this host handles them: the longest, ever less of it as others come sooner. */
  readonly loanDelayMs: number
  /** Recent loans of lenders whose term ended without an answer, by their id. */
  readonly overdueLoans: ReadonlyMap<number, PendingLoan>
  /** False while the leader lacks a document version that this host has. */
  readonly leaderIsCurrent: boolean
  /** When this host requested the last confirmation that it received; undefined before the first one. */
  readonly confirmedAtMs?: number
  readonly lease: ShareLease
  /** Open connections with a key. */
  readonly callers: CallersByService
}

/** A loan request of another host that waits at its lender for tokens. */
export interface WaitingLoan {
  readonly borrower: string
  readonly holder: string
  readonly loan: number
  readonly tokens: number
  /** How long the borrower may use it after it asked. */
  readonly termMs: number
}

/** A request that waits for a token. */
export interface WaitingRequest extends AttemptId {
  readonly rules: RouteRules
  readonly sinceMs: number
  /** Set on a lender, where a loan waits like a request. */
  readonly loan?: WaitingLoan
}

/** Tokens of a share that another host may still use. */
export interface LentTokens {
  readonly tokens: number
  readonly expiresAtMs: number
}

/** A loan request in flight. */
export interface PendingLoan {
  readonly holder: string
  readonly loan: number
  /** The lender that was asked; undefined for the leader. */
  readonly lender?: string
  readonly sentAtMs: number
  /** How long it may be used after it was asked for; that of the leader's loans if absent. */
  readonly termMs?: number
}

/** The requests that this host may admit for a workspace: its tokens, its demand and its waiting requests. */
export interface Allowance {
  /** Rate and burst of the whole workspace. */
  readonly rate: number
  readonly burst: number
  readonly parts: number
  /** Bucket with this host's share of the rate and burst. */
  readonly bucket: TokenBucket
  /** Requests since demand was last updated. */
  readonly arrived: number
  readonly perSecond: number
  /** The demand last reported to the leader. */
  readonly reportedPerSecond: number
  readonly waiting: readonly WaitingRequest[]
  readonly loan?: PendingLoan
  /** On a lender: tokens that borrowers may still use. They take up room in the bucket until then. */
  readonly lent: readonly LentTokens[]
  /** No loan is requested before this time, since the last one granted too few tokens or was not answered. */
  readonly nextLoanAtMs: number
  /** True while the leader, or the lender, does not answer this host's loan requests. */
  readonly unanswered?: boolean
  /** Time until the leader's reserve has another token, as last reported. */
  readonly nextMs?: number
  /** Tokens that the reserve lacked because its leader was new, as last reported, less the requests refused since. */
  readonly reserveShortfall?: number
}

/** What the slice knows of its host from the start. */
export interface AdmissionParts {
  readonly self: string
  readonly servesWhenIsolated?: boolean
  readonly acceptsCallers?: boolean
  /** The monotonic time at which the host started. */
  readonly startedAtMs?: number
}

/**
 * Creates the initial shared state, without documents.
 * @example createAdmissionShared({ self: 'host-1' }).documents.size // 0
 */
export function createAdmissionShared ({ self, servesWhenIsolated = false, acceptsCallers = true, startedAtMs = 0 }: AdmissionParts): AdmissionShared {
  const lease: ShareLease = { epoch: 0, holder: '', emptySinceMs: startedAtMs, round: 0, applied: 0, endsAtMs: 0, sentAtMsByRound: new Map(), demandUpdatedAtMs: 0, emptyRounds: 0, confirmsFromMs: -Infinity, nextLoanId: 0 }
  return { documents: new Map(), indexes: new Map(), servesWhenIsolated, isolated: false, self, acceptsCallers, lenders: [], lends: new Set(), silentLenders: new Map(), loanDelayMs: 0, overdueLoans: new Map(), leaderIsCurrent: true, lease, callers: createCallersByService() }
}

/**
 * Returns the limit of a workspace by its key, SERVICE/NAME; undefined if no document contains it.
 * @example findLimit(shared, 'rota/parish')?.rate
 */
export function findLimit ({ indexes }: AdmissionShared, key: string): Pick<Workspace, 'rate' | 'burst'> | undefined {
  const slash = key.indexOf('/')
  return indexes.get(key.slice(0, slash))?.workspaces.get(key.slice(slash + 1))
}

/**
 * Throws unless the allowance's tokens are within its share of the burst.
 * @example checkAllowance(allowance)
 */
export function checkAllowance ({ bucket, parts }: Allowance): void {
  assertInvariant(bucket.tokens >= 0 && bucket.tokens <= bucket.burst, 'tokens within burst', `${bucket.tokens} of ${bucket.burst}`)
  assertInvariant(parts >= 0, 'share not negative', String(parts))
}

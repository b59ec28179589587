/** State of the admission slice: shared facts, and one record for each workspace with requests at this host. */
import { assertInvariant } from '../core/invariant.js'
import type { DocumentEntry } from '../membership/directory.js'
import type { RouteRules, AttemptId } from '../requests/messages.js'
import type { DocumentIndex } from './index.js'
import type { Bucket } from './bucket.js'
import { createKeyedCallers, type KeyedCallers } from './callers.js'

/** This host's lease on its shares. */
export interface Lease {
  readonly leader?: string
  readonly epoch: number
  /** Drawn when this host holds nothing; empty before the first time. */
  readonly holder: string
  /** Since when this host has held nothing under this name before the first answer to it. */
  readonly emptySinceMs: number
  readonly round: number
  /** The last answer of this epoch that is in force; 0 before the first. */
  readonly applied: number
  readonly endsAtMs: number
  /** When each round was asked, while its answer may still come. */
  readonly askedAtMs: ReadonlyMap<number, number>
  /** When demand was last counted. */
  readonly countedAtMs: number
  /** Counts loans, for their names. */
  readonly loans: number
  /** How many loans in turn the leader left without an answer, and until when no other is asked for. */
  readonly overdue: number
  readonly loansFromMs: number
}

/** What admission knows of all services. */
export interface AdmissionShared {
  readonly documents: ReadonlyMap<string, DocumentEntry>
  readonly indexes: ReadonlyMap<string, DocumentIndex>
  /** True where a host that is cut off goes on with the last documents that it knows. */
  readonly keepsAuthority: boolean
  /** False on a host without callers, which needs no share. */
  readonly serves: boolean
  /** False while the leader's account lacks a document that this host holds. */
  readonly complete: boolean
  /** When this host last asked and was confirmed; undefined before the first time. */
  readonly confirmedAtMs?: number
  readonly lease: Lease
  /** Open connections that came with a key. */
  readonly callers: KeyedCallers
}

/** A request that waits for a token. */
export interface WaitingRequest extends AttemptId {
  readonly rules: RouteRules
  readonly sinceMs: number
}

/** A loan that was asked for. */
export interface AskedLoan {
  readonly holder: string
  readonly loan: number
  readonly askedAtMs: number
}

/** What this host may admit of a workspace. */
export interface Allowance {
  /** The whole rate and burst of the workspace. */
  readonly rate: number
  readonly burst: number
  readonly parts: number
  /** Filled at this host's parts of the rate. */
  readonly bucket: Bucket
  /** Requests since demand was last counted. */
  readonly arrived: number
  readonly perSecond: number
  /** The demand that the leader was last told. */
  readonly told: number
  readonly waiting: readonly WaitingRequest[]
  readonly loan?: AskedLoan
  /** No loan is asked for before this time: the last one brought too little. */
  readonly pausedUntilMs: number
  /** True while the leader leaves this host's loans without an answer. */
  readonly unanswered?: boolean
  /** How long the leader's reserve takes for another token, as it last told. */
  readonly nextMs?: number
}

/**
 * Creates the facts of a host that knows no document.
 * @param startedAtMs the time of the host's clock.
 * @example createAdmissionShared().documents.size // 0
 */
export function createAdmissionShared (keepsAuthority = false, serves = true, startedAtMs = 0): AdmissionShared {
  const lease: Lease = { epoch: 0, holder: '', emptySinceMs: startedAtMs, round: 0, applied: 0, endsAtMs: 0, askedAtMs: new Map(), countedAtMs: 0, loans: 0, overdue: 0, loansFromMs: 0 }
  return { documents: new Map(), indexes: new Map(), keepsAuthority, serves, complete: true, lease, callers: createKeyedCallers() }
}

/**
 * Throws unless the allowance's tokens are within its part of the burst.
 * @example checkAllowance(allowance)
 */
export function checkAllowance ({ bucket, parts }: Allowance): void {
  assertInvariant(bucket.tokens >= 0 && bucket.tokens <= bucket.burst, 'tokens within burst', `${bucket.tokens} of ${bucket.burst}`)
  assertInvariant(parts >= 0, 'share not negative', String(parts))
}

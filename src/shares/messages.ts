/** Messages of the shares slice, which splits a workspace's rate and burst among hosts. */

import type { HoldersTable } from './holders.js'

/** Requests per second of a workspace that arrive at a host. */
export interface Demand {
  readonly workspace: string
  readonly perSecond: number
}

/** Share of a workspace's rate and burst, in parts of {@link TOTAL_PARTS}. */
export interface HeldShare {
  readonly workspace: string
  readonly parts: number
  /** Tokens of the reserve that are granted with a larger share; only in the first answer that contains it. */
  readonly tokens?: number
}

/** Rate and burst of a whole workspace. */
export interface Limit {
  readonly workspace: string
  /** Requests per second. */
  readonly rate: number
  readonly burst: number
}

/** A host renews the lease on its shares and reports its demand. */
export interface RenewalRequested {
  readonly kind: 'shares/asked'
  /** The sending host; filled in by the receiving host. */
  readonly from?: string
  /** Random id that the host draws whenever it starts without shares. */
  readonly holder: string
  readonly epoch: number
  readonly round: number
  /** Round of the last applied answer of this epoch; 0 before the first. */
  readonly applied: number
  /** Demands that changed since they were last reported. */
  readonly demands: readonly Demand[]
  /** Shares from the previous leader; absent once this leader has answered. */
  readonly held?: readonly HeldShare[]
  /** How long the host has held nothing under this id; absent once it was granted a share. */
  readonly emptyForMs?: number
  /**
   * A lender serves the workspaces that it names alone, so it gets no share without demand. A borrower holds nothing and wants
   * nothing: it reports once, so that the leader does not wait for shares that it may hold.
   */
  readonly role?: 'lender' | 'borrower'
}

/** A host has no token left and requests a loan from the reserve. */
export interface LoanRequested {
  readonly kind: 'shares/wanted'
  readonly from?: string
  readonly epoch: number
  readonly holder: string
  /** Increases with each loan of a holder. The holder requests the next loan of a workspace only when it can no longer use the previous one. */
  readonly loan: number
  readonly workspace: string
  readonly tokens: number
  /** True if the holder may lend the tokens on, so that those of its previous loans may still be in use. */
  readonly lendsOn?: boolean
}

/** This host became or ceased to be the leader. */
export interface LeadershipChanged {
  readonly kind: 'shares/leadership'
  readonly leads: boolean
  readonly epoch: number
}

/** A majority of the control hosts extended the leader's lease; no other host leads before it expires. */
export interface LeaseExtended {
  readonly kind: 'shares/lease-extended'
  readonly untilMs: number
}

/** A service's document changed. */
export interface LimitsChanged {
  readonly kind: 'shares/limits-changed'
  readonly service: string
  /** The limits of all workspaces of the service. */
  readonly limits: readonly Limit[]
}

/** The control hosts committed the table of holders. */
export interface HoldersRegistered {
  readonly kind: 'shares/registered'
  readonly holders: HoldersTable
}

/** The next check for holders with an expired lease is due. */
export interface SweepDue {
  readonly kind: 'shares/sweep-due'
}

/** Any message of the shares slice. */
export type SharesMessage = RenewalRequested | LoanRequested | LeadershipChanged | LeaseExtended | LimitsChanged | HoldersRegistered | SweepDue

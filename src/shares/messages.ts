/** Messages of the shares slice: how a workspace's rate and burst are split over hosts. */

import type { HoldersTable } from './holders.js'

/** How many requests a second of a workspace arrive at a host. */
export interface Demand {
  readonly workspace: string
  readonly perSecond: number
}

/** A part of a workspace's rate and burst, in parts of {@link TOTAL_PARTS}. */
export interface HeldShare {
  readonly workspace: string
  readonly parts: number
  /** Tokens of the reserve that come with a share as it is first given. */
  readonly tokens?: number
}

/** The whole rate and burst of a workspace. */
export interface Limit {
  readonly workspace: string
  /** Requests a second. */
  readonly rate: number
  readonly burst: number
}

/** A host renews its lease on its shares and tells its demand. */
export interface Asked {
  readonly kind: 'shares/asked'
  /** The asking host; filled in by the receiving host. */
  readonly from?: string
  /** Drawn by the host each time it starts from nothing. */
  readonly holder: string
  readonly epoch: number
  readonly round: number
  /** The last answer of this epoch that the host has in force; 0 before the first. */
  readonly applied: number
  /** Demands that changed since the last rounds. */
  readonly demands: readonly Demand[]
  /** What the host holds from the leader before; absent once this leader answered. */
  readonly held?: readonly HeldShare[]
  /** How long the host has held nothing, as nobody has given it anything under this name; absent otherwise. */
  readonly emptyForMs?: number
}

/** A host has no token left and asks for some of the reserve. */
export interface Wanted {
  readonly kind: 'shares/wanted'
  readonly from?: string
  readonly epoch: number
  readonly holder: string
  /** Grows with each loan of a holder. It asks for the next one of a workspace only when it can't use the one before any more. */
  readonly loan: number
  readonly workspace: string
  readonly tokens: number
}

/** This host became or ceased to be the leader. */
export interface Leadership {
  readonly kind: 'shares/leadership'
  readonly leads: boolean
  readonly epoch: number
}

/** A majority of the control hosts extended the leader's lease: until then no other host leads. */
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

/** The control hosts agree on who may hold shares. */
export interface Registered {
  readonly kind: 'shares/registered'
  readonly holders: HoldersTable
}

/** Time to look for holders whose lease ran out. */
export interface SweepDue {
  readonly kind: 'shares/sweep-due'
}

/** Any message of the shares slice. */
export type SharesMessage = Asked | Wanted | Leadership | LeaseExtended | LimitsChanged | Registered | SweepDue

/** Messages of the admission slice: keys, workspaces and rate limits. */
import type { DocumentVersion } from '../membership/messages.js'
import type { DocumentEntry } from '../membership/directory.js'
import type { AttemptId } from '../requests/messages.js'
import type { HeldShare } from '../shares/messages.js'

/** A caller connects and has to be authenticated. */
export interface CheckConnection {
  readonly kind: 'admission/check-open'
  readonly caller: string
  readonly service: string
  /** The route that the caller names when it connects. */
  readonly route?: string
  readonly workspace?: string
  readonly keyHash?: string
}

/** A caller with a key disconnected. */
export interface CallerDisconnected {
  readonly kind: 'admission/caller-closed'
  readonly caller: string
  readonly service: string
}

/** A request has to be authorized and rate-limited. */
export interface CheckRequest extends AttemptId {
  readonly kind: 'admission/check-request'
  readonly service: string
  readonly workspace?: string
  readonly keyHash?: string
  readonly route?: string
  /** Action of the request when its route declares none. */
  readonly action: 'read' | 'write'
  /** True inside a transaction; only the first request of a transaction takes a token. */
  readonly inTransaction: boolean
}

/** The leader confirmed the current documents. */
export interface DocumentsConfirmed {
  readonly kind: 'admission/documents-confirmed'
  /** Absent when nothing changed since the last confirmation. */
  readonly documents?: readonly DocumentEntry[]
  /** Monotonic time at which this host requested the confirmation. */
  readonly askedAtMs: number
}

/** A majority of the control hosts holds no newer versions than these. */
export interface VersionsHeld {
  readonly kind: 'admission/versions-held'
  readonly versions: readonly DocumentVersion[]
  /** Monotonic time at which this host had asked all of them. */
  readonly askedAtMs: number
}

/** This host became isolated from the control hosts, or is in contact with a majority of them again. */
export interface ContactChanged {
  readonly kind: 'admission/contact-changed'
  readonly isolated: boolean
}

/** This host learned of a new leader of the control hosts. */
export interface LeaderChanged {
  readonly kind: 'admission/leader-changed'
  readonly leader: string | undefined
  readonly epoch: number
}

/** The next lease renewal and demand report are due. */
export interface RenewalDue {
  readonly kind: 'admission/ask-due'
}

/** The leader renewed the lease and sends the changed shares. */
export interface LeaseRenewed {
  readonly kind: 'admission/shares-answered'
  readonly holder: string
  readonly epoch: number
  readonly round: number
  /** Shares that changed since the last answer that the host applied. */
  readonly shares: readonly HeldShare[]
}

/** The hosts that lend tokens to the others changed. There are none in a small fleet, where each host holds shares. */
export interface LendersChanged {
  readonly kind: 'admission/lenders-changed'
  readonly lenders: readonly string[]
}

/** A host requests a loan from the lender of a workspace. */
export interface LoanWanted {
  readonly kind: 'admission/loan-wanted'
  /** The borrower; set by the receiving host. */
  readonly from?: string
  readonly holder: string
  /** Increases with each loan of a holder. */
  readonly loan: number
  readonly workspace: string
  readonly tokens: number
  /** How long the borrower may use the loan after it asked; that of the leader's loans if absent. */
  readonly termMs?: number
}

/** The leader or a lender answered a loan request with tokens, or with 0 when it has none. */
export interface LoanAnswered {
  readonly kind: 'admission/lent'
  readonly holder: string
  readonly loan: number
  readonly workspace: string
  readonly tokens: number
  /** Time until the reserve, or the lender's share, has another token; 0 when it has more now. */
  readonly nextMs: number
  /** Tokens that the reserve still lacks because the leader is new; absent below 1. */
  readonly shortfall?: number
  /** How long the borrower may use it after it asked; that of the leader's loans if absent: an earlier version grants no other. */
  readonly termMs?: number
}

/** A loan request was not answered in time. */
export interface LoanTimedOut {
  readonly kind: 'admission/loan-overdue'
  readonly holder: string
  readonly loan: number
  readonly workspace: string
}

/** A token of the share has accrued, or the next loan may be requested. */
export interface TokensDue {
  readonly kind: 'admission/tokens-due'
  readonly workspace: string
}

/** Any message of the admission slice. */
export type AdmissionMessage =
  | CheckConnection
  | CheckRequest
  | CallerDisconnected
  | DocumentsConfirmed
  | VersionsHeld
  | ContactChanged
  | LeaderChanged
  | RenewalDue
  | LeaseRenewed
  | LendersChanged
  | LoanWanted
  | LoanAnswered
  | LoanTimedOut
  | TokensDue

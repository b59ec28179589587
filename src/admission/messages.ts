/** Messages of the admission slice: keys, workspaces, rates. */
import type { DocumentEntry } from '../membership/directory.js'
import type { AttemptId } from '../requests/messages.js'
import type { HeldShare } from '../shares/messages.js'

/** A caller wants in. */
export interface CheckOpen {
  readonly kind: 'admission/check-open'
  readonly caller: string
  readonly service: string
  /** The route that the caller names at its start. */
  readonly route?: string
  readonly workspace?: string
  readonly keyHash?: string
}

/** A caller that came with a key left. */
export interface CallerClosed {
  readonly kind: 'admission/caller-closed'
  readonly caller: string
  readonly service: string
}

/** A request wants to pass. */
export interface CheckRequest extends AttemptId {
  readonly kind: 'admission/check-request'
  readonly service: string
  readonly workspace?: string
  readonly keyHash?: string
  readonly route?: string
  /** What the request does when no route is declared. */
  readonly action: 'read' | 'write'
  /** True for a request inside a transaction, which was admitted with its first request. */
  readonly inTransaction: boolean
}

/** The documents in force, and when the leader last confirmed them. */
export interface DocumentsConfirmed {
  readonly kind: 'admission/documents-confirmed'
  /** Absent when nothing changed since the last time. */
  readonly documents?: readonly DocumentEntry[]
  /** The monotonic time at which this host asked. */
  readonly askedAtMs: number
}

/** The control hosts' leader changed, as far as this host knows. */
export interface LeaderChanged {
  readonly kind: 'admission/leader-changed'
  readonly leader: string | undefined
  readonly epoch: number
}

/** Time to renew the lease on shares and to tell the demand. */
export interface AskDue {
  readonly kind: 'admission/ask-due'
}

/** The leader renews the lease, and tells the shares that changed. */
export interface SharesAnswered {
  readonly kind: 'admission/shares-answered'
  readonly holder: string
  readonly epoch: number
  readonly round: number
  /** Every share that changed since the answer that the host last had in force. */
  readonly shares: readonly HeldShare[]
}

/** The leader lends tokens of the reserve; none when it has none. */
export interface Lent {
  readonly kind: 'admission/lent'
  readonly holder: string
  readonly loan: number
  readonly workspace: string
  readonly tokens: number
  /** How long the reserve takes for another token; 0 when it has more. */
  readonly nextMs: number
}

/** A loan was not answered in time. */
export interface LoanOverdue {
  readonly kind: 'admission/loan-overdue'
  readonly holder: string
  readonly loan: number
  readonly workspace: string
}

/** A token of the share has come in, or a loan may be asked for again. */
export interface TokensDue {
  readonly kind: 'admission/tokens-due'
  readonly workspace: string
}

/** Any message of the admission slice. */
export type AdmissionMessage =
  | CheckOpen
  | CheckRequest
  | CallerClosed
  | DocumentsConfirmed
  | LeaderChanged
  | AskDue
  | SharesAnswered
  | Lent
  | LoanOverdue
  | TokensDue

/** Messages of the admission slice: keys, workspaces, rates. */
import type { DocumentEntry } from '../membership/directory.js'
import type { WorkName } from '../requests/messages.js'

/** A caller wants in. */
export interface CheckOpen {
  readonly kind: 'admission/check-open'
  readonly caller: string
  readonly service: string
  readonly workspace?: string
  readonly keyHash?: string
}

/** A request wants to pass. */
export interface CheckRequest extends WorkName {
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
  /** How many hosts share a workspace's rate. */
  readonly hosts: number
  /** The monotonic time at which this host asked. */
  readonly askedAtMs: number
}

/** Any message of the admission slice. */
export type AdmissionMessage = CheckOpen | CheckRequest | DocumentsConfirmed

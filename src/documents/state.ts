/** State of the documents slice. */
import { NO_DOCUMENTS, type DocumentsTable } from './table.js'

/** An operator's pending call. */
export interface PendingCall {
  readonly from: string
  readonly operation: string
  /** Whether the answer waits until the version is in force. */
  readonly wait: boolean
  /** The longest authority lease that a host may hold under the previous version. */
  readonly leaseMs: number
}

/** A call whose answer contains the rollout status of a version. */
export interface RolloutWatch {
  readonly call: PendingCall
  readonly service: string
  readonly outcome: { readonly accepted: true, readonly version: number }
  readonly deadlineMs: number
}

/** State of the documents slice. */
export interface DocumentsState {
  readonly leads: boolean
  readonly table: DocumentsTable
  /** Pending calls by proposal. */
  readonly pendingCalls: ReadonlyMap<string, PendingCall>
  readonly rolloutWatches: ReadonlyMap<string, RolloutWatch>
}

/**
 * Creates the state of a host that is not the leader.
 * @example createDocumentsState().leads // false
 */
export function createDocumentsState (): DocumentsState {
  return { leads: false, table: NO_DOCUMENTS, pendingCalls: new Map(), rolloutWatches: new Map() }
}

/** State of the documents slice. */
import { NO_DOCUMENTS, type DocumentsTable } from './table.js'

/** An operator's call. */
export interface WaitingCall {
  readonly from: string
  readonly operation: string
  /** Whether the answer waits until the version is in force. */
  readonly wait: boolean
  /** The service whose text the operator wants to read. */
  readonly reads?: string
  /** The longest authority that a host may have under the version before. */
  readonly leaseMs: number
}

/** A call whose answer tells how far a version is in force. */
export interface Watch {
  readonly call: WaitingCall
  readonly service: string
  readonly outcome: { readonly accepted: true, readonly version: number }
  readonly untilMs: number
}

/** State of the documents slice. */
export interface DocumentsState {
  readonly leads: boolean
  readonly table: DocumentsTable
  /** Calls by proposal. */
  readonly waiting: ReadonlyMap<string, WaitingCall>
  readonly watches: ReadonlyMap<string, Watch>
}

/**
 * Creates the state of a host that does not lead.
 * @example createDocumentsState().leads // false
 */
export function createDocumentsState (): DocumentsState {
  return { leads: false, table: NO_DOCUMENTS, waiting: new Map(), watches: new Map() }
}

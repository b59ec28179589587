/** Messages of the documents slice. */

/** An operator applies a document. */
export interface Apply {
  readonly kind: 'documents/apply'
  /** The host that the operator called. */
  readonly from?: string
  /** Names the operator's waiting call. */
  readonly operation: string
  readonly text: string
  /** The version that the operator edited; 0 for a new service. */
  readonly version: number
  readonly requestId: string
}

/** Any message of the documents slice. */
export type DocumentsMessage = Apply

/** The payload of a request, which the PostgreSQL front end sends to the PostgreSQL driver. */

const HEADER_BYTES = 2

/** The frontend messages of one request, up to the Query or Sync. */
export interface RequestPayload {
  /** Number of CloseComplete and ParseComplete messages at the start of the answer that respond to messages added by the proxy. */
  readonly skipCount: number
  readonly messages: Uint8Array
}

/**
 * Encodes a request's payload.
 * @example encodePayload({ skipCount: 0, messages: query })
 */
export function encodePayload (payload: RequestPayload): Uint8Array {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt16BE(payload.skipCount)
  return Buffer.concat([header, payload.messages])
}

/**
 * Decodes a request's payload.
 * @example decodePayload(payload).skipCount
 */
export function decodePayload (payload: Uint8Array): RequestPayload {
  const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength)
  return { skipCount: bytes.readUInt16BE(0), messages: bytes.subarray(HEADER_BYTES) }
}

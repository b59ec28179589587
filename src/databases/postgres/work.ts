/** The payload of a request: what the PostgreSQL front end hands to the PostgreSQL driver. */

const HEADER_BYTES = 2

/** Frontend messages up to the one that asks for an answer. */
export interface Work {
  /** How many CloseComplete and ParseComplete messages at the start of the answer are not the caller's. */
  readonly skip: number
  readonly messages: Uint8Array
}

/**
 * Encodes a request's payload.
 * @example encodeWork({ skip: 0, messages: query })
 */
export function encodeWork (work: Work): Uint8Array {
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt16BE(work.skip)
  return Buffer.concat([header, work.messages])
}

/**
 * Decodes a request's payload.
 * @example decodeWork(payload).skip
 */
export function decodeWork (payload: Uint8Array): Work {
  const bytes = Buffer.from(payload.buffer, payload.byteOffset, payload.byteLength)
  return { skip: bytes.readUInt16BE(0), messages: bytes.subarray(HEADER_BYTES) }
}

/** Splits a database's bytes into messages without reading rows. */
import { HEADER_BYTES } from './codes.js'

const LENGTH_OFFSET = 1

/** One message of a database, with its header. */
export interface BackendMessage {
  readonly code: number
  readonly bytes: Buffer
}

/** The messages that a chunk completes, and the bytes that are left of it. */
export interface Framed {
  readonly messages: readonly BackendMessage[]
  readonly rest: Buffer
}

/**
 * Splits bytes into whole messages.
 * @example splitMessages(Buffer.concat([rest, chunk]), 1_048_576)
 * @throws RangeError when a message claims a length that can't be or is over the limit.
 */
export function splitMessages (bytes: Buffer, maxBytes: number): Framed {
  const messages: BackendMessage[] = []
  let offset = 0
  while (offset + HEADER_BYTES <= bytes.length) {
    const end = offset + LENGTH_OFFSET + bytes.readUInt32BE(offset + LENGTH_OFFSET)
    if (end < offset + HEADER_BYTES) throw new RangeError('a message is shorter than its header')
    if (end - offset > maxBytes) throw new RangeError('a message is too large')
    if (end > bytes.length) break
    messages.push({ code: bytes[offset]!, bytes: bytes.subarray(offset, end) })
    offset = end
  }
  return { messages, rest: bytes.subarray(offset) }
}

/**
 * Reads the strings of a message that holds nothing else, such as ParameterStatus.
 * @example readStrings(parameterStatus) // ['TimeZone', 'UTC']
 */
export function readStrings (message: BackendMessage): readonly string[] {
  const strings = message.bytes.toString('utf8', HEADER_BYTES).split('\0')
  return strings.slice(0, -1)
}

/**
 * Reads the SQLSTATE of an error.
 * @example readSqlState(error) // '25006'
 */
export function readSqlState (message: BackendMessage): string | undefined {
  return readStrings(message).find(field => field.startsWith('C'))?.slice(1)
}

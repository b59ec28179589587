/** Splits the bytes of a database into messages without parsing rows. */
import { HEADER_BYTES } from './codes.js'

const LENGTH_OFFSET = 1

/** One message of a database, with its header. */
export interface BackendMessage {
  readonly code: number
  readonly bytes: Buffer
}

/** The complete messages of a buffer, and the bytes of an incomplete one. */
export interface FramedMessages {
  readonly messages: readonly BackendMessage[]
  readonly incomplete: Buffer
}

/**
 * Splits bytes into complete messages.
 * @example splitMessages(Buffer.concat([incomplete, chunk]), 1_048_576)
 * @throws RangeError when the length of a message is invalid or over the limit.
 */
export function splitMessages (bytes: Buffer, maxBytes: number): FramedMessages {
  const messages: BackendMessage[] = []
  let offset = 0
  while (offset + HEADER_BYTES <= bytes.length) {
    const end = offset + LENGTH_OFFSET + bytes.readUInt32BE(offset + LENGTH_OFFSET)
    if (end < offset + HEADER_BYTES) throw new RangeError('a message is shorter than its header')
    if (end - offset > maxBytes) throw new RangeError('a message exceeds the size limit')
    if (end > bytes.length) break
    messages.push({ code: bytes[offset]!, bytes: bytes.subarray(offset, end) })
    offset = end
  }
  return { messages, incomplete: bytes.subarray(offset) }
}

/**
 * Reads the strings of a message that contains only strings, such as ParameterStatus.
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

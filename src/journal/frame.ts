/** The encoding of the journal's files: frames with length and checksum. */
import { crc32 } from 'node:zlib'

/** Length of the body, checksum of the length, checksum of the body: 4 bytes each. */
const HEADER_BYTES = 12
/** Length without its checksum. */
const LENGTH_BYTES = 4

/** What a file held. */
export interface DecodedFrames {
  readonly values: readonly unknown[]
  /** Bytes up to the end of the last whole frame. */
  readonly wholeBytes: number
  /** Set when a frame is broken that a sync may have reported. */
  readonly damage?: string
}

/**
 * Encodes a value as one frame.
 * @example encodeFrames([record]).length
 */
export function encodeFrames (values: readonly unknown[]): Buffer {
  const body = Buffer.from(JSON.stringify(values), 'utf8')
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32LE(body.length, 0)
  header.writeUInt32LE(crc32(header.subarray(0, LENGTH_BYTES)), 4)
  header.writeUInt32LE(crc32(body), 8)
  return Buffer.concat([header, body])
}

/**
 * Decodes the frames of a file. An unfinished frame at the end is cut: a batch is one frame, so none of it
 * was reported. A frame of full length with a wrong checksum is damage, unless its end was never written:
 * JSON ends with a bracket, so a last byte of zero tells that.
 * @example decodeFrames(await readFile('log-1'))
 */
export function decodeFrames (bytes: Buffer): DecodedFrames {
  let offset = 0
  let values: readonly unknown[] = []
  while (offset < bytes.length) {
    if (bytes.length - offset < HEADER_BYTES || isBlank(bytes.subarray(offset))) return { values, wholeBytes: offset }
    const start = offset + HEADER_BYTES
    const end = start + bytes.readUInt32LE(offset)
    if (crc32(bytes.subarray(offset, offset + LENGTH_BYTES)) !== bytes.readUInt32LE(offset + 4)) return { values, wholeBytes: offset, damage: `the length at byte ${offset} is wrong` }
    if (end > bytes.length) return { values, wholeBytes: offset }
    const body = bytes.subarray(start, end)
    if (crc32(body) !== bytes.readUInt32LE(offset + 8)) {
      const unfinished = end === bytes.length && body[body.length - 1] === 0
      return unfinished ? { values, wholeBytes: offset } : { values, wholeBytes: offset, damage: `the checksum at byte ${offset} is wrong` }
    }
    values = values.concat(JSON.parse(body.toString('utf8')) as unknown[])
    offset = end
  }
  return { values, wholeBytes: offset }
}

function isBlank (bytes: Buffer): boolean {
  return bytes.every(byte => byte === 0)
}

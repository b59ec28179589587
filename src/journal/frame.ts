/** The encoding of the journal's files: frames with a length and checksums. */
import { crc32 } from 'node:zlib'

/** Header: length of the body, checksum of the length, checksum of the body; 4 bytes each, little-endian. */
const HEADER_BYTES = 12
/** Size of the length field. */
const LENGTH_BYTES = 4

/** The decoded contents of a file. */
export interface DecodedFrames {
  readonly values: readonly unknown[]
  /** Bytes up to the end of the last complete frame. */
  readonly validBytes: number
  /** Set if a frame is corrupt that may have been synced and acknowledged. */
  readonly damage?: string
}

/**
 * Encodes a batch of values as one frame.
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
 * Decodes the frames of a file. An incomplete frame at the end is ignored: a batch is one frame, so no part of it
 * was acknowledged. A frame of full length with a wrong checksum is damage, unless its end was never written:
 * JSON ends with a bracket, so a zero as the last byte shows an unwritten end.
 * @example decodeFrames(await readFile('log-1'))
 */
export function decodeFrames (bytes: Buffer): DecodedFrames {
  let offset = 0
  let values: readonly unknown[] = []
  while (offset < bytes.length) {
    if (bytes.length - offset < HEADER_BYTES || isZeroed(bytes.subarray(offset))) return { values, validBytes: offset }
    const start = offset + HEADER_BYTES
    const end = start + bytes.readUInt32LE(offset)
    if (crc32(bytes.subarray(offset, offset + LENGTH_BYTES)) !== bytes.readUInt32LE(offset + 4)) return { values, validBytes: offset, damage: `the length field at byte ${offset} fails its checksum` }
    if (end > bytes.length) return { values, validBytes: offset }
    const body = bytes.subarray(start, end)
    if (crc32(body) !== bytes.readUInt32LE(offset + 8)) {
      const unfinished = end === bytes.length && body[body.length - 1] === 0
      return unfinished ? { values, validBytes: offset } : { values, validBytes: offset, damage: `the frame at byte ${offset} fails its checksum` }
    }
    values = values.concat(JSON.parse(body.toString('utf8')) as unknown[])
    offset = end
  }
  return { values, validBytes: offset }
}

function isZeroed (bytes: Buffer): boolean {
  return bytes.every(byte => byte === 0)
}

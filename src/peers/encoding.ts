/**
 * The encoding of the messages of a link as `proto/` defines them, in one pass over one buffer: the generated code,
 * which reads the definition for each field, costs a multiple of it on hosts that handle few messages a second.
 */
import type { PackedFrame } from '../gen/fulmartally_pb.js'
import type { Stamp } from '../timeline/stamp.js'

const VARINT = 0
const FIXED64 = 1
const DELIMITED = 2
const FIXED32 = 5
const WIRE_TYPE_BITS = 3
const WIRE_TYPE_MASK = 7
const VARINT_BITS = 7
const VARINT_MASK = 0x7f
const VARINT_MORE = 0x80
const MAX_VARINT_BYTES = 10
const DOUBLE_BYTES = 8
const FLOAT_BYTES = 4
/** The tags and lengths of a frame, its clock included, take no more than this. */
const FRAME_OVERHEAD_BYTES = 48

const FIELDS = { from: 1, body: 2, payload: 3, stampWallMs: 4, stampCount: 5 } as const
const BATCHED_FRAME = 1
const PACKED = { frame: 1, batch: 2, deflatedBatch: 3 } as const
const PACKED_CASES = ['frame', 'batch', 'deflatedBatch'] as const
const EMPTY = new Uint8Array(0)

/** The contents of a `Frame`. */
export interface FrameFields {
  readonly from: string
  readonly body: string
  readonly payload: Uint8Array
  readonly stamp: Stamp
}

/**
 * Encodes a `Frame`; fields with their default value are left out.
 * @example writeFrame({ from: 'host-1', body: '{}', payload: new Uint8Array(0), stamp: { wallMs: 1, count: 0 } })
 */
export function writeFrame ({ from, body, payload, stamp }: FrameFields): Uint8Array {
  const fromBytes = Buffer.byteLength(from)
  const bodyBytes = Buffer.byteLength(body)
  const bytes = Buffer.allocUnsafe(fromBytes + bodyBytes + payload.length + FRAME_OVERHEAD_BYTES)
  let at = 0
  if (fromBytes > 0) {
    at = writeLength(bytes, at, FIELDS.from, fromBytes)
    at += bytes.write(from, at)
  }
  if (bodyBytes > 0) {
    at = writeLength(bytes, at, FIELDS.body, bodyBytes)
    at += bytes.write(body, at)
  }
  if (payload.length > 0) {
    at = writeLength(bytes, at, FIELDS.payload, payload.length)
    bytes.set(payload, at)
    at += payload.length
  }
  if (stamp.wallMs !== 0) {
    bytes[at++] = FIELDS.stampWallMs << WIRE_TYPE_BITS | FIXED64
    at = bytes.writeDoubleLE(stamp.wallMs, at)
  }
  if (stamp.count !== 0) {
    bytes[at++] = FIELDS.stampCount << WIRE_TYPE_BITS | VARINT
    at = writeVarint(bytes, at, stamp.count)
  }
  return bytes.subarray(0, at)
}

/**
 * Decodes a `Frame`; unknown fields are skipped.
 * @throws RangeError when the bytes are not a message.
 * @example readFrame(bytes).body
 */
export function readFrame (bytes: Uint8Array): FrameFields {
  const reader = FieldReader.create(bytes)
  const frame = { from: '', body: '', payload: EMPTY as Uint8Array, stamp: { wallMs: 0, count: 0 } }
  while (reader.readTag()) {
    if (reader.isField(FIELDS.from, DELIMITED)) frame.from = reader.readText()
    else if (reader.isField(FIELDS.body, DELIMITED)) frame.body = reader.readText()
    else if (reader.isField(FIELDS.payload, DELIMITED)) frame.payload = reader.readBytes()
    else if (reader.isField(FIELDS.stampWallMs, FIXED64)) frame.stamp.wallMs = reader.readDouble()
    else if (reader.isField(FIELDS.stampCount, VARINT)) frame.stamp.count = reader.readVarint()
    else reader.skip()
  }
  return frame
}

/**
 * Encodes a `FrameBatch` of encoded frames.
 * @example writeBatch([writeFrame(first), writeFrame(second)])
 */
export function writeBatch (frames: readonly Uint8Array[]): Uint8Array {
  const length = frames.reduce((sum, frame) => sum + frame.length + 1 + MAX_VARINT_BYTES, 0)
  const bytes = Buffer.allocUnsafe(length)
  let at = 0
  for (const frame of frames) {
    at = writeLength(bytes, at, BATCHED_FRAME, frame.length)
    bytes.set(frame, at)
    at += frame.length
  }
  return bytes.subarray(0, at)
}

/**
 * Decodes a `FrameBatch` into its encoded frames.
 * @throws RangeError when the bytes are not a message.
 * @example readBatch(writeBatch([frame])) // [frame]
 */
export function readBatch (bytes: Uint8Array): readonly Uint8Array[] {
  const reader = FieldReader.create(bytes)
  const frames: Uint8Array[] = []
  while (reader.readTag()) {
    if (reader.isField(BATCHED_FRAME, DELIMITED)) frames.push(reader.readBytes())
    else reader.skip()
  }
  return frames
}

/**
 * Encodes a `PackedFrame` after a number of bytes that the caller fills in.
 * @example writePacked({ case: 'batch', value: bytes }, 5)
 */
export function writePacked ({ case: name, value }: PackedFrame['content'], headerBytes: number): Buffer {
  const bytes = Buffer.allocUnsafe(headerBytes + 1 + MAX_VARINT_BYTES + (value?.length ?? 0))
  if (name === undefined) return bytes.subarray(0, headerBytes)
  const at = writeLength(bytes, headerBytes, PACKED[name], value.length)
  bytes.set(value, at)
  return bytes.subarray(0, at + value.length)
}

/**
 * Decodes a `PackedFrame`.
 * @throws RangeError when the bytes are not a message.
 * @example readPacked(writePacked({ case: 'batch', value: bytes }, 0)).content.case // 'batch'
 */
export function readPacked (bytes: Uint8Array): PackedFrame {
  const reader = FieldReader.create(bytes)
  let content: PackedFrame['content'] = { case: undefined }
  while (reader.readTag()) {
    const name = PACKED_CASES.find(candidate => reader.isField(PACKED[candidate], DELIMITED))
    if (name === undefined) reader.skip()
    else content = { case: name, value: reader.readBytes() }
  }
  return createPacked(content)
}

/**
 * Creates a `PackedFrame`.
 * @example createPacked({ case: 'batch', value: bytes })
 */
export function createPacked (content: PackedFrame['content']): PackedFrame {
  return { $typeName: 'fulmartally.v1.PackedFrame', content }
}

function writeLength (bytes: Buffer, at: number, field: number, length: number): number {
  bytes[at] = field << WIRE_TYPE_BITS | DELIMITED
  return writeVarint(bytes, at + 1, length)
}

function writeVarint (bytes: Buffer, start: number, value: number): number {
  let at = start
  let rest = value
  for (; rest > VARINT_MASK; rest >>>= VARINT_BITS) bytes[at++] = rest & VARINT_MASK | VARINT_MORE
  bytes[at++] = rest
  return at
}

/** Reads the fields of one message. */
class FieldReader {
  readonly #bytes: Buffer
  #at = 0
  #tag = 0

  private constructor (bytes: Buffer) {
    this.#bytes = bytes
  }

  static create (bytes: Uint8Array): FieldReader {
    return new FieldReader(Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength))
  }

  /** Reads the next tag; false at the end of the message. */
  readTag (): boolean {
    if (this.#at >= this.#bytes.length) return false
    this.#tag = this.readVarint()
    return true
  }

  isField (field: number, type: number): boolean {
    return this.#tag === (field << WIRE_TYPE_BITS | type)
  }

  readText (): string {
    const start = this.#advance(this.readVarint())
    return this.#bytes.toString('utf8', start, this.#at)
  }

  readBytes (): Uint8Array {
    const start = this.#advance(this.readVarint())
    return this.#bytes.subarray(start, this.#at)
  }

  readDouble (): number {
    return this.#bytes.readDoubleLE(this.#advance(DOUBLE_BYTES))
  }

  // Counts above 32 bits come from no host; their upper bits are dropped.
  readVarint (): number {
    let value = 0
    for (let index = 0; index < MAX_VARINT_BYTES; index++) {
      const byte = this.#bytes[this.#at++]
      if (byte === undefined) break
      if (index * VARINT_BITS < 32) value |= (byte & VARINT_MASK) << index * VARINT_BITS
      if (byte < VARINT_MORE) return value >>> 0
    }
    throw new RangeError('a number of the message is not complete')
  }

  skip (): void {
    switch (this.#tag & WIRE_TYPE_MASK) {
      case VARINT: this.readVarint(); break
      case FIXED64: this.#advance(DOUBLE_BYTES); break
      case DELIMITED: this.#advance(this.readVarint()); break
      case FIXED32: this.#advance(FLOAT_BYTES); break
      default: throw new RangeError('a field of the message has an unknown type')
    }
  }

  // Returns where the bytes start.
  #advance (length: number): number {
    const start = this.#at
    if (start + length > this.#bytes.length) throw new RangeError('a field of the message is not complete')
    this.#at = start + length
    return start
  }
}

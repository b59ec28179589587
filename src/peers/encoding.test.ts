import { create, fromBinary, toBinary } from '@bufbuild/protobuf'
import { expect } from 'chai'
import fc from 'fast-check'
import { FrameBatchSchema, FrameSchema } from '../gen/fulmartally_pb.js'
import { readBatch, readFrame, writeBatch, writeFrame } from './encoding.js'

const RUNS = 200
const BYTES = fc.uint8Array({ maxLength: 300 })
const FRAMES = fc.record({
  from: fc.string({ unit: 'grapheme', maxLength: 40 }),
  body: fc.string({ unit: 'grapheme', maxLength: 400 }),
  payload: BYTES,
  stamp: fc.record({ wallMs: fc.oneof(fc.constant(0), fc.double({ noNaN: true }).map(value => value + 0)), count: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 2 ** 32 - 1 })) })
})

function createGenerated ({ from, body, payload, stamp }: ReturnType<typeof readFrame>): Uint8Array {
  return toBinary(FrameSchema, create(FrameSchema, { from, body, payload, stampWallMs: stamp.wallMs, stampCount: stamp.count }))
}

describe('the encoding of frames', () => {
  it(`is that of the generated code, in both directions (${RUNS} runs)`, () => {
    fc.assert(fc.property(FRAMES, frame => {
      const generated = createGenerated(frame)
      expect(Buffer.compare(writeFrame(frame), generated)).to.equal(0)
      const { from, body, payload, stamp } = readFrame(generated)
      expect({ from, body, payload: [...payload], stamp }).to.deep.equal({ ...frame, payload: [...frame.payload] })
    }), { numRuns: RUNS })
  })

  it(`is that of the generated code for batches (${RUNS} runs)`, () => {
    fc.assert(fc.property(fc.array(BYTES, { maxLength: 5 }), frames => {
      const generated = toBinary(FrameBatchSchema, create(FrameBatchSchema, { frames }))
      expect(Buffer.compare(writeBatch(frames), generated)).to.equal(0)
      expect(readBatch(generated).map(frame => [...frame])).to.deep.equal(frames.map(frame => [...frame]))
    }), { numRuns: RUNS })
  })

  it('skips the fields of later versions', () => {
    const frame = createGenerated({ from: 'h1', body: '{}', payload: new Uint8Array(0), stamp: { wallMs: 1, count: 2 } })
    const later = Uint8Array.from([0x30, 0x80, 0x01, 0x3a, 2, 7, 7, 0x41, 0, 0, 0, 0, 0, 0, 0, 0, 0x4d, 0, 0, 0, 0])
    expect(readFrame(Buffer.concat([later, frame, later]))).to.deep.equal(readFrame(frame))
  })

  it('rejects a frame wherever it is cut within a field, as the generated code does', () => {
    const frame = createGenerated({ from: 'h1', body: '{"a":1}', payload: Uint8Array.from([1, 2, 3]), stamp: { wallMs: 1.5, count: 300 } })
    for (let length = 0; length < frame.length; length++) {
      const cut = frame.subarray(0, length)
      let isComplete = true
      try {
        fromBinary(FrameSchema, cut)
      } catch {
        isComplete = false
      }
      if (isComplete) expect(() => readFrame(cut), String(length)).not.to.throw()
      else expect(() => readFrame(cut), String(length)).to.throw(RangeError)
    }
    expect(() => readFrame(Uint8Array.from([0x0f]))).to.throw(RangeError)
    expect(() => readBatch(Uint8Array.from([0x0a, 5, 1]))).to.throw(RangeError)
  })
})

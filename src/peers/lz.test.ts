import { randomBytes } from 'node:crypto'
import { expect } from 'chai'
import fc from 'fast-check'
import { LzPacker, LzUnpacker, MAX_INPUT_BYTES } from './lz.js'

const FRAMES = 200
/** The target of the compression: a third of the bytes, or less. */
const MAX_COMPRESSED_RATIO = 1 / 3
const RUNS = 200

/** Inputs of one link: runs of bytes of small and large alphabets, so that there are short, long and overlapping matches. */
const INPUTS = fc.array(fc.array(fc.oneof(
  fc.uint8Array({ maxLength: 300 }),
  fc.uint8Array({ maxLength: 40, max: 2 }),
  fc.record({ byte: fc.nat(255), length: fc.nat(3_000) }).map(({ byte, length }) => new Uint8Array(length).fill(byte))
), { maxLength: 5 }).map(parts => Buffer.concat(parts)), { maxLength: 20 })

function createRequest (number: number): Uint8Array {
  const target = { database: `i-699713626b~178370515298${number % 3}`, owner: '10.1.0.39:7260', purpose: 'replica', term: 1, floor: { term: 2, offset: number } }
  const message = { kind: 'transactions/run', caller: `10.1.0.37:7260/5de402c1/${number % 40}`, attempt: 1, service: 'deployment', workspace: `w${number % 8}`, target, remainingMs: 800 - number }
  return Buffer.concat([Buffer.from(JSON.stringify(message)), randomBytes(16)])
}

describe('inputs that were compressed against those before them', () => {
  it(`decompress to the original bytes, on several links at once (${RUNS} runs)`, () => {
    fc.assert(fc.property(INPUTS, INPUTS, (first, second) => {
      const links = [first, second].map(inputs => ({ inputs, packer: LzPacker.create(), unpacker: LzUnpacker.create() }))
      for (let index = 0; index < 20; index++) {
        for (const { inputs, packer, unpacker } of links) {
          const input = inputs[index]
          if (input !== undefined) expect(Buffer.compare(unpacker.unpack(packer.pack(input)), input)).to.equal(0)
        }
      }
    }), { numRuns: RUNS })
  })

  it('decompress to the original bytes, whatever their sizes', () => {
    const [packer, unpacker] = [LzPacker.create(), LzUnpacker.create()]
    for (const size of [0, 1, 3, 4, 500, 8_192, MAX_INPUT_BYTES, 8_191, 3, 0, 12_000, 900]) {
      for (const input of [randomBytes(size), Buffer.alloc(size, 1)]) {
        expect(Buffer.compare(unpacker.unpack(packer.pack(input)), input)).to.equal(0)
      }
    }
  })

  it(`take a third of the bytes of requests between hosts (${FRAMES} frames)`, function () {
    const packer = LzPacker.create()
    const frames = Array.from({ length: FRAMES }, (_, number) => createRequest(number))
    const packed = frames.map(frame => packer.pack(frame).length).reduce((sum, bytes) => sum + bytes, 0)
    const ratio = packed / frames.reduce((sum, frame) => sum + frame.length, 0)
    this.test!.title += ` (${(100 * ratio).toFixed(0)}%)`
    expect(ratio).to.be.below(MAX_COMPRESSED_RATIO)
  })

  it('are rejected by the receiving end of another link', () => {
    const packer = LzPacker.create()
    packer.pack(createRequest(1))
    expect(() => LzUnpacker.create().unpack(packer.pack(createRequest(2)))).to.throw()
  })

  it('are rejected when they are larger than an input may be', () => {
    expect(() => LzPacker.create().pack(new Uint8Array(MAX_INPUT_BYTES + 1))).to.throw()
  })
})

describe('bytes that no packer wrote', () => {
  it(`are rejected, or decompress to at most the largest input (${RUNS} runs)`, () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 2_000 }), bytes => {
      const unpacker = LzUnpacker.create()
      unpacker.unpack(LzPacker.create().pack(createRequest(1)))
      try {
        expect(unpacker.unpack(bytes).length).to.be.at.most(MAX_INPUT_BYTES)
      } catch (error) {
        expect(error).to.be.instanceOf(RangeError)
      }
    }), { numRuns: RUNS })
  })

  it('are rejected when they end within a literal, a distance or a length', () => {
    for (const bytes of [[], [0x10], [0xf0], [0xf0, 255], [0x10, 7, 1], [0x1f, 7, 1, 0], [0x10, 7, 0, 0], [0x10, 7, 2, 0]]) {
      expect(() => LzUnpacker.create().unpack(Uint8Array.from(bytes)), String(bytes)).to.throw(RangeError)
    }
  })
})

import { randomBytes } from 'node:crypto'
import { expect } from 'chai'
import fc from 'fast-check'
import { BatchPacker, BatchUnpacker, MAX_INPUT_BYTES } from './batching.js'

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
      const links = [first, second].map(inputs => ({ inputs, packer: BatchPacker.create(), unpacker: BatchUnpacker.create() }))
      for (let index = 0; index < 20; index++) {
        for (const { inputs, packer, unpacker } of links) {
          const input = inputs[index]
          if (input !== undefined) expect(Buffer.compare(unpacker.unpack(packer.pack(input)), input)).to.equal(0)
        }
      }
    }), { numRuns: RUNS })
  })

  it('decompress to the original bytes, whatever their sizes', () => {
    const [packer, unpacker] = [BatchPacker.create(), BatchUnpacker.create()]
    for (const size of [0, 1, 3, 4, 500, 8_192, MAX_INPUT_BYTES, 8_191, 3, 0, 12_000, 900]) {
      for (const input of [randomBytes(size), Buffer.alloc(size, 1)]) {
        expect(Buffer.compare(unpacker.unpack(packer.pack(input)), input)).to.equal(0)
      }
    }
  })

  it(`take a third of the bytes of requests between hosts (${FRAMES} frames)`, function () {
    const packer = BatchPacker.create()
    const frames = Array.from({ length: FRAMES }, (_, number) => createRequest(number))
    const packed = frames.map(frame => packer.pack(frame).bytes.length).reduce((sum, bytes) => sum + bytes, 0)
    const ratio = packed / frames.reduce((sum, frame) => sum + frame.length, 0)
    this.test!.title += ` (${(100 * ratio).toFixed(0)}%)`
    expect(ratio).to.be.below(MAX_COMPRESSED_RATIO)
  })

  it('are rejected by the receiving end of another link', () => {
    const packer = BatchPacker.create()
    packer.pack(createRequest(1))
    expect(() => BatchUnpacker.create().unpack(packer.pack(createRequest(2)))).to.throw()
  })

  it('are rejected when they are larger than an input may be', () => {
    expect(() => BatchPacker.create().pack(new Uint8Array(MAX_INPUT_BYTES + 1))).to.throw()
  })
})

describe('the compression of an input', () => {
  const createText = (length: number): Uint8Array => Buffer.from(randomBytes(length).map(byte => 97 + byte % 26))

  it('is that of LZ4 for a request, and deflate for a text that does not repeat', () => {
    const packer = BatchPacker.create()
    packer.pack(createRequest(1))
    expect(packer.pack(createRequest(2)).codec).to.equal('lz')
    const text = createText(500)
    const packed = packer.pack(text)
    expect(packed.codec).to.equal('deflate')
    expect(packed.bytes.length).to.be.below(text.length * 0.8)
    expect(packer.pack(text).codec).to.equal('lz')
  })

  it('may change from one input to the next', () => {
    const [packer, unpacker] = [BatchPacker.create(), BatchUnpacker.create()]
    const codecs = new Set<string>()
    for (let number = 0; number < 200; number++) {
      const input = Buffer.concat([createRequest(number), createText(number % 3 * 300)])
      const packed = packer.pack(input)
      codecs.add(packed.codec)
      expect(Buffer.compare(unpacker.unpack(packed), input)).to.equal(0)
    }
    expect([...codecs].sort()).to.deep.equal(['deflate', 'lz'])
  })
})

describe('bytes that no packer wrote', () => {
  it(`are rejected, or decompress to at most the largest input (${RUNS} runs)`, () => {
    fc.assert(fc.property(fc.uint8Array({ maxLength: 2_000 }), bytes => {
      const unpacker = BatchUnpacker.create()
      unpacker.unpack(BatchPacker.create().pack(createRequest(1)))
      try {
        expect(unpacker.unpack({ codec: 'lz', bytes }).length).to.be.at.most(MAX_INPUT_BYTES)
      } catch (error) {
        expect(error).to.be.instanceOf(RangeError)
      }
    }), { numRuns: RUNS })
  })

  it('are rejected when they end within a literal, a distance or a length', () => {
    for (const bytes of [[], [0x10], [0xf0], [0xf0, 255], [0x10, 7, 1], [0x1f, 7, 1, 0], [0x10, 7, 0, 0], [0x10, 7, 2, 0]]) {
      expect(() => BatchUnpacker.create().unpack({ codec: 'lz', bytes: Uint8Array.from(bytes) }), String(bytes)).to.throw(RangeError)
    }
  })
})

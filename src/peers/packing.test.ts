import { randomBytes } from 'node:crypto'
import { expect } from 'chai'
import { FramePacker, FrameUnpacker } from './packing.js'

const FRAMES = 200
/** The target of the compression: a third of the bytes, or less. */
const MAX_COMPRESSED_RATIO = 1 / 3

function createRequest (number: number): Uint8Array {
  const target = { database: `i-699713626b~178370515298${number % 3}`, owner: '10.1.0.39:7260', purpose: 'replica', term: 1, floor: { term: 2, offset: number } }
  const message = { kind: 'transactions/run', caller: `10.1.0.37:7260/5de402c1/${number % 40}`, attempt: 1, service: 'deployment', workspace: `w${number % 8}`, target, remainingMs: 800 - number }
  return Buffer.concat([Buffer.from(JSON.stringify(message)), randomBytes(16)])
}

describe('compressed frames', () => {
  it('decompress to the original bytes, whatever their sizes', () => {
    const [packer, unpacker] = [FramePacker.create(), FrameUnpacker.create()]
    for (const size of [0, 1, 500, 8_192, 300_000, 8_191, 3, 20_000, 0, 900]) {
      const frame = randomBytes(size)
      expect(Buffer.compare(unpacker.unpack(packer.pack(frame)), frame)).to.equal(0)
    }
  })

  it(`reduce requests between hosts to a third of their bytes (${FRAMES} frames)`, function () {
    const packer = FramePacker.create()
    const frames = Array.from({ length: FRAMES }, (_, number) => createRequest(number))
    const packed = frames.map(frame => packer.pack(frame).length).reduce((sum, bytes) => sum + bytes, 0)
    const ratio = packed / frames.reduce((sum, frame) => sum + frame.length, 0)
    this.test!.title += ` (${(100 * ratio).toFixed(0)}%)`
    expect(ratio).to.be.below(MAX_COMPRESSED_RATIO)
  })

  it('are rejected by the receiving end of another link', () => {
    const packer = FramePacker.create()
    packer.pack(createRequest(1))
    expect(() => FrameUnpacker.create().unpack(packer.pack(createRequest(2)))).to.throw()
  })
})

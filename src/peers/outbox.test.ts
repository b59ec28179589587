import { expect } from 'chai'
import { countTraffic } from './traffic.js'
import { LinkPacker } from './frame.js'
import { Outbox, type EncodedFrame } from './outbox.js'

const MAX_BATCH_BYTES = 8_192
const KIND = 'membership/beat'

function createFrames (sizes: readonly number[]): readonly EncodedFrame[] {
  return sizes.map(size => ({ kind: KIND, bytes: new Uint8Array(size) }))
}

async function collectBatches (frames: readonly EncodedFrame[], isAccepted = true): Promise<ReadonlyArray<readonly EncodedFrame[]>> {
  const batches: Array<readonly EncodedFrame[]> = []
  const outbox = Outbox.create(batch => { batches.push(batch) })
  if (isAccepted) outbox.acceptBatches()
  for (const frame of frames) outbox.add(frame)
  await undefined
  return batches
}

describe('the outbox of a link', () => {
  it('passes on the frames of one turn together, in order, before the runtime serves anything else', async () => {
    const frames = createFrames([10, 20, 0, 30])
    expect(await collectBatches(frames)).to.deep.equal([frames])
  })

  it('passes on the frames of each turn by themselves', async () => {
    const batches: Array<readonly EncodedFrame[]> = []
    const outbox = Outbox.create(batch => { batches.push(batch) })
    outbox.acceptBatches()
    const [first, second] = createFrames([1, 2])
    outbox.add(first!)
    await undefined
    outbox.add(second!)
    await undefined
    expect(batches).to.deep.equal([[first], [second]])
  })

  it('passes on each frame by itself until the peer accepts batches', async () => {
    const frames = createFrames([10, 20, 30])
    expect(await collectBatches(frames, false)).to.deep.equal(frames.map(frame => [frame]))
  })

  it('keeps a batch under its limit, unless a single frame is larger', async () => {
    const sizes = Array.from({ length: 2_000 }, (_, number) => (number * 37) % 900 + (number % 200 === 0 ? 20_000 : 0))
    const frames = createFrames(sizes)
    const batches = await collectBatches(frames)
    expect(batches.flat()).to.deep.equal(frames)
    for (const batch of batches) {
      const bytes = batch.reduce((sum, frame) => sum + frame.bytes.length, 0)
      if (batch.length > 1) expect(bytes).to.be.at.most(MAX_BATCH_BYTES)
    }
  })
})

describe('the bytes of a batch', () => {
  it('are counted for the purposes of its frames by their sizes', () => {
    const frames = [{ kind: KIND, bytes: new Uint8Array(100) }, { kind: 'transactions/run', bytes: new Uint8Array(300) }]
    const batch = LinkPacker.create().packBatch(frames.map(frame => frame.bytes))
    const [total] = countTraffic('sent', [{ kind: KIND, bytes: new Uint8Array(400) }], batch)
    const [control, data] = countTraffic('sent', frames, batch)
    expect([control!.purpose, data!.purpose]).to.deep.equal(['control', 'data'])
    expect(control!.bytes).to.equal(total!.bytes / 4)
    expect(data!.bytes).to.equal(total!.bytes * 3 / 4)
  })

  it('are counted for frames without content, too', () => {
    const frames = [{ kind: KIND, bytes: new Uint8Array(0) }, { kind: KIND, bytes: new Uint8Array(0) }]
    const traffic = countTraffic('sent', frames, LinkPacker.create().packBatch(frames.map(frame => frame.bytes)))
    expect(traffic.every(({ bytes }) => Number.isFinite(bytes))).to.equal(true)
  })
})

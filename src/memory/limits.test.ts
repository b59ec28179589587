import { expect } from 'chai'
import { calculateLimits } from './limits.js'

const SETTINGS = { heldBytes: 0, connections: 0, descriptors: 0, startMs: 1, messageMs: 2, unreadMs: 3 }

describe('limits that follow from the machine', () => {
  it('hold several messages of 1 MiB and some thousand sessions with the heap of a small entry host', () => {
    const { heldBytes, connections } = calculateLimits(SETTINGS, { memoryBytes: 160 * 1_048_576, descriptors: 20_000 })
    expect(heldBytes).to.equal(20 * 1_048_576)
    expect(connections * 0.75).to.be.above(3_000)
  })

  it('leave descriptors for databases and files', () => {
    expect(calculateLimits(SETTINGS, { memoryBytes: 2 ** 30, descriptors: 256 }).connections).to.equal(160)
    expect(calculateLimits(SETTINGS, { memoryBytes: 2 ** 30, descriptors: 4_096 }).connections).to.equal(3_584)
  })

  it('follow the descriptors of the settings where those of the process are others', () => {
    expect(calculateLimits({ ...SETTINGS, descriptors: 4_100 }, { memoryBytes: 160 * 1_048_576, descriptors: 200 }).connections).to.equal(3_587)
  })

  it('give way to the settings', () => {
    expect(calculateLimits({ ...SETTINGS, heldBytes: 5, connections: 7 }, { memoryBytes: 2 ** 30, descriptors: 256 })).to.deep.equal({ heldBytes: 5, connections: 7, peerMessageBytes: 64 * 1_048_576, startMs: 1, messageMs: 2, unreadMs: 3 })
  })
})

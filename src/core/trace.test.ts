import { expect } from 'chai'
import { decodeTrace, encodeStep } from './trace.js'

describe('traces', () => {
  it('decode to messages with bytes, maps, sets and infinite numbers, and ignore an incomplete last line', () => {
    const message = { kind: 'a/b', payload: Buffer.from([0, 255]), map: new Map([['x', 1]]), set: new Set(['x']), untilMs: -Infinity }
    const step = { message, moment: { monotonicMs: 1.5, wallMs: 2, random: 0.25 } }
    const [decoded, ...more] = decodeTrace(`${encodeStep(step)}\n{"mess`)
    expect(more).to.deep.equal([])
    expect(decoded).to.deep.equal({ ...step, message: { ...message, payload: Uint8Array.from([0, 255]) } })
  })
})

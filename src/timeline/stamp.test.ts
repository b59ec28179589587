import { expect } from 'chai'
import fc from 'fast-check'
import { advanceStamp, compareStamps, FIRST_STAMP, MAX_AHEAD_MS, mergeStamp, type Stamp } from './stamp.js'

const SEED = 41
const RUNS = 2_000
const PROCESSES = 4

/** Steps of processes whose wall clocks differ by up to the bound and step back and forth. */
const Steps = fc.array(fc.record({
  process: fc.nat(PROCESSES - 1),
  to: fc.nat(PROCESSES - 1),
  kind: fc.constantFrom('event', 'send', 'receive'),
  wallMs: fc.integer({ min: 1_000_000, max: 1_000_000 + MAX_AHEAD_MS })
}), { maxLength: 60 })

describe('the hybrid logical clock', () => {
  it('is monotonic in each process and orders each cause before its effect, whatever the wall clocks do', () => {
    fc.assert(fc.property(Steps, steps => {
      const last: Stamp[] = Array.from({ length: PROCESSES }, () => FIRST_STAMP)
      const sent: Array<{ readonly to: number, readonly stamp: Stamp }> = []
      for (const { process, to, kind, wallMs } of steps) {
        const before = last[process]!
        const arrived = kind === 'receive' ? sent.find(message => message.to === process) : undefined
        const next = arrived === undefined ? advanceStamp(before, wallMs) : mergeStamp(before, arrived.stamp, wallMs)
        expect(compareStamps(before, next)).to.be.below(0)
        if (arrived !== undefined) {
          expect(compareStamps(arrived.stamp, next)).to.be.below(0)
          sent.splice(sent.indexOf(arrived), 1)
        }
        if (kind === 'send') sent.push({ to, stamp: next })
        last[process] = next
      }
    }), { seed: SEED, numRuns: RUNS })
  })

  it('ignores the stamp of a clock that is too far ahead', () => {
    expect(mergeStamp({ wallMs: 10, count: 0 }, { wallMs: 11 + MAX_AHEAD_MS, count: 0 }, 10)).to.deep.equal({ wallMs: 10, count: 1 })
  })
})

import { expect } from 'chai'
import { SystemClock } from './clock.js'

describe('SystemClock', () => {
  const createClock = (): { readonly clock: SystemClock, readonly pass: (steadyMs: number, wallMs: number) => number } => {
    let steady = 1_000
    let wall = 50_000
    const clock = SystemClock.create({ readSteadyMs: () => steady, readWallMs: () => wall })
    return {
      clock,
      pass: (steadyMs, wallMs) => {
        steady += steadyMs
        wall += wallMs
        return clock.read().monotonicMs
      }
    }
  }

  it('includes the time for which the host was suspended', () => {
    const { pass } = createClock()
    expect(pass(100, 100)).to.equal(1_100)
    expect(pass(10, 3_510)).to.equal(4_610)
    expect(pass(100, 100)).to.equal(4_710)
  })

  it('does not step back when the wall clock does', () => {
    const { pass } = createClock()
    expect(pass(100, -2_400)).to.equal(1_100)
    expect(pass(100, 100)).to.equal(1_200)
  })

  it('ignores small differences between the wall clock and the steady clock', () => {
    const { pass } = createClock()
    expect(pass(1_000, 1_040)).to.equal(2_000)
  })
})

import { expect } from 'chai'
import { SystemClock } from './clock.js'

describe('the clock of a host', () => {
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

  it('counts the time in which the machine was suspended', () => {
    const { pass } = createClock()
    expect(pass(100, 100)).to.equal(1_100)
    expect(pass(10, 3_510)).to.equal(4_610)
    expect(pass(100, 100)).to.equal(4_710)
  })

  it('never goes back when the time of day does', () => {
    const { pass } = createClock()
    expect(pass(100, -2_400)).to.equal(1_100)
    expect(pass(100, 100)).to.equal(1_200)
  })

  it('takes small differences of the two clocks for what they are', () => {
    const { pass } = createClock()
    expect(pass(1_000, 1_040)).to.equal(2_000)
  })
})

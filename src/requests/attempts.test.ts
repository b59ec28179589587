/** Requests and the work at the databases' owners, over links that lose, double and delay. */
import { expect } from 'chai'
import { OrdersRun } from '../../test/support/orders.js'

const RUNS = Number(process.env.RUNS ?? 1_000)
const STEPS = 400

describe('requests over lossy links', () => {
  it(`keeps each promise to callers in ${RUNS} seeded schedules`, function () {
    this.timeout(300_000)
    const ends: Record<string, number> = {}
    for (let seed = 1; seed <= RUNS; seed++) {
      const outcome = OrdersRun.create(seed).run(STEPS)
      expect(outcome.violations, `seed ${seed}`).to.deep.equal([])
      for (const [what, count] of Object.entries(outcome.ends)) ends[what] = (ends[what] ?? 0) + count
    }
    if (process.env.SHOW !== undefined) process.stdout.write(`${JSON.stringify(ends)}\n`)
    expect(ends.finished).to.be.greaterThan(ends['outcome-unknown'] ?? 0)
  })
})

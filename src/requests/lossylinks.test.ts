/** Randomized runs of requests from the entry host to the database owners, over links that drop, duplicate and delay messages. */
import { expect } from 'chai'
import { RequestsSimulation } from '../../test/support/requestssimulation.js'

const RUNS = Number(process.env.RUNS ?? 1_000)
const STEPS = 400

describe('requests over lossy links', () => {
  it(`keep their guarantees to callers in ${RUNS} seeded schedules`, function () {
    this.timeout(300_000)
    const outcomes: Record<string, number> = {}
    for (let seed = 1; seed <= RUNS; seed++) {
      const result = RequestsSimulation.create(seed).run(STEPS)
      expect(result.violations, `seed ${seed}`).to.deep.equal([])
      for (const [outcome, count] of Object.entries(result.outcomeCounts)) outcomes[outcome] = (outcomes[outcome] ?? 0) + count
    }
    if (process.env.SHOW !== undefined) process.stdout.write(`${JSON.stringify(outcomes)}\n`)
    expect(outcomes.finished).to.be.greaterThan(outcomes['outcome-unknown'] ?? 0)
  })
})

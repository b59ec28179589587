/** Randomized runs of requests from the entry host to the database owners, over links that drop, duplicate and delay messages. */
import { expect } from 'chai'
import { RequestsSimulation } from '../../test/support/requestssimulation.js'

const RUNS = Number(process.env.RUNS ?? 1_000)
const STEPS = 400
const COLD_RUNS = Math.ceil(RUNS / 5)
/** Enough time for changes of the owner within the wait of a new one, and after it. */
const COLD_STEPS = 2_500
const COLD_RATE = 10

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

  it(`keep them, and the limit of cold databases over both owners, in ${COLD_RUNS} seeded schedules`, function () {
    this.timeout(300_000)
    const outcomes: Record<string, number> = {}
    for (let seed = 1; seed <= COLD_RUNS; seed++) {
      const result = RequestsSimulation.create(seed, COLD_RATE).run(COLD_STEPS)
      expect(result.violations, `seed ${seed}`).to.deep.equal([])
      for (const [outcome, count] of Object.entries(result.outcomeCounts)) outcomes[outcome] = (outcomes[outcome] ?? 0) + count
    }
    if (process.env.SHOW !== undefined) process.stdout.write(`${JSON.stringify(outcomes)}\n`)
    expect(outcomes.finished).to.be.greaterThan(COLD_RUNS)
    expect(outcomes['database-cold']).to.be.greaterThan(COLD_RUNS)
  })
})

/** Guards against commits that are lost, and writes that end, with a change of primary where a replica's copy acknowledges a write. */
import { CopiesSimulation } from './support/copiessimulation.js'

const RUNS = Number(process.env.RUNS ?? 40)
const FIRST_SEED = Number(process.env.SEED ?? 1)

describe('a group whose writes are acknowledged by a replica\'s copy', () => {
  it(`keeps what was acknowledged through each change of primary, and is served again after the faults (seeds ${FIRST_SEED} to ${FIRST_SEED + RUNS - 1})`, function () {
    this.timeout(300_000)
    const totals = { promotions: 0, acknowledged: 0 }
    const faults: string[] = []
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const simulation = CopiesSimulation.create(seed)
      try {
        simulation.run()
      } catch (fault) {
        faults.push(`SEED=${seed} RUNS=1 npx mocha src/succession/copies.test.ts: ${String(fault)}`)
      }
      totals.promotions += simulation.promotions
      totals.acknowledged += simulation.acknowledged
    }
    this.test!.title += ` (${totals.promotions} promotions, ${totals.acknowledged} writes)`
    if (faults.length > 0) throw new Error(`${faults.length} of ${RUNS} seeds:\n${faults.join('\n')}`)
  })
})

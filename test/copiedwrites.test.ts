/**
 * Guards against acknowledged writes that are lost, and groups that are not served again, where a replica's copy acknowledges a
 * write (docs/incidents/departed-replicas.md, forgotten-replicas.md).
 */
import { CopiedWriteSoak } from './support/copiedwritesoak.js'

/** Seeds from this one on; by hand: `RUNS=50 SEED=1 npx mocha test/copiedwrites.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 2)
const RUN_TIMEOUT_MS = 60_000

describe('hosts and databases of a group whose writes are acknowledged by a replica\'s copy', () => {
  for (let seed = SEED; seed < SEED + RUNS; seed++) {
    it(`keep what was acknowledged, and serve again after the faults (SEED=${seed})`, async function () {
      this.timeout(RUN_TIMEOUT_MS)
      const { violations, faults, promotions, acknowledged } = await CopiedWriteSoak.run(seed)
      this.test!.title += ` (${promotions} promotions, ${acknowledged} writes)`
      if (violations.length > 0) throw new Error(`SEED=${seed} RUNS=1 npx mocha test/copiedwrites.test.ts:\n${violations.join('\n')}\n${faults.join('\n')}`)
    })
  }
})

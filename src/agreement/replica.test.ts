/** Randomised schedules over replicas with faulty links, disks and clocks. Each seed reproduces its schedule. */
import { expect } from 'chai'
import { ReplicaGroup } from './support/group.js'

/** The number of schedules, and the seed of the first one. */
const SCHEDULES = Number(process.env.SCHEDULES ?? 10_000)
const FIRST_SEED = Number(process.env.SEED ?? 1)
const SCHEDULES_PER_TEST = 1_000
/** Lateness of timers from which on leaders ask for longer promises. */
const LATE_MS = 400

describe('replicas under random fault schedules', function () {
  this.timeout(300_000)

  for (let first = FIRST_SEED; first < FIRST_SEED + SCHEDULES; first += SCHEDULES_PER_TEST) {
    const end = Math.min(first + SCHEDULES_PER_TEST, FIRST_SEED + SCHEDULES)
    it(`agree for the seeds ${first} to ${end - 1}`, () => {
      const seen = { committed: 0, elections: 0, replaced: 0, installs: 0 }
      for (let seed = first; seed < end; seed++) {
        const group = ReplicaGroup.create(seed)
        try {
          group.runFaults()
          group.runHealed()
        } catch (fault) {
          throw new Error(`seed ${seed}: SEED=${seed} SCHEDULES=1 npx mocha src/agreement/replica.test.ts`, { cause: fault })
        }
        for (const key of Object.keys(seen) as Array<keyof typeof seen>) seen[key] += group.eventCounts[key]
      }
      // A short run may not produce every kind of event.
      if (end - first === SCHEDULES_PER_TEST) expect(Object.values(seen).every(count => count > 0), JSON.stringify(seen)).to.equal(true)
    })
  }

  it(`agree on hosts that are short of processor time, with longer promises, for the seeds ${FIRST_SEED} to ${FIRST_SEED + Math.ceil(SCHEDULES / 5) - 1}`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + Math.ceil(SCHEDULES / 5); seed++) {
      const group = ReplicaGroup.create(seed, LATE_MS)
      try {
        group.runFaults()
        group.runHealed()
      } catch (fault) {
        throw new Error(`seed ${seed} with timers up to ${LATE_MS} ms late`, { cause: fault })
      }
    }
  })
})

import { expect } from 'chai'
import { ELECTION_MIN_MS, LEADER_LEASE_MS } from './replica.js'
import { ReplicaGroup } from './support/group.js'

const RUNS = 200
/** Half of what a replica waits for a leader that may live. */
const SOON_MS = ELECTION_MIN_MS / 2

function countRestarts (restart: Parameters<ReplicaGroup['runRestart']>[0]): readonly number[] {
  const runs = Array.from({ length: RUNS }, (_, seed) => ReplicaGroup.create(seed + 1).runRestart(restart))
  return runs.sort((a, b) => a - b)
}

function checkSoon (times: readonly number[]): string {
  const [median, worst] = [times[RUNS / 2]!, times[RUNS - 1]!]
  expect(median).to.be.below(SOON_MS)
  return ` (${RUNS} seeds: median ${median.toFixed(0)} ms, worst ${worst.toFixed(0)} ms)`
}

describe('a restart of control hosts', () => {
  it('has a leader soon when all of them start at the same time', function () {
    this.test!.title += checkSoon(countRestarts({}))
  })

  it('has a leader soon when one of them lost its disk', function () {
    this.test!.title += checkSoon(countRestarts({ wiped: 1 }))
  })

  it('waits for the lease of a leader before it where one of them was not restarted', () => {
    expect(countRestarts({ spared: 1 })[0]).to.be.above(LEADER_LEASE_MS)
  })
})

import { expect } from 'chai'
import { MIN_ELECTION_TIMEOUT_MS, LEADER_LEASE_MS } from './replica.js'
import { ReplicaGroup } from './support/group.js'

const RUNS = 200
/** Half of the shortest election timeout: a cold start need not wait for the lease of an earlier leader. */
const MAX_MEDIAN_MS = MIN_ELECTION_TIMEOUT_MS / 2

function runRestarts (restart: Parameters<ReplicaGroup['runColdStart']>[0]): readonly number[] {
  const runs = Array.from({ length: RUNS }, (_, seed) => ReplicaGroup.create(seed + 1).runColdStart(restart))
  return runs.sort((a, b) => a - b)
}

function checkMedian (times: readonly number[]): string {
  const [median, worst] = [times[RUNS / 2]!, times[RUNS - 1]!]
  expect(median).to.be.below(MAX_MEDIAN_MS)
  return ` (${RUNS} seeds: median ${median.toFixed(0)} ms, worst ${worst.toFixed(0)} ms)`
}

describe('a cold start of control hosts', () => {
  it('elects a leader within half an election timeout in the median when all of them start at the same time', function () {
    this.test!.title += checkMedian(runRestarts({}))
  })

  it('elects a leader within half an election timeout in the median when one of them lost its disk', function () {
    this.test!.title += checkMedian(runRestarts({ wiped: 1 }))
  })

  it('waits for the lease of an earlier leader when one of them was not restarted', () => {
    expect(runRestarts({ spared: 1 })[0]).to.be.above(LEADER_LEASE_MS)
  })
})

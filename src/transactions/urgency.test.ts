/** A hot primary: more requests than it can run, and a third of them of an open route without a priority or a latency target. */
import { expect } from 'chai'
import { runDatabaseLoad, type DatabaseLoad, type RequestOutcome } from './support/databaseload.js'

const SEEDS = [1, 2, 3]
const URGENT = { name: 'urgent', share: 0.13, priority: 0, latencyMs: 100 }
const USUAL = { name: 'usual', share: 0.5, priority: 1, latencyMs: 200 }
const OPEN = { name: 'open', share: 0.37, open: true }
const HOT_PRIMARY: Omit<DatabaseLoad, 'seed'> = { slots: 4, connectionLimit: 56, workspaces: 20, requestsPerSecond: 480, durationMs: 5_000, openMs: 12, statementMs: 10, remainingMs: 800, kinds: [URGENT, USUAL, OPEN] }

interface KindOfRequests { readonly name: string, readonly latencyMs?: number }

const runAll = (load: Omit<DatabaseLoad, 'seed'>): readonly RequestOutcome[] => SEEDS.flatMap(seed => runDatabaseLoad({ ...load, seed }).outcomes)

function countInTime (outcomes: readonly RequestOutcome[], { name, latencyMs = HOT_PRIMARY.remainingMs }: KindOfRequests): number {
  const ofKind = outcomes.filter(({ kind }) => kind === name)
  return ofKind.filter(({ outcome, elapsedMs }) => outcome === 'finished' && elapsedMs <= latencyMs).length / ofKind.length
}

describe('the order of requests at a hot primary', () => {
  const ordered = runAll(HOT_PRIMARY)
  const inEqualTurns = runAll({ ...HOT_PRIMARY, unranked: true })

  it('serves what names a latency target in time, which equal turns do not', () => {
    expect(countInTime(inEqualTurns, URGENT)).to.be.below(0.9)
    expect(countInTime(ordered, URGENT)).to.be.at.least(0.98)
    expect(countInTime(ordered, USUAL)).to.be.at.least(0.98)
  })

  it('still serves requests without priority and target, in what the others leave', () => {
    expect(countInTime(ordered, OPEN)).to.be.at.least(0.2)
    const crowded = runAll({ ...HOT_PRIMARY, requestsPerSecond: 1_000 })
    expect(countInTime(crowded, OPEN)).to.be.at.least(0.02)
    expect(countInTime(crowded, URGENT)).to.be.at.least(1.3 * countInTime(runAll({ ...HOT_PRIMARY, requestsPerSecond: 1_000, unranked: true }), URGENT))
  })
})

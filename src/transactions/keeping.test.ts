/** Single requests of 79 workspaces, the n-th of which asks 1/n as often as the first, at a database that 28 of them may have a connection to. */
import { expect } from 'chai'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { pickLeastUsed, recordUse } from './keeping.js'
import type { Connection } from './state.js'

const SEEDS = [1, 2, 3]
const WORKSPACES = 79
const LIMIT = 28
const REQUESTS = 5_000
const SHARES = Array.from({ length: WORKSPACES }, (_, index) => 1 / (index + 1))
const TOTAL = SHARES.reduce((sum, share) => sum + share, 0)

type PickToClose = (idle: readonly Connection[], started: number) => Connection | undefined

/** Counts the connections that were opened for each request. */
function countOpenings (seed: number, pickToClose: PickToClose, turnsAt = Infinity): number {
  const random = xoroshiro128plus(seed)
  let connections: readonly Connection[] = []
  let opened = 0
  for (let started = 0; started < REQUESTS; started++) {
    let left = uniformFloat64(random) * TOTAL
    const drawn = SHARES.findIndex(share => (left -= share) < 0)
    const workspace = `w${started < turnsAt ? drawn : WORKSPACES - 1 - drawn}`
    const known = connections.find(connection => connection.workspace === workspace)
    if (known === undefined) opened += 1
    const closed = known === undefined && connections.length >= LIMIT ? pickToClose(connections, started) : undefined
    const connection = known ?? { connection: `c${opened}`, phase: 'idle' as const, workspace }
    connections = [...connections.filter(other => other !== closed && other !== known), recordUse(connection, started, LIMIT)]
  }
  return opened / REQUESTS
}

const pickLeast: PickToClose = (idle, started) => pickLeastUsed(idle, started, LIMIT)
const pickIdleLongest: PickToClose = idle => idle[0]

describe('the connection that is closed for another workspace', () => {
  it('is the one that was used least, which needs a fifth fewer openings than closing the one that was idle longest', () => {
    for (const seed of SEEDS) expect(countOpenings(seed, pickLeast)).to.be.below(0.8 * countOpenings(seed, pickIdleLongest))
  })

  it('follows workspaces when others begin to send the most', () => {
    for (const seed of SEEDS) expect(countOpenings(seed, pickLeast, REQUESTS / 2)).to.be.below(0.95 * countOpenings(seed, pickIdleLongest, REQUESTS / 2))
  })

  it('is the one that was idle longest where all were used as often', () => {
    const used = ['a', 'b', 'c'].map((connection, index) => recordUse({ connection, phase: 'idle' }, index, LIMIT))
    expect(pickLeastUsed(used, 3, LIMIT)?.connection).to.equal('a')
    expect(pickLeastUsed([], 3, LIMIT)).to.equal(undefined)
  })
})

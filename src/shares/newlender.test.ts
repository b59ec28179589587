import { expect } from 'chai'
import { chooseParts, createQuota, setCommitted } from './reserve.js'
import { RESERVE_PARTS, TOTAL_PARTS, type KnownLimit, type WorkspaceQuota } from './state.js'

const LIMIT: KnownLimit = { workspace: 'rota/parish', rate: 600, burst: 600, knownSinceMs: 0 }
const PER_SECOND = 12
const ROUNDS = 10

type Shares = ReadonlyMap<string, number>

/** One renewal of a holder, which confirms what it gets at once. */
function renew (shares: Shares, quota: WorkspaceQuota, holder: string): readonly [Shares, WorkspaceQuota] {
  const held = shares.get(holder) ?? 0
  const { parts, isShort } = chooseParts(quota, LIMIT, { holder, perSecond: PER_SECOND, held, current: held }, 0)
  const shortHolder = isShort ? holder : quota.shortHolder === holder ? undefined : quota.shortHolder
  return [new Map(shares).set(holder, parts), setCommitted({ ...quota, shortHolder }, LIMIT, quota.committed - held + parts)]
}

function countEqualParts (holders: number): number {
  return Math.floor((TOTAL_PARTS - RESERVE_PARTS) / holders)
}

describe('a holder that joins when others hold all shares', () => {
  for (const others of [3, 8, 11, 40]) {
    it(`gets its part of them beside ${others} others`, () => {
      const names = Array.from({ length: others }, (_, index) => `h${index}`)
      let shares: Shares = new Map(names.map(name => [name, countEqualParts(others)]))
      let quota = setCommitted({ ...createQuota(LIMIT.workspace, 0, -Infinity), perSecond: PER_SECOND * (others + 1) }, LIMIT, others * countEqualParts(others))
      for (let round = 0; round < ROUNDS; round++) for (const name of ['new', ...names]) [shares, quota] = renew(shares, quota, name)
      expect(shares.get('new')).to.be.at.least(countEqualParts(others + 1) * 0.6)
    })
  }
})

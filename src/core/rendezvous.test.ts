import { expect } from 'chai'
import { pickHeaviest, rankCandidates } from './rendezvous.js'

const HOSTS = Array.from({ length: 40 }, (_, index) => `10.1.0.${index + 10}:7460`)
const KEYS = Array.from({ length: 4_000 }, (_, index) => `i-${index.toString(16)}~${index}`)
/** A host's number of keys; the mean is 100, and five standard deviations are 50. */
const MIN_KEYS = 50
const MAX_KEYS = 150

describe('rendezvous hashing', () => {
  it('picks the first of the ranked candidates, in whatever order they are listed', () => {
    for (const key of KEYS.slice(0, 200)) {
      const [first] = rankCandidates(key, HOSTS)
      expect(pickHeaviest(key, HOSTS)).to.equal(first)
      expect(pickHeaviest(key, [...HOSTS].reverse())).to.equal(first)
    }
    expect(pickHeaviest('key', [])).to.equal(undefined)
  })

  it('spreads keys evenly over candidates whose names differ little', () => {
    const counts = new Map<string, number>()
    for (const key of KEYS) counts.set(pickHeaviest(key, HOSTS)!, (counts.get(pickHeaviest(key, HOSTS)!) ?? 0) + 1)
    expect(counts.size).to.equal(HOSTS.length)
    expect(Math.min(...counts.values())).to.be.above(MIN_KEYS)
    expect(Math.max(...counts.values())).to.be.below(MAX_KEYS)
  })

  it('moves only the keys of a candidate that leaves', () => {
    const left = HOSTS.slice(1)
    for (const key of KEYS) if (pickHeaviest(key, HOSTS) !== HOSTS[0]) expect(pickHeaviest(key, left)).to.equal(pickHeaviest(key, HOSTS))
  })
})

/** When reads leave their failure domain: the load patterns, each with the fixed cost beside it. */
import { expect } from 'chai'
import { calculatePriceMs, chooseDomain, recordOwnerAnswer, type LeavingCandidate } from './decide.js'
import { createLeavingState, type LeavingState } from './state.js'
import { runDomains, type DomainsLoad, type DomainsResult } from './support/domains.js'

const LOAD: DomainsLoad = { seed: 5, hostsPerDomain: 8, databases: { a: 2, b: 2, c: 2 }, slots: 4, runMs: 15, durationMs: 6_000, targetMs: 60, bytes: 1_000, computeRate: () => 250, computeWayMs: (from, to) => (from === to ? 0.2 : 1) }
const WAVE_MS = 2_000
const FEW: DomainsLoad = { ...LOAD, databases: { a: 1, b: 3, c: 2 }, computeRate: () => 330 }
const WAVE: DomainsLoad = { ...LOAD, computeRate: (domain, nowMs) => ((['a', 'b', 'c'] as const)[Math.floor(nowMs / WAVE_MS)] === domain ? 750 : 150) }
const FULL: DomainsLoad = { ...LOAD, computeRate: () => 560 }
const SLOW_LINK: DomainsLoad = { ...FEW, computeWayMs: (from, to) => (from === to ? 0.2 : from === 'b' || to === 'b' ? 40 : 1) }

function compare (load: DomainsLoad, priceMsPerKib = 0): { readonly fixed: DomainsResult, readonly priced: DomainsResult } {
  return { fixed: runDomains(load), priced: runDomains({ ...load, leaving: { priceMsPerKib } }) }
}

describe('reads that leave their failure domain', function () {
  this.timeout(30_000)

  it('stay while there is room at home', () => {
    const { fixed, priced } = compare(LOAD)
    expect(priced.left).to.be.at.most(fixed.left + 0.01)
    expect(priced.late).to.equal(0)
  })

  it('make up for too few databases at home', () => {
    const { fixed, priced } = compare(FEW)
    expect(priced.late).to.be.at.most(0.005)
    expect(priced.meanMs).to.be.at.most(fixed.meanMs * 1.05)
    expect(priced.left).to.be.within(0.05, 0.2)
  })

  it('follow a wave that moves from one domain to the next, and no domain sends and gets at once', () => {
    const { fixed, priced } = compare(WAVE)
    expect(priced.late).to.be.at.most(0.02)
    expect(priced.meanMs).to.be.at.most(fixed.meanMs * 1.05)
    const inWave = priced.arrivalsByTenth.a.slice(2, WAVE_MS / 100).reduce((sum, count) => sum + count, 0)
    const others = [priced.arrivalsByTenth.b, priced.arrivalsByTenth.c].flatMap(tenths => tenths.slice(2, WAVE_MS / 100)).reduce((sum, count) => sum + count, 0)
    expect(inWave).to.be.lessThan(others / 10)
  })

  it('cross less where all databases are full and bytes have a price, and are no later for it', () => {
    const { fixed, priced } = compare(FULL, 5)
    expect(priced.left).to.be.lessThan(fixed.left * 0.8)
    expect(priced.late).to.be.at.most(fixed.late + 0.01)
  })

  it('pass over a slow link, which the fixed cost takes', () => {
    const { fixed, priced } = compare(SLOW_LINK)
    expect(fixed.late).to.be.greaterThan(0.08)
    expect(priced.late).to.be.lessThan(fixed.late / 5)
    expect(priced.worstLate).to.be.lessThan(fixed.worstLate / 5)
  })
})

describe('the price of a read', () => {
  const ANSWER = { group: 'g', failureDomain: 'b', elapsedMs: 32, waitedMs: 0, ranMs: 10, bytes: 2_048 }
  const createCandidate = (failureDomain: string, load?: number, extraCost = 0): LeavingCandidate => ({ database: `${failureDomain}0`, failureDomain, slots: 4, load, extraCost })
  const choose = (state: LeavingState, candidates: readonly LeavingCandidate[], nowMs: number) => chooseDomain(state, 'a', 'g', candidates, 0.3, nowMs)
  const near = recordOwnerAnswer(createLeavingState({ priceMsPerKib: 0 }), { ...ANSWER, elapsedMs: 11 }, 0)
  const far = recordOwnerAnswer(createLeavingState({ priceMsPerKib: 0 }), ANSWER, 0)

  it('follows the measured path, and falls back to the price of an unknown one as the figure grows old', () => {
    const price = (state: LeavingState, nowMs: number): number => calculatePriceMs(state, 'a', 'g', createCandidate('b', 0), 10, nowMs)
    expect([price(near, 0), price(far, 0)]).to.deep.equal([1, 22])
    expect([price(near, 20_000), price(far, 20_000)].map(Math.round)).to.deep.equal([13, 13])
    expect(price(createLeavingState({ priceMsPerKib: 0 }), 0)).to.equal(13)
  })

  it('counts the bytes of the group\'s answers', () => {
    const state = recordOwnerAnswer(createLeavingState({ priceMsPerKib: 3 }), { ...ANSWER, elapsedMs: 11 }, 0)
    expect(calculatePriceMs(state, 'a', 'g', createCandidate('b', 0), 10, 0)).to.equal(7)
    expect(calculatePriceMs(state, 'a', 'g', createCandidate('a', 0), 10, 0)).to.equal(0)
  })

  it('sends a read away only where a wait at home costs more, and not to what is full, cold or unknown', () => {
    expect(choose(near, [createCandidate('a', 0.75), createCandidate('b', 0)], 0).left).to.equal(undefined)
    expect(choose(near, [createCandidate('a', 2), createCandidate('b', 0)], 0)).to.deep.include({ left: 'wait', candidates: [createCandidate('b', 0)] })
    expect(choose(far, [createCandidate('a', 2), createCandidate('b', 0)], 0).left).to.equal(undefined)
    expect(choose(near, [createCandidate('a', 2), createCandidate('b', 2)], 0).left).to.equal(undefined)
    expect(choose(near, [createCandidate('a', 2), createCandidate('b', 0, 2)], 0).left).to.equal(undefined)
    expect(choose(near, [createCandidate('a', 1.25), createCandidate('b')], 0).left).to.equal(undefined)
  })

  it('leaves where no database at home can serve it, as in a cut or an evacuation', () => {
    expect(choose(near, [createCandidate('b', 3)], 0)).to.deep.include({ left: 'none-at-home', candidates: [createCandidate('b', 3)] })
    expect(choose(near, [createCandidate('a', 9)], 0)).to.deep.equal({ candidates: [createCandidate('a', 9)] })
  })
})

/** The limit of a cold database over all hosts, while ownership moves and former owners are cut off, frozen or end transactions. */
import { expect } from 'chai'
import fc from 'fast-check'
import { hasToken, hasTokenForNewWork, takeToken, updateRefill, type ColdLimits, type Refill } from './refill.js'

const LIMITS: ColdLimits = { excess: 1.5, slack: 5, unheardMs: 2_000 }
const RATE = 20
const LIMIT = RATE * LIMITS.excess + LIMITS.slack
/** Age of the last confirmation from which on an owner knows that it may be a former one. */
const CONTACT_MS = 1_000
const STEP_MS = 5
const DURATION_MS = 12_000

/** One owner of the database in a simulation. */
interface Owner {
  readonly fromMs: number
  /** When the leader no longer names it as owner. */
  readonly untilMs: number
  /** What becomes of it then: it hears so, is cut off, or freezes and wakes later. */
  readonly end: 'told' | 'cut' | 'frozen'
}

class FormerOwnersSimulation {
  readonly #owners: readonly Owner[]
  readonly #sentAtMs: number[] = []

  private constructor (owners: readonly Owner[]) {
    this.#owners = owners
  }

  static create (owners: readonly Owner[]): FormerOwnersSimulation {
    return new FormerOwnersSimulation(owners)
  }

  /** Each host sends whatever its bucket lets through. */
  run (): readonly number[] {
    const refills = new Map<Owner, Refill>()
    for (let nowMs = 0; nowMs < DURATION_MS; nowMs += STEP_MS) {
      for (const owner of this.#owners) {
        if (nowMs < owner.fromMs || this.#isFrozen(owner, nowMs)) continue
        refills.set(owner, this.#send(updateRefill(refills.get(owner), {
          rate: RATE,
          limits: LIMITS,
          cold: true,
          releasing: owner.end === 'told' && nowMs > owner.untilMs,
          connections: 1,
          confirmedAtMs: owner.end === 'told' ? nowMs : Math.min(nowMs, owner.untilMs)
        }, nowMs), nowMs))
      }
    }
    return this.#sentAtMs
  }

  #isFrozen ({ untilMs, end }: Owner, nowMs: number): boolean {
    return end === 'frozen' && nowMs > untilMs && nowMs < untilMs + 1_500
  }

  // A former owner only ends what began; an owner prefers new work.
  #send (refill: Refill, nowMs: number): Refill {
    if (!hasToken(refill) || (Math.floor(nowMs / STEP_MS) % 3 > 0 && !hasTokenForNewWork(refill))) return refill
    this.#sentAtMs.push(nowMs)
    return this.#send(takeToken(refill)!, nowMs)
  }
}

const findBusiestSecond = (sentAtMs: readonly number[]): number => {
  const sorted = [...sentAtMs].sort((a, b) => a - b)
  let start = 0
  return sorted.reduce((most, atMs, index) => {
    while (atMs - sorted[start]! > 1_000) start += 1
    return Math.max(most, index - start + 1)
  }, 0)
}

const OwnerMoves = fc.record({
  firstMs: fc.integer({ min: 1_500, max: 5_000 }),
  secondMs: fc.integer({ min: 0, max: 5_000 }),
  ends: fc.array(fc.constantFrom('told' as const, 'cut' as const, 'frozen' as const), { minLength: 2, maxLength: 2 })
})

describe('the rate of a cold database over all hosts', () => {
  it('holds while two owners in turn are replaced, cut off or frozen, and go on sending', () => {
    fc.assert(fc.property(OwnerMoves, ({ firstMs, secondMs, ends }) => {
      const changeMs = firstMs + secondMs
      const owners: readonly Owner[] = [
        { fromMs: 0, untilMs: firstMs, end: ends[0]! },
        { fromMs: firstMs, untilMs: changeMs, end: ends[1]! },
        { fromMs: changeMs, untilMs: Infinity, end: 'told' }
      ]
      expect(findBusiestSecond(FormerOwnersSimulation.create(owners).run())).to.be.at.most(LIMIT)
    }), { numRuns: 300, seed: 20_261_206 })
  }).timeout(60_000)

  it('is used by half by one owner', () => {
    const sentAtMs = FormerOwnersSimulation.create([{ fromMs: 0, untilMs: Infinity, end: 'told' }]).run()
    expect(findBusiestSecond(sentAtMs)).to.be.within(LIMIT / 2 - 2, LIMIT / 2)
  })

  it('gives a new owner no token until the last one has to count as a former one', () => {
    const inputs = { rate: RATE, limits: LIMITS, cold: true, releasing: false, connections: 1, confirmedAtMs: 0 }
    const created = updateRefill(undefined, inputs, 0)
    expect(hasToken(updateRefill(created, { ...inputs, confirmedAtMs: CONTACT_MS }, CONTACT_MS))).to.equal(false)
    expect(hasToken(updateRefill(created, { ...inputs, confirmedAtMs: CONTACT_MS + 200 }, CONTACT_MS + 200))).to.equal(true)
  })

  it('doubts a warm database without a connection, after a pause, and while this host hears nothing', () => {
    const inputs = { rate: RATE, limits: LIMITS, cold: false, releasing: false, connections: 1, confirmedAtMs: 3_000 }
    const used: Refill = { ...updateRefill(undefined, { ...inputs, confirmedAtMs: 0 }, 0), doubtedUntilMs: 0, sentAtMs: 2_900 }
    expect(updateRefill(used, inputs, 3_000).limited).to.equal(false)
    expect(updateRefill(used, { ...inputs, connections: 0 }, 3_000).limited).to.equal(true)
    expect(updateRefill({ ...used, sentAtMs: 1_500 }, inputs, 3_000).limited).to.equal(true)
    expect(updateRefill(used, { ...inputs, confirmedAtMs: 1_900 }, 3_000).limited).to.equal(true)
    const doubted = updateRefill({ ...used, sentAtMs: 1_500 }, inputs, 3_000)
    expect(updateRefill({ ...doubted, sentAtMs: 5_000 }, { ...inputs, confirmedAtMs: 5_100 }, 5_100).limited).to.equal(false)
  })
})

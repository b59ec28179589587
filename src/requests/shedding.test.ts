/** An entry host that gets 1.5 times the requests that its processor can handle, of three kinds. */
import { expect } from 'chai'
import { computeRetryAfterMs } from './comeback.js'
import { admitArrival, FULL_ADMITTANCE, updateAdmittance, type Admittance } from './shedding.js'
import { runHostLoad, type HostKind, type HostLoad, type HostOutcome } from './support/hostload.js'

const SEEDS = [1, 2, 3]
const URGENT: HostKind = { name: 'urgent', share: 0.15, priority: 0, latencyMs: 100, timeoutMs: 800 }
const USUAL: HostKind = { name: 'usual', share: 0.5, priority: 1, latencyMs: 200, timeoutMs: 800 }
const PATIENT: HostKind = { name: 'patient', share: 0.35, priority: 2, latencyMs: 600, timeoutMs: 1_200 }
const FULL_PROCESSOR: Omit<HostLoad, 'seed'> = { kinds: [URGENT, USUAL, PATIENT], requestsPerSecond: 200, durationMs: 6_000, ownerMs: 20 }

const runAll = (load: Omit<HostLoad, 'seed'>): readonly HostOutcome[] => SEEDS.flatMap(seed => runHostLoad({ ...load, seed }))

function countInTime (outcomes: readonly HostOutcome[], { name, latencyMs = 0 }: HostKind): number {
  const ofKind = outcomes.filter(({ kind }) => kind === name)
  return ofKind.filter(({ outcome, elapsedMs }) => outcome === 'finished' && elapsedMs <= latencyMs).length / ofKind.length
}

const countLongerThan = (outcomes: readonly HostOutcome[], limitMs: number): number => outcomes.filter(({ elapsedMs }) => elapsedMs > limitMs).length / outcomes.length

describe('an entry host whose processor is full', () => {
  const shed = runAll(FULL_PROCESSOR)
  const blind = runAll({ ...FULL_PROCESSOR, blind: true })

  it('answers the most urgent kind in time, where all are late otherwise', () => {
    expect(countInTime(blind, URGENT)).to.be.below(0.2)
    expect(countInTime(shed, URGENT)).to.be.at.least(0.7)
    expect(countInTime(shed, USUAL)).to.be.at.least(0.5)
    expect(countInTime(shed, PATIENT)).to.be.at.least(0.1)
  })

  it('holds nobody until the deadline', () => {
    expect(countLongerThan(blind, 800)).to.be.at.least(0.5)
    expect(countLongerThan(shed, 800)).to.equal(0)
  })
})

/** A host whose arrivals of the last second were a fifth each of urgent and usual requests, and the rest of patient ones. */
const fill = (before: Admittance): Admittance => Array.from({ length: 100 }, (_, index) => index)
  .reduce((admittance, index) => admitArrival(admittance, index % 5 === 0 ? URGENT : index % 5 === 1 ? USUAL : PATIENT, 0.5).admittance, before)

describe('the admitted share', () => {
  it('falls while four passes through the loop take the tightest target of the most urgent kind, and grows back after it', () => {
    const late = updateAdmittance(updateAdmittance(fill(FULL_ADMITTANCE), 26), 26)
    expect(late.room).to.be.below(0.6)
    expect(updateAdmittance(late, 24).room).to.be.above(late.room)
    const recovered = Array.from({ length: 40 }, () => 0).reduce((admittance, lagMs) => updateAdmittance(admittance, lagMs), late)
    expect(recovered).to.deep.equal({ ...FULL_ADMITTANCE, refusals: late.refusals })
  })

  it('is filled by priority, keeps one in eight of those that do not fit, and never refuses the most urgent', () => {
    const admittance: Admittance = { ...fill(FULL_ADMITTANCE), room: 0.1 }
    expect(admitArrival(admittance, URGENT, 0.99).admitted).to.equal(true)
    let next = admittance
    let admitted = 0
    for (let arrival = 0; arrival < 80; arrival++) {
      const decision = admitArrival(next, PATIENT, 0)
      next = decision.admittance
      if (decision.admitted) admitted++
    }
    expect(admitted).to.equal(10)
  })

  it('refuses nothing where all requests are equally urgent', () => {
    const equal = admitArrival(FULL_ADMITTANCE, URGENT, 0.5).admittance
    expect(updateAdmittance(equal, 1_000).room).to.equal(1)
  })
})

describe('the return of refused callers', () => {
  const compute = (room: number, priority: number | undefined, random: number): number => computeRetryAfterMs(room, priority, { monotonicMs: 0, wallMs: 0, random })

  it('is spread, urgent ones first', () => {
    expect(compute(0.5, 0, 0)).to.be.below(compute(0.5, 0, 0.9))
    expect(compute(0.5, 0, 0.99)).to.be.at.most(compute(0.5, 1, 0))
    expect(compute(0.5, 1, 0.99)).to.be.at.most(compute(0.5, undefined, 0))
    expect(compute(1, 0, 0)).to.be.at.least(50)
  })
})

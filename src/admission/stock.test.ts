import { expect } from 'chai'
import { computeMaxExcess, RatesSimulation } from '../../test/support/ratessimulation.js'
import { createRandom } from '../../test/support/stepqueue.js'
import { createAllowance } from './allowance.js'
import { addStock, countSpareTokens, countStockTokens, recordArrival, STOCK_MS, takeStockToken } from './stock.js'

const LIMIT = { rate: 80, burst: 80 }
const LENDER = 'lender'
const BORROWERS = ['h1', 'h2', 'h3', 'h4']
const NO_FAULTS = { dropped: 0, doubled: 0, late: 0 }
const RUN_MS = 30_000
const WARMUP_MS = 14_000

interface Replay {
  readonly loansPerRequest: number
  readonly refused: number
  readonly over: number
}

/** Requests arrive at each borrower at random, with a mean interval. */
function replayLoad (intervalMs: number, seed: number): Replay {
  const random = createRandom(seed)
  const world = RatesSimulation.create([LENDER, ...BORROWERS], LIMIT, NO_FAULTS, seed, false, [LENDER])
  world.changeLeader(LENDER, 0)
  let requests = 0
  for (const host of BORROWERS) {
    for (let atMs = WARMUP_MS; atMs < RUN_MS; atMs += -Math.log(1 - random()) * intervalMs) {
      requests += 1
      world.schedule(atMs, () => world.sendRequest(host))
    }
  }
  world.run(RUN_MS + 2_000)
  const loans = BORROWERS.reduce((sum, host) => sum + world.countSent('admission/loan-wanted', host), 0)
  return { loansPerRequest: loans / requests, refused: world.decisions.filter(({ admitted }) => !admitted).length, over: computeMaxExcess(world.decisions, LIMIT) }
}

/** Returns the excess over the limit while hosts restart, freeze and are cut off, and lenders and leaders change. */
function replayFaults (seed: number): number {
  const random = createRandom(seed)
  const hosts = [LENDER, 'l2', 'l3', ...BORROWERS]
  const world = RatesSimulation.create(hosts, LIMIT, { dropped: 0.02, doubled: 0.02, late: 0.05 }, seed, false, [LENDER, 'l2'])
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!
  const faults: ReadonlyArray<(host: string) => void> = [
    host => world.restart(host),
    host => world.delayHost(host, 300 + random() * 1_500),
    host => world.disconnectHost(host, 500 + random() * 3_000),
    () => world.setLenders(pick([[LENDER, 'l2'], ['l2', 'l3'], [LENDER, 'l3'], ['l3']])),
    () => world.changeLeader(pick([LENDER, 'l2', 'l3']), 100)
  ]
  world.changeLeader(LENDER, 0)
  for (const host of hosts) {
    // Calm times fill stocks, and crowds use them together.
    for (let atMs = WARMUP_MS; atMs < RUN_MS; atMs += -Math.log(1 - random()) * (atMs % 6_000 < 4_500 ? 160 : 25)) world.schedule(atMs, () => world.sendRequest(host))
  }
  for (let atMs = WARMUP_MS + 2_000; atMs < RUN_MS; atMs += 1_500) world.schedule(atMs, () => pick(faults)(pick(hosts)))
  world.run(RUN_MS + 2_000)
  return computeMaxExcess(world.decisions, LIMIT)
}

/** Returns the excess when stocks that were just filled are used together with all that lender and reserve hold by then. */
function replayCrowd (requestsBefore: number): number {
  const world = RatesSimulation.create([LENDER, ...BORROWERS], LIMIT, NO_FAULTS, 1, false, [LENDER])
  world.changeLeader(LENDER, 0)
  const sendAll = (hosts: readonly string[], atMs: number, count: number): void => {
    for (const host of hosts) for (let request = 0; request < count; request++) world.schedule(atMs, () => world.sendRequest(host))
  }
  for (let atMs = WARMUP_MS; atMs < WARMUP_MS + 3_000; atMs += 100) sendAll(BORROWERS, atMs, 1)
  const filledAtMs = WARMUP_MS + 3_000
  for (let late = 0; late < requestsBefore; late++) sendAll(BORROWERS, filledAtMs + 30 * late, 1)
  sendAll([LENDER], filledAtMs + STOCK_MS - 20, 200)
  sendAll(BORROWERS, filledAtMs + STOCK_MS - 20, 10)
  world.run(RUN_MS)
  return computeMaxExcess(world.decisions, LIMIT)
}

describe('the stock of a borrower', () => {
  it('spares callers that stay with their hosts every second loan, where sparse requests need one each', () => {
    const close = replayLoad(100, 1)
    const sparse = replayLoad(4 * STOCK_MS, 1)
    expect(close.loansPerRequest).to.be.below(0.5)
    expect(sparse.loansPerRequest).to.be.within(0.75, 1)
    expect([close.refused, sparse.refused]).to.deep.equal([0, 0])
  })

  it('never lets a workspace exceed its limit, however often it is asked for more', () => {
    for (const intervalMs of [5, 20, 50, 100]) expect(replayLoad(intervalMs, 2).over).to.be.at.most(0)
  })

  it('takes up room at its lender while it may be used', () => {
    for (const requestsBefore of [1, 2, 3, 4, 5, 6]) expect(replayCrowd(requestsBefore), `${requestsBefore} requests`).to.be.at.most(0)
  })

  it('never lets it exceed the limit while hosts restart, freeze and are cut off, and lenders and leaders change', () => {
    for (let seed = 1; seed <= 10; seed++) expect(replayFaults(seed), `seed ${seed}`).to.be.at.most(0)
  }).timeout(10_000)

  it('holds what is expected until it ends, and nothing for requests that come rarely', () => {
    const arrivals = [0, 100, 200, 300, 400, 500, 600, 700, 800, 900, 1_000]
    const frequent = arrivals.reduce(recordArrival, createAllowance(LIMIT, 0))
    expect(countStockTokens(frequent)).to.be.within(2, 4)
    expect(countStockTokens(recordArrival(createAllowance(LIMIT, 0), 0))).to.equal(0)
  })

  it('is filled only from what the lender can spare', () => {
    expect(countSpareTokens(3, 80, 80)).to.equal(3)
    expect(countSpareTokens(3, 41, 80)).to.equal(1)
    expect(countSpareTokens(3, 10, 80)).to.equal(0)
  })

  it('is void after its time', () => {
    const stocked = addStock(createAllowance(LIMIT, 0), 2, 1_000)
    expect(takeStockToken(stocked, 1_000 + STOCK_MS)?.stock?.tokens).to.equal(1)
    expect(takeStockToken(stocked, 1_001 + STOCK_MS)).to.equal(undefined)
  })
})

import { expect } from 'chai'
import { RatesSimulation } from '../../test/support/ratessimulation.js'
import { createRandom } from '../../test/support/stepqueue.js'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import { parseDocument } from '../documents/document.js'
import type { RouteRules } from '../requests/messages.js'
import { createAllowance } from './allowance.js'
import { decideAdmission } from './decide.js'
import type { AdmissionMessage } from './messages.js'
import { checkAllowance, createAdmissionShared, type Allowance, type WaitingRequest } from './state.js'
import { computeRetryAfterMs, insertWaiting, splitWaiting } from './waiting.js'

const HOSTS = Array.from({ length: 9 }, (_, index) => `h${index + 1}`)
const NO_FAULTS = { dropped: 0, doubled: 0, late: 0 }
/** Loan requests within 2 s: two per second at the longest backoff, plus those sent before it is reached. */
const MAX_LOANS = 12
/** Renewals of a host without a share in 21 s: the first ones, twice since the simulation begins without demand, and one a second. */
const MAX_RENEWALS = 2 * 10 + 21
const RESTARTS = 20
/** A limit too small for shares: all tokens are lent. */
const SMALL_LIMIT = { rate: 2, burst: 2 }
const BURST_REQUESTS = 30
const BURST_INTERVAL_MS = 10
const LIMIT = { rate: 84, burst: 84 }
const KEY_HASH = 'ab'.repeat(32)
const MOMENT = { monotonicMs: 1_000, wallMs: 0, random: 0.5 }

function createRequest (caller: string, latencyMs?: number, priority?: number, sinceMs = 1_000): WaitingRequest {
  const rules: RouteRules = { group: 'a', action: 'read', maxStalenessMs: 0, idempotent: false, latencyMs, priority }
  return { caller, attempt: 1, rules, sinceMs }
}

function createWaiting (rate: number, ...waiting: readonly WaitingRequest[]): Allowance {
  return { ...createAllowance(LIMIT, 1_000), bucket: { rate, burst: 10, tokens: 0, refilledAtMs: 1_000 }, waiting }
}

function listCallers (requests: readonly WaitingRequest[]): readonly string[] {
  return requests.map(request => request.caller)
}

// Returns the fraction of requests refused within 2 s after all hosts and the leader restarted, at a load relative to the rate.
function runRestart (seed: number, load: number): number {
  const random = createRandom(seed)
  const world = RatesSimulation.create(HOSTS, LIMIT, NO_FAULTS, seed, true)
  world.changeLeader('h1', 0)
  world.schedule(4_000, () => {
    for (const host of HOSTS) world.restart(host)
    world.changeLeader('h2', 100)
  })
  for (let atMs = 4_200; atMs < 6_200; atMs += -Math.log(1 - random()) * 1_000 / (LIMIT.rate * load)) {
    const host = HOSTS[Math.floor(random() * HOSTS.length)]!
    world.schedule(atMs, () => world.sendRequest(host))
  }
  world.run(8_000)
  return world.decisions.filter(decision => !decision.admitted).length / world.decisions.length
}

function computeMeanRefused (load: number): number {
  return Array.from({ length: RESTARTS }, (_, seed) => runRestart(seed + 1, load)).reduce((sum, part) => sum + part, 0) / RESTARTS
}

describe('waiting for a token', () => {
  it('admits load within the rate after all hosts and the leader have restarted with empty buckets', function () {
    const refused = computeMeanRefused(0.8)
    this.test!.title += ` (refused ${(100 * refused).toFixed(2)}%)`
    expect(refused).to.be.below(0.05)
  })

  it('spends the tokens that accrued since the last host started, for callers that reconnect together', function () {
    const refused = computeMeanRefused(1.2)
    this.test!.title += ` (refused ${(100 * refused).toFixed(2)}% at 1.2 times the rate)`
    expect(refused).to.be.below(0.2)
  })

  it('lets a request wait for a token that comes within a fifth of its latency target, and refuses others at once', () => {
    const waiting = [createRequest('soon', 1_000), createRequest('later', 1_000), createRequest('too-late', 1_000)]
    const { kept, refused } = splitWaiting(createWaiting(10, ...waiting), MOMENT)
    expect(listCallers(kept)).to.deep.equal(['soon', 'later'])
    expect(listCallers(refused)).to.deep.equal(['too-late'])
  })

  it('keeps a request that waited for a new leader while the token that the leader announced comes soon', () => {
    const allowance: Allowance = { ...createWaiting(0, createRequest('a', undefined, undefined, 200)), nextMs: 20, nextLoanAtMs: 1_025 }
    expect(listCallers(splitWaiting(allowance, MOMENT).kept)).to.deep.equal(['a'])
    expect(listCallers(splitWaiting({ ...allowance, nextLoanAtMs: 1_300 }, MOMENT).refused)).to.deep.equal(['a'])
  })

  it('refuses at once when neither this host nor the leader has any rate', () => {
    expect(listCallers(splitWaiting(createWaiting(0, createRequest('a')), MOMENT).refused)).to.deep.equal(['a'])
  })

  it('orders by priority, then by remaining time', () => {
    const requests = [createRequest('idle', 500, 2), createRequest('none', 100), createRequest('urgent', 500, 1), createRequest('short', 100, 2)]
    const waiting = requests.reduce<readonly WaitingRequest[]>(insertWaiting, [])
    expect(listCallers(waiting)).to.deep.equal(['urgent', 'short', 'idle', 'none'])
  })

  it('returns a jittered retry-after time behind the requests that are ahead', () => {
    const allowance = createWaiting(10, createRequest('a', 500), createRequest('b', 500))
    expect([0, 0.5].map(random => computeRetryAfterMs(allowance, { ...MOMENT, random }))).to.deep.equal([300, 450])
    expect(computeRetryAfterMs(createWaiting(0), MOMENT)).to.equal(1_500)
  })
})

describe('a refusal after an election', () => {
  // Returns what the host knew of the reserve at each refusal of a burst that follows the first election.
  const refuseBurst = (afterElectionMs: number): ReadonlyArray<string | number | undefined> => {
    const rates = RatesSimulation.create(HOSTS, SMALL_LIMIT, NO_FAULTS, 1, true)
    rates.changeLeader('h1', 0)
    for (let number = 0; number < BURST_REQUESTS; number++) rates.schedule(afterElectionMs + number * BURST_INTERVAL_MS, () => rates.sendRequest('h2'))
    rates.run(afterElectionMs + 1_000)
    return rates.decisions.filter(decision => !decision.admitted).map(decision => decision.reserve)
  }

  it('names the reserve as incomplete while the tokens that a new leader lacks would have admitted it', () => {
    expect(refuseBurst(100)[0]).to.equal('incomplete')
  })

  it('names the reserve as complete once the workspace has exceeded what any leader could lend', () => {
    expect(refuseBurst(867).at(-1)).to.equal('complete')
    expect(refuseBurst(100).at(-1)).to.equal('complete')
  })
})

describe('a host whose leader answers no loan request', () => {
  it('backs off, regardless of the load', () => {
    const rates = RatesSimulation.create(HOSTS, LIMIT, NO_FAULTS, 1, true)
    rates.changeLeader('h1', 0)
    rates.schedule(100, () => rates.delayHost('h1', 2_000))
    for (let atMs = 110; atMs < 2_000; atMs += 5) rates.schedule(atMs, () => rates.sendRequest('h2'))
    rates.run(2_000)
    expect(rates.countSent('shares/wanted', 'h2')).to.be.at.most(MAX_LOANS)
  })
})

describe('a workspace that is spread over too many hosts to be divided', () => {
  const fleet = Array.from({ length: 24 }, (_, index) => `h${index + 1}`)
  const limit = { rate: 20, burst: 20 }
  const secondsMs = 20_000

  const runFleet = (lenders: readonly string[] = [], load = 0.6, slowMs = 100): RatesSimulation => {
    const rates = RatesSimulation.create([...lenders, ...fleet], limit, { ...NO_FAULTS, slowMs }, 1, true, lenders)
    const random = createRandom(1)
    rates.changeLeader(lenders[0] ?? 'h1', 0)
    for (let atMs = 2_000; atMs < secondsMs; atMs += -Math.log(1 - random()) * 1_000 / (limit.rate * load)) {
      const host = fleet[Math.floor(random() * fleet.length)]!
      rates.schedule(atMs, () => rates.sendRequest(host))
    }
    rates.run(secondsMs + 1_000)
    return rates
  }
  const computeRefused = ({ decisions }: RatesSimulation): number => decisions.filter(({ admitted }) => !admitted).length / decisions.length

  it('is served from loans although hosts are short of processor time and answer late', () => {
    expect(computeRefused(runFleet())).to.be.below(0.01)
  })

  it('is served by one lender, which asks the leader for little', function () {
    const lenders = ['l1', 'l2', 'l3', 'l4', 'l5']
    const rates = runFleet(lenders, 0.8, 10)
    const asked = (kind: string): number => [...lenders, ...fleet].reduce((sum, host) => sum + rates.countSent(kind, host), 0)
    this.test!.title += ` (refused ${(100 * computeRefused(rates)).toFixed(2)}%, ${asked('shares/wanted')} loans of the leader for ${rates.decisions.length} requests)`
    expect(computeRefused(rates)).to.be.below(0.02)
    expect(asked('shares/wanted')).to.be.below(rates.decisions.length / 3)
    // One report for each lease, so that no leader waits for shares that a host may hold.
    for (const host of fleet) expect(rates.countSent('shares/asked', host)).to.be.at.most(3)
  })

  it('is served at once after all hosts have restarted, although hosts held shares while the fleet was small', () => {
    const lenders = ['l1', 'l2', 'l3']
    const rates = RatesSimulation.create([...lenders, ...fleet], limit, NO_FAULTS, 1, true)
    rates.changeLeader('l1', 0)
    for (let atMs = 500; atMs < 3_000; atMs += 100) rates.schedule(atMs, () => rates.sendRequest('h1'))
    rates.schedule(3_500, () => rates.setLenders(lenders))
    rates.schedule(30_000, () => {
      for (const host of [...lenders, ...fleet]) rates.restart(host)
      rates.changeLeader('l2', 100)
    })
    for (let atMs = 31_000; atMs < 35_000; atMs += 1_000 / (limit.rate * 0.6)) rates.schedule(atMs, () => rates.sendRequest(fleet[Math.floor(atMs) % fleet.length]!))
    rates.run(36_000)
    const decided = rates.decisions.filter(({ atMs }) => atMs >= 31_000)
    expect(decided.filter(({ admitted }) => !admitted).length / decided.length).to.be.below(0.05)
  })

  it('is served by the leader while its lender does not answer', () => {
    const lenders = ['l1', 'l2']
    const rates = RatesSimulation.create([...lenders, ...fleet], limit, NO_FAULTS, 1, true, lenders)
    rates.changeLeader('l1', 0)
    rates.schedule(3_000, () => lenders.slice(1).forEach(lender => rates.disconnectHost(lender, 60_000)))
    for (let atMs = 14_000; atMs < 24_000; atMs += 250) rates.schedule(atMs, () => rates.sendRequest(fleet[Math.floor(atMs / 250) % fleet.length]!))
    rates.run(26_000)
    expect(computeRefused(rates)).to.be.below(0.05)
  })

  it('is served by hosts that have only borrowed before they lend', () => {
    const [former, next] = [fleet.slice(0, 5), fleet.slice(5, 10)]
    const rates = RatesSimulation.create(['l1', 'l2', 'l3', ...fleet], limit, NO_FAULTS, 1, true, former)
    rates.changeLeader('l1', 0)
    for (let atMs = 2_000; atMs < 20_000; atMs += 1_000 / (limit.rate * 0.6)) rates.schedule(atMs, () => rates.sendRequest(fleet[Math.floor(atMs) % fleet.length]!))
    let wanted = 0
    const countWanted = (): number => fleet.reduce((sum, host) => sum + rates.countSent('shares/wanted', host), 0)
    rates.schedule(8_000, () => rates.setLenders(next))
    rates.schedule(12_000, () => { wanted = countWanted() })
    rates.run(21_000)
    expect(computeRefused(rates)).to.be.below(0.02)
    // From its own share, so the leader is asked for almost nothing.
    expect(countWanted() - wanted).to.be.below(10)
  })

  it('is asked for about once a second by each host, not with each of the frequent first renewals', () => {
    const rates = runFleet()
    for (const host of fleet) expect(rates.countSent('shares/asked', host)).to.be.below(MAX_RENEWALS)
  })
})

describe('an isolated host', () => {
  const document = parseDocument(JSON.stringify({
    service: 'rota',
    owners: ['ana'],
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', rate: 10, burst: 10, group: 'a', keys: [{ id: 'k1', sha256: KEY_HASH }] }],
    routes: [{ name: 'view', action: 'read', latencyMs: 500 }]
  })).unwrapOr(undefined as never)

  it('refuses at once when its own share has no token, even if the leader granted a loan before', () => {
    const slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1', servesWhenIsolated: true }), decide: decideAdmission, checkItem: checkAllowance })
    const take = (message: AdmissionMessage, nowMs: number): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })
    const ask = (caller: string, nowMs: number): readonly Effect[] => take({ kind: 'admission/check-request', caller, attempt: 1, service: 'rota', workspace: 'parish', route: 'view', keyHash: KEY_HASH, action: 'read', inTransaction: false }, nowMs)
    take({ kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document }], askedAtMs: 1_000 }, 1_000)
    take({ kind: 'admission/leader-changed', leader: 'h1', epoch: 1 }, 1_000)
    const loanRequest = ask('c1', 1_010).find((effect): effect is SendPeer => effect.kind === 'peer/send')!.message as unknown as { readonly holder: string, readonly loan: number }
    take({ kind: 'admission/lent', holder: loanRequest.holder, loan: loanRequest.loan, workspace: 'rota/parish', tokens: 1, nextMs: 40 }, 1_012)
    const effects = ask('c2', 5_000)
    expect(effects.map(effect => effect.kind)).to.deep.equal(['loop/tell'])
    expect((effects[0] as Tell).message).to.include({ kind: 'requests/failed', caller: 'c2' })
  })
})

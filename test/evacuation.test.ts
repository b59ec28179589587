/** Operators' orders on a failure domain in a fleet: in time on every host, through cuts and restarts of the control hosts, in simulated time. */
import { expect } from 'chai'
import type { Effect, Tell } from '../src/core/message.js'
import type { DatabaseEntry } from '../src/membership/directory.js'
import type { HostMessage } from '../src/messages.js'
import type { AnswerOperator } from '../src/operations/decide.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

/** Seeds from this one on; by hand: `RUNS=50 SEED=1 npx mocha test/evacuation.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 5)
const DOMAINS = ['a', 'b', 'c']
const ENTRY_HOSTS = 9
const ORDER_AT_MS = 8_000
const ANNOUNCE_EVERY_MS = 300
const CALL_INTERVAL_MS = 500
/** The promised time from the acknowledgement until an order is in force on every host in contact. */
const IN_FORCE_MS = 5_000

const CONTROL = DOMAINS.map((_, index) => `control-${index}`)
const ENTRIES = Array.from({ length: ENTRY_HOSTS }, (_, index) => `entry-${index}`)
const DATABASES = DOMAINS.map((failureDomain, index): DatabaseEntry => ({ kind: 'database', database: `g${index}`, group: 'g', failureDomain, address: `127.0.0.1:${7_000 + index}`, slots: 3, connectionLimit: 10, departing: false, leads: index === 0 }))

/** A fleet whose operators resend an order until it is acknowledged. */
class Fleet {
  readonly simulation: FleetSimulation
  /** What each host knows to be evacuated, and since when. */
  readonly views = new Map<string, { readonly domains: string, readonly sinceMs: number }>()
  readonly acknowledgedAtMs = new Map<string, number>()
  /** Called with each acknowledgement. */
  onAcknowledged: (order: string) => void = () => {}
  #calls = 0

  private constructor (seed: number) {
    const hosts: readonly SimulatedHostParts[] = [
      ...CONTROL.map((name, index) => ({ name, failureDomain: DOMAINS[index]!, control: true })),
      ...ENTRIES.map((name, index) => ({ name, failureDomain: DOMAINS[index % DOMAINS.length]!, control: false }))
    ]
    this.simulation = FleetSimulation.create(hosts, seed, 'kept', (host, effect) => this.#observe(host, effect))
    this.#announce()
  }

  static create (seed: number): Fleet {
    return new Fleet(seed)
  }

  /** Sends an order to one control host after the other until one acknowledges it. */
  sendOrder (name: 'evacuation/begin' | 'evacuation/end', domain: string): void {
    const order = `${name} ${domain}`
    if (this.acknowledgedAtMs.has(order)) return
    const operation = `${order} ${++this.#calls}`
    this.simulation.post(CONTROL[this.#calls % CONTROL.length]!, { kind: 'operations/asked', operation, requestId: operation, command: { name, domain } })
    this.simulation.schedule(CALL_INTERVAL_MS, () => this.sendOrder(name, domain))
  }

  listViews (hosts: readonly string[]): readonly string[] {
    return hosts.map(host => this.views.get(host)?.domains ?? '')
  }

  #announce (): void {
    for (const [index, entry] of DATABASES.entries()) this.simulation.post(CONTROL[index % CONTROL.length]!, { kind: 'membership/announced', entry, term: 0, primary: index === 0 })
    this.simulation.schedule(ANNOUNCE_EVERY_MS, () => this.#announce())
  }

  #observe (host: string, effect: Effect): void {
    if (effect.kind === 'operator/answer') this.#recordAnswer(effect as AnswerOperator)
    const message = effect.kind === 'loop/tell' ? (effect as Tell).message as HostMessage : undefined
    if (message?.kind !== 'transactions/owned-changed') return
    const domains = [...message.evacuated ?? []].sort().join(' ')
    if (this.views.get(host)?.domains !== domains) this.views.set(host, { domains, sinceMs: this.simulation.nowMs })
  }

  #recordAnswer ({ operation, outcome }: AnswerOperator): void {
    const order = operation.slice(0, operation.lastIndexOf(' '))
    if ((outcome as { readonly accepted?: boolean }).accepted !== true || this.acknowledgedAtMs.has(order)) return
    this.acknowledgedAtMs.set(order, this.simulation.nowMs)
    this.onAcknowledged(order)
  }
}

describe('an evacuation in a fleet', () => {
  for (let seed = SEED; seed < SEED + RUNS; seed++) {
    it(`is in force on every host in time, and withdrawn as soon (seed ${seed})`, () => {
      const fleet = Fleet.create(seed)
      fleet.simulation.schedule(ORDER_AT_MS, () => fleet.sendOrder('evacuation/begin', 'a'))
      fleet.simulation.run(ORDER_AT_MS + 2_000)
      const begunAtMs = fleet.acknowledgedAtMs.get('evacuation/begin a')!
      expect(begunAtMs - ORDER_AT_MS).to.be.below(1_000)
      expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['a']))
      expect(Math.max(...[...fleet.views.values()].map(({ sinceMs }) => sinceMs - begunAtMs))).to.be.below(IN_FORCE_MS)
      fleet.sendOrder('evacuation/end', 'a')
      fleet.simulation.run(ORDER_AT_MS + 4_000)
      expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['']))
    })

    it(`stays when all control hosts restart between its acknowledgement and its effect, and again after a withdrawal (seed ${seed})`, () => {
      const fleet = Fleet.create(seed)
      fleet.onAcknowledged = () => { for (const host of CONTROL) fleet.simulation.stop(host, 1_000) }
      fleet.simulation.schedule(ORDER_AT_MS, () => fleet.sendOrder('evacuation/begin', 'b'))
      fleet.simulation.run(ORDER_AT_MS + 9_000)
      const begunAtMs = fleet.acknowledgedAtMs.get('evacuation/begin b')!
      expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['b']))
      expect(Math.max(...ENTRIES.map(host => fleet.views.get(host)!.sinceMs - begunAtMs))).to.be.below(IN_FORCE_MS)
      fleet.sendOrder('evacuation/end', 'b')
      fleet.simulation.run(ORDER_AT_MS + 20_000)
      expect(fleet.acknowledgedAtMs.has('evacuation/end b')).to.equal(true)
      expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['']))
    })

    it(`reaches hosts that were cut off when they are back, and is accepted for the domain that is cut off (seed ${seed})`, () => {
      const fleet = Fleet.create(seed)
      const cut = ENTRIES.filter((_, index) => index % DOMAINS.length === 2)
      const others = [...CONTROL, ...ENTRIES].filter(host => !cut.includes(host) && host !== 'control-2')
      fleet.simulation.schedule(ORDER_AT_MS - 3_000, () => { for (const host of [...cut, 'control-2']) fleet.simulation.setCut(host, others, true) })
      fleet.simulation.schedule(ORDER_AT_MS, () => fleet.sendOrder('evacuation/begin', 'c'))
      fleet.simulation.run(ORDER_AT_MS + 4_000)
      expect(fleet.acknowledgedAtMs.has('evacuation/begin c')).to.equal(true)
      expect(new Set(fleet.listViews(others))).to.deep.equal(new Set(['c']))
      expect(new Set(fleet.listViews(cut))).to.deep.equal(new Set(['']))
      for (const host of [...cut, 'control-2']) fleet.simulation.setCut(host, others, false)
      fleet.simulation.run(ORDER_AT_MS + 4_000 + IN_FORCE_MS)
      expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['c']))
    })
  }

  it('does not let a copy of an order that was held up undo its withdrawal', () => {
    const fleet = Fleet.create(SEED)
    const copy: HostMessage = { kind: 'operations/asked', operation: 'copy 1', requestId: 'copy', command: { name: 'evacuation/begin', domain: 'a' } }
    fleet.simulation.schedule(ORDER_AT_MS, () => {
      fleet.simulation.setCut('control-2', [...CONTROL, ...ENTRIES].filter(host => host !== 'control-2'), true)
      fleet.simulation.post('control-2', copy)
      fleet.sendOrder('evacuation/begin', 'a')
    })
    fleet.simulation.schedule(ORDER_AT_MS + 3_000, () => fleet.sendOrder('evacuation/end', 'a'))
    fleet.simulation.schedule(ORDER_AT_MS + 5_000, () => fleet.simulation.setCut('control-2', [...CONTROL, ...ENTRIES].filter(host => host !== 'control-2'), false))
    fleet.simulation.run(ORDER_AT_MS + 15_000)
    expect(fleet.acknowledgedAtMs.has('evacuation/end a')).to.equal(true)
    expect(new Set(fleet.listViews([...CONTROL, ...ENTRIES]))).to.deep.equal(new Set(['']))
  })
})

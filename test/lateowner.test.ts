/** An owner that is short of processor time costs its databases no primary, in simulated time. */
import { expect } from 'chai'
import type { Effect } from '../src/core/message.js'
import type { ProbeDatabase } from '../src/databases/driver.js'
import type { ServiceDocument } from '../src/documents/document.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

const DOMAINS = ['a', 'b', 'c']
const CONTROL = ['control-0', 'control-1', 'control-2']
const ENTRY_HOSTS = 18
const PRIMARY = 'db-0'
const DATABASES = DOMAINS.map((failureDomain, index) => ({ database: `db-${index}`, failureDomain }))
const ANNOUNCEMENT_INTERVAL_MS = 1_000
const ANSWER_MS = 5
const LATE_FROM_MS = 8_000
const LATE_UNTIL_MS = 14_000
const END_MS = 16_000
/** What a message costs an owner that is short of processor time, so that its heartbeats are seconds late, as on the bench. */
const LATE_COST_MS = 60

const DOCUMENT: ServiceDocument = { service: 'deployment', owners: ['ana'], authorityLeaseMs: 2_700, groups: [{ name: 'g', databases: 3 }], workspaces: [], routes: [] }

/** A fleet with one group, whose databases answer each probe at once. */
class Fleet {
  /** The databases that were appointed, in order. */
  readonly appointed: string[] = []
  /** Probes of the primary since its owner is late. */
  lateProbes = 0
  readonly #fleet: FleetSimulation
  readonly #answersUntilMs: number
  #owner: string | undefined

  /** @param answersUntilMs when the primary ceases to answer. */
  private constructor (answersUntilMs: number) {
    this.#answersUntilMs = answersUntilMs
    const hosts: readonly SimulatedHostParts[] = [
      ...CONTROL.map((name, index) => ({ name, failureDomain: DOMAINS[index]!, control: true })),
      ...Array.from({ length: ENTRY_HOSTS }, (_, index) => ({ name: `entry-${index}`, failureDomain: DOMAINS[index % DOMAINS.length]!, control: false }))
    ]
    this.#fleet = FleetSimulation.create(hosts, 1, 'kept', (host, effect) => this.#observe(host, effect))
  }

  static run (answersUntilMs = Infinity): Fleet {
    const fleet = new Fleet(answersUntilMs)
    fleet.#plan()
    fleet.#fleet.run(END_MS)
    return fleet
  }

  #plan (): void {
    const fleet = this.#fleet
    fleet.schedule(1_500, () => CONTROL.forEach(host => fleet.post(host, { kind: 'operations/asked', operation: `put-${host}`, requestId: 'put', command: { name: 'configuration/replace', version: 1, text: '', document: DOCUMENT } })))
    for (let atMs = 1_000; atMs < END_MS; atMs += ANNOUNCEMENT_INTERVAL_MS) fleet.schedule(atMs, () => this.#announce())
    fleet.schedule(LATE_FROM_MS, () => fleet.setCost(this.#owner!, LATE_COST_MS))
    fleet.schedule(LATE_UNTIL_MS, () => fleet.setCost(this.#owner!))
  }

  #announce (): void {
    for (const { database, failureDomain } of DATABASES) {
      const entry = { kind: 'database', database, group: 'g', failureDomain, address: '127.0.0.1:9', slots: 3, connectionLimit: 20, departing: false, leads: database === PRIMARY } as const
      this.#fleet.post(CONTROL[0]!, { kind: 'membership/announced', entry, term: 1, primary: database === PRIMARY })
    }
  }

  #observe (host: string, effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.appointed.push((effect as Effect & { readonly database: string }).database)
    if (effect.kind !== 'database/probe') return
    const { database, askedAtMs } = effect as ProbeDatabase
    if (database === PRIMARY) this.#recordProbe(host)
    if (database === PRIMARY && this.#fleet.nowMs >= this.#answersUntilMs) return
    const status = { database, answering: true, primary: database === PRIMARY, position: { term: 1, offset: 1 }, fencedTerm: 0 }
    this.#fleet.schedule(ANSWER_MS, () => this.#fleet.post(host, { kind: 'membership/probed', status, askedAtMs }))
  }

  #recordProbe (host: string): void {
    if (this.#fleet.nowMs < LATE_FROM_MS) this.#owner = host
    else this.lateProbes += 1
  }
}

describe('a primary that answers each probe', () => {
  it('is not replaced while its owner is short of processor time', () => {
    const { appointed, lateProbes } = Fleet.run()
    expect(lateProbes).to.be.above(0)
    expect(appointed).to.deep.equal([])
  })

  it('is replaced once it ceases to answer, although its owner is short of processor time', () => {
    const [successor] = Fleet.run(LATE_FROM_MS + 1_000).appointed
    expect(successor).to.be.oneOf(['db-1', 'db-2'])
  })
})

/** The staleness bound: a read sent to a replica never misses a write that is older than the bound. */
import { expect } from 'chai'
import fc from 'fast-check'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Message, Moment, SendPeer, Tell } from '../core/message.js'
import { coversPosition, type LogPosition } from '../core/position.js'
import type { DatabaseEntry, GrantEntry, HostEntry } from '../membership/directory.js'
import type { Target } from '../requests/messages.js'
import { decideRouting } from './decide.js'
import type { RoutingMessage } from './messages.js'
import { addSample, findFreshFloor } from './staleness.js'
import { createRoutingState, type RoutingState } from './state.js'

const RUNS = 1_500
const SEED = 20_261_204
const STEPS_PER_RUN = 400
const STALENESS_MS = 300

const createHost = (host: string, failureDomain: string): HostEntry =>
  ({ kind: 'host', host, incarnation: '1', failureDomain, peers: '', draining: false })
const createDatabase = (database: string, failureDomain: string): DatabaseEntry =>
  ({ kind: 'database', database, group: 'g', failureDomain, address: '', slots: 3, connectionLimit: 20, departing: false })

const HOSTS = [createHost('entry', 'south'), createHost('owner-1', 'north'), createHost('owner-2', 'east')]
const DATABASES = [createDatabase('db-1', 'north'), createDatabase('db-2', 'east'), createDatabase('db-3', 'south')]
const OWNERS: Readonly<Record<string, string>> = { 'db-1': 'owner-1', 'db-2': 'owner-2', 'db-3': 'entry' }

interface AcknowledgedWrite {
  readonly position: LogPosition
  readonly atMs: number
}

/** Simulates three hosts with unrelated clocks, delayed links, and a primary that keeps answering after it was replaced. */
class StalenessSimulation {
  nowMs = 1_000
  readonly #random: (below: number) => number
  readonly #states = new Map(HOSTS.map(({ host, failureDomain }) => [host, createRoutingState(host, failureDomain)]))
  readonly #clocks: ReadonlyMap<string, number>
  #inFlight: ReadonlyArray<{ readonly atMs: number, readonly deliver: () => void }> = []
  readonly #positions = new Map<string, LogPosition>(DATABASES.map(({ database }) => [database, { term: 1, offset: 0 }]))
  #grant: GrantEntry = { kind: 'grant', group: 'g', term: 1, primary: 'db-1', members: ['db-1', 'db-2', 'db-3'] }
  #entryGrant: GrantEntry = this.#grant
  readonly writes: AcknowledgedWrite[] = []
  servedByReplica = 0
  /** The former primary while it does not follow the new one yet. */
  #deposed: string | undefined
  /** The entry host is partitioned from the leader until then. */
  #partitionedUntilMs = 0

  constructor (seed: number) {
    const generator = xoroshiro128plus(seed)
    this.#random = below => uniformInt(generator, 0, below - 1)
    this.#clocks = new Map(HOSTS.map(({ host }, index) => [host, index * 777_000 + this.#random(1_000)]))
    for (const { host } of HOSTS) this.#changeDirectory(host, this.#grant)
  }

  run (): void {
    for (let step = 0; step < STEPS_PER_RUN; step++) {
      this.nowMs += this.#random(12)
      this.#deliverDue()
      this.#runStep(this.#random(10))
    }
  }

  #runStep (choice: number): void {
    switch (choice) {
      case 0: return this.#write()
      case 1: return this.#replicate()
      case 2:
      case 3: return this.#probe(DATABASES[this.#random(3)]!.database)
      case 4:
      case 5: return this.#decide('entry', { kind: 'routing/ask-due' })
      case 6: return this.#askLeader()
      case 7: return this.#random(20) === 0 ? this.#replacePrimary() : undefined
      case 8: return this.#random(20) === 0 ? this.#disconnectEntry() : undefined
      default: return this.#read()
    }
  }

  #write (): void {
    const primary = this.#grant.primary!
    const position: LogPosition = { term: this.#grant.term, offset: this.#positions.get(primary)!.offset + 1 }
    this.#positions.set(primary, position)
    this.writes.push({ position, atMs: this.nowMs })
  }

  #replicate (): void {
    const replica = DATABASES[this.#random(3)]!.database
    if (replica === this.#deposed && this.#random(20) > 0) return
    if (replica === this.#deposed) this.#deposed = undefined
    if (this.#random(3) > 0) this.#positions.set(replica, this.#positions.get(this.#grant.primary!)!)
  }

  // The old primary keeps its term and continues to answer its owner.
  #replacePrimary (): void {
    const next = this.#grant.primary === 'db-1' ? 'db-2' : 'db-1'
    const term = this.#grant.term + 1
    this.#deposed = this.#grant.primary
    this.#positions.set(next, { term, offset: this.#positions.get(this.#grant.primary!)!.offset + 1 })
    this.#grant = { ...this.#grant, term, primary: next }
    this.#changeDirectory(OWNERS[next]!, this.#grant)
  }

  #disconnectEntry (): void {
    this.#partitionedUntilMs = this.nowMs + 200 + this.#random(1_500)
  }

  #probe (database: string): void {
    const owner = OWNERS[database]!
    const askedAtMs = this.#readClock(owner)
    const position = this.#positions.get(database)!
    this.#delay(() => this.#decide(owner, { kind: 'routing/status-read', askedAtMs, status: { database, answering: true, primary: false, position, fencedTerm: 0 } }))
  }

  // The entry host asks the leader; the answer carries the grant at the time of answering.
  #askLeader (): void {
    if (this.nowMs < this.#partitionedUntilMs) return
    const askedAtMs = this.#readClock('entry')
    this.#delay(() => {
      const grant = this.#grant
      this.#delay(() => {
        if (grant.term < this.#entryGrant.term) return
        if (grant !== this.#entryGrant) this.#changeDirectory('entry', grant)
        this.#entryGrant = grant
        this.#decide('entry', { kind: 'routing/grants-confirmed', askedAtMs })
      })
    })
  }

  #read (): void {
    const rules = { group: 'g', action: 'read', maxStalenessMs: STALENESS_MS, idempotent: false } as const
    this.#decide('entry', { kind: 'routing/choose', caller: 'c', attempt: 1, rules, seen: { term: 0, offset: 0 }, avoid: [] })
  }

  checkTarget (target: Target): void {
    if (target.purpose !== 'replica') return
    this.servedByReplica += 1
    const sinceMs = this.nowMs - STALENESS_MS
    const needed = this.writes.filter(write => write.atMs < sinceMs).at(-1)
    if (needed !== undefined) expect(coversPosition(target.floor, needed.position), `floor ${JSON.stringify(target.floor)} does not cover ${JSON.stringify(needed)}`).to.equal(true)
  }

  #changeDirectory (host: string, grant: GrantEntry): void {
    this.#decide(host, { kind: 'routing/directory-changed', hosts: HOSTS, databases: DATABASES, owners: new Map(Object.entries(OWNERS)), grants: [grant] })
  }

  #decide (host: string, message: RoutingMessage): void {
    const moment: Moment = { monotonicMs: this.#readClock(host), wallMs: 0, random: 0 }
    const step = decideRouting(this.#states.get(host) as RoutingState, message, moment)
    this.#states.set(host, step.state)
    for (const effect of step.effects) {
      if (effect.kind === 'peer/send') this.#send(host, effect)
      if (effect.kind === 'loop/tell' && host === 'entry') this.#checkAnswer((effect as Tell).message)
    }
  }

  #checkAnswer (message: Message): void {
    if (message.kind === 'requests/routed') this.checkTarget((message as unknown as { target: Target }).target)
  }

  #send (from: string, effect: SendPeer): void {
    if (this.#random(10) === 0) return
    this.#delay(() => this.#decide(effect.to, { ...effect.message, from } as RoutingMessage))
  }

  #delay (deliver: () => void): void {
    this.#inFlight = [...this.#inFlight, { atMs: this.nowMs + this.#random(60), deliver }]
  }

  #deliverDue (): void {
    const due = this.#inFlight.filter(message => message.atMs <= this.nowMs)
    this.#inFlight = this.#inFlight.filter(message => message.atMs > this.nowMs)
    for (const message of due) message.deliver()
  }

  #readClock (host: string): number {
    return this.nowMs + this.#clocks.get(host)!
  }
}

describe('the staleness bound', () => {
  it('is the first position whose read began late enough', () => {
    const samples = [10, 20, 30].reduce<ReturnType<typeof addSample>>((known, askedAtMs) => addSample(known, { database: 'db-1', askedAtMs, position: { term: 1, offset: askedAtMs } }), [])
    expect(findFreshFloor(samples, 15)).to.deep.equal({ term: 1, offset: 20 })
    expect(findFreshFloor(samples, 31)).to.equal(undefined)
  })

  it('ignores positions of replicas, even in the term of the primary', () => {
    const simulation = new StalenessSimulation(748_385_619)
    simulation.run()
    expect(simulation.servedByReplica).to.be.greaterThan(0)
  })

  it('holds with delayed links, unrelated clocks, and a replaced primary that keeps answering', () => {
    let served = 0
    fc.assert(fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), seed => {
      const simulation = new StalenessSimulation(seed)
      simulation.run()
      served += simulation.servedByReplica
    }), { numRuns: RUNS, seed: SEED })
    expect(served).to.be.greaterThan(RUNS)
  }).timeout(120_000)
})

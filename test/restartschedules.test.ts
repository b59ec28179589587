/** Databases that start again under their identity, with late announcements, wrong clocks and restarts of control hosts, in simulated time. */
import { expect } from 'chai'
import type { Effect, Message, Tell } from '../src/core/message.js'
import type { ProbeDatabase } from '../src/databases/driver.js'
import type { ServiceDocument } from '../src/documents/document.js'
import type { DatabaseEntry, GrantEntry } from '../src/membership/directory.js'
import type { HostMessage } from '../src/messages.js'
import type { AppointPrimary } from '../src/succession/state.js'
import { FleetSimulation } from './support/fleetsimulation.js'

/** Seeds from this one on; by hand: `RUNS=2000 SEED=1 npx mocha test/restartschedules.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 30)
const DOMAINS = ['a', 'b', 'c'] as const
const CONTROL = DOMAINS.map((_, index) => `control-${index}`)
const FAULTS_FROM_MS = 5_000
const FAULTS_UNTIL_MS = 25_000
/** The longest delay of an announcement, a wrong clock, a change of leader and a promotion together take less. */
const SETTLE_MS = 15_000
const STEP_MS = 100
const ANNOUNCEMENT_INTERVAL_MS = 300
const MAX_LATE_MS = 2_500
const CLOCK_ERROR_MS = 5_000
const CALL_MS = 20
/** How long after its start a control host is surely in contact with the leader. */
const CONTACT_MS = 2_000
const PROMOTION_MS = 300
const PROBE_MS = 2
const PROBE_TIMEOUT_MS = 500
const DOCUMENT: ServiceDocument = {
  service: 'deployment',
  owners: ['ana'],
  authorityLeaseMs: 5_000,
  groups: [{ name: 'g', databases: 3 }],
  workspaces: [],
  routes: [{ name: 'r', access: 'open', action: 'read', maxStalenessMs: 0, idempotent: false, group: 'g' }]
}

/** An instance and its present start. */
interface SimulatedInstance {
  readonly index: number
  /** The number of the start; what an earlier one scheduled is dropped. */
  start: number
  startedAtMs: number
  sequence: number
  target: string
  running: boolean
  departing: boolean
  withdrawn: boolean
}

/** One schedule. */
class Schedule {
  readonly violations: string[] = []
  readonly #fleet: FleetSimulation
  readonly #instances: readonly SimulatedInstance[]
  readonly #databases = new Map<string, readonly DatabaseEntry[]>()
  readonly #grants = new Map<string, readonly GrantEntry[]>()
  #primary = 0
  #term = 1
  #offset = 100
  #highestFence = 0
  readonly #restartedAtMs = new Map<string, number>()

  private constructor (seed: number) {
    const hosts = DOMAINS.flatMap((failureDomain, index) => [{ name: CONTROL[index]!, failureDomain, control: true }, { name: `entry-${index}`, failureDomain, control: false }])
    this.#fleet = FleetSimulation.create(hosts, seed, 'kept', (host, effect) => this.#observe(host, effect))
    this.#instances = DOMAINS.map((_, index) => ({ index, start: 0, startedAtMs: 0, sequence: 0, target: this.#drawControl(), running: false, departing: false, withdrawn: false }))
  }

  static create (seed: number): Schedule {
    return new Schedule(seed)
  }

  run (): void {
    const fleet = this.#fleet
    fleet.schedule(1_500, () => fleet.post(CONTROL[0]!, { kind: 'operations/asked', operation: 'put', requestId: 'put', command: { name: 'configuration/replace', version: 1, text: '', document: DOCUMENT } }))
    fleet.run(1_000)
    for (const instance of this.#instances) this.#start(instance)
    for (let atMs = FAULTS_FROM_MS; atMs < FAULTS_UNTIL_MS; atMs += STEP_MS) fleet.schedule(atMs - fleet.nowMs, () => this.#drawFault())
    const leaving = this.#instances[Math.floor(fleet.random() * this.#instances.length)]!
    fleet.schedule(FAULTS_UNTIL_MS - 2_000 * fleet.random() - fleet.nowMs, () => this.#withdraw(leaving))
    fleet.run(FAULTS_UNTIL_MS + SETTLE_MS)
    this.#check()
  }

  #drawControl (): string {
    return CONTROL[Math.floor(this.#fleet.random() * CONTROL.length)]!
  }

  #drawFault (): void {
    const draw = this.#fleet.random()
    const instance = this.#instances[Math.floor(this.#fleet.random() * this.#instances.length)]!
    if (draw < 0.04 && instance.running && !instance.withdrawn) this.#restart(instance)
    else if (draw < 0.06) this.#restartControl(this.#drawControl())
    else if (draw < 0.08) instance.target = this.#drawControl()
  }

  #restartControl (host: string): void {
    this.#restartedAtMs.set(host, this.#fleet.nowMs)
    this.#fleet.restart(host)
  }

  #start (instance: SimulatedInstance): void {
    const { random, nowMs } = this.#fleet
    instance.start += 1
    instance.startedAtMs = Math.round(1_000_000 + nowMs + (random() < 0.2 ? (random() - 0.5) * 2 * CLOCK_ERROR_MS : 0))
    instance.sequence = 0
    instance.running = true
    instance.departing = false
    this.#announce(instance, instance.start)
  }

  #restart (instance: SimulatedInstance): void {
    instance.running = false
    this.#fleet.schedule(50 + this.#fleet.random() * 500, () => this.#start(instance))
  }

  /** A database says that it departs, or withdraws itself and goes on answering. */
  #withdraw (instance: SimulatedInstance): void {
    if (!instance.running) this.#start(instance)
    if (this.#fleet.random() < 0.5) instance.departing = true
    else {
      instance.withdrawn = true
      const { database, incarnation } = this.#createEntry(instance)
      // A host that is not in contact with the leader acknowledges nothing.
      const inContact = CONTROL.find(host => this.#fleet.nowMs - (this.#restartedAtMs.get(host) ?? 0) > CONTACT_MS) ?? CONTROL[0]!
      this.#fleet.post(inContact, { kind: 'membership/withdrawn', database, incarnation })
    }
  }

  #createEntry ({ index, startedAtMs, departing }: SimulatedInstance): DatabaseEntry {
    const instance = `i-${index}`
    return { kind: 'database', database: `${instance}~${startedAtMs}`, incarnation: { instance, startedAtMs }, group: 'g', failureDomain: DOMAINS[index]!, address: `10.0.0.${index + 1}:1`, slots: 3, connectionLimit: 9, departing, leads: this.#primary === index }
  }

  #announce (instance: SimulatedInstance, start: number): void {
    if (instance.start !== start || !instance.running || instance.withdrawn) return
    instance.sequence += 1
    const { random } = this.#fleet
    const entry = this.#createEntry(instance)
    const message: HostMessage = { kind: 'membership/announced', term: 0, primary: entry.leads === true, entry, order: { startedAtMs: instance.startedAtMs, sequence: instance.sequence } }
    const { target } = instance
    this.#fleet.schedule(random() < 0.05 ? random() * MAX_LATE_MS : 1, () => this.#fleet.post(target, message))
    this.#fleet.schedule(ANNOUNCEMENT_INTERVAL_MS, () => this.#announce(instance, start))
  }

  #observe (host: string, effect: Effect): void {
    if (effect.kind === 'database/probe') return this.#answerProbe(host, effect as ProbeDatabase)
    if (effect.kind === 'promotion/appoint') return this.#promote(host, effect as AppointPrimary)
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell<Message>
    if (message.kind === 'routing/directory-changed') this.#recordDirectory(host, message as Extract<HostMessage, { kind: 'routing/directory-changed' }>)
  }

  #recordDirectory (host: string, { databases, grants }: Extract<HostMessage, { kind: 'routing/directory-changed' }>): void {
    this.#databases.set(host, databases)
    this.#grants.set(host, grants)
    const instances = databases.map(({ incarnation }) => incarnation?.instance)
    if (new Set(instances).size < instances.length) this.violations.push(`at ${this.#fleet.nowMs} ms, ${host} knows ${databases.map(({ database }) => database).join(', ')}`)
  }

  // Whoever asks by the instance reaches its present start.
  #answerProbe (host: string, { database, askedAtMs }: ProbeDatabase): void {
    const instance = this.#findInstance(database)
    const answering = instance.running
    this.#fleet.schedule(answering ? PROBE_MS : PROBE_TIMEOUT_MS, () => this.#fleet.post(host, {
      kind: 'membership/probed',
      askedAtMs,
      status: { database, answering, primary: answering && this.#primary === instance.index, position: answering ? { term: this.#term, offset: this.#offset } : { term: 0, offset: 0 }, fencedTerm: 0 }
    }))
  }

  #findInstance (database: string): SimulatedInstance {
    return this.#instances[Number(/^i-(\d)/.exec(database)![1])]!
  }

  #promote (host: string, { group, database, appointment, fence }: AppointPrimary): void {
    this.#fleet.schedule(CALL_MS, () => {
      const instance = this.#findInstance(database)
      const done = fence >= this.#highestFence && instance.running
      this.#highestFence = Math.max(fence, this.#highestFence)
      if (done) this.#fleet.schedule(PROMOTION_MS, () => this.#changePrimary(instance))
      this.#fleet.post(host, { kind: 'succession/answered', group, appointment, outcome: done ? 'done' : 'refused' })
    })
  }

  #changePrimary ({ index, running }: SimulatedInstance): void {
    if (!running || this.#primary === index) return
    this.#primary = index
    this.#term += 1
    this.#offset += 1
  }

  #check (): void {
    const present = this.#instances.filter(({ withdrawn }) => !withdrawn).map(instance => this.#createEntry(instance))
    const departing = present.filter(entry => entry.departing).map(({ database }) => database)
    for (const [host, databases] of this.#databases) {
      expect(databases.map(({ database }) => database), `the databases known to ${host}`).to.have.members(present.map(({ database }) => database))
      expect(databases.filter(entry => entry.departing).map(({ database }) => database), `the departing databases known to ${host}`).to.deep.equal(departing)
      const primary = this.#instances[this.#primary]!
      expect(this.#grants.get(host)?.find(({ group }) => group === 'g')?.primary, `the primary known to ${host}`).to.equal(this.#createEntry(primary).database)
      expect(primary.departing || primary.withdrawn, 'the primary departs').to.equal(false)
    }
  }
}

describe('databases that start again under their identity, in random schedules', () => {
  it(`are known to all hosts by their last start alone (${RUNS} seeds from ${SEED})`, () => {
    const failures: string[] = []
    for (let seed = SEED; seed < SEED + RUNS; seed++) {
      const schedule = Schedule.create(seed)
      try {
        schedule.run()
      } catch (error) {
        schedule.violations.push((error as Error).message)
      }
      if (schedule.violations.length > 0) failures.push(`seed ${seed}: ${schedule.violations.join('; ')}`)
    }
    expect(failures).to.deep.equal([])
  }).timeout(600_000)
})

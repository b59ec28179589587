/** A host in contact with the control hosts applies no configuration that was replaced long ago, in simulated time. */
import { expect } from 'chai'
import type { Effect, Tell } from '../src/core/message.js'
import type { ServiceDocument } from '../src/documents/document.js'
import type { HostMessage } from '../src/messages.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

/** Seeds from this one on; by hand: `RUNS=2000 SEED=1 npx mocha test/staleconfiguration.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 40)
/** How long after its acknowledgement a version has to be in force on every host that is in contact. */
const IN_FORCE_MS = 3_000
/** How long a host has to have been in contact for the bound to hold. */
const CONTACT_MS = 4_000
/** How long a host applies a document without a confirmation. */
const AUTHORITY_LEASE_MS = 2_700
const FIRST_CHANGE_MS = 4_000
const END_MS = 18_000
const PROBE_INTERVAL_MS = 150
/** How long an operator waits for an answer before it calls another host. */
const OPERATOR_TIMEOUT_MS = 1_000
const ENTRY_HOSTS = 18
const KEY_HASH = 'ab'.repeat(32)
const SERVICE = 'deployment'

/** What a host did with a request. */
type Verdict = 'admitted' | 'unknown-route' | 'no-authority' | 'other'

interface Probe {
  readonly host: string
  readonly route: string
  readonly sentAtMs: number
}

interface Cut {
  readonly host: string
  readonly fromMs: number
  readonly untilMs: number
}

// Version v has the routes add1 to add{v}, and drop{v} and all later ones.
function createDocument (version: number): ServiceDocument {
  const names = ['always', ...Array.from({ length: version }, (_, index) => `add${index + 1}`), ...Array.from({ length: 60 - version }, (_, index) => `drop${version + index}`)]
  return {
    service: SERVICE,
    owners: ['ana'],
    authorityLeaseMs: AUTHORITY_LEASE_MS,
    groups: [{ name: 'g', databases: 1 }],
    workspaces: [{ name: 'parish', rate: 1_000_000, burst: 1_000_000, group: 'g', keys: [{ id: 'k', sha256: KEY_HASH }] }],
    routes: names.map((name, index) => ({ name, access: index % 2 === 0 ? 'keyed' : 'open', action: 'read', maxStalenessMs: 0, idempotent: false, group: 'g' }))
  }
}

/** One schedule of changes, hosts that are short of processor time, suspended leaders and cuts. */
class Schedule {
  readonly violations: string[] = []
  readonly verdicts = new Map<Verdict, number>()
  /** Requests at hosts that had been cut off for long, by what was done with them. */
  readonly isolatedVerdicts = new Map<Verdict, number>()
  readonly #fleet: FleetSimulation
  readonly #control: readonly string[]
  readonly #entries: readonly string[]
  readonly #ackedAtMs: number[] = []
  readonly #probes = new Map<string, Probe>()
  readonly #operations = new Map<string, number>()
  readonly #cuts: Cut[] = []
  #leader = 'control-0'
  #diskLost = false
  #version = 1
  #count = 0

  private constructor (seed: number, authority: 'kept' | 'leased') {
    const domains = ['a', 'b', 'c']
    const controlCount = seed % 2 === 0 ? 3 : 5
    const hosts: SimulatedHostParts[] = [
      ...Array.from({ length: controlCount }, (_, index) => ({ name: `control-${index}`, failureDomain: domains[index % 3]!, control: true })),
      ...Array.from({ length: ENTRY_HOSTS }, (_, index) => ({ name: `entry-${index}`, failureDomain: domains[index % 3]!, control: false }))
    ]
    this.#control = hosts.filter(host => host.control).map(host => host.name)
    this.#entries = hosts.filter(host => !host.control).map(host => host.name)
    this.#fleet = FleetSimulation.create(hosts, seed, authority, (host, effect) => this.#observe(host, effect))
  }

  static run (seed: number, authority: 'kept' | 'leased' = 'kept'): Schedule {
    const schedule = new Schedule(seed, authority)
    schedule.#plan()
    schedule.#fleet.run(END_MS)
    return schedule
  }

  #plan (): void {
    const fleet = this.#fleet
    fleet.schedule(1_500, () => this.#replace(1))
    for (let atMs = FIRST_CHANGE_MS; atMs < END_MS - IN_FORCE_MS; atMs += 500 + fleet.random() * 2_500) fleet.schedule(atMs, () => this.#replace(++this.#version))
    for (let atMs = 6_000; atMs < END_MS; atMs += PROBE_INTERVAL_MS) fleet.schedule(atMs, () => this.#probe())
    for (let atMs = FIRST_CHANGE_MS; atMs < END_MS - 4_000; atMs += 1_000 + fleet.random() * 3_000) fleet.schedule(atMs, () => this.#executeFault())
  }

  #executeFault (): void {
    const { random } = this.#fleet
    const forMs = 1_000 + random() * 5_000
    const kind = random()
    if (kind < 0.35) this.#throttle(this.#leader, forMs)
    else if (kind < 0.5) this.#throttle(this.#pick(this.#control), forMs)
    else if (kind < 0.7) for (let count = 0; count < 4; count++) this.#throttle(this.#pick(this.#entries), forMs)
    else if (kind < 0.8) for (const host of this.#control) this.#throttle(host, forMs)
    else if (kind < 0.85) this.#fleet.hold(this.#leader, forMs / 2)
    else if (kind < 0.92) this.#restartControl(random())
    else this.#cutOff(this.#pick(this.#entries), forMs + 3_000)
  }

  // Of the disks, at most one is lost, as many as the smaller group bears.
  #restartControl (kind: number): void {
    if (kind < 0.3) for (const host of this.#control) this.#fleet.restart(host)
    else if (kind < 0.6) this.#fleet.restart(this.#leader)
    else if (kind < 0.8) this.#fleet.restart(this.#pick(this.#control))
    else {
      this.#fleet.restart(this.#pick(this.#control), !this.#diskLost)
      this.#diskLost = true
    }
  }

  #throttle (host: string, forMs: number): void {
    this.#fleet.setCost(host, host.startsWith('control') ? 1 + this.#fleet.random() * 40 : 5 + this.#fleet.random() * 60)
    this.#fleet.schedule(forMs, () => this.#fleet.setCost(host))
  }

  #cutOff (host: string, forMs: number): void {
    const { nowMs } = this.#fleet
    this.#cuts.push({ host, fromMs: nowMs, untilMs: nowMs + forMs })
    this.#fleet.setCut(host, this.#control, true)
    this.#fleet.schedule(forMs, () => this.#fleet.setCut(host, this.#control, false))
  }

  #pick (hosts: readonly string[]): string {
    return hosts[Math.floor(this.#fleet.random() * hosts.length)]!
  }

  // An operator calls one control host after the other until one acknowledges.
  #replace (version: number): void {
    if (this.#ackedAtMs[version] !== undefined) return
    const operation = `put-${++this.#count}`
    this.#operations.set(operation, version)
    this.#fleet.post(this.#pick(this.#control), { kind: 'operations/asked', operation, requestId: operation, command: { name: 'configuration/replace', version, text: '', document: createDocument(version) } })
    this.#fleet.schedule(OPERATOR_TIMEOUT_MS, () => this.#replace(version))
  }

  // One request for a route that the newest acknowledged version added, and one for a route that it dropped.
  #probe (): void {
    const acked = this.#findAcked(Infinity)
    const host = this.#pick(this.#entries)
    for (const route of [`add${acked}`, `drop${Math.max(0, acked - 1)}`]) {
      const caller = `probe-${++this.#count}`
      this.#probes.set(caller, { host, route, sentAtMs: this.#fleet.nowMs })
      this.#fleet.post(host, { kind: 'admission/check-request', caller, attempt: 1, service: SERVICE, workspace: 'parish', keyHash: KEY_HASH, route, action: 'read', inTransaction: false })
    }
  }

  #findAcked (beforeMs: number): number {
    return Math.max(0, ...this.#ackedAtMs.flatMap((atMs, version) => (atMs <= beforeMs ? [version] : [])))
  }

  #observe (host: string, effect: Effect): void {
    if (effect.kind === 'operator/answer') return this.#acknowledge(effect as unknown as { readonly operation: string, readonly outcome: { readonly error?: string } })
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell<HostMessage>
    if (message.kind === 'membership/leader-changed' && message.leader === host) this.#leader = host
    if (message.kind === 'requests/admitted') this.#evaluate(message.caller, 'admitted')
    if (message.kind === 'requests/failed') this.#evaluate(message.caller, message.failure.code === 'unknown-route' || message.failure.code === 'no-authority' ? message.failure.code : 'other')
  }

  #acknowledge ({ operation, outcome }: { readonly operation: string, readonly outcome: { readonly error?: string } }): void {
    const version = this.#operations.get(operation)
    if (version !== undefined && outcome.error === undefined) this.#ackedAtMs[version] ??= this.#fleet.nowMs
  }

  #evaluate (caller: string, verdict: Verdict): void {
    const probe = this.#probes.get(caller)
    if (probe === undefined) return
    this.#probes.delete(caller)
    const { host, route, sentAtMs } = probe
    const cut = this.#cuts.find(other => other.host === host && sentAtMs >= other.fromMs && this.#fleet.nowMs < other.untilMs + CONTACT_MS)
    if (cut !== undefined && sentAtMs < cut.untilMs && sentAtMs - cut.fromMs > CONTACT_MS) this.isolatedVerdicts.set(verdict, (this.isolatedVerdicts.get(verdict) ?? 0) + 1)
    if (cut !== undefined) return
    this.verdicts.set(verdict, (this.verdicts.get(verdict) ?? 0) + 1)
    const inForce = this.#findAcked(sentAtMs - IN_FORCE_MS)
    const number = Number(/\d+/.exec(route)![0])
    const isRefusedAsBefore = route.startsWith('add') && number <= inForce && verdict === 'unknown-route'
    const isAdmittedAsBefore = route.startsWith('drop') && number < inForce && verdict === 'admitted'
    if (isRefusedAsBefore || isAdmittedAsBefore) this.violations.push(`${route} was ${verdict} by ${host} at ${Math.round(this.#fleet.nowMs)} ms, with version ${inForce} acknowledged at ${Math.round(this.#ackedAtMs[inForce]!)} ms`)
  }
}

function countVerdict (schedules: readonly Schedule[], verdict: Verdict, isolated: boolean): number {
  return schedules.reduce((sum, schedule) => sum + ((isolated ? schedule.isolatedVerdicts : schedule.verdicts).get(verdict) ?? 0), 0)
}

describe('a configuration that was replaced', () => {
  it('is applied by no host in contact with the control hosts, however short of processor time hosts and leaders are', function () {
    this.timeout(RUNS * 10_000)
    const schedules = Array.from({ length: RUNS }, (_, index) => Schedule.run(SEED + index))
    const broken = schedules.flatMap(({ violations }, index) => (violations.length === 0 ? [] : [`seed ${SEED + index}: ${violations.length}, first ${violations[0]!}`]))
    expect(broken).to.deep.equal([])
    expect(countVerdict(schedules, 'admitted', false)).to.be.greaterThan(0)
    // Hosts that are cut off go on by what they know.
    expect(countVerdict(schedules, 'no-authority', true)).to.equal(0)
  })
})

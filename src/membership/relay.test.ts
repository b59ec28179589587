/** Relayed heartbeats: the membership slices of a fleet over links with delays, in simulated time. */
import { expect } from 'chai'
import { createRandom } from '../../test/support/stepqueue.js'
import type { Effect, SendPeer, SetTimer, Tell } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import { decideMembership } from './decide.js'
import { listEntries } from './directory.js'
import type { MembershipMessage } from './messages.js'
import { createMembershipState, type MembershipState } from './state.js'

const DOMAINS = ['a', 'b', 'c', 'd', 'e']
const LEADER = 'control-0'
const SECOND_MS = 1_000
/** Oldest confirmation that a host may hold at any time; beyond it a host counts as isolated. */
const MAX_CONFIRMATION_AGE_MS = 700
/** Heartbeats of four relays and one leader, their answers being counted apart: ten a second each. */
const MAX_RELAYS_MESSAGES = 50
/** Hosts choose among three control hosts by hash, so one gets more than a third of them. */
const MAX_SEED_SPREAD = 20
/** Time within which hosts must be confirmed again after their relay, or relay and leader, failed. */
const RECOVERY_MS = 3_000

interface SimulatedHost {
  state: MembershipState
  confirmedAtMs: number
  readonly timers: Map<string, number>
  down: boolean
}

/** Hosts that run the real decisions of membership; links, timers and the log's leader are simulated. */
class FleetSimulation {
  readonly hosts = new Map<string, SimulatedHost>()
  /** Messages received, by receiving host and kind. */
  readonly received = new Map<string, number>()
  readonly #sent = new Map<string, number>()
  readonly #random = createRandom(1)
  #steps: Array<{ readonly atMs: number, readonly run: () => void }> = []
  #nowMs = 0
  #timers = 0

  private constructor () {}

  static create (entryHosts: number): FleetSimulation {
    const fleet = new FleetSimulation()
    const control = DOMAINS.map((_, index) => `control-${index}`)
    const names = [...control, ...Array.from({ length: entryHosts }, (_, index) => `entry-${index}`)]
    for (const [index, host] of names.entries()) {
      fleet.hosts.set(host, { state: createMembershipState(), confirmedAtMs: -Infinity, timers: new Map(), down: false })
      const failureDomain = DOMAINS[index % DOMAINS.length]!
      fleet.schedule(index, () => fleet.handle(host, { kind: 'membership/started', self: { kind: 'host', host, incarnation: '1', failureDomain, peers: host, draining: false, control: control.includes(host), apart: control.includes(host) }, control: control.slice(0, 3) }))
    }
    fleet.schedule(100, () => fleet.lead(LEADER, 1))
    return fleet
  }

  /** Makes a host the leader; the control hosts learn of it from their log. */
  lead (leader: string, epoch: number): void {
    for (const [host, { down }] of this.hosts) if (host.startsWith('control') && !down) this.handle(host, { kind: 'membership/leader-changed', leader, epoch })
    this.handle(leader, { kind: 'membership/lease-extended', untilMs: Infinity })
  }

  schedule (afterMs: number, run: () => void): void {
    this.#steps.push({ atMs: this.#nowMs + afterMs, run })
  }

  run (untilMs: number): void {
    while (true) {
      const due = this.#steps.filter(step => step.atMs <= untilMs).sort((a, b) => a.atMs - b.atMs)
      if (due.length === 0) break
      const turnEndsMs = due[0]!.atMs + 1
      const batch = due.filter(step => step.atMs < turnEndsMs)
      this.#steps = this.#steps.filter(step => step.atMs >= turnEndsMs)
      for (const step of batch) {
        this.#nowMs = step.atMs
        step.run()
      }
    }
    this.#nowMs = untilMs
  }

  handle (host: string, message: MembershipMessage): void {
    const simulated = this.hosts.get(host)!
    if (simulated.down) return
    const { state, effects } = decideMembership(simulated.state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0 })
    simulated.state = state
    for (const effect of effects) this.#execute(host, simulated, effect)
  }

  /** The age of the oldest confirmation among the hosts that run. */
  findOldestAgeMs (): number {
    return Math.max(...[...this.hosts.values()].filter(host => !host.down).map(host => this.#nowMs - host.confirmedAtMs))
  }

  countSent (from: string, to: string): number {
    return this.#sent.get(`${from} ${to}`) ?? 0
  }

  #execute (host: string, simulated: SimulatedHost, effect: Effect): void {
    if (effect.kind === 'peer/send') return this.#send(host, effect as SendPeer)
    if (effect.kind === 'timer/set') return this.#setTimer(host, simulated, effect as SetTimer)
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell<HostMessage>
    if (message.kind === 'requests/grants-confirmed') simulated.confirmedAtMs = Math.max(simulated.confirmedAtMs, message.askedAtMs)
  }

  #send (from: string, { to, message }: SendPeer): void {
    this.#sent.set(`${from} ${to}`, this.countSent(from, to) + 1)
    this.schedule(0.3 + this.#random() * 5, () => {
      const key = `${to} ${message.kind}`
      this.received.set(key, (this.received.get(key) ?? 0) + 1)
      if (this.hosts.has(to) && message.kind.startsWith('membership/')) this.handle(to, { ...message, from } as unknown as MembershipMessage)
    })
  }

  #setTimer (host: string, simulated: SimulatedHost, { name, afterMs, message }: SetTimer): void {
    const timer = ++this.#timers
    simulated.timers.set(name, timer)
    this.schedule(afterMs, () => { if (simulated.timers.get(name) === timer) this.handle(host, message as MembershipMessage) })
  }
}

function countReceived (fleet: FleetSimulation, host: string, kind: string): number {
  return fleet.received.get(`${host} ${kind}`) ?? 0
}

describe('heartbeats of a large fleet', () => {
  for (const size of [60, 200]) {
    it(`reach the leader through relays, so ${size} hosts cost it those of its own failure domain and of the relays`, function () {
      this.timeout(60_000)
      const fleet = FleetSimulation.create(size)
      fleet.run(4 * SECOND_MS)
      const before = countReceived(fleet, LEADER, 'membership/beat')
      fleet.run(6 * SECOND_MS)
      const own = size / DOMAINS.length
      // Hosts without databases send five heartbeats a second, and half of them in a fleet of 200.
      expect((countReceived(fleet, LEADER, 'membership/beat') - before) / 2).to.be.at.most(MAX_RELAYS_MESSAGES + (size === 60 ? 5 : 2.5) * own + 1)
      expect(fleet.findOldestAgeMs()).to.be.below(MAX_CONFIRMATION_AGE_MS)
      for (const { state } of fleet.hosts.values()) expect(listEntries(state.directory, 'host')).to.have.length(size + DOMAINS.length)
    })
  }

  it('of hosts that start together reach the leader through the control hosts that they know', function () {
    this.timeout(60_000)
    const fleet = FleetSimulation.create(200)
    fleet.run(SECOND_MS)
    const senders = new Set([...fleet.hosts.keys()].filter(host => fleet.countSent(host, LEADER) > 0))
    const own = 200 / DOMAINS.length
    expect(senders.size).to.be.at.most(own + (200 - own) / 3 + DOMAINS.length + MAX_SEED_SPREAD)
    expect(fleet.findOldestAgeMs()).to.be.below(MAX_CONFIRMATION_AGE_MS)
  })

  it('go to the leader itself in a small fleet', () => {
    const fleet = FleetSimulation.create(9)
    fleet.run(3 * SECOND_MS)
    expect([...fleet.hosts.values()].filter(({ state }) => state.relay !== undefined)).to.deep.equal([])
    expect(fleet.findOldestAgeMs()).to.be.below(300)
  })

  it('become no more while no control host answers, since those may be short of processor time', function () {
    this.timeout(60_000)
    const fleet = FleetSimulation.create(60)
    const control = [...fleet.hosts.keys()].filter(host => host.startsWith('control'))
    const countSent = (): number => [...fleet.hosts.keys()].filter(host => !control.includes(host)).reduce((sum, host) => sum + control.reduce((count, to) => count + fleet.countSent(host, to), 0), 0)
    const countSecond = (fromMs: number): number => {
      fleet.run(fromMs)
      const before = countSent()
      fleet.run(fromMs + SECOND_MS)
      return countSent() - before
    }
    const usual = countSecond(3 * SECOND_MS)
    for (const host of control) fleet.hosts.get(host)!.down = true
    // Besides, each host asks one control host which versions a majority holds, once a second.
    expect(countSecond(6 * SECOND_MS)).to.be.at.most(usual + 60)
  })

  it('reach a silent leader no more often than one that answers, since it may be short of processor time', function () {
    this.timeout(60_000)
    const fleet = FleetSimulation.create(200)
    const countSecond = (fromMs: number): number => {
      fleet.run(fromMs)
      const before = countReceived(fleet, LEADER, 'membership/beat')
      fleet.run(fromMs + SECOND_MS)
      return countReceived(fleet, LEADER, 'membership/beat') - before
    }
    const usual = countSecond(3 * SECOND_MS)
    fleet.hosts.get(LEADER)!.down = true
    expect(countSecond(6 * SECOND_MS)).to.be.at.most(usual)
  })

  it('that come late remove no host without databases, since each removal is a change for all others', function () {
    this.timeout(60_000)
    const fleet = FleetSimulation.create(60)
    fleet.run(4 * SECOND_MS)
    const { revision } = fleet.hosts.get(LEADER)!.state.directory
    const late = fleet.hosts.get('entry-7')!
    late.down = true
    fleet.schedule(2 * SECOND_MS, () => {
      late.down = false
      fleet.handle('entry-7', { kind: 'membership/beat-due' })
    })
    fleet.run(8 * SECOND_MS)
    expect(fleet.hosts.get(LEADER)!.state.directory.revision).to.deep.equal(revision)
  })

  it('take another way while a relay is down, and while relay and leader are', function () {
    this.timeout(60_000)
    const fleet = FleetSimulation.create(60)
    fleet.run(4 * SECOND_MS)
    fleet.hosts.get('control-1')!.down = true
    fleet.run(4 * SECOND_MS + RECOVERY_MS)
    expect(fleet.findOldestAgeMs()).to.be.below(MAX_CONFIRMATION_AGE_MS)
    fleet.hosts.get('control-2')!.down = true
    fleet.hosts.get(LEADER)!.down = true
    fleet.schedule(800, () => fleet.lead('control-3', 2))
    fleet.run(4 * SECOND_MS + 2 * RECOVERY_MS + 800)
    expect(fleet.findOldestAgeMs()).to.be.below(MAX_CONFIRMATION_AGE_MS)
    for (const { state, down } of fleet.hosts.values()) if (!down) expect(state).to.include({ leader: 'control-3', epoch: 2 })
  })
})

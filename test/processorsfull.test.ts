/** A fleet whose hosts are all short of processor time admits requests within their rates, in simulated time. */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../src/core/message.js'
import type { ServiceDocument } from '../src/documents/document.js'
import type { HostMessage } from '../src/messages.js'
import { LOAN_MS } from '../src/shares/state.js'
import { FleetSimulation, type SimulatedHostParts } from './support/fleetsimulation.js'

/** Seeds from this one on; by hand: `RUNS=10 SEED=1 npx mocha test/processorsfull.test.ts`. */
const SEED = Number(process.env.SEED ?? 1)
const RUNS = Number(process.env.RUNS ?? 2)
const DOMAINS = ['a', 'b', 'c', 'd']
const CONTROL_HOSTS = 8
const ENTRY_HOSTS = 80
/** What a message between hosts costs at each end, in milliseconds: half a millisecond of a whole core, on the cores that such hosts have. */
const CONTROL_COST_MS = 0.5 / 0.81
const ENTRY_COST_MS = 0.5 / 0.324
/** What any message costs at an entry host besides once its processor is slower by 3. */
const MESSAGE_COST_MS = 2 * ENTRY_COST_MS
const WORKSPACES = 84
/** The first ones, each of which sends this fraction of all requests. */
const LARGE_WORKSPACES = 3
const LARGE_FRACTION = 0.1
/** The rate of a workspace, as a multiple of what it sends. */
const RATE_FACTOR = 1.6
const REQUESTS_PER_SECOND = 1_020
const TRAFFIC_FROM_MS = 5_000
const SLOW_FROM_MS = 6_000
/** All hosts stand still once, as processors do that are taken away. */
const STILL_FROM_MS = 7_000
const STILL_MS = 600
/** Time to work off what came in meanwhile. */
const RECOVERY_MS = 3_000
const END_MS = 16_000
const LATENCY_MS = 500
/** Hosts that stand still again and again, each at times of its own: their timers and the answers to them are late. */
const PAUSE_MS = 350
const PAUSE_EVERY_MS = 800
/** The part of the requests from which on the users count a day as served. */
const MIN_ADMITTED = 0.9
/** A request needs one token, and a second loan only if its lender, or its own host, stands still for the whole term of the first. */
const MAX_LOANS_PER_REQUEST = 1 + 2 * (PAUSE_MS - LOAN_MS) / PAUSE_EVERY_MS
const MAX_ATTEMPTS = 3
const KEY_HASH = 'ab'.repeat(32)
const SERVICE = 'deployment'

interface Operation {
  readonly id: number
  readonly host: string
  readonly workspace: number
  readonly arrivedAtMs: number
  attempts: number
  admittedAtMs?: number
}

function getFraction (workspace: number): number {
  return workspace < LARGE_WORKSPACES ? LARGE_FRACTION : (1 - LARGE_WORKSPACES * LARGE_FRACTION) / (WORKSPACES - LARGE_WORKSPACES)
}

function createDocument (latencyMs: number | undefined): ServiceDocument {
  const workspaces = Array.from({ length: WORKSPACES }, (_, index) => {
    const rate = Math.ceil(REQUESTS_PER_SECOND * getFraction(index) * RATE_FACTOR)
    return { name: `workspace-${index}`, rate, burst: rate, group: 'g', keys: [{ id: 'k', sha256: KEY_HASH }] }
  })
  return {
    service: SERVICE,
    owners: ['ana'],
    authorityLeaseMs: 2_700,
    groups: [{ name: 'g', databases: 1 }],
    workspaces,
    routes: [{ name: 'view', access: 'keyed', action: 'read', maxStalenessMs: 0, idempotent: true, group: 'g', latencyMs }]
  }
}

/** A fleet with requests of all workspaces at all hosts, whose refused callers come back. */
class Fleet {
  readonly operations: Operation[] = []
  /** Requests that reached a host, each time that their callers came. */
  requests = 0
  /** Loans that hosts asked of lenders. */
  loans = 0
  readonly #fleet: FleetSimulation
  readonly #hosts: readonly string[]
  readonly #entries: readonly string[]
  readonly #pending = new Map<string, Operation>()

  private constructor (seed: number) {
    const hosts: readonly SimulatedHostParts[] = [
      ...Array.from({ length: CONTROL_HOSTS }, (_, index) => ({ name: `control-${index}`, failureDomain: DOMAINS[index % DOMAINS.length]!, control: true, peerCostMs: CONTROL_COST_MS })),
      ...Array.from({ length: ENTRY_HOSTS }, (_, index) => ({ name: `entry-${index}`, failureDomain: DOMAINS[index % DOMAINS.length]!, control: false, peerCostMs: ENTRY_COST_MS }))
    ]
    this.#hosts = hosts.map(host => host.name)
    this.#entries = hosts.filter(host => !host.control).map(host => host.name)
    this.#fleet = FleetSimulation.create(hosts, seed, 'kept', (_host, effect) => this.#observe(effect))
  }

  static run (seed: number, pauses = false, latencyMs?: number): Fleet {
    const fleet = new Fleet(seed)
    fleet.#plan(latencyMs)
    if (pauses) fleet.#planPauses()
    else fleet.#planSlowness()
    fleet.#fleet.run(END_MS)
    return fleet
  }

  #plan (latencyMs: number | undefined): void {
    const fleet = this.#fleet
    fleet.schedule(1_500, () => fleet.post('control-0', { kind: 'operations/asked', operation: 'put', requestId: 'put', command: { name: 'configuration/replace', version: 1, text: '', document: createDocument(latencyMs) } }))
    for (let atMs = TRAFFIC_FROM_MS; atMs < END_MS - 1_000; atMs += -Math.log(1 - fleet.random()) * 1_000 / REQUESTS_PER_SECOND) {
      const operation: Operation = { id: this.operations.length, host: this.#entries[Math.floor(fleet.random() * ENTRY_HOSTS)]!, workspace: this.#drawWorkspace(), arrivedAtMs: atMs, attempts: 0 }
      this.operations.push(operation)
      fleet.schedule(atMs, () => this.#send(operation))
    }
  }

  #planSlowness (): void {
    const fleet = this.#fleet
    fleet.schedule(SLOW_FROM_MS, () => this.#entries.forEach(host => fleet.setCost(host, MESSAGE_COST_MS)))
    fleet.schedule(STILL_FROM_MS, () => this.#hosts.forEach(host => fleet.hold(host, STILL_MS)))
  }

  #planPauses (): void {
    const fleet = this.#fleet
    for (const host of this.#entries) {
      for (let atMs = SLOW_FROM_MS + fleet.random() * PAUSE_EVERY_MS; atMs < END_MS; atMs += PAUSE_EVERY_MS) fleet.schedule(atMs, () => fleet.hold(host, PAUSE_MS))
    }
  }

  #drawWorkspace (): number {
    const large = Math.floor(this.#fleet.random() / LARGE_FRACTION)
    return large < LARGE_WORKSPACES ? large : LARGE_WORKSPACES + Math.floor(this.#fleet.random() * (WORKSPACES - LARGE_WORKSPACES))
  }

  #send (operation: Operation): void {
    const caller = `caller-${operation.id}-${++operation.attempts}`
    this.requests += 1
    this.#pending.set(caller, operation)
    this.#fleet.post(operation.host, { kind: 'admission/check-request', caller, attempt: 1, service: SERVICE, workspace: `workspace-${operation.workspace}`, keyHash: KEY_HASH, route: 'view', action: 'read', inTransaction: false })
  }

  #observe (effect: Effect): void {
    if (effect.kind === 'peer/send' && (effect as SendPeer).message.kind === 'admission/loan-wanted') this.loans += 1
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell<HostMessage>
    if (message.kind !== 'requests/admitted' && message.kind !== 'requests/failed') return
    const operation = this.#pending.get(message.caller)
    this.#pending.delete(message.caller)
    if (operation === undefined) return
    if (message.kind === 'requests/admitted') operation.admittedAtMs = this.#fleet.nowMs
    else if (operation.attempts < MAX_ATTEMPTS) this.#fleet.schedule(message.failure.retryAfterMs ?? 0, () => this.#send(operation))
  }

  /** Returns the part of the requests in an interval that were admitted within their latency target. */
  computeAdmitted (fromMs: number, untilMs: number): number {
    const arrived = this.operations.filter(({ arrivedAtMs }) => arrivedAtMs >= fromMs && arrivedAtMs < untilMs)
    return arrived.filter(({ arrivedAtMs, admittedAtMs = Infinity }) => admittedAtMs - arrivedAtMs <= LATENCY_MS).length / arrived.length
  }
}

describe('a fleet whose hosts are all short of processor time', () => {
  const fleets: Fleet[] = []

  before(function () {
    this.timeout(RUNS * 120_000)
    fleets.push(...Array.from({ length: RUNS }, (_, index) => Fleet.run(SEED + index, false, LATENCY_MS)))
  })

  it('admits requests within the rates of their workspaces after all hosts stood still', function () {
    const admitted = fleets.map(fleet => fleet.computeAdmitted(STILL_FROM_MS + STILL_MS + RECOVERY_MS, END_MS - 1_000))
    this.test!.title += ` (admitted ${admitted.map(fraction => fraction.toFixed(3)).join(', ')})`
    for (const fraction of admitted) expect(fraction).to.be.above(MIN_ADMITTED)
  })

  it('asks lenders for few loans for each request, however late they answer', function () {
    this.timeout(RUNS * 240_000)
    for (const latencyMs of [LATENCY_MS, undefined]) {
      const loans = Array.from({ length: RUNS }, (_, index) => Fleet.run(SEED + index, true, latencyMs)).map(fleet => fleet.loans / fleet.requests)
      this.test!.title += ` (${latencyMs ?? 'no'} ms: ${loans.map(count => count.toFixed(2)).join(', ')} loans for each request)`
      for (const count of loans) expect(count).to.be.at.most(MAX_LOANS_PER_REQUEST)
    }
  })
})

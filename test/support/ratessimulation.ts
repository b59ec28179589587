/** Simulation for tests of rate limits: the admission and shares slices of several hosts over lossy links, in simulated time. */
import { decideAdmission } from '../../src/admission/decide.js'
import { checkAllowance, createAdmissionShared } from '../../src/admission/state.js'
import type { Effect, SendPeer, SetTimer, Tell } from '../../src/core/message.js'
import type { Slice } from '../../src/core/slice.js'
import { StoreSlice } from '../../src/core/store.js'
import { parseDocument, type ServiceDocument } from '../../src/documents/document.js'
import type { HostMessage } from '../../src/messages.js'
import { applyRegisterCommand, type HoldersTable, type RegisterCommand } from '../../src/shares/holders.js'
import { decideShares } from '../../src/shares/decide.js'
import { checkSharesItem, createSharesShared } from '../../src/shares/state.js'
import { createRandom, StepQueue } from './stepqueue.js'

const KEY_HASH = 'ab'.repeat(32)
/** Leases count monotonic time, whose rate differs slightly between hosts; a fraction of the true rate. */
const MAX_CLOCK_DRIFT = 0.005

/** The rate limit of the simulated workspace. */
export interface SimulatedLimit {
  /** Tokens a second. */
  readonly rate: number
  readonly burst: number
}

/** Probabilities, from 0 to 1, that a link drops, duplicates or delays a message. */
export interface LinkFaults {
  readonly dropped: number
  readonly doubled: number
  readonly late: number
  /** The most that a host short of processor time adds to each message, in milliseconds. */
  readonly slowMs?: number
}

/** The admission decision of a host on one request. */
export interface AdmissionDecision {
  readonly host: string
  readonly atMs: number
  readonly admitted: boolean
  /** What the host knew of the leader's reserve when it refused the request. */
  readonly reserve?: string | number
}

interface SimulatedHost {
  readonly name: string
  readonly clockOffsetMs: number
  readonly clockRate: number
  slices: ReadonlyMap<string, Slice>
  generation: number
  frozenUntilMs: number
  partitionedUntilMs: number
  timers: Map<string, number>
}

/** Hosts that run the real decision functions; clocks, timers, links and agreement are simulated. */
export class RatesSimulation {
  readonly decisions: AdmissionDecision[] = []
  readonly #sentCounts = new Map<string, number>()
  readonly random: () => number
  readonly #limit: SimulatedLimit
  readonly #faults: LinkFaults
  readonly #hosts = new Map<string, SimulatedHost>()
  readonly #steps = StepQueue.create()
  #sequence = 0
  #nowMs = 0
  #epoch = 0
  #leader: string | undefined
  /** State agreed on by the control hosts; a proposed registration commits within 50 ms, or never if the leader changes first. */
  #holders: HoldersTable = {}
  readonly #registersHolders: boolean
  /** Control hosts that lend tokens; the others then hold no shares. */
  #lenders: readonly string[]

  private constructor (names: readonly string[], limit: SimulatedLimit, faults: LinkFaults, seed: number, registers: boolean, lenders: readonly string[]) {
    this.#registersHolders = registers
    this.#lenders = lenders
    this.random = createRandom(seed)
    this.#limit = limit
    this.#faults = faults
    for (const name of names) {
      const host: SimulatedHost = { name, clockOffsetMs: 1 + this.random() * 1e6, clockRate: 1 + (this.random() * 2 - 1) * MAX_CLOCK_DRIFT, slices: new Map(), generation: 0, frozenUntilMs: 0, partitionedUntilMs: 0, timers: new Map() }
      this.#hosts.set(name, host)
      this.#start(host)
    }
  }

  static create (names: readonly string[], limit: SimulatedLimit, faults: LinkFaults, seed: number, registers = false, lenders: readonly string[] = []): RatesSimulation {
    return new RatesSimulation(names, limit, faults, seed, registers, lenders)
  }

  get nowMs (): number {
    return this.#nowMs
  }

  /** Schedules a step at a simulated time. */
  schedule (atMs: number, run: () => void): void {
    this.#steps.push({ atMs, sequence: this.#sequence++, run })
  }

  /** Runs all steps that are due up to a simulated time. */
  run (untilMs: number): void {
    for (let step = this.#steps.dequeue(untilMs); step !== undefined; step = this.#steps.dequeue(untilMs)) {
      this.#nowMs = step.atMs
      step.run()
    }
    this.#nowMs = untilMs
  }

  /** Deposes the current leader and makes another host the leader; each other host learns of it after a random delay of up to `learnWithinMs`. */
  changeLeader (name: string, learnWithinMs: number): void {
    const formerLeader = this.#leader === undefined ? undefined : this.#hosts.get(this.#leader)
    this.#epoch += 1
    this.#leader = name
    const epoch = this.#epoch
    if (formerLeader !== undefined) this.#process(formerLeader, { kind: 'shares/leadership', leads: false, epoch })
    if (this.#registersHolders) this.#process(this.#hosts.get(name)!, { kind: 'shares/registered', holders: this.#holders })
    this.#process(this.#hosts.get(name)!, { kind: 'shares/leadership', leads: true, epoch })
    this.#process(this.#hosts.get(name)!, { kind: 'shares/lease-extended', untilMs: Number.MAX_SAFE_INTEGER })
    for (const host of this.#hosts.values()) {
      const afterMs = host.name === name ? 0 : this.random() * learnWithinMs
      this.schedule(this.#nowMs + afterMs, () => { if (epoch === this.#epoch) this.#deliver(host, { kind: 'admission/leader-changed', leader: name, epoch }) })
    }
  }

  /** The fleet has grown: control hosts lend tokens from now on. */
  setLenders (lenders: readonly string[]): void {
    this.#lenders = lenders
    for (const host of this.#hosts.values()) this.#deliver(host, { kind: 'admission/lenders-changed', lenders })
  }

  /** Restarts a host; if it leads, a random host becomes the leader. */
  restart (name: string): void {
    const host = this.#hosts.get(name)!
    this.#start(host)
    if (this.#leader === name) return this.changeLeader([...this.#hosts.keys()][Math.floor(this.random() * this.#hosts.size)]!, 1_000)
    this.#deliver(host, { kind: 'admission/leader-changed', leader: this.#leader, epoch: this.#epoch })
  }

  /** Freezes a host: whatever arrives is processed when the time is over. */
  delayHost (name: string, forMs: number): void {
    this.#hosts.get(name)!.frozenUntilMs = this.#nowMs + forMs
  }

  /** Partitions a host from all others. */
  disconnectHost (name: string, forMs: number): void {
    this.#hosts.get(name)!.partitionedUntilMs = this.#nowMs + forMs
  }

  /** Sends a request of the workspace to a host. */
  sendRequest (name: string): void {
    const caller = String(this.#sequence++)
    this.#deliver(this.#hosts.get(name)!, { kind: 'admission/check-request', caller, attempt: 1, service: 'rota', workspace: 'parish', keyHash: KEY_HASH, action: 'read', inTransaction: false })
  }

  /** Counts the messages of a kind that a host has sent. */
  countSent (kind: string, name: string): number {
    return this.#sentCounts.get(`${name} ${kind}`) ?? 0
  }

  #start (host: SimulatedHost): void {
    host.generation += 1
    host.frozenUntilMs = 0
    host.timers = new Map()
    const slices: readonly Slice[] = [
      StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: host.name, acceptsCallers: !this.#lenders.includes(host.name), startedAtMs: this.#readLocalClock(host) }), decide: decideAdmission, checkItem: checkAllowance }),
      StoreSlice.create({ name: 'shares', shared: createSharesShared(), decide: decideShares, checkItem: checkSharesItem })
    ]
    host.slices = new Map(slices.map(slice => [slice.name, slice]))
    const document = createDocument(this.#limit)
    this.#process(host, { kind: 'admission/lenders-changed', lenders: this.#lenders })
    // The authority for keys never lapses: these tests cover rates alone.
    this.#process(host, { kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document }], askedAtMs: Number.MAX_SAFE_INTEGER })
  }

  #deliver (host: SimulatedHost, message: HostMessage): void {
    const { generation } = host
    if (host.frozenUntilMs > this.#nowMs) {
      this.schedule(host.frozenUntilMs, () => { if (host.generation === generation) this.#process(host, message) })
      return
    }
    this.#process(host, message)
  }

  #process (host: SimulatedHost, message: HostMessage): void {
    const [owner] = message.kind.split('/')
    if (owner === 'requests') return this.#recordDecision(host, message)
    if (message.kind === 'agreement/propose') return this.#propose(host, message.command as RegisterCommand)
    const moment = { monotonicMs: this.#readLocalClock(host), wallMs: this.#nowMs, random: this.random() }
    for (const effect of host.slices.get(owner!)!.handle(message, moment)) this.#executeEffect(host, effect)
  }

  #readLocalClock (host: SimulatedHost): number {
    return host.clockOffsetMs + this.#nowMs * host.clockRate
  }

  #propose (host: SimulatedHost, command: RegisterCommand): void {
    const epoch = this.#epoch
    this.schedule(this.#nowMs + this.random() * 50, () => {
      if (epoch !== this.#epoch) return
      this.#holders = applyRegisterCommand(this.#holders, command)
      this.#deliver(host, { kind: 'shares/registered', holders: this.#holders })
    })
  }

  #recordDecision (host: SimulatedHost, message: HostMessage): void {
    const reserve = message.kind === 'requests/failed' ? message.failure.inputs?.reserve : undefined
    this.decisions.push({ host: host.name, atMs: this.#nowMs, admitted: message.kind === 'requests/admitted', reserve })
  }

  #executeEffect (host: SimulatedHost, effect: Effect): void {
    if (effect.kind === 'loop/tell') return this.#process(host, (effect as Tell<HostMessage>).message)
    if (effect.kind === 'peer/send') return this.#send(host, effect as SendPeer)
    if (effect.kind === 'timer/clear') host.timers.delete((effect as unknown as { name: string }).name)
    if (effect.kind === 'timer/set') this.#setTimer(host, effect as SetTimer)
  }

  #setTimer (host: SimulatedHost, effect: SetTimer): void {
    const { generation } = host
    const sequence = this.#sequence++
    host.timers.set(effect.name, sequence)
    this.schedule(this.#nowMs + effect.afterMs, () => {
      if (host.generation !== generation || host.timers.get(effect.name) !== sequence) return
      host.timers.delete(effect.name)
      this.#deliver(host, effect.message as HostMessage)
    })
  }

  #send (host: SimulatedHost, effect: SendPeer): void {
    const to = this.#hosts.get(effect.to)!
    const countKey = `${host.name} ${effect.message.kind}`
    this.#sentCounts.set(countKey, (this.#sentCounts.get(countKey) ?? 0) + 1)
    const message = { ...effect.message, from: host.name } as unknown as HostMessage
    const local = to === host
    if (!local && (this.#isPartitioned(host) || this.#isPartitioned(to) || this.random() < this.#faults.dropped)) return
    const copies = !local && this.random() < this.#faults.doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const delayed = !local && this.random() < this.#faults.late
      const delayMs = local ? 0 : delayed ? this.random() * 4_000 : 0.3 + this.random() * (1.2 + (this.#faults.slowMs ?? 0))
      this.schedule(this.#nowMs + delayMs, () => this.#deliver(to, message))
    }
  }

  #isPartitioned (host: SimulatedHost): boolean {
    return host.partitionedUntilMs > this.#nowMs
  }
}

/** Computes by how many requests the admissions exceeded burst plus rate in the worst window; 0 or less if they never did. */
export function computeMaxExcess (decided: readonly AdmissionDecision[], limit: SimulatedLimit): number {
  let tokens = limit.burst
  let refilledAtMs = 0
  let excess = -Infinity
  for (const { atMs, admitted } of decided) {
    if (!admitted) continue
    tokens = Math.min(limit.burst, tokens + (atMs - refilledAtMs) * limit.rate * (1 + MAX_CLOCK_DRIFT) / 1_000) - 1
    refilledAtMs = atMs
    excess = Math.max(excess, -tokens)
  }
  return excess
}

/** Counts the arrivals from `fromMs` on that static shares, one token bucket a host, or one bucket for all hosts would refuse. */
export function countRefused (arrivals: ReadonlyArray<{ readonly host: string, readonly atMs: number }>, limit: SimulatedLimit, buckets: number, fromMs: number): number {
  const tokens = new Map<string, { available: number, atMs: number }>()
  let refused = 0
  for (const { host, atMs } of arrivals) {
    const bucketName = buckets === 1 ? 'all' : host
    const bucket = tokens.get(bucketName) ?? { available: limit.burst / buckets, atMs: 0 }
    bucket.available = Math.min(limit.burst / buckets, bucket.available + (atMs - bucket.atMs) * limit.rate / buckets / 1_000)
    bucket.atMs = atMs
    tokens.set(bucketName, bucket)
    if (bucket.available >= 1) bucket.available -= 1
    else if (atMs >= fromMs) refused += 1
  }
  return refused
}

function createDocument (limit: SimulatedLimit): ServiceDocument {
  const document = {
    service: 'rota',
    owners: ['ana'],
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', ...limit, group: 'a', keys: [{ id: 'k1', sha256: KEY_HASH }] }]
  }
  return parseDocument(JSON.stringify(document)).unwrapOr(undefined as never)
}

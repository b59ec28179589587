/** Small fakes for the tests of rates: hosts' admission and shares slices over lossy links, in made-up time. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
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

const KEY_HASH = 'ab'.repeat(32)
/** The leases count monotonic time, whose rate may differ a little from host to host. */
const MAX_DRIFT = 0.005

/** One workspace's limit in a fake world. */
export interface FakeLimit {
  readonly rate: number
  readonly burst: number
}

/** How links treat messages. */
export interface LinkFaults {
  readonly dropped: number
  readonly doubled: number
  readonly late: number
}

/** A request that a host decided on. */
export interface Decided {
  readonly host: string
  readonly atMs: number
  readonly admitted: boolean
}

interface FakeHost {
  readonly name: string
  readonly offsetMs: number
  readonly drift: number
  slices: ReadonlyMap<string, Slice>
  life: number
  frozenUntilMs: number
  cutUntilMs: number
  timers: Map<string, number>
}

interface Due {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** The steps to come; the earliest is taken first. */
class DueHeap {
  readonly #items: Due[] = []

  static create (): DueHeap {
    return new DueHeap()
  }

  push (due: Due): void {
    const items = this.#items
    let index = items.length
    items.push(due)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isBefore(items[parent]!, due)) break
      items[index] = items[parent]!
      index = parent
    }
    items[index] = due
  }

  take (untilMs: number): Due | undefined {
    const items = this.#items
    const first = items[0]
    if (first === undefined || first.atMs > untilMs) return undefined
    const last = items.pop()!
    if (items.length > 0) this.#pushDown(last)
    return first
  }

  #pushDown (due: Due): void {
    const items = this.#items
    let index = 0
    while (true) {
      let child = 2 * index + 1
      if (child + 1 < items.length && isBefore(items[child + 1]!, items[child]!)) child += 1
      if (child >= items.length || isBefore(due, items[child]!)) break
      items[index] = items[child]!
      index = child
    }
    items[index] = due
  }
}

function isBefore (one: Due, other: Due): boolean {
  return one.atMs === other.atMs ? one.sequence < other.sequence : one.atMs < other.atMs
}

/** Draws numbers in [0, 1) from a seed. */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** Hosts with the real decisions, and everything around them made up. */
export class RatesWorld {
  readonly decided: Decided[] = []
  readonly #sent = new Map<string, number>()
  readonly random: () => number
  readonly #limit: FakeLimit
  readonly #faults: LinkFaults
  readonly #hosts = new Map<string, FakeHost>()
  readonly #due = DueHeap.create()
  #sequence = 0
  #nowMs = 0
  #epoch = 0
  #leader: string | undefined
  /** What the control hosts agreed on; a registration commits a moment after it was proposed, or never. */
  #holders: HoldersTable = {}
  readonly #registers: boolean

  private constructor (names: readonly string[], limit: FakeLimit, faults: LinkFaults, seed: number, registers: boolean) {
    this.#registers = registers
    this.random = createRandom(seed)
    this.#limit = limit
    this.#faults = faults
    for (const name of names) {
      const host: FakeHost = { name, offsetMs: 1 + this.random() * 1e6, drift: 1 + (this.random() * 2 - 1) * MAX_DRIFT, slices: new Map(), life: 0, frozenUntilMs: 0, cutUntilMs: 0, timers: new Map() }
      this.#hosts.set(name, host)
      this.#start(host)
    }
  }

  static create (names: readonly string[], limit: FakeLimit, faults: LinkFaults, seed: number, registers = false): RatesWorld {
    return new RatesWorld(names, limit, faults, seed, registers)
  }

  get nowMs (): number {
    return this.#nowMs
  }

  /** Runs a step at a time. */
  schedule (atMs: number, run: () => void): void {
    this.#due.push({ atMs, sequence: this.#sequence++, run })
  }

  /** Runs all steps until a time. */
  run (untilMs: number): void {
    for (let due = this.#due.take(untilMs); due !== undefined; due = this.#due.take(untilMs)) {
      this.#nowMs = due.atMs
      due.run()
    }
    this.#nowMs = untilMs
  }

  /** Ends the leadership of the present leader, and starts that of another; hosts learn of it one after the other. */
  changeLeader (name: string, learnWithinMs: number): void {
    const old = this.#leader === undefined ? undefined : this.#hosts.get(this.#leader)
    this.#epoch += 1
    this.#leader = name
    const epoch = this.#epoch
    if (old !== undefined) this.#take(old, { kind: 'shares/leadership', leads: false, epoch })
    if (this.#registers) this.#take(this.#hosts.get(name)!, { kind: 'shares/registered', holders: this.#holders })
    this.#take(this.#hosts.get(name)!, { kind: 'shares/leadership', leads: true, epoch })
    this.#take(this.#hosts.get(name)!, { kind: 'shares/lease-extended', untilMs: Number.MAX_SAFE_INTEGER })
    for (const host of this.#hosts.values()) {
      const afterMs = host.name === name ? 0 : this.random() * learnWithinMs
      this.schedule(this.#nowMs + afterMs, () => { if (epoch === this.#epoch) this.#post(host, { kind: 'admission/leader-changed', leader: name, epoch }) })
    }
  }

  /** Restarts a host; a leader's restart is the end of its leadership. */
  restart (name: string): void {
    const host = this.#hosts.get(name)!
    this.#start(host)
    if (this.#leader === name) return this.changeLeader([...this.#hosts.keys()][Math.floor(this.random() * this.#hosts.size)]!, 1_000)
    this.#post(host, { kind: 'admission/leader-changed', leader: this.#leader, epoch: this.#epoch })
  }

  holdUp (name: string, forMs: number): void {
    this.#hosts.get(name)!.frozenUntilMs = this.#nowMs + forMs
  }

  splitOff (name: string, forMs: number): void {
    this.#hosts.get(name)!.cutUntilMs = this.#nowMs + forMs
  }

  /** A request arrives at a host. */
  arrive (name: string): void {
    const name2 = String(this.#sequence++)
    this.#post(this.#hosts.get(name)!, { kind: 'admission/check-request', caller: name2, attempt: 1, service: 'rota', workspace: 'parish', keyHash: KEY_HASH, action: 'read', inTransaction: false })
  }

  /** Counts what a host has sent of a kind. */
  countSent (kind: string, name: string): number {
    return this.#sent.get(`${name} ${kind}`) ?? 0
  }

  #start (host: FakeHost): void {
    host.life += 1
    host.frozenUntilMs = 0
    host.timers = new Map()
    const slices: readonly Slice[] = [
      StoreSlice.create({ name: 'admission', shared: createAdmissionShared(false, true, this.#readLocal(host)), decide: decideAdmission, checkItem: checkAllowance }),
      StoreSlice.create({ name: 'shares', shared: createSharesShared(), decide: decideShares, checkItem: checkSharesItem })
    ]
    host.slices = new Map(slices.map(slice => [slice.name, slice]))
    const document = createDocument(this.#limit)
    // Keys and their authority are no matter of these tests.
    this.#take(host, { kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document }], askedAtMs: Number.MAX_SAFE_INTEGER })
  }

  #post (host: FakeHost, message: HostMessage): void {
    const { life } = host
    if (host.frozenUntilMs > this.#nowMs) {
      this.schedule(host.frozenUntilMs, () => { if (host.life === life) this.#take(host, message) })
      return
    }
    this.#take(host, message)
  }

  #take (host: FakeHost, message: HostMessage): void {
    const [owner] = message.kind.split('/')
    if (owner === 'requests') return this.#record(host, message)
    if (message.kind === 'agreement/propose') return this.#propose(host, message.command as RegisterCommand)
    const moment = { monotonicMs: this.#readLocal(host), wallMs: this.#nowMs, random: this.random() }
    for (const effect of host.slices.get(owner!)!.handle(message, moment)) this.#carryOut(host, effect)
  }

  #readLocal (host: FakeHost): number {
    return host.offsetMs + this.#nowMs * host.drift
  }

  #propose (host: FakeHost, command: RegisterCommand): void {
    const epoch = this.#epoch
    this.schedule(this.#nowMs + this.random() * 50, () => {
      if (epoch !== this.#epoch) return
      this.#holders = applyRegisterCommand(this.#holders, command)
      this.#post(host, { kind: 'shares/registered', holders: this.#holders })
    })
  }

  #record (host: FakeHost, message: HostMessage): void {
    this.decided.push({ host: host.name, atMs: this.#nowMs, admitted: message.kind === 'requests/admitted' })
  }

  #carryOut (host: FakeHost, effect: Effect): void {
    if (effect.kind === 'loop/tell') return this.#take(host, (effect as Tell<HostMessage>).message)
    if (effect.kind === 'peer/send') return this.#send(host, effect as SendPeer)
    if (effect.kind === 'timer/clear') host.timers.delete((effect as unknown as { name: string }).name)
    if (effect.kind === 'timer/set') this.#setTimer(host, effect as SetTimer)
  }

  #setTimer (host: FakeHost, effect: SetTimer): void {
    const { life } = host
    const sequence = this.#sequence++
    host.timers.set(effect.name, sequence)
    this.schedule(this.#nowMs + effect.afterMs, () => {
      if (host.life !== life || host.timers.get(effect.name) !== sequence) return
      host.timers.delete(effect.name)
      this.#post(host, effect.message as HostMessage)
    })
  }

  #send (host: FakeHost, effect: SendPeer): void {
    const to = this.#hosts.get(effect.to)!
    const sent = `${host.name} ${effect.message.kind}`
    this.#sent.set(sent, (this.#sent.get(sent) ?? 0) + 1)
    const message = { ...effect.message, from: host.name } as unknown as HostMessage
    const local = to === host
    if (!local && (this.#isCut(host) || this.#isCut(to) || this.random() < this.#faults.dropped)) return
    const copies = !local && this.random() < this.#faults.doubled ? 2 : 1
    for (let copy = 0; copy < copies; copy++) {
      const late = !local && this.random() < this.#faults.late
      const delayMs = local ? 0 : late ? this.random() * 4_000 : 0.3 + this.random() * 1.2
      this.schedule(this.#nowMs + delayMs, () => this.#post(to, message))
    }
  }

  #isCut (host: FakeHost): boolean {
    return host.cutUntilMs > this.#nowMs
  }
}

/** Returns the most by which admissions went over burst and rate in any window; at most 0 when none did. */
export function countOver (decided: readonly Decided[], limit: FakeLimit): number {
  let tokens = limit.burst
  let countedAtMs = 0
  let over = -Infinity
  for (const { atMs, admitted } of decided) {
    if (!admitted) continue
    tokens = Math.min(limit.burst, tokens + (atMs - countedAtMs) * limit.rate * (1 + MAX_DRIFT) / 1_000) - 1
    countedAtMs = atMs
    over = Math.max(over, -tokens)
  }
  return over
}

/** Counts what fixed shares of the hosts, or one bucket for all, would refuse of the same arrivals. */
export function countRefused (arrivals: ReadonlyArray<{ readonly host: string, readonly atMs: number }>, limit: FakeLimit, buckets: number, fromMs: number): number {
  const tokens = new Map<string, { left: number, atMs: number }>()
  let refused = 0
  for (const { host, atMs } of arrivals) {
    const name = buckets === 1 ? 'all' : host
    const bucket = tokens.get(name) ?? { left: limit.burst / buckets, atMs: 0 }
    bucket.left = Math.min(limit.burst / buckets, bucket.left + (atMs - bucket.atMs) * limit.rate / buckets / 1_000)
    bucket.atMs = atMs
    tokens.set(name, bucket)
    if (bucket.left >= 1) bucket.left -= 1
    else if (atMs >= fromMs) refused += 1
  }
  return refused
}

function createDocument (limit: FakeLimit): ServiceDocument {
  const document = {
    service: 'rota',
    owners: ['ana'],
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', ...limit, group: 'a', keys: [{ id: 'k1', sha256: KEY_HASH }] }]
  }
  return parseDocument(JSON.stringify(document)).unwrapOr(undefined as never)
}

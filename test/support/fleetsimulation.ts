/** A fleet of hosts with all their slices, whose processors, links, disks and clocks are simulated. */
import { readOwner, type Effect, type Message, type SendPeer, type SetTimer, type ClearTimer, type Tell } from '../../src/core/message.js'
import { Inbox } from '../../src/core/inbox.js'
import type { Slice } from '../../src/core/slice.js'
import type { Catalog, CatalogCommand } from '../../src/agreement/catalog.js'
import { recoverReplica } from '../../src/agreement/recover.js'
import type { JournalEffect } from '../../src/journal/messages.js'
import { createSlices, PRIORITIES } from '../../src/daemon/slices.js'
import type { HostMessage } from '../../src/messages.js'
import { formatFindings } from '../../src/core/findings.js'
import { parseSettings, type Settings } from '../../src/settings/settings.js'
import { createRandom, StepQueue } from './stepqueue.js'

/** What a host with processor time to spare takes for a message. */
const USUAL_COST_MS = 0.05
const MIN_DELAY_MS = 0.3
const DELAY_JITTER_MS = 2
const SYNC_MS = 2
const START_JITTER_MS = 100

/** A host to simulate. */
export interface SimulatedHostParts {
  readonly name: string
  readonly failureDomain: string
  readonly control: boolean
  /** What each message to or from another host costs besides, in milliseconds of the processor; nothing if absent. */
  readonly peerCostMs?: number
  /** What a new link to or from another host costs besides, in milliseconds of the processor; nothing if absent. */
  readonly linkCostMs?: number
}

/** Called with each message that a slice of a host tells another, and each effect that leaves the host. */
export type OnEffect = (host: string, effect: Effect) => void

/** What a control host has synced. */
interface SimulatedDisk {
  readonly incarnation: string
  snapshot?: unknown
  records: readonly unknown[]
}

interface SimulatedHost extends SimulatedHostParts {
  slices: ReadonlyMap<string, Slice>
  inbox: Inbox
  timers: Map<string, number>
  disk: SimulatedDisk
  /** The number of the process; what an earlier one scheduled is dropped. */
  generation: number
  /** What one message costs, in milliseconds of the processor. */
  costMs: number
  busyUntilMs: number
  frozenUntilMs: number
  /** True while the host has no process. */
  down: boolean
  /** The links from and to other hosts that were opened, each with the number of the other one's process. */
  links: Set<string>
  scheduled: boolean
}

/** Runs the slices of all hosts in simulated time, one message after the other on each host. */
export class FleetSimulation {
  readonly random: () => number
  nowMs = 0
  readonly #hosts = new Map<string, SimulatedHost>()
  readonly #cutLinks = new Set<string>()
  readonly #onEffect: OnEffect
  readonly #control: readonly string[]
  readonly #authority: 'kept' | 'leased'
  readonly #steps = StepQueue.create()
  #sequence = 0

  private constructor (parts: readonly SimulatedHostParts[], seed: number, authority: 'kept' | 'leased', onEffect: OnEffect) {
    this.random = createRandom(seed)
    this.#onEffect = onEffect
    this.#control = parts.filter(part => part.control).map(({ name }) => name)
    this.#authority = authority
    for (const part of parts) {
      const disk = { incarnation: `disk 0 of ${part.name}`, records: [] }
      const host: SimulatedHost = { ...part, slices: new Map(), inbox: Inbox.create(PRIORITIES), timers: new Map(), disk, generation: 0, costMs: USUAL_COST_MS, busyUntilMs: 0, frozenUntilMs: 0, down: false, links: new Set(), scheduled: false }
      this.#hosts.set(part.name, host)
      this.#start(host, true)
    }
  }

  /**
   * Creates a fleet whose hosts start within a tenth of a second.
   * @example FleetSimulation.create([{ name: 'c0', failureDomain: 'a', control: true }], 1, 'kept', () => {})
   */
  static create (parts: readonly SimulatedHostParts[], seed: number, authority: 'kept' | 'leased', onEffect: OnEffect): FleetSimulation {
    return new FleetSimulation(parts, seed, authority, onEffect)
  }

  /** Runs until a time. */
  run (untilMs: number): void {
    for (let step = this.#steps.dequeue(untilMs); step !== undefined; step = this.#steps.dequeue(untilMs)) {
      this.nowMs = step.atMs
      step.run()
    }
    this.nowMs = untilMs
  }

  /** Schedules a step. */
  schedule (afterMs: number, run: () => void): void {
    this.#steps.push({ atMs: this.nowMs + Math.max(0, afterMs), sequence: ++this.#sequence, run })
  }

  /** Adds a message to the inbox of a host, as one of its adapters would. */
  post (host: string, message: HostMessage): void {
    const simulated = this.#hosts.get(host)!
    if (simulated.down) return
    simulated.inbox.post(message)
    this.#scheduleTurn(simulated)
  }

  /** Lets each message of a host cost this much; the usual cost if absent. */
  setCost (host: string, costMs = USUAL_COST_MS): void {
    this.#hosts.get(host)!.costMs = costMs
  }

  /** Suspends a host; its clock goes on. */
  hold (host: string, forMs: number): void {
    this.#hosts.get(host)!.frozenUntilMs = this.nowMs + forMs
  }

  /** Ends the process of a host and starts another one, with what its disk has synced, or with an empty disk. */
  restart (host: string, emptyDisk = false): void {
    const simulated = this.#hosts.get(host)!
    simulated.generation += 1
    if (emptyDisk) simulated.disk = { incarnation: `disk ${simulated.generation} of ${host}`, records: [] }
    this.#start(simulated, false)
  }

  /** Ends the process of a host; another one starts after a time, with what its disk has synced. */
  stop (host: string, forMs: number): void {
    const simulated = this.#hosts.get(host)!
    simulated.generation += 1
    simulated.down = true
    this.#scheduleFor(simulated, forMs, () => {
      simulated.down = false
      this.#start(simulated, false)
    })
  }

  /** Cuts the links between a host and others, in both directions, or mends them. */
  setCut (host: string, others: readonly string[], cut: boolean): void {
    for (const other of others) {
      for (const link of [`${host} ${other}`, `${other} ${host}`]) {
        if (cut) this.#cutLinks.add(link)
        else this.#cutLinks.delete(link)
      }
    }
  }

  #start (host: SimulatedHost, forms: boolean): void {
    const { name, failureDomain, control: isControl, disk, generation } = host
    const guarantees = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
    host.slices = new Map(createSlices(createSettings(host, this.#authority), guarantees, this.nowMs).map(slice => [slice.name, slice]))
    host.inbox = Inbox.create(PRIORITIES)
    host.timers = new Map()
    host.links = new Set()
    host.scheduled = false
    const control = this.#control
    const self = { kind: 'host', host: name, incarnation: String(generation), failureDomain, peers: name, draining: false, control: isControl, apart: isControl } as const
    this.#scheduleFor(host, this.random() * START_JITTER_MS, () => {
      const recovered = isControl ? recoverReplica<Catalog, CatalogCommand>(disk) : undefined
      this.post(name, { kind: 'membership/started', self, control })
      this.post(name, { kind: 'agreement/started', self: name, control, forms, voters: 0, recovered })
    })
  }

  #scheduleFor (host: SimulatedHost, afterMs: number, run: () => void): void {
    const { generation } = host
    this.schedule(afterMs, () => { if (host.generation === generation) run() })
  }

  #scheduleTurn (host: SimulatedHost): void {
    if (host.scheduled) return
    host.scheduled = true
    this.#scheduleFor(host, Math.max(host.busyUntilMs, host.frozenUntilMs) - this.nowMs, () => {
      host.scheduled = false
      if (host.frozenUntilMs > this.nowMs) return this.#scheduleTurn(host)
      this.#handleNext(host)
      if (host.inbox.size > 0) this.#scheduleTurn(host)
    })
  }

  #handleNext (host: SimulatedHost): void {
    const message = host.inbox.take() as Message & { readonly from?: string } | undefined
    if (message === undefined) return
    const effects = host.slices.get(readOwner(message.kind))!.handle(message, { monotonicMs: this.nowMs, wallMs: this.nowMs, random: this.random() })
    const targets = effects.flatMap(effect => (effect.kind === 'peer/send' ? [(effect as SendPeer).to] : []))
    const peers = [...(message.from === undefined ? [] : [message.from]), ...targets].filter(peer => peer !== host.name)
    const opened = this.#openLinks(host, message.from, targets)
    host.busyUntilMs = this.nowMs + host.costMs + peers.length * (host.peerCostMs ?? 0) + opened * (host.linkCostMs ?? 0)
    for (const effect of effects) this.#execute(host, effect)
  }

  // A link lasts until the process at either end does, and carries messages one way.
  #openLinks (host: SimulatedHost, from: string | undefined, targets: readonly string[]): number {
    const ends = [...(from === undefined ? [] : [['from', from]]), ...targets.map(target => ['to', target])].filter(([, peer]) => peer !== host.name)
    const known = host.links.size
    for (const [direction, peer = ''] of ends) host.links.add(`${direction} ${peer} ${this.#hosts.get(peer)?.generation ?? 0}`)
    return host.links.size - known
  }

  #execute (host: SimulatedHost, effect: Effect): void {
    if (effect.notAfterMs !== undefined && this.nowMs > effect.notAfterMs) {
      if (effect.otherwise !== undefined) this.post(host.name, effect.otherwise as HostMessage)
      return
    }
    this.#onEffect(host.name, effect)
    switch (effect.kind) {
      case 'loop/tell': return host.inbox.tell((effect as Tell).message)
      case 'timer/set': return this.#setTimer(host, effect as SetTimer)
      case 'timer/clear':
        host.timers.delete((effect as ClearTimer).name)
        return
      case 'peer/send': return this.#send(host, effect as SendPeer)
      case 'journal/append':
      case 'journal/snapshot': return this.#store(host, effect as JournalEffect)
    }
  }

  #setTimer (host: SimulatedHost, { name, afterMs, message }: SetTimer): void {
    const timer = ++this.#sequence
    host.timers.set(name, timer)
    this.#scheduleFor(host, afterMs, () => {
      if (host.timers.get(name) !== timer) return
      host.timers.delete(name)
      this.post(host.name, message as HostMessage)
    })
  }

  #send (from: SimulatedHost, { to, message }: SendPeer): void {
    if (to === from.name) return this.post(to, { ...message, from: from.name } as Message as HostMessage)
    // Links encode messages as JSON, which knows neither infinite numbers nor undefined values.
    const received = { ...JSON.parse(JSON.stringify(message)), from: from.name } as HostMessage
    this.schedule(MIN_DELAY_MS + this.random() * DELAY_JITTER_MS, () => {
      if (this.#hosts.has(to) && !this.#cutLinks.has(`${from.name} ${to}`)) this.post(to, received)
    })
  }

  #store (host: SimulatedHost, effect: JournalEffect): void {
    const { disk } = host
    this.#scheduleFor(host, SYNC_MS, () => {
      if (effect.kind === 'journal/snapshot') disk.snapshot = effect.snapshot
      disk.records = effect.kind === 'journal/snapshot' ? effect.records : [...disk.records, ...effect.records]
      this.post(host.name, { kind: 'agreement/stored', write: effect.write })
    })
  }
}

function createSettings ({ name, failureDomain, control }: SimulatedHostParts, authority: 'kept' | 'leased'): Settings {
  const settings = {
    host: name,
    failureDomain,
    callers: control ? undefined : '127.0.0.1:1',
    peers: '127.0.0.1:2',
    operators: '127.0.0.1:3',
    dataFolder: control ? 'data' : undefined,
    control: [{ host: control ? name : 'control-0', peers: '127.0.0.1:2' }],
    authority
  }
  return parseSettings(JSON.stringify(settings)).unwrapOrElse(findings => { throw new Error(formatFindings('settings', findings)) })
}

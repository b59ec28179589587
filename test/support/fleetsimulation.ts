/** A fleet of hosts with all their slices, whose processors, links, disks and clocks are simulated. */
import { readOwner, type Effect, type Message, type SendPeer, type SetTimer, type ClearTimer, type Tell } from '../../src/core/message.js'
import { Inbox } from '../../src/core/inbox.js'
import type { Slice } from '../../src/core/slice.js'
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

/** A host to simulate. */
export interface SimulatedHostParts {
  readonly name: string
  readonly failureDomain: string
  readonly control: boolean
}

/** Called with each message that a slice of a host tells another, and each effect that leaves the host. */
export type OnEffect = (host: string, effect: Effect) => void

interface SimulatedHost extends SimulatedHostParts {
  readonly slices: ReadonlyMap<string, Slice>
  readonly inbox: Inbox
  readonly timers: Map<string, number>
  /** What one message costs, in milliseconds of the processor. */
  costMs: number
  busyUntilMs: number
  frozenUntilMs: number
  scheduled: boolean
}

/** Runs the slices of all hosts in simulated time, one message after the other on each host. */
export class FleetSimulation {
  readonly random: () => number
  nowMs = 0
  readonly #hosts = new Map<string, SimulatedHost>()
  readonly #cutLinks = new Set<string>()
  readonly #onEffect: OnEffect
  readonly #steps = StepQueue.create()
  #sequence = 0

  private constructor (parts: readonly SimulatedHostParts[], seed: number, authority: 'kept' | 'leased', onEffect: OnEffect) {
    this.random = createRandom(seed)
    this.#onEffect = onEffect
    const control = parts.filter(part => part.control).map(({ name }) => name)
    for (const part of parts) this.#start(part, control, authority)
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

  /** Cuts the links between a host and others, in both directions, or mends them. */
  setCut (host: string, others: readonly string[], cut: boolean): void {
    for (const other of others) {
      for (const link of [`${host} ${other}`, `${other} ${host}`]) {
        if (cut) this.#cutLinks.add(link)
        else this.#cutLinks.delete(link)
      }
    }
  }

  #start (part: SimulatedHostParts, control: readonly string[], authority: 'kept' | 'leased'): void {
    const { name, failureDomain } = part
    const settings = createSettings(part, authority)
    const guarantees = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
    const slices = new Map(createSlices(settings, guarantees, 0).map(slice => [slice.name, slice]))
    this.#hosts.set(name, { ...part, slices, inbox: Inbox.create(PRIORITIES), timers: new Map(), costMs: USUAL_COST_MS, busyUntilMs: 0, frozenUntilMs: 0, scheduled: false })
    const self = { kind: 'host', host: name, incarnation: '1', failureDomain, peers: name, draining: false, control: part.control, apart: part.control } as const
    const recovered = part.control ? { incarnation: `disk of ${name}`, mark: { term: 0 }, entries: [] } : undefined
    this.schedule(this.random() * 100, () => {
      this.post(name, { kind: 'membership/started', self, control })
      this.post(name, { kind: 'agreement/started', self: name, control, forms: true, voters: 0, recovered })
    })
  }

  #scheduleTurn (host: SimulatedHost): void {
    if (host.scheduled) return
    host.scheduled = true
    this.schedule(Math.max(host.busyUntilMs, host.frozenUntilMs) - this.nowMs, () => {
      host.scheduled = false
      if (host.frozenUntilMs > this.nowMs) return this.#scheduleTurn(host)
      this.#handleNext(host)
      if (host.inbox.size > 0) this.#scheduleTurn(host)
    })
  }

  #handleNext (host: SimulatedHost): void {
    const message = host.inbox.take()
    if (message === undefined) return
    const effects = host.slices.get(readOwner(message.kind))!.handle(message, { monotonicMs: this.nowMs, wallMs: this.nowMs, random: this.random() })
    host.busyUntilMs = this.nowMs + host.costMs
    for (const effect of effects) this.#execute(host, effect)
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
      case 'journal/snapshot': return this.#store(host, (effect as unknown as { readonly write: number }).write)
    }
  }

  #setTimer (host: SimulatedHost, { name, afterMs, message }: SetTimer): void {
    const timer = ++this.#sequence
    host.timers.set(name, timer)
    this.schedule(afterMs, () => {
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

  #store (host: SimulatedHost, write: number): void {
    this.schedule(SYNC_MS, () => this.post(host.name, { kind: 'agreement/stored', write }))
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

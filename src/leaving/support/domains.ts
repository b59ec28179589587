/** Reads of three failure domains on databases of one group in simulated time, placed by the routing slice of each host. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Effect, Tell } from '../../core/message.js'
import { ORIGIN } from '../../core/position.js'
import type { DatabaseEntry, GrantEntry } from '../../membership/directory.js'
import type { RequestRouted } from '../../requests/messages.js'
import { decideRouting } from '../../routing/decide.js'
import type { RoutingMessage } from '../../routing/messages.js'
import { createRoutingState, type RoutingState } from '../../routing/state.js'
import type { LeavingSettings } from '../state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES = { group: 'g', action: 'read', maxStalenessMs: 1_500, idempotent: false } as const
/** Interval at which a host hears the load of one database that it doesn't use. */
const POLL_INTERVAL_MS = 100
const LAST_ARRIVALS_MS = 1_000

/** The failure domains of a simulation. */
export const DOMAINS = ['a', 'b', 'c'] as const
export type Domain = typeof DOMAINS[number]

/** A load pattern. */
export interface DomainsLoad {
  readonly seed: number
  readonly hostsPerDomain: number
  readonly databases: Readonly<Record<Domain, number>>
  readonly slots: number
  readonly runMs: number
  readonly durationMs: number
  readonly targetMs: number
  readonly bytes: number
  /** Reads a second of a domain at a time. */
  readonly computeRate: (domain: Domain, nowMs: number) => number
  /** Time of one way between two domains. */
  readonly computeWayMs: (from: Domain, to: Domain) => number
  /** How reads leave; a fixed cost where absent. */
  readonly leaving?: LeavingSettings
}

/** What became of a load. */
export interface DomainsResult {
  readonly reads: number
  readonly meanMs: number
  /** Part of the reads that took longer than their target, in the worst-served domain and in all. */
  readonly late: number
  readonly worstLate: number
  /** Part of the reads that left their domain. */
  readonly left: number
  /** Reads that came from other domains to each domain, by tenths of a second. */
  readonly arrivalsByTenth: Readonly<Record<Domain, readonly number[]>>
}

interface ScheduledStep {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

interface SimulatedDatabase {
  readonly entry: DatabaseEntry
  running: number
  readonly waiting: Array<() => void>
}

interface Read {
  readonly domain: Domain
  readonly startedAtMs: number
  readonly elapsedMs: number
  readonly left: boolean
}

/**
 * Runs a load pattern.
 * @example runDomains(load).left // 0.2
 */
export function runDomains (load: DomainsLoad): DomainsResult {
  return DomainsSimulation.create(load).run()
}

class DomainsSimulation {
  readonly #load: DomainsLoad
  readonly #random
  /** Arrivals are the same however reads are placed. */
  readonly #arrivalRandom
  readonly #steps: ScheduledStep[] = []
  readonly #states = new Map<string, RoutingState>()
  readonly #databases: ReadonlyMap<string, SimulatedDatabase>
  readonly #reads: Read[] = []
  readonly #arrivals: Record<Domain, number[]>
  #nowMs = 0
  #sequence = 0

  private constructor (load: DomainsLoad) {
    this.#load = load
    this.#random = xoroshiro128plus(load.seed)
    this.#arrivalRandom = new Map(DOMAINS.map((domain, index) => [domain, xoroshiro128plus(load.seed + index + 1)]))
    const entries = DOMAINS.flatMap(failureDomain => Array.from({ length: load.databases[failureDomain] }, (_, index): DatabaseEntry =>
      ({ kind: 'database', database: `${failureDomain}${index}`, group: 'g', failureDomain, address: '', slots: load.slots, connectionLimit: 10, departing: false })))
    this.#databases = new Map(entries.map(entry => [entry.database, { entry, running: 0, waiting: [] }]))
    const tenths = Math.ceil(load.durationMs / 100) + LAST_ARRIVALS_MS
    this.#arrivals = { a: new Array<number>(tenths).fill(0), b: new Array<number>(tenths).fill(0), c: new Array<number>(tenths).fill(0) }
    const grant: GrantEntry = { kind: 'grant', group: 'g', term: 1, primary: 'elsewhere', members: [] }
    for (const domain of DOMAINS) {
      for (let index = 0; index < load.hostsPerDomain; index += 1) {
        const host = `${domain}-${index}`
        this.#states.set(host, createRoutingState(host, domain, GUARANTEES, undefined, undefined, load.leaving))
        this.#decide(host, { kind: 'routing/directory-changed', hosts: [], databases: entries, owners: new Map(entries.map(({ database }) => [database, `owner-${database}`])), grants: [grant] })
      }
    }
  }

  static create (load: DomainsLoad): DomainsSimulation {
    return new DomainsSimulation(load)
  }

  run (): DomainsResult {
    for (const host of this.#states.keys()) {
      this.#scheduleArrival(host, 1)
      this.#schedule(this.#draw() * POLL_INTERVAL_MS, () => this.#poll(host, 0))
    }
    while (this.#steps.length > 0) {
      this.#steps.sort((a, b) => b.atMs - a.atMs || b.sequence - a.sequence)
      const step = this.#steps.pop()!
      this.#nowMs = step.atMs
      step.run()
    }
    return this.#computeResult()
  }

  #computeResult (): DomainsResult {
    const count = (reads: readonly Read[], matches: (read: Read) => boolean): number => reads.filter(matches).length / Math.max(1, reads.length)
    const isLate = ({ elapsedMs }: Read): boolean => elapsedMs > this.#load.targetMs
    return {
      reads: this.#reads.length,
      meanMs: this.#reads.reduce((sum, { elapsedMs }) => sum + elapsedMs, 0) / this.#reads.length,
      late: count(this.#reads, isLate),
      worstLate: Math.max(...DOMAINS.map(domain => count(this.#reads.filter(read => read.domain === domain), isLate))),
      left: count(this.#reads, read => read.left),
      arrivalsByTenth: this.#arrivals
    }
  }

  #draw (): number {
    return uniformFloat64(this.#random)
  }

  #scheduleArrival (host: string, number: number): void {
    const domain = this.#readDomain(host)
    const rate = this.#load.computeRate(domain, this.#nowMs) / this.#load.hostsPerDomain
    const pauseMs = rate === 0 ? POLL_INTERVAL_MS : Math.min(POLL_INTERVAL_MS, -Math.log(1 - uniformFloat64(this.#arrivalRandom.get(domain)!)) * 1_000 / rate)
    const arrives = rate > 0 && pauseMs < POLL_INTERVAL_MS
    if (this.#nowMs + pauseMs > this.#load.durationMs) return
    this.#schedule(pauseMs, () => {
      if (arrives) this.#arrive(host, number)
      this.#scheduleArrival(host, number + 1)
    })
  }

  #arrive (host: string, number: number): void {
    const domain = this.#readDomain(host)
    const caller = `${host}/${number}`
    const effects = this.#decide(host, { kind: 'routing/choose', caller, attempt: 1, rules: RULES, workspace: `w${number % 20}`, seen: ORIGIN, avoid: [] })
    const routed = effects.flatMap(effect => (effect.kind === 'loop/tell' ? [(effect as Tell).message] : [])).find(message => message.kind === 'requests/routed') as RequestRouted
    const database = this.#databases.get(routed.target.database)!
    const to = database.entry.failureDomain as Domain
    const startedAtMs = this.#nowMs
    if (to !== domain) this.#arrivals[to][Math.floor(startedAtMs / 100)]! += 1
    const wayMs = this.#load.computeWayMs(domain, to)
    this.#schedule(wayMs, () => this.#enqueue(database, (waitedMs, ranMs, load) => this.#schedule(wayMs, () => {
      const elapsedMs = this.#nowMs - startedAtMs
      this.#reads.push({ domain, startedAtMs, elapsedMs, left: to !== domain })
      this.#decide(host, { kind: 'routing/owner-answered', owner: routed.target.owner, database: routed.target.database, load, elapsedMs, waitedMs, ranMs, bytes: this.#load.bytes })
    })))
  }

  #enqueue (database: SimulatedDatabase, answer: (waitedMs: number, ranMs: number, load: number) => void): void {
    const arrivedAtMs = this.#nowMs
    const start = (): void => {
      const ranMs = this.#load.runMs * (0.5 + this.#draw())
      const waitedMs = this.#nowMs - arrivedAtMs
      database.running += 1
      this.#schedule(ranMs, () => {
        database.running -= 1
        database.waiting.shift()?.()
        answer(waitedMs, ranMs, this.#computeLoad(database))
      })
    }
    if (database.running < this.#load.slots) start()
    else database.waiting.push(start)
  }

  #poll (host: string, turn: number): void {
    const database = [...this.#databases.values()][turn % this.#databases.size]!
    const load = this.#computeLoad(database)
    this.#decide(host, { kind: 'routing/ask-due' })
    this.#decide(host, { kind: 'routing/positions-told', round: this.#states.get(host)!.pollRound, from: `owner-${database.entry.database}`, positions: [{ database: database.entry.database, position: ORIGIN, ageMs: 0, load }] })
    for (const { entry } of this.#databases.values()) this.#decide(host, { kind: 'routing/positions-told', round: this.#states.get(host)!.pollRound, from: `owner-${entry.database}`, positions: [] })
    if (this.#nowMs + POLL_INTERVAL_MS < this.#load.durationMs) this.#schedule(POLL_INTERVAL_MS, () => this.#poll(host, turn + 1))
  }

  #computeLoad ({ running, waiting }: SimulatedDatabase): number {
    return (running + waiting.length) / this.#load.slots
  }

  #readDomain (host: string): Domain {
    return this.#states.get(host)!.failureDomain as Domain
  }

  #schedule (afterMs: number, run: () => void): void {
    this.#steps.push({ atMs: this.#nowMs + afterMs, sequence: ++this.#sequence, run })
  }

  #decide (host: string, message: RoutingMessage): readonly Effect[] {
    const step = decideRouting(this.#states.get(host)!, message, { monotonicMs: this.#nowMs, wallMs: 0, random: this.#draw() })
    this.#states.set(host, step.state)
    return step.effects
  }
}

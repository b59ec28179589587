/** Load on one entry host in simulated time, whose processor handles one message after the other. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Effect, Message, SendPeer, SetTimer, Tell } from '../../core/message.js'
import { ORIGIN } from '../../core/position.js'
import { StoreSlice } from '../../core/store.js'
import type { AttemptId, RequestsMessage, RouteRules } from '../messages.js'
import type { RunRequest } from '../../transactions/messages.js'
import { decideRequests } from '../decide.js'
import { createRequestsShared } from '../state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
/** The processor time of a request until it is sent, of its answer, and of a refusal or a timer, in milliseconds. */
const SEND_COST_MS = 4
const ANSWER_COST_MS = 2
const SMALL_COST_MS = 0.5

/** One of several kinds of requests in a load. */
export interface HostKind {
  readonly name: string
  /** The requests of this kind, of all. */
  readonly share: number
  readonly priority?: number
  readonly latencyMs?: number
  readonly timeoutMs?: number
}

/** The load pattern. */
export interface HostLoad {
  readonly seed: number
  readonly kinds: readonly HostKind[]
  readonly requestsPerSecond: number
  readonly durationMs: number
  /** How long an owner and its database take. */
  readonly ownerMs: number
  /** True where the host does not know what routes need: it then refuses nothing. */
  readonly blind?: boolean
}

/** What became of one request, and when, from the time at which it reached the host's socket. */
export interface HostOutcome {
  readonly kind: string
  readonly outcome: 'finished' | 'refused'
  readonly elapsedMs: number
  readonly retryAfterMs?: number
}

interface Arrival { readonly kind: HostKind, readonly atMs: number }
interface Work { readonly message: RequestsMessage, readonly atMs: number }
interface CallerFailed extends Effect { readonly caller: string, readonly failure: { readonly retryAfterMs?: number } }

/**
 * Runs a load pattern against the requests slice.
 * @example runHostLoad({ seed: 1, kinds, requestsPerSecond: 200, durationMs: 5_000, ownerMs: 20 }).length
 */
export function runHostLoad (load: HostLoad): readonly HostOutcome[] {
  return HostLoadSimulation.create(load).run()
}

class HostLoadSimulation {
  readonly #load: HostLoad
  readonly #random
  readonly #slice = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000, GUARANTEES), decide: decideRequests })
  readonly #arrivals = new Map<string, Arrival>()
  readonly #outcomes: HostOutcome[] = []
  readonly #timers = new Map<string, Work>()
  /** Sorted by time when the next one is taken. */
  readonly #due: Work[] = []
  #nowMs = 0

  private constructor (load: HostLoad) {
    this.#load = load
    this.#random = xoroshiro128plus(load.seed)
  }

  static create (load: HostLoad): HostLoadSimulation {
    return new HostLoadSimulation(load)
  }

  run (): readonly HostOutcome[] {
    this.#scheduleArrivals()
    while (this.#due.length > 0) {
      this.#due.sort((a, b) => b.atMs - a.atMs)
      const work = this.#due.pop()!
      // The processor is busy until now: what came meanwhile waits.
      this.#nowMs = Math.max(this.#nowMs, work.atMs)
      const isTimer = [...this.#timers.entries()].find(([, timer]) => timer === work)
      if (isTimer !== undefined) this.#timers.delete(isTimer[0])
      this.#handle(work.message)
    }
    return this.#outcomes
  }

  #scheduleArrivals (): void {
    let atMs = 0
    for (let number = 1; ; number++) {
      atMs += -Math.log(1 - uniformFloat64(this.#random)) * 1_000 / this.#load.requestsPerSecond
      if (atMs > this.#load.durationMs) return
      const kind = this.#drawKind()
      const caller = `c${number}`
      this.#arrivals.set(caller, { kind, atMs })
      this.#decide({ kind: 'requests/open', caller, service: 's', keyHash: 'h' })
      this.#decide({ kind: 'requests/open-checked', caller, workspace: 'w' })
      this.#due.push({ atMs, message: { kind: 'requests/arrived', caller, input: { intent: 'statement', action: 'read', route: kind.name }, payload: new Uint8Array(0) } })
    }
  }

  #drawKind (): HostKind {
    let left = uniformFloat64(this.#random)
    return this.#load.kinds.find(({ share }) => (left -= share) < 0) ?? this.#load.kinds.at(-1)!
  }

  #read (): { readonly monotonicMs: number, readonly wallMs: number, readonly random: number } {
    return { monotonicMs: this.#nowMs, wallMs: 0, random: uniformFloat64(this.#random) }
  }

  #decide (message: RequestsMessage): readonly Effect[] {
    return this.#slice.handle(message, this.#read())
  }

  #handle (message: RequestsMessage): void {
    const effects = this.#decide(message)
    this.#nowMs += message.kind === 'requests/finished' ? ANSWER_COST_MS : SMALL_COST_MS
    for (const effect of effects) this.#execute(effect)
  }

  #execute (effect: Effect): void {
    switch (effect.kind) {
      case 'loop/tell': return this.#answer((effect as Tell).message)
      case 'timer/set': return this.#setTimer(effect as SetTimer)
      case 'timer/clear': return this.#clearTimer((effect as Effect & { readonly name: string }).name)
      case 'peer/send': return this.#send((effect as SendPeer).message)
      case 'caller/finished': return this.#record((effect as CallerFailed).caller, 'finished')
      case 'caller/failed': return this.#record((effect as CallerFailed).caller, 'refused', (effect as CallerFailed).failure.retryAfterMs)
    }
  }

  #answer (message: Message): void {
    if (message.kind === 'admission/check-request') {
      const { caller, attempt } = message as Message & AttemptId
      const { latencyMs, priority, timeoutMs } = this.#arrivals.get(caller)!.kind
      const named: Partial<RouteRules> = this.#load.blind === true ? { timeoutMs } : { latencyMs, priority, timeoutMs }
      this.#handle({ kind: 'requests/admitted', caller, attempt, rules: { group: 'g', action: 'read', maxStalenessMs: 0, idempotent: false, ...named } })
    } else if (message.kind === 'routing/choose') {
      const { caller, attempt } = message as Message & AttemptId
      this.#handle({ kind: 'requests/routed', caller, attempt, target: { database: 'a1', owner: 'h2', purpose: 'primary', term: 1, floor: ORIGIN } })
    }
  }

  #send (message: Message): void {
    if (message.kind !== 'transactions/run') return
    this.#nowMs += SEND_COST_MS
    const { caller, attempt } = message as RunRequest
    const answer: RequestsMessage = { kind: 'requests/finished', from: 'h2', caller, attempt, status: 'idle', wrote: false, position: ORIGIN, parts: 0, payload: new Uint8Array(0), waitedMs: 0, ranMs: this.#load.ownerMs }
    this.#due.push({ atMs: this.#nowMs + this.#load.ownerMs, message: answer })
  }

  #setTimer ({ name, afterMs, message }: SetTimer): void {
    this.#clearTimer(name)
    if (message.kind === 'requests/lag-due' && this.#nowMs > this.#load.durationMs) return
    const work: Work = { atMs: this.#nowMs + afterMs, message: message as Message as RequestsMessage }
    this.#timers.set(name, work)
    this.#due.push(work)
  }

  #clearTimer (name: string): void {
    const work = this.#timers.get(name)
    if (work === undefined) return
    this.#timers.delete(name)
    this.#due.splice(this.#due.indexOf(work), 1)
  }

  #record (caller: string, outcome: HostOutcome['outcome'], retryAfterMs?: number): void {
    const { kind, atMs } = this.#arrivals.get(caller)!
    this.#outcomes.push({ kind: kind.name, outcome, elapsedMs: this.#nowMs - atMs, retryAfterMs })
  }
}

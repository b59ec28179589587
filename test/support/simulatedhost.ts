/** One entry host with one caller in simulated time: its requests slice, stubs of the slices that it asks, and the owner of one database. */
import { createFailure } from '../../src/core/errors.js'
import { readOwner, type ClearTimer, type Effect, type Message, type SendPeer, type SetTimer, type Tell } from '../../src/core/message.js'
import { ORIGIN } from '../../src/core/position.js'
import { StoreSlice } from '../../src/core/store.js'
import type { CallerEffect } from '../../src/frontends/frontend.js'
import type { HostMessage } from '../../src/messages.js'
import { decideRequests } from '../../src/requests/decide.js'
import type { RouteRules, Target } from '../../src/requests/messages.js'
import { createRequestsShared } from '../../src/requests/state.js'
import type { CancelRequest, RunRequest } from '../../src/transactions/messages.js'
import type { SimulatedClock } from './simulatedclock.js'
import { SimulatedOwner, type EncodeAnswer } from './simulatedowner.js'

export const CALLER = 'c'
/** How long a transaction may be idle. */
export const IDLE_TRANSACTION_MS = 2_000
const REQUEST_MS = 500
const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES: RouteRules = { group: 'a', action: 'write', maxStalenessMs: 0, idempotent: false, idleTransactionMs: IDLE_TRANSACTION_MS }
const TARGET: Target = { database: 'a1', owner: 'owner', purpose: 'primary', term: 1, floor: ORIGIN }
/** The margins of a stop before its time limit: for the last answers, and for those that have not come. */
const END_MARGIN_MS = 100
const ANSWER_MARGIN_MS = 50
const MAX_LINK_MS = 3
const MAX_ADMISSION_MS = 20

/** The front end's part of the host. */
export interface HostedSession {
  execute (effect: CallerEffect): void
  endWhenIdle (): void
}

/** The dependencies of a host. */
export interface HostParts {
  readonly clock: SimulatedClock
  readonly random: () => number
  readonly encodeAnswer: EncodeAnswer
  /** Returns the id of a statement. */
  readonly readId: (payload: Uint8Array) => string
}

/** Runs the requests slice of an entry host. */
export class SimulatedHost {
  readonly owner: SimulatedOwner
  readonly #parts: HostParts
  readonly #requests = StoreSlice.create({ name: 'requests', shared: createRequestsShared(REQUEST_MS, GUARANTEES), decide: decideRequests })
  readonly #timers = new Map<string, symbol>()
  readonly #inbox: Message[] = []
  #session: HostedSession | undefined
  #linkBusyUntilMs = 0
  #keyWithdrawn = false
  #stopping = false
  #ending = false

  private constructor (parts: HostParts) {
    this.#parts = parts
    this.owner = SimulatedOwner.create({ ...parts, reply: message => this.#sendOver(() => this.post(message)) })
  }

  static create (parts: HostParts): SimulatedHost {
    return new SimulatedHost(parts)
  }

  get keyWithdrawn (): boolean {
    return this.#keyWithdrawn
  }

  /** True once a graceful stop began. */
  get stopping (): boolean {
    return this.#stopping
  }

  /** True once a stop answers whatever is left. */
  get ending (): boolean {
    return this.#ending
  }

  setSession (session: HostedSession): void {
    this.#session = session
  }

  /** Forgets the session once its connection is closed, as front ends do. */
  dropSession (): void {
    this.#session = undefined
  }

  /** Adds a message to the inbox, which is handled after the events of the socket that are due by then. */
  readonly post = (message: Message): void => {
    this.#inbox.push(message)
    this.#parts.clock.schedule(0, () => this.#deliver())
  }

  withdrawKey (): void {
    if (this.#keyWithdrawn) return
    this.#keyWithdrawn = true
    this.post({ kind: 'requests/key-withdrawn', caller: CALLER, failure: createFailure('wrong-key', 'parish') } as HostMessage)
  }

  /** Begins a graceful stop, as the stopping slice does. */
  stop (limitMs: number): void {
    if (this.#stopping) return
    this.#stopping = true
    this.#session?.endWhenIdle()
    this.post({ kind: 'requests/stop-asked', endsAtMs: this.#parts.clock.nowMs + limitMs - END_MARGIN_MS } as HostMessage)
    if (limitMs <= ANSWER_MARGIN_MS) this.#endStop()
    else this.#parts.clock.schedule(limitMs - ANSWER_MARGIN_MS, () => this.#endStop())
  }

  #endStop (): void {
    this.#ending = true
    this.#session?.endWhenIdle()
    this.post({ kind: 'requests/end-asked' })
  }

  #deliver (): void {
    const message = this.#inbox.shift()
    if (message !== undefined) this.#handle(message)
  }

  // Messages between slices are handled after the effects of the step that sent them, and before the inbox.
  #handle (message: Message): void {
    if (readOwner(message.kind) !== 'requests') return this.#answerForSlice(message as HostMessage)
    const effects = this.#requests.handle(message, { monotonicMs: this.#parts.clock.nowMs, wallMs: 0, random: this.#parts.random() })
    for (const effect of effects) this.#execute(effect)
    for (const effect of effects) if (effect.kind === 'loop/tell') this.#handle((effect as Tell).message)
  }

  #execute (effect: Effect): void {
    switch (effect.kind) {
      case 'loop/tell': return
      case 'timer/set': return this.#setTimer(effect as SetTimer)
      case 'timer/clear': return this.#clearTimer(effect as ClearTimer)
      case 'peer/send': return this.#sendPeer((effect as SendPeer).message)
      default: if (readOwner(effect.kind) === 'caller') this.#session?.execute(effect as CallerEffect)
    }
  }

  #setTimer ({ name, afterMs, message }: SetTimer): void {
    const timer = Symbol(name)
    this.#timers.set(name, timer)
    this.#parts.clock.schedule(afterMs, () => {
      if (this.#timers.get(name) !== timer) return
      this.#timers.delete(name)
      this.post(message)
    })
  }

  #clearTimer ({ name }: ClearTimer): void {
    this.#timers.delete(name)
  }

  #answerForSlice (message: HostMessage): void {
    const withdrawn = this.#keyWithdrawn ? createFailure('wrong-key', 'parish') : undefined
    switch (message.kind) {
      case 'admission/check-open': return this.#handle({ kind: 'requests/open-checked', caller: CALLER, workspace: 'parish', failure: withdrawn } as HostMessage)
      case 'admission/check-request': return this.#admit(message.attempt)
      case 'routing/choose': return this.#delay(MAX_LINK_MS, { kind: 'requests/routed', caller: CALLER, attempt: message.attempt, target: TARGET })
      default:
    }
  }

  #admit (attempt: number): void {
    if (this.#keyWithdrawn) this.#handle({ kind: 'requests/failed', caller: CALLER, attempt, failure: createFailure('wrong-key', 'parish') } as HostMessage)
    else this.#delay(MAX_ADMISSION_MS, { kind: 'requests/admitted', caller: CALLER, attempt, rules: RULES })
  }

  #delay (maxMs: number, message: HostMessage): void {
    const { clock, random } = this.#parts
    if (random() < 0.5) this.#handle(message)
    else clock.schedule(random() * maxMs, () => this.post(message))
  }

  #sendPeer (message: Message): void {
    if (message.kind === 'transactions/run') this.#sendOver(() => this.owner.run(message as RunRequest))
    if (message.kind !== 'transactions/cancel') return
    this.owner.expectCancel()
    this.#sendOver(() => this.owner.cancel(message as CancelRequest))
  }

  // Links keep the order of their messages.
  #sendOver (deliver: () => void): void {
    const { clock, random } = this.#parts
    this.#linkBusyUntilMs = Math.max(this.#linkBusyUntilMs, clock.nowMs + random() * MAX_LINK_MS)
    clock.schedule(this.#linkBusyUntilMs - clock.nowMs, deliver)
  }
}

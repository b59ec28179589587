/** The message loop of a process: delivers one message at a time to its slice and passes the effects to adapters. */
import type { Adapter } from './adapter.js'
import type { Clock } from './clock.js'
import { Inbox, type Priorities } from './inbox.js'
import { readOwner, type ClearTimer, type Effect, type Message, type Moment, type SetTimer, type Tell } from './message.js'
import { assertInvariant } from './invariant.js'
import type { Slice } from './slice.js'

/** The most messages that are handled before the event loop gets to serve sockets and timers. */
const MAX_MESSAGES_PER_TURN = 256
/** How long messages are handled before the event loop gets to serve sockets and timers, in milliseconds. */
const MAX_TURN_MS = 10

/** The longest timer of the runtime, which fires any longer one at once. */
const MAX_TIMER_MS = 2_147_483_647

/** Called with each message before its decision; used to record traces. */
export type Recorder = (message: Message, moment: Moment) => void

/** Called with each message after its effects were executed, and the time that both took, in milliseconds. */
export type OnHandled = (message: Message, tookMs: number) => void

/** Called with each effect before it is executed, and the slice that decided on it; used for metrics and logs. */
export type Observer = (effect: Effect, slice: string) => void

/** The parts of a loop. */
export interface LoopParts {
  readonly clock: Clock
  readonly slices: readonly Slice[]
  /** The slices whose messages are handled before those of the others, so that a backlog does not cost a host its leases. */
  readonly priorities?: Priorities
  /** Called when a decision or an adapter throws; the loop has stopped by then. */
  readonly onFault: (fault: unknown) => void
  readonly recorder?: Recorder
  readonly onHandled?: OnHandled
  readonly observer?: Observer
}

/** Delivers messages to slices, one at a time, and passes their effects to adapters. */
export class Loop {
  readonly #parts: LoopParts
  readonly #slices: ReadonlyMap<string, Slice>
  readonly #adapters = new Map<string, Adapter>()
  readonly #timers = new Map<string, NodeJS.Timeout>()
  #inbox: Inbox
  #scheduled = false
  #stopped = false

  private constructor (parts: LoopParts) {
    this.#parts = parts
    this.#slices = new Map(parts.slices.map(slice => [slice.name, slice]))
    this.#inbox = Inbox.create(parts.priorities)
  }

  /**
   * Creates a loop over the given slices.
   * @example const loop = Loop.create({ clock: SystemClock.create(), slices: [slice], onFault: console.error })
   */
  static create (parts: LoopParts): Loop {
    return new Loop(parts)
  }

  /**
   * Adds an adapter.
   * @throws InvariantError when another adapter has the same name.
   */
  addAdapter (adapter: Adapter): void {
    assertInvariant(!this.#adapters.has(adapter.name), 'an adapter name is registered only once', adapter.name)
    this.#adapters.set(adapter.name, adapter)
  }

  /** Adds a message to the inbox; ignored once the loop has stopped. */
  readonly post = (message: Message): void => {
    if (this.#stopped) return
    this.#inbox.post(message)
    this.#scheduleTurn()
  }

  /** Stops delivering messages and clears all timers. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.#stopped = true
    this.#inbox = Inbox.create()
    for (const timer of this.#timers.values()) clearTimeout(timer)
    this.#timers.clear()
  }

  readonly #drain = (): void => {
    this.#scheduled = false
    try {
      this.#deliver()
    } catch (fault) {
      this.#stopped = true
      this.#parts.onFault(fault)
    }
  }

  // Hot path: messages from one slice to another are delivered in the same turn, so that a statement passes through
  // all its slices without waiting for the event loop. A message's end is the moment of the next one.
  #deliver (): void {
    let moment = this.#parts.clock.read()
    const endsAtMs = moment.monotonicMs + MAX_TURN_MS
    for (let handled = 0; handled < MAX_MESSAGES_PER_TURN && moment.monotonicMs <= endsAtMs; handled++) {
      const message = this.#inbox.take()
      if (message === undefined) return
      const slice = readOwner(message.kind)
      for (const effect of this.#decide(message, slice, moment)) {
        if (effect.kind === 'loop/tell') this.#inbox.tell((effect as Tell).message)
        else this.#execute(effect, slice)
      }
      if (this.#stopped) return
      const ended = this.#parts.clock.read()
      this.#parts.onHandled?.(message, ended.monotonicMs - moment.monotonicMs)
      moment = ended
    }
    if (this.#inbox.size > 0) this.#scheduleTurn()
  }

  #scheduleTurn (): void {
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(this.#drain)
  }

  #decide (message: Message, owner: string, moment: Moment): readonly Effect[] {
    const slice = this.#slices.get(owner)
    assertInvariant(slice !== undefined, 'a slice is registered for each message', message.kind)
    this.#parts.recorder?.(message, moment)
    return slice.handle(message, moment)
  }

  #execute (effect: Effect, slice: string): void {
    if (effect.notAfterMs !== undefined && this.#parts.clock.read().monotonicMs > effect.notAfterMs) {
      if (effect.otherwise !== undefined) this.post(effect.otherwise)
      return
    }
    if (effect.kind === 'timer/set') return this.#setTimer(effect as SetTimer)
    if (effect.kind === 'timer/clear') return this.#clearTimer((effect as ClearTimer).name)
    const adapter = this.#adapters.get(readOwner(effect.kind))
    assertInvariant(adapter !== undefined, 'an adapter is registered for each effect', effect.kind)
    this.#parts.observer?.(effect, slice)
    adapter.execute(effect, slice)
  }

  #setTimer (effect: SetTimer): void {
    this.#clearTimer(effect.name)
    const timer = setTimeout(() => {
      this.#timers.delete(effect.name)
      this.post(effect.message)
    }, Math.min(effect.afterMs, MAX_TIMER_MS))
    this.#timers.set(effect.name, timer)
  }

  #clearTimer (name: string): void {
    clearTimeout(this.#timers.get(name))
    this.#timers.delete(name)
  }
}

/** The one loop of a process: one inbox, one message at a time, effects handed to adapters. */
import type { Adapter } from './adapter.js'
import type { Clock } from './clock.js'
import { readOwner, type ClearTimer, type Effect, type Message, type Moment, type SetTimer, type Tell } from './message.js'
import { assertInvariant } from './invariant.js'
import type { Slice } from './slice.js'

/** Messages handled before the loop lets sockets and timers have a turn. */
const MESSAGES_PER_TURN = 256

/** Sees each message before its decision; used to record traces. */
export type Recorder = (message: Message, moment: Moment) => void

/** Sees each effect as it leaves, with the slice that decided on it; used for metrics and logs. */
export type Observer = (effect: Effect, slice: string) => void

/** What a loop is made of. */
export interface LoopParts {
  readonly clock: Clock
  readonly slices: readonly Slice[]
  /** Called when a decision throws; the loop has stopped by then. */
  readonly onFault: (fault: unknown) => void
  readonly recorder?: Recorder
  readonly observer?: Observer
}

/** Hands messages to slices, one at a time, and their effects to adapters. */
export class Loop {
  readonly #parts: LoopParts
  readonly #slices: ReadonlyMap<string, Slice>
  readonly #adapters = new Map<string, Adapter>()
  readonly #timers = new Map<string, NodeJS.Timeout>()
  #inbox: Message[] = []
  #scheduled = false
  #stopped = false

  private constructor (parts: LoopParts) {
    this.#parts = parts
    this.#slices = new Map(parts.slices.map(slice => [slice.name, slice]))
  }

  /**
   * Creates a loop over the given slices.
   * @example const loop = Loop.create({ clock: SystemClock.create(), slices: [slice], onFault: console.error })
   */
  static create (parts: LoopParts): Loop {
    return new Loop(parts)
  }

  /** Adds an adapter; each name is taken once. */
  addAdapter (adapter: Adapter): void {
    assertInvariant(!this.#adapters.has(adapter.name), 'one adapter for each kind of effect', adapter.name)
    this.#adapters.set(adapter.name, adapter)
  }

  /** Puts a message into the inbox. */
  readonly post = (message: Message): void => {
    if (this.#stopped) return
    this.#inbox.push(message)
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(this.#drain)
  }

  /** Stops delivering messages and drops all timers. */
  async [Symbol.asyncDispose] (): Promise<void> {
    this.#stopped = true
    this.#inbox = []
    for (const timer of this.#timers.values()) clearTimeout(timer)
    this.#timers.clear()
  }

  readonly #drain = (): void => {
    this.#scheduled = false
    const batch = this.#inbox
    this.#inbox = []
    try {
      this.#deliver(batch)
    } catch (fault) {
      this.#stopped = true
      this.#parts.onFault(fault)
    }
  }

  // Hot path: messages told by a slice are delivered in the same turn, so that a
  // statement passes through all its slices without waiting for the event loop.
  #deliver (batch: Message[]): void {
    let index = 0
    for (; index < batch.length && index < MESSAGES_PER_TURN; index++) {
      for (const effect of this.#decide(batch[index]!)) {
        if (effect.kind === 'loop/tell') batch.push((effect as Tell).message)
        else this.#carryOut(effect, readOwner(batch[index]!.kind))
      }
      if (this.#stopped) return
    }
    if (index === batch.length) return
    this.#inbox = batch.slice(index).concat(this.#inbox)
    if (this.#scheduled) return
    this.#scheduled = true
    setImmediate(this.#drain)
  }

  #decide (message: Message): readonly Effect[] {
    const slice = this.#slices.get(readOwner(message.kind))
    assertInvariant(slice !== undefined, 'each message has a slice', message.kind)
    const moment = this.#parts.clock.read()
    this.#parts.recorder?.(message, moment)
    return slice.take(message, moment)
  }

  #carryOut (effect: Effect, slice: string): void {
    if (effect.notAfterMs !== undefined && this.#parts.clock.read().monotonicMs > effect.notAfterMs) {
      if (effect.otherwise !== undefined) this.post(effect.otherwise)
      return
    }
    if (effect.kind === 'timer/set') return this.#setTimer(effect as SetTimer)
    if (effect.kind === 'timer/clear') return this.#clearTimer((effect as ClearTimer).name)
    const adapter = this.#adapters.get(readOwner(effect.kind))
    assertInvariant(adapter !== undefined, 'each effect has an adapter', effect.kind)
    this.#parts.observer?.(effect, slice)
    adapter.carryOut(effect, slice)
  }

  #setTimer (effect: SetTimer): void {
    this.#clearTimer(effect.name)
    const timer = setTimeout(() => {
      this.#timers.delete(effect.name)
      this.post(effect.message)
    }, effect.afterMs)
    this.#timers.set(effect.name, timer)
  }

  #clearTimer (name: string): void {
    clearTimeout(this.#timers.get(name))
    this.#timers.delete(name)
  }
}

/** The steps and the random numbers of simulations. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A step of a simulation; `sequence` orders those of one time. */
export interface ScheduledStep {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

/** Priority queue of scheduled steps, earliest first. */
export class StepQueue {
  readonly #items: ScheduledStep[] = []

  static create (): StepQueue {
    return new StepQueue()
  }

  /** Adds a step. */
  push (step: ScheduledStep): void {
    const items = this.#items
    let index = items.length
    items.push(step)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (isBefore(items[parent]!, step)) break
      items[index] = items[parent]!
      index = parent
    }
    items[index] = step
  }

  /** Removes and returns the earliest step that is due by a time; undefined if there is none. */
  dequeue (untilMs: number): ScheduledStep | undefined {
    const items = this.#items
    const first = items[0]
    if (first === undefined || first.atMs > untilMs) return undefined
    const last = items.pop()!
    if (items.length > 0) this.#moveDown(last)
    return first
  }

  #moveDown (step: ScheduledStep): void {
    const items = this.#items
    let index = 0
    while (true) {
      let child = 2 * index + 1
      if (child + 1 < items.length && isBefore(items[child + 1]!, items[child]!)) child += 1
      if (child >= items.length || isBefore(step, items[child]!)) break
      items[index] = items[child]!
      index = child
    }
    items[index] = step
  }
}

function isBefore (one: ScheduledStep, other: ScheduledStep): boolean {
  return one.atMs === other.atMs ? one.sequence < other.sequence : one.atMs < other.atMs
}

/** Creates a seeded generator of numbers in [0, 1). */
export function createRandom (seed: number): () => number {
  const generator = xoroshiro128plus(seed)
  return () => uniformFloat64(generator)
}

/** The clock of a simulation. */
import { setImmediate as settlePromises } from 'node:timers/promises'
import { StepQueue } from './stepqueue.js'

/** Steps in simulated time; those of one time run in the order in which they were scheduled. */
export class SimulatedClock {
  readonly #steps = StepQueue.create()
  #sequence = 0
  #nowMs = 0

  static create (): SimulatedClock {
    return new SimulatedClock()
  }

  get nowMs (): number {
    return this.#nowMs
  }

  schedule (afterMs: number, run: () => void): void {
    this.#steps.push({ atMs: this.#nowMs + afterMs, sequence: this.#sequence++, run })
  }

  /** Runs the steps that are due by a time; what a step leaves to promises is done before the next one. */
  async runUntil (untilMs: number): Promise<void> {
    for (let step = this.#steps.dequeue(untilMs); step !== undefined; step = this.#steps.dequeue(untilMs)) {
      this.#nowMs = step.atMs
      step.run()
      await settlePromises()
    }
    this.#nowMs = untilMs
  }
}

/** The clock of a simulation. */
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

  runUntil (untilMs: number): void {
    for (let step = this.#steps.dequeue(untilMs); step !== undefined; step = this.#steps.dequeue(untilMs)) {
      this.#nowMs = step.atMs
      step.run()
    }
    this.#nowMs = untilMs
  }
}

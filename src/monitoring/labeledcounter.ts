/** Counters that only update a map on the hot path; they are copied to prom-client when the metrics are read. */
import { Counter, type Registry } from 'prom-client'

/** The prefix of all metric names. */
export const METRIC_PREFIX = 'fulmartally_'
const SEPARATOR = '\n'

/** The parts of a counter. */
export interface LabeledCounterParts {
  readonly registry: Registry
  readonly name: string
  readonly help: string
  readonly labels: readonly string[]
}

/** A counter with up to two labels. */
export class LabeledCounter {
  readonly #values = new Map<string, number>()

  private constructor ({ registry, name, help, labels }: LabeledCounterParts) {
    const counter: Counter = new Counter({
      name,
      help,
      labelNames: labels,
      registers: [registry],
      collect: () => {
        counter.reset()
        for (const [key, value] of this.#values) counter.inc(createLabels(labels, key), value)
      }
    })
  }

  /**
   * Creates and registers a counter.
   * @example LabeledCounter.create({ registry, name: 'requests_total', help: 'Requests.', labels: ['outcome'] }).increment('failed')
   */
  static create (parts: LabeledCounterParts): LabeledCounter {
    return new LabeledCounter(parts)
  }

  /** Increments the counter of up to two label values by one. */
  increment (first = '', second?: string): void {
    this.incrementBy(1, first, second)
  }

  /** Increments the counter of up to two label values by a number. */
  incrementBy (count: number, first = '', second?: string): void {
    const key = second === undefined ? first : first + SEPARATOR + second
    this.#values.set(key, (this.#values.get(key) ?? 0) + count)
  }
}

function createLabels (labels: readonly string[], key: string): Record<string, string> {
  const values = key.split(SEPARATOR)
  return Object.fromEntries(labels.map((label, index) => [label, values[index] ?? '']))
}

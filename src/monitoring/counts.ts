/** Counters that cost a map's entry on the hot path; prom-client sees them only when they are read. */
import { Counter, type Registry } from 'prom-client'

/** Begins the name of each metric. */
export const METRIC_PREFIX = 'fulmartally_'
const SEPARATOR = '\n'

/** What a counter is made of. */
export interface CountsParts {
  readonly registry: Registry
  readonly name: string
  readonly help: string
  readonly labels: readonly string[]
}

/** Counts by label values. */
export class Counts {
  readonly #values = new Map<string, number>()

  private constructor ({ registry, name, help, labels }: CountsParts) {
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
   * Creates a counter without counts.
   * @example Counts.create({ registry, name: 'requests_total', help: 'Requests.', labels: ['outcome'] }).add('failed')
   */
  static create (parts: CountsParts): Counts {
    return new Counts(parts)
  }

  /** Adds one, for up to two label values. */
  add (first = '', second?: string): void {
    this.addMany(1, first, second)
  }

  /** Adds a number, for up to two label values. */
  addMany (count: number, first = '', second?: string): void {
    const key = second === undefined ? first : first + SEPARATOR + second
    this.#values.set(key, (this.#values.get(key) ?? 0) + count)
  }
}

function createLabels (labels: readonly string[], key: string): Record<string, string> {
  const values = key.split(SEPARATOR)
  return Object.fromEntries(labels.map((label, index) => [label, values[index] ?? '']))
}

/** Open-loop load: requests leave at stated times, so that waiting is counted. */
import * as hdr from 'hdr-histogram-js'

const HIGHEST_US = 60_000_000
const US_PER_MS = 1_000

/** What a load measured. */
export interface LoadFigures {
  readonly asked: number
  readonly answered: number
  readonly failed: number
  /** How long it took until the last request was over. */
  readonly seconds: number
  readonly answeredPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly worstMs: number
}

/** A load to run. */
export interface Load {
  /** Requests a second, at equal distances. */
  readonly rate: number
  readonly seconds: number
  /** Sends the request of a number; rejects when it was not answered. */
  readonly send: (index: number) => Promise<unknown>
}

/**
 * Runs a load; a latency counts from the time at which the request was due.
 * @example await runLoad({ rate: 500, seconds: 5, send: index => clients[index % clients.length].query('SELECT 1') })
 */
export async function runLoad (load: Load): Promise<LoadFigures> {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST_US, numberOfSignificantValueDigits: 3 })
  const startedAtMs = performance.now()
  const total = Math.round(load.rate * load.seconds)
  const running: Array<Promise<void>> = []
  let failed = 0
  for (let index = 0; index < total; index++) {
    const dueAtMs = startedAtMs + index * 1_000 / load.rate
    const waitMs = dueAtMs - performance.now()
    if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs))
    running.push(load.send(index).then(
      () => histogram.recordValue(Math.max(1, Math.round((performance.now() - dueAtMs) * US_PER_MS))),
      () => { failed += 1 }))
  }
  await Promise.all(running)
  const seconds = (performance.now() - startedAtMs) / 1_000
  return {
    asked: total,
    answered: histogram.totalCount,
    failed,
    seconds,
    answeredPerSecond: roundFigure(histogram.totalCount / seconds),
    p50Ms: roundFigure(histogram.getValueAtPercentile(50) / US_PER_MS),
    p99Ms: roundFigure(histogram.getValueAtPercentile(99) / US_PER_MS),
    worstMs: roundFigure(histogram.maxValue / US_PER_MS)
  }
}

/**
 * Runs as many requests as a number of senders can, one after another each, and returns the rate reached.
 * @example await findThroughput(clients.length, 5, sender => clients[sender].query('SELECT 1'))
 */
export async function findThroughput (senders: number, seconds: number, send: (sender: number) => Promise<unknown>): Promise<number> {
  const endsAtMs = performance.now() + seconds * 1_000
  let answered = 0
  await Promise.all(Array.from({ length: senders }, async (_, sender) => {
    while (performance.now() < endsAtMs) {
      await send(sender)
      answered += 1
    }
  }))
  return roundFigure(answered / seconds)
}

/**
 * Rounds a figure to two digits after the point.
 * @example roundFigure(1.2345) // 1.23
 */
export function roundFigure (value: number): number {
  return Math.round(value * 100) / 100
}

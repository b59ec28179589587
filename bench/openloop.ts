/** Open-loop load: requests are sent on a fixed schedule, so that latencies include the time spent waiting for slow requests. */
import * as hdr from 'hdr-histogram-js'

const MAX_TRACKABLE_US = 60_000_000
const US_PER_MS = 1_000

/** Results of a load. */
export interface LoadResult {
  readonly asked: number
  readonly answered: number
  readonly failed: number
  /** Time from the start of the load until its last request completed. */
  readonly seconds: number
  readonly answeredPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
  readonly worstMs: number
}

/** Description of a load. */
export interface Load {
  /** Requests a second, at equal intervals. */
  readonly rate: number
  readonly seconds: number
  /** Sends the request with this index; rejects if it fails. */
  readonly send: (index: number) => Promise<unknown>
}

/**
 * Runs a load. The latency of a request counts from its scheduled time.
 * @example await runLoad({ rate: 500, seconds: 5, send: index => clients[index % clients.length].query('SELECT 1') })
 */
export async function runLoad (load: Load): Promise<LoadResult> {
  const histogram = hdr.build({ lowestDiscernibleValue: 1, highestTrackableValue: MAX_TRACKABLE_US, numberOfSignificantValueDigits: 3 })
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
 * Runs closed-loop senders, each with one request in flight, and returns the requests answered a second.
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
 * Rounds to two decimal places.
 * @example roundFigure(1.2345) // 1.23
 */
export function roundFigure (value: number): number {
  return Math.round(value * 100) / 100
}

/** The staleness estimate: conservative, and free of any comparison of two hosts' clocks. */
import type { LogPosition } from '../core/position.js'
import type { PrimarySample } from './state.js'

const SAMPLES_KEPT = 128

/**
 * Adds a sample; the oldest ones are dropped.
 * @example addSample(samples, { database: 'db-1', askedAtMs: 10, position })
 */
export function addSample (samples: readonly PrimarySample[], sample: PrimarySample): readonly PrimarySample[] {
  const last = samples[samples.length - 1]
  if (last !== undefined && sample.askedAtMs < last.askedAtMs) return samples
  return [...samples.slice(-(SAMPLES_KEPT - 1)), sample]
}

/**
 * Returns a position which only a database that lacks nothing from before `sinceMs` is sure to hold.
 * It is the first one that was read after a question asked at `sinceMs` or later.
 * @example findFreshFloor(samples, moment.monotonicMs - 2_000)
 */
export function findFreshFloor (samples: readonly PrimarySample[], sinceMs: number): LogPosition | undefined {
  return samples.find(sample => sample.askedAtMs >= sinceMs)?.position
}

/** Staleness bounds of reads: conservative, and without comparing clocks of two hosts. */
import { pickLater, type LogPosition } from '../core/position.js'
import type { PrimarySample } from './state.js'

const MAX_SAMPLES = 128

/**
 * Appends a sample and drops the oldest beyond the limit; a sample older than the last one is ignored.
 * @example addSample(samples, { database: 'db-1', askedAtMs: 10, position })
 */
export function addSample (samples: readonly PrimarySample[], sample: PrimarySample): readonly PrimarySample[] {
  const last = samples[samples.length - 1]
  if (last !== undefined && sample.askedAtMs < last.askedAtMs) return samples
  return [...samples.slice(-(MAX_SAMPLES - 1)), sample]
}

/**
 * Returns the floor for a staleness bound: a database that holds this position holds every write from before
 * `sinceMs`. It is the first position whose read began at `sinceMs` or later; undefined if there is none.
 * @example findFreshFloor(samples, moment.monotonicMs - 2_000)
 */
export function findFreshFloor (samples: readonly PrimarySample[], sinceMs: number): LogPosition | undefined {
  return samples.find(sample => sample.askedAtMs >= sinceMs)?.position
}

/**
 * Returns the floor of a read from samples that each proved their database to be primary; undefined if none is
 * fresh enough. Positions of an earlier term, in a sample or in `seen`, may have been rolled back. The last sample
 * covers what was kept of them, so its position takes their place.
 * @example findProvenFloor(samples, session, moment.monotonicMs - 2_000)
 */
export function findProvenFloor (samples: readonly PrimarySample[], seen: LogPosition, sinceMs: number): LogPosition | undefined {
  const last = samples[samples.length - 1]
  const fresh = findFreshFloor(samples, sinceMs)
  if (last === undefined || fresh === undefined) return undefined
  const floor = fresh.term < last.position.term ? last.position : fresh
  return seen.term < last.position.term ? pickLater(floor, seen.offset === 0 ? floor : last.position) : pickLater(floor, seen)
}

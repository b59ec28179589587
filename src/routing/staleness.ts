/** The staleness estimate: conservative, and free of any comparison of two hosts' clocks. */
import { pickLater, type LogPosition } from '../core/position.js'
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

/**
 * Returns the floor of a read by samples that each proved their database to be primary. A position of an
 * earlier term than the last sample's may have been rolled back; what was kept of it is in that sample.
 * @example findProvenFloor(samples, session, moment.monotonicMs - 2_000)
 */
export function findProvenFloor (samples: readonly PrimarySample[], seen: LogPosition, sinceMs: number): LogPosition | undefined {
  const last = samples[samples.length - 1]
  const fresh = findFreshFloor(samples, sinceMs)
  if (last === undefined || fresh === undefined) return undefined
  const floor = fresh.term < last.position.term ? last.position : fresh
  return seen.term < last.position.term ? pickLater(floor, seen.offset === 0 ? floor : last.position) : pickLater(floor, seen)
}

/**
 * When a read leaves its failure domain, and how many of them. Covers the load patterns of a domain with too few databases, of
 * a wave that moves from one domain to the next, of databases that are all full, and of one slow link.
 *
 * Each host decides by itself: a read leaves while it costs less time elsewhere than at home, by the path that this host
 * measured, by the load that owners report, which includes what other hosts sent there, and by the bytes of its answer. Each
 * read draws two databases and compares the cheaper one with home, so that hosts that see the same figures don't all flee to
 * the same database, and what is saved has to exceed a margin, so that reads don't swing.
 */
import type { LeavingSettings, LeavingState, MeasuredMs } from './state.js'

/** Weight of one answer in the averages. */
const SAMPLE_WEIGHT = 0.2
/** Age at which a figure counts half. */
const HALF_LIFE_MS = 2_000
/** Run time of a group's statements until one was measured. */
const DEFAULT_RUN_MS = 10
/** Price of another failure domain of which nothing is known, in run times. */
const UNKNOWN_PATH_RUNS = 1.3
/** Load of a database of which nothing is known, in requests per slot. */
const UNKNOWN_LOAD = 1
/** What leaving has to save beyond its price, in run times. */
const MARGIN_RUNS = 0.3
const BYTES_PER_KIB = 1_024

/** A database that may serve a read. */
export interface LeavingCandidate {
  readonly database: string
  readonly failureDomain: string
  readonly slots: number
  /** Running and queued requests per slot; absent where no recent report is known. */
  readonly load?: number
  /** Cost of its role or state, in requests per slot. */
  readonly extraCost: number
}

/** What an owner's answer showed. */
export interface OwnerAnswer {
  readonly group: string
  readonly failureDomain: string
  readonly elapsedMs: number
  readonly waitedMs: number
  readonly ranMs: number
  readonly bytes: number
}

/** Why a read left its failure domain: it waits less elsewhere, or no database of its domain can serve it. */
export type LeavingReason = 'wait' | 'none-at-home'

/** The databases among which a read is placed. */
export interface LeavingChoice {
  readonly candidates: readonly LeavingCandidate[]
  readonly left?: LeavingReason
}

/**
 * Records what an answer showed of its path, its database and its group.
 * @example recordOwnerAnswer(state, answer, moment.monotonicMs).paths.get('east')?.ms
 */
export function recordOwnerAnswer (state: LeavingState, answer: OwnerAnswer, nowMs: number): LeavingState {
  const { group, failureDomain, elapsedMs, waitedMs, ranMs, bytes } = answer
  return {
    ...state,
    paths: addMeasured(state.paths, failureDomain, Math.max(0, elapsedMs - waitedMs - ranMs), nowMs),
    runs: addMeasured(state.runs, group, ranMs, nowMs),
    bytes: new Map(state.bytes).set(group, computeAverage(state.bytes.get(group), bytes))
  }
}

function addMeasured (known: ReadonlyMap<string, MeasuredMs>, key: string, ms: number, nowMs: number): ReadonlyMap<string, MeasuredMs> {
  return new Map(known).set(key, { ms: computeAverage(known.get(key)?.ms, ms), atMs: nowMs })
}

function computeAverage (average: number | undefined, sample: number): number {
  return average === undefined ? sample : average + (sample - average) * SAMPLE_WEIGHT
}

/**
 * Chooses whether a read leaves its failure domain, and the databases among which it is placed then.
 * @param random a fresh random number in [0, 1).
 * @example chooseDomain(state, 'east', 'rota', candidates, 0.4, moment.monotonicMs).left // 'wait'
 */
export function chooseDomain (state: LeavingState, failureDomain: string, group: string, candidates: readonly LeavingCandidate[], random: number, nowMs: number): LeavingChoice {
  const home = candidates.filter(candidate => candidate.failureDomain === failureDomain)
  const away = candidates.filter(candidate => candidate.failureDomain !== failureDomain)
  if (away.length === 0) return { candidates: home }
  const runMs = Math.max(1, state.runs.get(group)?.ms ?? DEFAULT_RUN_MS)
  const price = (candidate: LeavingCandidate): number => calculatePriceMs(state, failureDomain, group, candidate, runMs, nowMs)
  const pickAway = (among: readonly LeavingCandidate[], draw: number): readonly LeavingCandidate[] => pickTwo(among, draw).toSorted((a, b) => price(a) - price(b)).slice(0, 1)
  if (home.length === 0) return { candidates: pickAway(away, random), left: 'none-at-home' }
  const best = Math.min(...home.map(price))
  const [drawn] = pickAway(away, random)
  const leaves = drawn !== undefined && price(drawn) + MARGIN_RUNS * runMs < best
  return leaves ? { candidates: [drawn], left: 'wait' } : { candidates: home }
}

// The cheaper of two databases that each host draws for itself: all hosts would send to the cheapest one until its next report.
function pickTwo (candidates: readonly LeavingCandidate[], random: number): readonly LeavingCandidate[] {
  const { length } = candidates
  if (length <= 2) return candidates
  const drawn = Math.floor(random * length * (length - 1))
  const first = drawn % length
  return [candidates[first]!, candidates[(first + 1 + Math.floor(drawn / length)) % length]!]
}

/**
 * Calculates the time that a read costs at a database beyond its own run time: path, wait, bytes and the cost of its role.
 * @example calculatePriceMs(state, 'east', 'rota', candidate, 10, moment.monotonicMs)
 */
export function calculatePriceMs (state: LeavingState, failureDomain: string, group: string, candidate: LeavingCandidate, runMs: number, nowMs: number): number {
  const { load = UNKNOWN_LOAD, slots, extraCost } = candidate
  const queuedMs = Math.max(0, load + 1 / slots - 1) * runMs
  const remoteMs = candidate.failureDomain === failureDomain ? 0 : calculateRemoteMs(state, failureDomain, group, candidate, runMs, nowMs)
  return queuedMs + remoteMs + extraCost * runMs
}

function calculateRemoteMs ({ paths, bytes, settings }: LeavingState, failureDomain: string, group: string, candidate: LeavingCandidate, runMs: number, nowMs: number): number {
  const unknownMs = UNKNOWN_PATH_RUNS * runMs
  const away = paths.get(candidate.failureDomain)
  const freshness = away === undefined ? 0 : calculateFreshness(away, nowMs)
  const measuredMs = Math.max(0, (away?.ms ?? 0) - (paths.get(failureDomain)?.ms ?? 0))
  return measuredMs * freshness + unknownMs * (1 - freshness) + calculateBytesMs(bytes.get(group) ?? 0, settings)
}

function calculateBytesMs (bytes: number, { priceMsPerKib }: LeavingSettings): number {
  return bytes / BYTES_PER_KIB * priceMsPerKib
}

function calculateFreshness ({ atMs }: MeasuredMs, nowMs: number): number {
  return 0.5 ** (Math.max(0, nowMs - atMs) / HALF_LIFE_MS)
}

/**
 * Which arriving requests a host refuses while its own loop is late, so that the most urgent are answered in time. Covers the
 * load pattern of an entry host that uses all of its processor: every message waits for the loop, so every request is late,
 * and what is worth least costs as much processor time as what is worth most.
 *
 * The share that is admitted falls while the loop is too late for the most urgent kind of request that arrives, and grows back
 * otherwise. It is filled by priority.
 */
import type { RouteRules } from './messages.js'

/** A request passes late loops four times: there and back at this host and at an owner. Together they may take the target. */
const LOOP_PASSES = 4
/** Factor of the admitted share for each interval in which this host is too late. */
const DECREASE = 0.7
/** What the admitted share grows by in each other interval. */
const INCREASE = 0.03
/** The share never falls below this. */
const MIN_ROOM = 0.1
/** One of so many requests of a refused kind is admitted all the same: none starves. */
const KEPT_INTERVAL = 8
/** Factor of the counts of arrivals for each interval. */
const COUNT_DECAY = 0.8
/** Counts below this are forgotten. */
const MIN_COUNT = 0.1
/** Priority of a route that names none. */
const LOWEST_PRIORITY = Number.MAX_SAFE_INTEGER

/** The requests of one priority that arrived recently; older ones count less. */
export interface KindCount {
  readonly priority: number
  readonly arrived: number
  /** The tightest latency target of its routes; absent where none names one. */
  readonly latencyMs?: number
}

/** What a host admits. */
export interface Admittance {
  /** The most urgent first. */
  readonly kinds: readonly KindCount[]
  /** The share of the arriving requests that is admitted. */
  readonly room: number
  /** Requests of refused kinds so far. */
  readonly refusals: number
}

/** A host that admits everything. */
export const FULL_ADMITTANCE: Admittance = { kinds: [], room: 1, refusals: 0 }

type KindRules = Pick<RouteRules, 'priority' | 'latencyMs'>

/** Whether a request is admitted, and what the host admits after it. */
export interface AdmittanceDecision {
  readonly admittance: Admittance
  readonly admitted: boolean
}

/**
 * Decides whether an arriving request is admitted. Requests of the most urgent kind always are.
 * @param random from 0 to 1; decides on a kind of which only a part fits.
 * @example admitArrival(admittance, { priority: 2, latencyMs: 600 }, 0.5).admitted
 */
export function admitArrival (before: Admittance, rules: KindRules, random: number): AdmittanceDecision {
  const admittance = countArrival(before, rules)
  if (admittance.room >= 1 || isWithinRoom(admittance, getPriority(rules), random)) return { admittance, admitted: true }
  const refusals = admittance.refusals + 1
  return { admittance: { ...admittance, refusals }, admitted: refusals % KEPT_INTERVAL === 0 }
}

function isWithinRoom ({ kinds, room }: Admittance, priority: number, random: number): boolean {
  const total = countArrived(kinds)
  const moreUrgent = countArrived(kinds.filter(kind => kind.priority < priority))
  if (moreUrgent === 0) return true
  const own = countArrived(kinds.filter(kind => kind.priority === priority))
  return (room * total - moreUrgent) / own > random
}

/**
 * Updates the admitted share after an interval in which this host's loop was late by a time.
 * @example updateAdmittance(admittance, 60).room // 0.85
 */
export function updateAdmittance ({ kinds, room, refusals }: Admittance, lagMs: number): Admittance {
  const late = lagMs * LOOP_PASSES > findUrgentTarget(kinds)
  const decayed = kinds.map(kind => ({ ...kind, arrived: kind.arrived * COUNT_DECAY })).filter(({ arrived }) => arrived >= MIN_COUNT)
  return { kinds: decayed, room: late ? Math.max(MIN_ROOM, room * DECREASE) : Math.min(1, room + INCREASE), refusals }
}

// A single kind has nobody to give way to.
function findUrgentTarget (kinds: readonly KindCount[]): number {
  return kinds.length < 2 ? Infinity : kinds[0]!.latencyMs ?? Infinity
}

function countArrival (admittance: Admittance, rules: KindRules): Admittance {
  const priority = getPriority(rules)
  const before = admittance.kinds.find(kind => kind.priority === priority)
  const latencyMs = Math.min(before?.latencyMs ?? Infinity, rules.latencyMs ?? Infinity)
  const counted: KindCount = { priority, arrived: (before?.arrived ?? 0) + 1, latencyMs: Number.isFinite(latencyMs) ? latencyMs : undefined }
  const kinds = [...admittance.kinds.filter(kind => kind.priority !== priority), counted].sort((a, b) => a.priority - b.priority)
  return { ...admittance, kinds }
}

function getPriority ({ priority }: KindRules): number {
  return priority ?? LOWEST_PRIORITY
}

function countArrived (kinds: readonly KindCount[]): number {
  return kinds.reduce((sum, { arrived }) => sum + arrived, 0)
}

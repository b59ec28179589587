/** When groups form, and when a primary has to be replaced. */
import { recordEvent } from '../core/message.js'
import type { PrimacyState } from './state.js'
import type { GroupRecord } from './table.js'
import { isAnswering, isMajority, LEASE_OVER_MS, propose, SILENT_MS, type PrimacyStep } from './tools.js'

/** How long a host may be silent before its databases' ownership moves, with the time that the next owner takes. */
const OWNERSHIP_MOVES_MS = 2_000
/** How long hosts take to report to a new leader. */
const HOSTS_FOLLOW_MS = 300
/** How long a database counts as announced after a host reported it. */
const ANNOUNCED_MS = 1_000
/** Changes within this time make the next unplanned one wait. */
const RECENT_MS = 30_000
/** The wait after one recent change; it doubles with each further one. */
const DAMPING_MS = 1_000
const DAMPING_LIMIT_MS = 4_000

/**
 * Forms a group once its document's number of databases has announced itself, one of them as primary.
 * @example checkFormation(state, 'a', nowMs)
 */
export function checkFormation (state: PrimacyState, group: string, nowMs: number): PrimacyStep {
  if (state.table[group] !== undefined) return { state, effects: [] }
  const announced = [...state.databases.values()].filter(known => known.entry.group === group && nowMs - known.heardAtMs < ANNOUNCED_MS)
  const primaries = announced.filter(known => known.status?.primary === true && isAnswering(state, known.entry.database, nowMs))
  const [primary] = primaries
  const term = primary?.status?.position.term ?? 0
  const count = state.counts.get(group)
  if (count === undefined || announced.length < count || primaries.length !== 1 || primary === undefined || term < 1) return { state, effects: [] }
  const others = announced.filter(known => known !== primary).slice(0, count - 1)
  const members = [primary, ...others].map(known => known.entry.database).sort()
  return propose(state, { kind: 'primacy/grant', group, term, primary: primary.entry.database, members }, nowMs)
}

/**
 * Ends the grant of a primary that went silent, where a majority of the others can replace it.
 * @example checkPrimary(state, 'a', record, nowMs)
 */
export function checkPrimary (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term } = record
  if (primary === undefined || !(isSilent(state, primary, nowMs) || hasLostRole(state, group, record, nowMs))) return { state, effects: [] }
  if (!isMajority(record, database => database !== primary && isAnswering(state, database, nowMs))) return { state, effects: [] }
  if (nowMs < readDampedUntil(state, group, nowMs)) return { state, effects: [] }
  const step = propose(state, { kind: 'primacy/end', group, term }, nowMs)
  const event = recordEvent('primary-silent', `Primary ${primary} of group ${group} is silent; its grant ends.`, { group })
  return step.effects.length === 0 ? step : { state: step.state, effects: [...step.effects, event] }
}

/**
 * Moves a group away from a primary that is about to depart.
 * @example checkDeparting(state, 'a', record, nowMs)
 */
export function checkDeparting (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term, closing, members } = record
  const departing = primary !== undefined && state.databases.get(primary)?.entry.departing === true
  const target = members.find(member => member !== primary && state.databases.get(member)?.entry.departing === false && isAnswering(state, member, nowMs))
  if (!departing || closing !== undefined || target === undefined || nowMs < readDampedUntil(state, group, nowMs)) return { state, effects: [] }
  return propose(state, { kind: 'primacy/close', group, term, target }, nowMs)
}

// A database that restarted without its data, or that was fenced, is primary no more.
function hasLostRole (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): boolean {
  const { status, answeredAtMs = 0 } = state.databases.get(record.primary!) ?? {}
  const sinceMs = state.progress.get(group)?.sinceMs ?? nowMs
  return status !== undefined && answeredAtMs > sinceMs + SILENT_MS && (!status.primary || status.position.term !== record.term)
}

function isSilent (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  // A new leader has to hear of a database before it can miss it.
  const answeredAtMs = Math.max(known?.answeredAtMs ?? 0, state.graceEndsMs - LEASE_OVER_MS + HOSTS_FOLLOW_MS)
  const silentMs = nowMs - answeredAtMs
  return silentMs >= (isOwnershipMoving(state, database, nowMs) ? OWNERSHIP_MOVES_MS : SILENT_MS)
}

// The owner went silent, and another host of the failure domain will take its place; or it has yet to report to this leader.
function isOwnershipMoving (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  if (known?.owner === undefined) return true
  const owner = state.hosts.get(known.owner)
  if (owner !== undefined && nowMs - owner.heardAtMs < SILENT_MS) return false
  return [...state.hosts.values()].some(host => host.failureDomain === known.entry.failureDomain && nowMs - host.heardAtMs < SILENT_MS)
}

/**
 * Returns the time before which a group's primary is not replaced again, so that a
 * flapping link causes no storm of changes.
 * @example readDampedUntil(state, 'a', nowMs)
 */
export function readDampedUntil (state: PrimacyState, group: string, nowMs: number): number {
  const recent = (state.changedAtMs.get(group) ?? []).filter(changedAtMs => nowMs - changedAtMs < RECENT_MS)
  const last = recent.at(-1)
  if (last === undefined) return 0
  return last + Math.min(DAMPING_LIMIT_MS, DAMPING_MS * 2 ** (recent.length - 1))
}

/** Detects when a group forms and when its primary has to be replaced. */
import { getOwn } from '../core/own.js'
import { recordEvent } from '../core/message.js'
import type { PrimacyState, TrackedDatabase } from './state.js'
import type { GroupRecord } from './table.js'
import { isAnswering, isMajority, LEASE_EXPIRY_MS, propose, DATABASE_TIMEOUT_MS, type PrimacyStep } from './tools.js'

/** Time until another host owns the databases of a silent host and reports them. */
const OWNER_FAILOVER_MS = 2_000
/** Time until hosts report to a new leader. */
const REPORT_GRACE_MS = 300
/** How long a report of a database counts as an announcement. */
const ANNOUNCEMENT_TTL_MS = 1_000
/** Unplanned changes within this time count for the backoff. */
const FLAP_WINDOW_MS = 30_000
/** The backoff after one recent change; it doubles with each further one. */
const FLAP_BACKOFF_BASE_MS = 1_000
const FLAP_BACKOFF_MAX_MS = 4_000

/**
 * Forms a group once as many databases as its document demands have announced themselves, exactly one as primary.
 * @example checkFormation(state, 'a', nowMs)
 */
export function checkFormation (state: PrimacyState, group: string, nowMs: number): PrimacyStep {
  if (getOwn(state.table, group) !== undefined) return { state, effects: [] }
  const announced = [...state.databases.values()].filter(known => known.entry.group === group && nowMs - known.reportedAtMs < ANNOUNCEMENT_TTL_MS)
  const primaries = announced.filter(known => known.status?.primary === true && isAnswering(state, known.entry.database, nowMs))
  const [primary] = primaries
  const term = primary?.status?.position.term ?? 0
  const count = state.groupSizes.get(group)
  if (count === undefined || announced.length < count || primaries.length !== 1 || primary === undefined || term < 1) return { state, effects: [] }
  const others = announced.filter(known => known !== primary).slice(0, count - 1)
  const members = [primary, ...others].map(known => known.entry.database).sort()
  return propose(state, { kind: 'primacy/grant', group, term, primary: primary.entry.database, members }, nowMs)
}

/**
 * Ends the grant of a primary that is silent or lost its role, if the other members that answer are a majority.
 * @example checkPrimary(state, 'a', record, nowMs)
 */
export function checkPrimary (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term } = record
  const silent = primary !== undefined && isSilent(state, primary, nowMs)
  if (primary === undefined || !(silent || hasLostRole(state, group, record, nowMs))) return { state, effects: [] }
  if (!isMajority(record, database => database !== primary && isAnswering(state, database, nowMs))) return { state, effects: [] }
  if (nowMs < calculateBackoffEnd(state, group, nowMs)) return { state, effects: [] }
  const step = propose(state, { kind: 'primacy/end', group, term }, nowMs)
  const event = silent
    ? recordEvent('primary-silent', `Primary ${primary} of group ${group} does not answer; its grant ends.`, { group })
    : recordEvent('primary-role-lost', `Database ${primary} of group ${group} answers, but is no longer primary in term ${term}; its grant ends.`, { group })
  return step.effects.length === 0 ? step : { state: step.state, effects: [...step.effects, event] }
}

/**
 * Starts a planned change away from a primary that departs or is in an evacuated failure domain.
 * @example checkDeparting(state, 'a', record, nowMs)
 */
export function checkDeparting (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term, closing, members } = record
  const departing = primary !== undefined && isUnwanted(state, primary)
  const target = members.find(member => member !== primary && state.databases.has(member) && !isUnwanted(state, member) && isAnswering(state, member, nowMs))
  if (!departing || closing !== undefined || target === undefined || nowMs < calculateBackoffEnd(state, group, nowMs)) return { state, effects: [] }
  return propose(state, { kind: 'primacy/close', group, term, target }, nowMs)
}

/**
 * Tells whether a member is not to lead while another can: it departs, or its failure domain is evacuated.
 * @example isUnwanted(state, 'a1')
 */
export function isUnwanted ({ databases, evacuated }: PrimacyState, member: string): boolean {
  const entry = databases.get(member)?.entry
  return entry !== undefined && (entry.departing || evacuated.has(entry.failureDomain))
}

// A database that restarted without its data, or that was fenced, is not primary any more.
function hasLostRole (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): boolean {
  const { status, answeredAtMs = 0 } = state.databases.get(record.primary!) ?? {}
  const sinceMs = state.progress.get(group)?.sinceMs ?? nowMs
  return status !== undefined && answeredAtMs > sinceMs + DATABASE_TIMEOUT_MS && (!status.primary || status.position.term !== record.term)
}

function isSilent (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  // Hosts first have to report to a new leader, so silence counts at the earliest from REPORT_GRACE_MS after it began to lead.
  const silentSinceMs = Math.max(known?.silentSinceMs ?? 0, state.leaseGraceEndsMs - LEASE_EXPIRY_MS + REPORT_GRACE_MS)
  if (isOwnerFailoverPending(state, database, nowMs)) return nowMs - silentSinceMs >= OWNER_FAILOVER_MS
  return findReportedUntilMs(state, known, nowMs) - silentSinceMs >= DATABASE_TIMEOUT_MS
}

// A live owner has to say itself that the primary was silent for so long: its reports are late when it is short of processor time.
function findReportedUntilMs (state: PrimacyState, known: TrackedDatabase | undefined, nowMs: number): number {
  const owner = state.hosts.get(known?.owner ?? '')
  return owner !== undefined && nowMs - owner.lastHeartbeatAtMs < DATABASE_TIMEOUT_MS ? owner.lastHeartbeatAtMs : nowMs
}

// The owner is silent and another host of the failure domain will replace it, or no owner has reported to this leader yet.
function isOwnerFailoverPending (state: PrimacyState, database: string, nowMs: number): boolean {
  const known = state.databases.get(database)
  if (known?.owner === undefined) return true
  const owner = state.hosts.get(known.owner)
  if (owner !== undefined && nowMs - owner.lastHeartbeatAtMs < DATABASE_TIMEOUT_MS) return false
  return [...state.hosts.values()].some(host => host.failureDomain === known.entry.failureDomain && nowMs - host.lastHeartbeatAtMs < DATABASE_TIMEOUT_MS)
}

/**
 * Returns the end of the backoff before a group's primary is replaced again, so that a
 * flapping link does not cause repeated changes; 0 if there was no recent change.
 * @example calculateBackoffEnd(state, 'a', nowMs)
 */
export function calculateBackoffEnd (state: PrimacyState, group: string, nowMs: number): number {
  const recent = (state.unplannedChangesAtMs.get(group) ?? []).filter(changedAtMs => nowMs - changedAtMs < FLAP_WINDOW_MS)
  const last = recent.at(-1)
  if (last === undefined) return 0
  return last + Math.min(FLAP_BACKOFF_MAX_MS, FLAP_BACKOFF_BASE_MS * 2 ** (recent.length - 1))
}

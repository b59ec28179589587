/** Identifies the primary of a group, whether it has to be replaced, and its successor. */
import { getOwn } from '../core/own.js'
import { comparePositions, ORIGIN } from '../core/position.js'
import { findAppointedInstance } from './incarnations.js'
import { isCopied } from './steps.js'
import type { ReportingHost, TrackedDatabase, SuccessionState } from './state.js'

/** Time without an answer after which a primary is replaced: longer than an overloaded one needs to answer, well below a client's timeout. */
const PRIMARY_TIMEOUT_MS = 700
/** How long a host counts as live after its last report: two heartbeats through a relay. */
const HOST_TIMEOUT_MS = 600
/** Time until the next owner reports after the previous one went silent: the directory evicts a host after 1 s. */
const OWNER_FAILOVER_MS = 2_000
/** How long an announced primary may be without an answer to any owner. */
const FIRST_OWNER_WAIT_MS = 4_000
/** Maximum age of a candidate's last answer: two probes of an idle replica. */
const CANDIDATE_ANSWER_MAX_AGE_MS = 2_500
/** Time after an appointment before the proof of another database overrides it: longer than a promotion takes. */
const PROOF_OVERRIDE_DELAY_MS = 3_000
/** How long a new leader waits for the announcement of a primary before the primary counts as gone: a lost announcement is repeated by then. */
const ANNOUNCEMENT_WAIT_MS = 3_000
/** How long a primary may answer without proving its role: several probes of its owner, and a promotion. */
const PROOF_TIMEOUT_MS = 5_000
/** Maximum age of the proof of a database that is to be confirmed as primary: two questions of its owner for its role. */
const CONFIRMED_PROOF_MAX_AGE_MS = 2_500
/** How long a new leader waits for reports of hosts. */
const REPORT_WAIT_MS = 400

/** Why a primary has to be replaced, or to be confirmed by the platform. */
export type ReplacementReason = 'silent' | 'departing' | 'gone' | 'evacuated' | 'unproven' | 'behind' | 'unconfirmed'

/**
 * Returns the primary of a group, as known to the leader; undefined if unknown.
 * @example findPrimary(state, 'a')
 */
export function findPrimary (state: SuccessionState, group: string): TrackedDatabase | undefined {
  const members = listMembers(state, group)
  const proven = members.filter(known => known.provenAtMs !== undefined).sort((a, b) => b.provenAtMs! - a.provenAtMs!)[0]
  const appointment = getOwn(state.table, group)
  if (appointment === undefined) return proven ?? pickAnnouncedPrimary(members)
  if (appointment.outcome === 'failed') return proven
  const appointed = state.databases.get(appointment.database) ?? findAppointedInstance(state, group, appointment)
  const appointedAtMs = state.appointedAtMs.get(group) ?? state.leadingSinceMs
  const isOverridden = proven !== undefined && proven.provenAtMs! > Math.max(appointedAtMs + PROOF_OVERRIDE_DELAY_MS, appointed?.provenAtMs ?? 0)
  return isOverridden ? proven : appointed
}

/**
 * Returns why a group's primary has to be replaced; undefined if it need not be.
 * @example findReplacementReason(state, primary, nowMs)
 */
export function findReplacementReason (state: SuccessionState, primary: TrackedDatabase | undefined, nowMs: number): ReplacementReason | undefined {
  if (primary === undefined) return nowMs - state.leadingSinceMs > ANNOUNCEMENT_WAIT_MS ? 'gone' : undefined
  if (primary.entry.departing) return 'departing'
  const sinceMs = isDomainPartitioned(state, primary) ? state.leadingSinceMs : Math.max(primary.silentSinceMs ?? primary.answeredAtMs ?? estimateFirstAnswerMs(primary), state.leadingSinceMs + REPORT_WAIT_MS)
  const timeoutMs = isOwnerFailoverPending(state, primary, nowMs) ? OWNER_FAILOVER_MS : PRIMARY_TIMEOUT_MS
  if (findReportedUntilMs(state, primary, nowMs) - sinceMs >= timeoutMs) return 'silent'
  // The owner asks a primary for its role each second, so one that answers without proof is not primary.
  const provenSinceMs = Math.max(primary.provenAtMs ?? primary.knownSinceMs, state.leadingSinceMs, state.appointedAtMs.get(primary.entry.group) ?? 0)
  if (nowMs - provenSinceMs >= PROOF_TIMEOUT_MS) return 'unproven'
  if (isProofOutdated(state, primary, nowMs)) return 'unproven'
  if (hasLostWrites(state, primary, nowMs)) return 'behind'
  return isInEvacuated(state, primary) && listElsewhere(state, listCandidates(state, primary.entry.group, nowMs)).length > 0 ? 'evacuated' : undefined
}

/**
 * Tells whether a database's failure domain is evacuated.
 * @example isInEvacuated(state, primary)
 */
export function isInEvacuated ({ evacuated }: SuccessionState, { entry }: TrackedDatabase): boolean {
  return evacuated.has(entry.failureDomain)
}

function listElsewhere (state: SuccessionState, databases: readonly TrackedDatabase[]): TrackedDatabase[] {
  return databases.filter(known => !isInEvacuated(state, known))
}

// After an appointment that failed, the last database that proved its role counts as primary. Another one may have led since, and
// have ended.
function isProofOutdated (state: SuccessionState, { entry, provenAtMs = -Infinity }: TrackedDatabase, nowMs: number): boolean {
  return isCopied(state, entry.group) && getOwn(state.table, entry.group)?.outcome === 'failed' && nowMs - provenAtMs >= CONFIRMED_PROOF_MAX_AGE_MS
}

// Positions of a primary only grow within a term, and no replica is ahead of it. One that started again and reports less than
// was seen before it was asked came back without its log; it is replaced if another database holds more.
function hasLostWrites (state: SuccessionState, { entry, status, restartedAtMs, answeredAtMs = 0 }: TrackedDatabase, nowMs: number): boolean {
  const highest = state.highestPositions.get(entry.group)
  if (restartedAtMs === undefined || status?.primary !== true || highest === undefined || highest.position.term !== status.position.term) return false
  if (highest.position.offset <= status.position.offset || answeredAtMs <= highest.seenAtMs) return false
  return listCandidates(state, entry.group, nowMs).some(known => comparePositions(known.status?.position ?? ORIGIN, status.position) > 0)
}

// While a fleet starts, ownership moves with each host that joins, so no owner keeps a database for long enough to get an
// answer. Until then its announcements show that it lives.
function estimateFirstAnswerMs ({ knownSinceMs, lastSeenAtMs }: TrackedDatabase): number {
  return Math.max(knownSinceMs + OWNER_FAILOVER_MS, Math.min(lastSeenAtMs, knownSinceMs + FIRST_OWNER_WAIT_MS))
}

// A live owner has to say itself that the primary was silent for so long. Its reports are late, through relays or for lack
// of processor time, so the age of the last one proves nothing.
function findReportedUntilMs (state: SuccessionState, known: TrackedDatabase, nowMs: number): number {
  return isLive(state.hosts.get(known.owner ?? ''), nowMs) ? known.reportedAtMs ?? nowMs : nowMs
}

// The owner is silent while another host of its failure domain, which will take over, is live. If all of them are silent, the domain is partitioned.
function isOwnerFailoverPending (state: SuccessionState, known: TrackedDatabase, nowMs: number): boolean {
  if (isLive(state.hosts.get(known.owner ?? ''), nowMs)) return false
  return listDomainHosts(state, known).some(host => isLive(host, nowMs))
}

function isLive (host: ReportingHost | undefined, nowMs: number): boolean {
  return host !== undefined && nowMs - host.lastHeartbeatAtMs < HOST_TIMEOUT_MS
}

// The database was known under the previous leader, and no host of its failure domain has reported since. After a
// restart of all hosts, their silence proves nothing.
function isDomainPartitioned (state: SuccessionState, known: TrackedDatabase): boolean {
  return known.answeredAtMs === undefined && known.remembered !== true && known.knownSinceMs <= state.leadingSinceMs + REPORT_WAIT_MS && listDomainHosts(state, known).length === 0
}

function listDomainHosts (state: SuccessionState, { entry }: TrackedDatabase): readonly ReportingHost[] {
  return [...state.hosts.values()].filter(host => !host.apart && host.failureDomain === entry.failureDomain)
}

/**
 * Tells whether a primary that departs or is evacuated would stay primary otherwise: it serves until its successor leads.
 * @example isServing(state, primary, nowMs)
 */
export function isServing (state: SuccessionState, primary: TrackedDatabase, nowMs: number): boolean {
  const isPlanned = primary.entry.departing || isInEvacuated(state, primary)
  return isPlanned && findReplacementReason({ ...state, evacuated: new Set() }, { ...primary, entry: { ...primary.entry, departing: false } }, nowMs) === undefined
}

/**
 * Tells whether another database of the primary's group could lead.
 * @example hasOtherCandidate(state, primary, nowMs)
 */
export function hasOtherCandidate (state: SuccessionState, primary: TrackedDatabase, nowMs: number): boolean {
  return listCandidates(state, primary.entry.group, nowMs).some(({ entry }) => entry.database !== primary.entry.database)
}

/**
 * Picks the next primary: of the databases that answer and do not depart, the one with the latest position; undefined if there is none.
 * One in an evacuated failure domain is picked only if there is no other.
 * @example pickSuccessor(state, 'a', primary, nowMs)
 */
export function pickSuccessor (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, nowMs: number): TrackedDatabase | undefined {
  const candidates = listCandidates(state, group, nowMs).filter(known => known !== primary)
  const elsewhere = listElsewhere(state, candidates)
  return (elsewhere.length > 0 ? elsewhere : candidates).sort((a, b) => comparePositions(b.status?.position ?? ORIGIN, a.status?.position ?? ORIGIN))[0]
}

function listCandidates (state: SuccessionState, group: string, nowMs: number): TrackedDatabase[] {
  return listMembers(state, group).filter(known => !known.entry.departing && isAnswering(known, nowMs))
}

/**
 * Tells whether a database has answered recently enough to lead next.
 * @example isAnswering(known, nowMs)
 */
export function isAnswering ({ answeredAtMs = -Infinity }: TrackedDatabase, nowMs: number): boolean {
  return nowMs - answeredAtMs < CANDIDATE_ANSWER_MAX_AGE_MS
}

function listMembers (state: SuccessionState, group: string): TrackedDatabase[] {
  return [...state.databases.values()].filter(known => known.entry.group === group)
}

function pickAnnouncedPrimary (members: readonly TrackedDatabase[]): TrackedDatabase | undefined {
  // The latest report wins: a database that is only stored in the log may have ended since.
  return members.filter(known => known.entry.leads === true).sort((a, b) => b.lastSeenAtMs - a.lastSeenAtMs)[0]
}

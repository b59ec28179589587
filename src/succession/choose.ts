/** Which database leads a group, whether it has to be replaced, and by which. */
import { comparePositions, ORIGIN, type LogPosition } from '../core/position.js'
import type { HeardHost, KnownDatabase, SuccessionState } from './state.js'

/** How long a primary may be silent: longer than a crowded one takes for a status, well below a requester's patience. */
const SILENT_MS = 700
/** How long a host counts as in touch after its last report: three of its beats. */
const HOST_HEARD_MS = 350
/** How long the next owner takes to report, after the former one went silent: the directory drops a host after 1 s. */
const OWNER_MOVES_MS = 2_000
/** How long a candidate's last answer may be old: two of a quiet replica's status reads. */
const CANDIDATE_ANSWERED_MS = 2_500
/** How long after an appointment another database's proof counts against it: longer than a promotion takes. */
const PROOF_AFTER_MS = 3_000
/** How long a new leader waits until it takes a primary that nobody announced for gone: an announcement that found no host comes again by then. */
const NEWS_MS = 3_000
/** How long before the primary's last answer a replica has to be silent to hold nothing that was acknowledged last: many times the replication delay. */
const LONG_SILENT_MS = 3_000
/** How long a primary may answer without a proof of its lead: several of its owner's questions, and a promotion. */
const UNPROVEN_MS = 5_000
/** How long a new leader waits for the hosts' reports. */
const REPORTS_MS = 400

/** Why a primary has to be replaced. */
export type Reason = 'silent' | 'departing' | 'gone' | 'unproven'

/**
 * Returns the database that leads a group, as far as the leader knows.
 * @example findPrimary(state, 'a')
 */
export function findPrimary (state: SuccessionState, group: string): KnownDatabase | undefined {
  const members = listMembers(state, group)
  const proven = members.filter(known => known.provenAtMs !== undefined).sort((a, b) => b.provenAtMs! - a.provenAtMs!)[0]
  const succession = state.table[group]
  if (succession === undefined) return proven ?? pickClaiming(members)
  if (succession.outcome === 'failed') return proven
  const appointed = state.databases.get(succession.database)
  const changedAtMs = state.changedAtMs.get(group) ?? state.ledAtMs
  const overruled = proven !== undefined && proven.provenAtMs! > Math.max(changedAtMs + PROOF_AFTER_MS, appointed?.provenAtMs ?? 0)
  return overruled ? proven : appointed
}

/**
 * Tells why a group's primary has to be replaced; undefined while it stands.
 * @example findReason(state, primary, nowMs)
 */
export function findReason (state: SuccessionState, primary: KnownDatabase | undefined, nowMs: number): Reason | undefined {
  if (primary === undefined) return nowMs - state.ledAtMs > NEWS_MS ? 'gone' : undefined
  if (primary.entry.departing) return 'departing'
  const sinceMs = isCutOff(state, primary) ? state.ledAtMs : Math.max(primary.answeredAtMs ?? primary.knownSinceMs + OWNER_MOVES_MS, state.ledAtMs + REPORTS_MS)
  const patienceMs = isOwnerMoving(state, primary, nowMs) ? OWNER_MOVES_MS : SILENT_MS
  if (nowMs - sinceMs >= patienceMs) return 'silent'
  // Its owner asks a primary for its role each second, so one that answers and proves nothing does not lead.
  const provenSinceMs = Math.max(primary.provenAtMs ?? primary.knownSinceMs, state.ledAtMs, state.changedAtMs.get(primary.entry.group) ?? 0)
  return nowMs - provenSinceMs >= UNPROVEN_MS ? 'unproven' : undefined
}

// Only the owner is silent: another host of the failure domain takes its place. Where all of them are silent, the domain is cut off.
function isOwnerMoving (state: SuccessionState, known: KnownDatabase, nowMs: number): boolean {
  const isHeard = (heardAtMs: number): boolean => nowMs - heardAtMs < HOST_HEARD_MS
  if (isHeard(state.hosts.get(known.owner ?? '')?.heardAtMs ?? -Infinity)) return false
  return listDomain(state, known).some(host => isHeard(host.heardAtMs))
}

// A database that was there under the leader before, and of whose failure domain no host has reported since. After a
// restart of all hosts, their silence shows nothing.
function isCutOff (state: SuccessionState, known: KnownDatabase): boolean {
  return known.answeredAtMs === undefined && known.remembered !== true && known.knownSinceMs <= state.ledAtMs + REPORTS_MS && listDomain(state, known).length === 0
}

function listDomain (state: SuccessionState, { entry }: KnownDatabase): readonly HeardHost[] {
  return [...state.hosts.values()].filter(host => !host.apart && host.failureDomain === entry.failureDomain)
}

/**
 * Picks the database that should lead next: of those that answer, the one that holds the most.
 * @example pickSuccessor(state, 'a', primary, nowMs)
 */
export function pickSuccessor (state: SuccessionState, group: string, primary: KnownDatabase | undefined, nowMs: number): KnownDatabase | undefined {
  const able = listMembers(state, group).filter(known =>
    known !== primary && !known.entry.departing && nowMs - (known.answeredAtMs ?? -Infinity) < CANDIDATE_ANSWERED_MS)
  return able.sort((a, b) => comparePositions(b.status?.position ?? ORIGIN, a.status?.position ?? ORIGIN))[0]
}

/** What is known of the replicas that stopped receiving: who is still awaited, and who would lead. */
export interface FencedChoice {
  readonly awaited: readonly KnownDatabase[]
  readonly successor?: KnownDatabase
}

/**
 * Picks the next primary where a replica's copy is the acknowledgement: the one that holds the most, once every
 * replica that may hold an acknowledged write has stopped receiving. One that was silent long before the primary
 * holds nothing that the primary acknowledged since, so it is not waited for where another covers the primary.
 * @example pickFenced(state, 'a', primary).successor
 */
export function pickFenced (state: SuccessionState, group: string, primary: KnownDatabase | undefined): FencedChoice {
  const positions = state.fences.get(group)?.positions ?? new Map<string, LogPosition>()
  const others = [...state.members.values()].filter(known => known.entry.group === group && known.entry.database !== primary?.entry.database)
  const left = others.filter(known => !positions.has(known.entry.database))
  const held = others.filter(known => positions.has(known.entry.database))
  const best = held.sort((a, b) => comparePositions(positions.get(b.entry.database)!, positions.get(a.entry.database)!) || Number(a.entry.departing) - Number(b.entry.departing))[0]
  const covers = best !== undefined && primary?.status !== undefined && comparePositions(positions.get(best.entry.database)!, primary.status.position) >= 0
  const awaited = covers ? left.filter(known => (known.answeredAtMs ?? 0) > (primary.answeredAtMs ?? 0) - LONG_SILENT_MS) : left
  return awaited.length === 0 && best !== undefined ? { awaited, successor: best } : { awaited }
}

function listMembers (state: SuccessionState, group: string): KnownDatabase[] {
  return [...state.databases.values()].filter(known => known.entry.group === group)
}

function pickClaiming (members: readonly KnownDatabase[]): KnownDatabase | undefined {
  // One that is just remembered may have ended since.
  return members.filter(known => known.entry.leads === true).sort((a, b) => b.heardAtMs - a.heardAtMs)[0]
}

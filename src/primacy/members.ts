/** Replacement of a group's members: one joins or leaves at a time, and only with a new term. */
import type { KnownDatabase, PrimacyState } from './state.js'
import type { GroupRecord } from './table.js'
import { readDampedUntil } from './detect.js'
import { isFollowing } from './follow.js'
import { isAnswering, isMajority, LEASE_OVER_MS, propose, type PrimacyStep } from './tools.js'

/** A member that is silent for this long may be replaced. */
const GONE_MS = 60_000
/** How many entries a joining database may lack. */
const CAUGHT_UP_ENTRIES = 1_000

/**
 * Lists the databases that are to follow a group's primary: its members, and those that may join.
 * @example listFollowers(state, 'a', record)
 */
export function listFollowers (state: PrimacyState, group: string, record: GroupRecord): readonly string[] {
  return [...record.members, ...listOutside(state, group, record).map(known => known.entry.database)]
}

/**
 * Lets one database join or leave a group, if that is due and the last such change is settled.
 * @example checkMembers(state, 'a', record, nowMs)
 */
export function checkMembers (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term, closing } = record
  if (primary === undefined || closing !== undefined || !isSettled(state, record) || nowMs < readDampedUntil(state, group, nowMs)) return { state, effects: [] }
  const members = planMembers(state, group, record, nowMs)
  const next: GroupRecord = { ...record, members: members ?? [] }
  if (members === undefined || !isMajority(next, member => isAnswering(state, member, nowMs))) return { state, effects: [] }
  return propose(state, { kind: 'primacy/close', group, term, target: primary, members }, nowMs)
}

// A majority that holds an entry of the present term holds all that was acknowledged
// with the members of earlier terms.
function isSettled (state: PrimacyState, record: GroupRecord): boolean {
  return isMajority(record, member => state.databases.get(member)?.status?.position.term === record.term)
}

function planMembers (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): readonly string[] | undefined {
  const { members, primary } = record
  const count = state.counts.get(group) ?? members.length
  const leaving = members.find(member => member !== primary && isLeaving(state, member, nowMs))
  if (members.length > count) return leaving === undefined ? undefined : members.filter(member => member !== leaving)
  const joining = listOutside(state, group, record).find(known => isReady(state, record, known, nowMs))
  const wanted = members.length < count || leaving !== undefined
  return wanted && joining !== undefined ? [...members, joining.entry.database].sort() : undefined
}

function listOutside (state: PrimacyState, group: string, record: GroupRecord): readonly KnownDatabase[] {
  return [...state.databases.values()].filter(({ entry }) => entry.group === group && !entry.departing && !record.members.includes(entry.database))
}

function isLeaving (state: PrimacyState, member: string, nowMs: number): boolean {
  const known = state.databases.get(member)
  const missedSinceMs = Math.max(known?.answeredAtMs ?? 0, state.graceEndsMs - LEASE_OVER_MS)
  return known?.entry.departing === true || nowMs - missedSinceMs > GONE_MS
}

function isReady (state: PrimacyState, record: GroupRecord, known: KnownDatabase, nowMs: number): boolean {
  const primary = state.databases.get(record.primary!)
  const { status } = known
  if (status === undefined || primary?.status === undefined || !isAnswering(state, known.entry.database, nowMs)) return false
  const missing = primary.status.position.offset - status.position.offset
  return isFollowing(status, record.term, primary.entry.address) && status.position.term === record.term && missing <= CAUGHT_UP_ENTRIES
}

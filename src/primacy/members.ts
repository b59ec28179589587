/** Membership changes of groups: one database joins or leaves at a time, and only with a new term. */
import type { TrackedDatabase, PrimacyState } from './state.js'
import type { GroupRecord } from './table.js'
import { calculateBackoffEnd } from './detect.js'
import { isFollowing } from './follow.js'
import { isAnswering, isMajority, LEASE_EXPIRY_MS, propose, type PrimacyStep } from './tools.js'

/** A member that does not answer for this long may be replaced. */
const MEMBER_TIMEOUT_MS = 60_000
/** Maximum replication lag of a joining database. */
const MAX_JOIN_LAG_ENTRIES = 1_000

/**
 * Lists the databases that have to follow a group's primary: its members, and candidates that may join.
 * @example listFollowers(state, 'a', record)
 */
export function listFollowers (state: PrimacyState, group: string, record: GroupRecord): readonly string[] {
  return [...record.members, ...listNonMembers(state, group, record).map(known => known.entry.database)]
}

/**
 * Proposes that one database joins or leaves a group, if that is due and the last such change has settled.
 * @example checkMembers(state, 'a', record, nowMs)
 */
export function checkMembers (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const { primary, term, closing } = record
  if (primary === undefined || closing !== undefined || !isMemberChangeSettled(state, record) || nowMs < calculateBackoffEnd(state, group, nowMs)) return { state, effects: [] }
  const members = planMembers(state, group, record, nowMs)
  const next: GroupRecord = { ...record, members: members ?? [] }
  if (members === undefined || !isMajority(next, member => isAnswering(state, member, nowMs))) return { state, effects: [] }
  return propose(state, { kind: 'primacy/close', group, term, target: primary, members }, nowMs)
}

// A majority that holds an entry of the current term holds every write that was
// acknowledged by the members of earlier terms.
function isMemberChangeSettled (state: PrimacyState, record: GroupRecord): boolean {
  return isMajority(record, member => state.databases.get(member)?.status?.position.term === record.term)
}

function planMembers (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): readonly string[] | undefined {
  const { members, primary } = record
  const count = state.groupSizes.get(group) ?? members.length
  const leaving = members.find(member => member !== primary && isLeaving(state, member, nowMs))
  if (members.length > count) return leaving === undefined ? undefined : members.filter(member => member !== leaving)
  const joining = listNonMembers(state, group, record).find(known => isReadyToJoin(state, record, known, nowMs))
  const isMemberNeeded = members.length < count || leaving !== undefined
  return isMemberNeeded && joining !== undefined ? [...members, joining.entry.database].sort() : undefined
}

function listNonMembers (state: PrimacyState, group: string, record: GroupRecord): readonly TrackedDatabase[] {
  return [...state.databases.values()].filter(({ entry }) => entry.group === group && !entry.departing && !record.members.includes(entry.database))
}

function isLeaving (state: PrimacyState, member: string, nowMs: number): boolean {
  const known = state.databases.get(member)
  const silentSinceMs = Math.max(known?.answeredAtMs ?? 0, state.leaseGraceEndsMs - LEASE_EXPIRY_MS)
  return known?.entry.departing === true || nowMs - silentSinceMs > MEMBER_TIMEOUT_MS
}

function isReadyToJoin (state: PrimacyState, record: GroupRecord, known: TrackedDatabase, nowMs: number): boolean {
  const primary = state.databases.get(record.primary!)
  const { status } = known
  if (status === undefined || primary?.status === undefined || !isAnswering(state, known.entry.database, nowMs)) return false
  const lagEntries = primary.status.position.offset - status.position.offset
  return isFollowing(status, record.term, primary.entry.address) && status.position.term === record.term && lagEntries <= MAX_JOIN_LAG_ENTRIES
}

/**
 * When a database that has ended leaves its replica set. It may hold a commit that only one other database holds, and that one
 * may fail next. So it stays until a replica holds all that the primary held after it could last receive, or until the next
 * database at its address has its log.
 */
import type { LogPosition } from '../core/position.js'
import { getOwn } from '../core/own.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { coversCommits } from './quorum.js'
import type { DatabaseEnd } from './replicaset.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { isCopied, listReplicaSet } from './steps.js'

/** How long a database that withdraws itself may still receive: it exits once that is acknowledged. */
const EXIT_MS = 2_000

/**
 * Records that a database has ended. Where a replica's copy acknowledges writes, it stays in the replica set.
 * @example endDatabase(state, 'a1', 'withdrawn', nowMs).databases.has('a1') // false
 */
export function endDatabase (state: SuccessionState, database: string, end: DatabaseEnd, nowMs: number): SuccessionState {
  const databases = new Map(state.databases)
  databases.delete(database)
  const members = new Map(state.members)
  const known = members.get(database)
  if (known === undefined || !isKept(state, known)) members.delete(database)
  else if (known.ended === undefined) members.set(database, { ...known, ended: { end, atMs: end === 'withdrawn' ? nowMs + EXIT_MS : nowMs, position: known.status?.position } })
  return { ...state, databases, members }
}

// The documents may not be known yet to a leader that begins.
function isKept (state: SuccessionState, { entry: { group, database } }: TrackedDatabase): boolean {
  return isCopied(state, group) || getOwn(getOwn(state.replicaSets, group)?.members ?? {}, database) !== undefined
}

/**
 * Drops the ended databases of a group whose commits are covered. The next database at the address of one that withdrew itself has
 * its log. Otherwise a replica holds what the primary held since, so that two others hold each commit that was acknowledged.
 * @example dropCovered(state, 'a', primary, nowMs).members.size
 */
export function dropCovered (before: SuccessionState, group: string, primary: TrackedDatabase | undefined, nowMs: number): SuccessionState {
  if (!isCopied(before, group) && getOwn(before.replicaSets, group) === undefined) return before
  const state = replaceLastPrimary(endReplaced(before, group, nowMs), group)
  const ended = listReplicaSet(state, group).filter(known => known.ended !== undefined)
  if (ended.length === 0) return state
  const members = new Map(state.members)
  for (const known of ended) {
    const target = findTarget(known, primary)
    if (!isCopied(state, group) || findHeir(state, known) !== undefined || isHeldByReplica(state, primary, target)) members.delete(known.entry.database)
    else if (target !== known.ended?.target) members.set(known.entry.database, { ...known, ended: { ...known.ended!, target } })
  }
  return { ...state, members }
}

// An address serves one database at a time, so that one which was there before has ended, although it didn't say so.
function endReplaced (state: SuccessionState, group: string, nowMs: number): SuccessionState {
  const replaced = listReplicaSet(state, group).filter(known => known.ended === undefined && isKept(state, known) && findNext(state, known) !== undefined)
  return replaced.reduce((current, { entry }) => endDatabase(current, entry.database, 'superseded', nowMs), state)
}

// The heir of the last primary holds all that was acknowledged, as that one did.
function replaceLastPrimary (state: SuccessionState, group: string): SuccessionState {
  const last = state.lastPrimaries.get(group)
  const known = state.members.get(last?.database ?? '')
  const heir = known === undefined ? undefined : findHeir(state, known)
  return last === undefined || heir === undefined ? state : { ...state, lastPrimaries: new Map(state.lastPrimaries).set(group, { ...last, database: heir.entry.database }) }
}

// Finds the database that has the log of one that withdrew itself. The next one at its address may itself have started again, with
// nothing, before it was heard of. A transferred log has the term of its last commit, which may be an earlier one than its
// database told.
function findHeir (state: SuccessionState, known: TrackedDatabase): TrackedDatabase | undefined {
  if (known.ended?.end !== 'withdrawn') return undefined
  const next = findNext(state, known)
  return next?.status !== undefined && next.status.position.offset >= (known.ended.position?.offset ?? 0) ? next : undefined
}

function findNext (state: SuccessionState, known: TrackedDatabase): TrackedDatabase | undefined {
  return listReplicaSet(state, known.entry.group).find(({ entry, ended }) => ended === undefined && entry.address === known.entry.address && isStartedLater(entry, known))
}

// A late announcement may name a database that was at the address before. Without start times only a withdrawal tells the order.
function isStartedLater ({ database, incarnation }: DatabaseEntry, { entry: known, ended }: TrackedDatabase): boolean {
  if (database === known.database) return false
  if (incarnation === undefined || known.incarnation === undefined) return ended?.end === 'withdrawn'
  return incarnation.instance !== known.incarnation.instance && incarnation.startedAtMs > known.incarnation.startedAtMs
}

// The first position is kept, since a replica is always a little behind the last one under load.
function findTarget ({ ended }: TrackedDatabase, primary: TrackedDatabase | undefined): LogPosition | undefined {
  if (ended?.target !== undefined) return ended.target
  const isRead = primary?.status?.primary === true && (primary.answeredAtMs ?? -Infinity) >= (ended?.atMs ?? Infinity)
  return isRead && primary.restartedAtMs === undefined ? primary.status.position : undefined
}

function isHeldByReplica (state: SuccessionState, primary: TrackedDatabase | undefined, target: LogPosition | undefined): boolean {
  if (target === undefined || primary?.status?.primary !== true) return false
  const replicas = listReplicaSet(state, primary.entry.group).filter(({ entry, ended }) => ended === undefined && entry.database !== primary.entry.database)
  return replicas.some(({ status }) => status !== undefined && coversCommits(status.position, target))
}

/**
 * The successor of a primary whose writes are acknowledged by a replica's copy: a database that is sure to hold each commit that
 * was acknowledged.
 */
import { getOwn } from '../core/own.js'
import { comparePositions, coversPosition, ORIGIN, pickLater, type LogPosition } from '../core/position.js'
import { isAnswering, isInEvacuated } from './candidates.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { listReplicaSet } from './steps.js'

/** How many databases of a replica set hold each acknowledged commit at least: the primary of its time, and a replica. */
const COMMIT_HOLDERS = 2

/**
 * Tells whether a database at `position` holds what was committed up to another one. Numbers go on through all terms: a database
 * that was down during a promotion may know the new term before it has received its log.
 * @example coversCommits({ term: 2, offset: 5 }, { term: 1, offset: 9 }) // false
 */
export function coversCommits (position: LogPosition, committed: LogPosition): boolean {
  return coversPosition(position, committed) && position.offset >= committed.offset
}

/**
 * Picks a replica that covers each acknowledged commit, whatever the others hold. Of several, one that stays in use, and that holds most.
 * @param acknowledged a position that covers each acknowledged commit of the group.
 * @example pickCoveringSuccessor(state, 'a', primary, acknowledged, nowMs)?.entry.database
 */
export function pickCoveringSuccessor (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, acknowledged: LogPosition, nowMs: number): TrackedDatabase | undefined {
  const progress = state.fencing.get(group)
  const findPosition = ({ entry, status }: TrackedDatabase): LogPosition =>
    [progress?.positions.get(entry.database), progress?.readPositions.get(entry.database), status?.position].reduce<LogPosition>((latest, position = ORIGIN) => pickLater(latest, position), ORIGIN)
  const answering = [...state.databases.values()].filter(known => known.entry.group === group && isAnswering(known, nowMs))
  const covering = answering.filter(known => known.entry.database !== primary?.entry.database && coversCommits(findPosition(known), acknowledged))
  return rankByUse(state, covering, (a, b) => comparePositions(findPosition(b), findPosition(a)))[0]
}

/** The outcome of fencing the databases of a group: those that are not read, and the successor if these can't matter. */
export interface FencedChoice {
  readonly unread: readonly TrackedDatabase[]
  readonly successor?: TrackedDatabase
}

/**
 * Picks the next primary where it is not known what was acknowledged, by the positions of all databases of the replica set. One
 * that is not read may hold a commit, however long it has been silent: it may be cut off from this system alone. If the last
 * primary was read, or the database that has its log, whoever holds as much may lead. Otherwise each commit is held by two, so one
 * need not be read if the successor holds as much as any that was; two that are not read are awaited.
 * @param copied the highest position that is known to be copied: a database below it lacks a commit, whoever is read.
 * @example pickFencedSuccessor(state, 'a', primary, copied).successor
 */
export function pickFencedSuccessor (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, copied: LogPosition): FencedChoice {
  const positions = state.fencing.get(group)?.positions ?? new Map<string, LogPosition>()
  const members = listReplicaSet(state, group)
  const unread = members.filter(({ entry }) => !positions.has(entry.database))
  const read = members.filter(({ entry }) => positions.has(entry.database))
  const findPosition = ({ entry }: TrackedDatabase): LogPosition => positions.get(entry.database)!
  const held = [findLastPosition(state, group, positions), findHeldByTwo(read.map(findPosition), unread.length, copied)].filter(position => position !== undefined)
  const replicas = read.filter(known => known.ended === undefined && known.entry.database !== primary?.entry.database)
  const covering = replicas.filter(known => coversCommits(findPosition(known), copied) && held.some(position => coversCommits(findPosition(known), position)))
  return { unread, successor: rankByUse(state, covering, (a, b) => comparePositions(findPosition(b), findPosition(a)))[0] }
}

function findLastPosition (state: SuccessionState, group: string, positions: ReadonlyMap<string, LogPosition>): LogPosition | undefined {
  const last = state.lastPrimaries.get(group)
  const isLast = last !== undefined && last.appointment === (getOwn(state.table, group)?.appointment ?? 0)
  return isLast ? positions.get(last.database) : undefined
}

// Positions that are known to be copied are left out, since whoever covers them holds those. One that knows the latest term may
// lack its log, and the longest log may be one that was never acknowledged.
function findHeldByTwo (read: readonly LogPosition[], unread: number, copied: LogPosition): LogPosition | undefined {
  if (unread >= COMMIT_HOLDERS) return undefined
  const later = read.filter(({ offset }) => offset > copied.offset)
  const index = COMMIT_HOLDERS - 1 - unread
  const { term } = later.sort((a, b) => comparePositions(b, a))[index] ?? copied
  const { offset } = later.sort((a, b) => b.offset - a.offset)[index] ?? copied
  return { term, offset }
}

// One that claims to lead without proof of it comes last.
function rankByUse (state: SuccessionState, databases: readonly TrackedDatabase[], compare: (a: TrackedDatabase, b: TrackedDatabase) => number): TrackedDatabase[] {
  return [...databases].sort((a, b) =>
    Number(isInEvacuated(state, a)) - Number(isInEvacuated(state, b)) ||
    Number(a.entry.departing) - Number(b.entry.departing) ||
    compare(a, b) ||
    Number(a.entry.leads === true) - Number(b.entry.leads === true))
}

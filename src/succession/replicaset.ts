/**
 * The replica sets that the control hosts' log keeps: the databases of each group that may hold a commit which a copy
 * acknowledged, and the processes of hosts that may have acknowledged it. A leader that begins knows them although they are silent,
 * or have ended, and hosts report them no longer.
 */
import { getOwn } from '../core/own.js'
import { comparePositions, ORIGIN, type LogPosition } from '../core/position.js'
import { dropCold, type DatabaseEntry } from '../membership/directory.js'
import { tell } from '../messages.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { createStep, isCopied, listReplicaSet, PROPOSAL_TIMEOUT_MS, type SuccessionStep } from './steps.js'
import { describeWriters } from './writers.js'

/**
 * How a database ended for good: it withdrew itself, and its log is transferred to the next one at its address; or another start
 * took its instance or address, and nothing is known of its log.
 */
export type DatabaseEnd = 'withdrawn' | 'superseded'

/** A database of a replica set. */
export interface ReplicaRecord {
  readonly entry: DatabaseEntry
  readonly end?: DatabaseEnd
  /** The last position that it told before it ended. */
  readonly position?: LogPosition
}

/** The processes of hosts that may commit in a group. */
export interface StoredWriters {
  readonly processes: readonly string[]
  /** Covers each commit that was acknowledged by a process that is not named any more. */
  readonly floor: LogPosition
  /** The highest position up to which any process reported commits as copied, as of the last change or closing of the group. */
  readonly copied: LogPosition
}

/** The database that hosts could last commit at. Its log holds all that was acknowledged. */
export interface LastPrimary {
  readonly database: string
  /** The last appointment of the group at that time: another one since may have led as well. */
  readonly appointment: number
}

/** What the log keeps of one group. */
export interface ReplicaSet {
  /** Databases by name. */
  readonly members: Readonly<Record<string, ReplicaRecord>>
  readonly writers?: StoredWriters
  readonly lastPrimary?: LastPrimary
}

/** Replica sets by group. */
export type ReplicaSetTable = Readonly<Record<string, ReplicaSet>>

/** Updates the replica set of a group. */
export interface UpdateReplicaSetCommand {
  readonly kind: 'succession/replicas'
  readonly group: string
  /** Databases that are added or have changed. */
  readonly present: readonly ReplicaRecord[]
  /** Databases whose commits are covered by others. */
  readonly covered: readonly string[]
  /** Replace the stored ones; absent if they have not changed. */
  readonly writers?: StoredWriters
  readonly lastPrimary?: LastPrimary
}

/**
 * Applies a command to the replica sets.
 * @example applyReplicaSetUpdate({}, { kind: 'succession/replicas', group: 'a', present: [{ entry }], covered: [] })
 */
export function applyReplicaSetUpdate (table: ReplicaSetTable, { group, present, covered, writers, lastPrimary }: UpdateReplicaSetCommand): ReplicaSetTable {
  const known = getOwn(table, group) ?? { members: {} }
  const kept = Object.entries(known.members).filter(([database]) => !covered.includes(database))
  const members = Object.fromEntries([...kept, ...present.map(record => [record.entry.database, record] as const)])
  const others = Object.entries(table).filter(([name]) => name !== group)
  const changed: ReplicaSet = { ...known, members, ...(writers === undefined ? {} : { writers }), ...(lastPrimary === undefined ? {} : { lastPrimary }) }
  return Object.fromEntries(Object.keys(members).length === 0 ? others : [...others, [group, changed] as const])
}

/**
 * Lists the members with which a leader begins. What has ended did so before the leader began.
 * @example loadMembers({ a: { members: { a1: { entry } } } }, moment.monotonicMs).get('a1')?.entry.group // 'a'
 */
export function loadMembers (table: ReplicaSetTable, nowMs: number): SuccessionState['members'] {
  const records = Object.values(table).flatMap(({ members }) => Object.values(members))
  return new Map(records.map(({ entry, end, position }) => [entry.database, { entry, knownSinceMs: nowMs, lastSeenAtMs: nowMs, ...(end === undefined ? {} : { ended: { end, atMs: nowMs, position } }) }]))
}

/**
 * Lists the databases that hosts could last commit at, as a leader that begins knows them.
 * @example loadLastPrimaries(state.replicaSets).get('a')?.database
 */
export function loadLastPrimaries (table: ReplicaSetTable): SuccessionState['lastPrimaries'] {
  return new Map(Object.entries(table).flatMap(([group, { lastPrimary }]) => (lastPrimary === undefined ? [] : [[group, lastPrimary] as const])))
}

/**
 * Proposes to store what has changed in the replica set of a group.
 * @example storeReplicaSet(state, 'a', nowMs).effects.length
 */
export function storeReplicaSet (before: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const state = recordLastPrimary(before, group)
  const stored = getOwn(state.replicaSets, group) ?? { members: {} }
  const isProposed = nowMs - (state.replicasProposedAtMs.get(group) ?? -Infinity) < PROPOSAL_TIMEOUT_MS
  if (isProposed) return createStep(state)
  const members = isCopied(state, group) ? listReplicaSet(state, group) : []
  const present = members.map(createRecord).filter(record => !isSame(getOwn(stored.members, record.entry.database), record))
  const covered = Object.keys(stored.members).filter(database => !members.some(({ entry }) => entry.database === database))
  const writers = members.length === 0 ? undefined : findChangedWriters(state, group, stored.writers)
  const known = state.lastPrimaries.get(group)
  const lastPrimary = members.length === 0 || isSamePrimary(known, stored.lastPrimary) ? undefined : known
  if (present.length === 0 && covered.length === 0 && writers === undefined && lastPrimary === undefined) return createStep(state)
  const command: UpdateReplicaSetCommand = { kind: 'succession/replicas', group, present, covered, ...(writers === undefined ? {} : { writers }), ...(lastPrimary === undefined ? {} : { lastPrimary }) }
  return {
    state: { ...state, replicasProposedAtMs: new Map(state.replicasProposedAtMs).set(group, nowMs), retiredWriters: markRetired(state, group, stored.writers, writers) },
    effects: [tell({ kind: 'agreement/propose', proposal: `succession/${group}/replicas`, command })]
  }
}

function recordLastPrimary (state: SuccessionState, group: string): SuccessionState {
  const { database, closing = true, leased = false } = state.published.get(group) ?? {}
  const known = database === undefined ? undefined : state.members.get(database)
  if (database === undefined || known === undefined || known.ended !== undefined || closing || !leased) return state
  const lastPrimary: LastPrimary = { database, appointment: getOwn(state.table, group)?.appointment ?? 0 }
  return isSamePrimary(lastPrimary, state.lastPrimaries.get(group)) ? state : { ...state, lastPrimaries: new Map(state.lastPrimaries).set(group, lastPrimary) }
}

function isSamePrimary (a: LastPrimary | undefined, b: LastPrimary | undefined): boolean {
  return a?.database === b?.database && a?.appointment === b?.appointment
}

// One that is being retired is named again only once the log names it no longer. What is copied is stored as the group is closed,
// rather than with each commit.
function findChangedWriters (state: SuccessionState, group: string, stored: StoredWriters | undefined): StoredWriters | undefined {
  const { processes, ...rest } = describeWriters(state, group)
  const isFurther = state.fencing.has(group) && comparePositions(rest.copied, stored?.copied ?? ORIGIN) > 0
  const retired = state.retiredWriters.get(group)
  const named = processes.filter(process => retired?.has(process) !== true)
  const isChanged = stored === undefined || isFurther || named.length !== stored.processes.length || named.some(process => !stored.processes.includes(process))
  return isChanged ? { processes: named, ...rest } : undefined
}

function markRetired ({ retiredWriters }: SuccessionState, group: string, stored: StoredWriters | undefined, next: StoredWriters | undefined): SuccessionState['retiredWriters'] {
  const retired = next === undefined ? [] : (stored?.processes ?? []).filter(process => !next.processes.includes(process))
  return retired.length === 0 ? retiredWriters : new Map(retiredWriters).set(group, new Set([...retiredWriters.get(group) ?? [], ...retired]))
}

/**
 * Learns the replica sets of the log once a change of one is applied.
 * @example learnReplicaSets(state, 'a', replicaSets).replicasProposedAtMs.has('a') // false
 */
export function learnReplicaSets (state: SuccessionState, group: string, replicaSets: ReplicaSetTable): SuccessionState {
  const replicasProposedAtMs = new Map(state.replicasProposedAtMs)
  replicasProposedAtMs.delete(group)
  const named = getOwn(replicaSets, group)?.writers?.processes ?? []
  const retired = [...state.retiredWriters.get(group) ?? []].filter(process => named.includes(process))
  return { ...state, replicaSets, replicasProposedAtMs, retiredWriters: new Map(state.retiredWriters).set(group, new Set(retired)) }
}

// Hosts may differ for a while in what a database last said of itself.
function createRecord ({ entry, ended }: TrackedDatabase): ReplicaRecord {
  const { leads: _, ...lasting } = dropCold(entry)
  return { entry: { ...lasting, departing: false }, ...(ended === undefined ? {} : { end: ended.end, position: ended.position }) }
}

function isSame (known: ReplicaRecord | undefined, { entry, end }: ReplicaRecord): boolean {
  return known !== undefined && known.end === end && known.entry.address === entry.address && known.entry.group === entry.group
}

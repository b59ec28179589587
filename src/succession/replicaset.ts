/**
 * The replica sets that the control hosts' log keeps: the databases of each group that may hold a commit which a copy
 * acknowledged. A leader that begins knows them although they are silent, or have ended, and hosts report them no longer.
 */
import type { Moment } from '../core/message.js'
import { getOwn } from '../core/own.js'
import { dropCold, type DatabaseEntry } from '../membership/directory.js'
import { tell } from '../messages.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { createStep, isCopied, PROPOSAL_TIMEOUT_MS, type SuccessionStep } from './steps.js'

/**
 * How a database ended for good: it withdrew itself, and its log is transferred to the next one at its address; or another start
 * took its instance or address, and nothing is known of its log.
 */
export type DatabaseEnd = 'withdrawn' | 'superseded'

/** A database of a replica set. */
export interface ReplicaRecord {
  readonly entry: DatabaseEntry
  readonly end?: DatabaseEnd
}

/** The databases of one group, by name. */
export type ReplicaSet = Readonly<Record<string, ReplicaRecord>>
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
}

/**
 * Applies a command to the replica sets.
 * @example applyReplicaSetUpdate({}, { kind: 'succession/replicas', group: 'a', present: [{ entry }], covered: [] })
 */
export function applyReplicaSetUpdate (table: ReplicaSetTable, { group, present, covered }: UpdateReplicaSetCommand): ReplicaSetTable {
  const kept = Object.entries(getOwn(table, group) ?? {}).filter(([database]) => !covered.includes(database))
  const changed = Object.fromEntries([...kept, ...present.map(record => [record.entry.database, record] as const)])
  const others = Object.entries(table).filter(([name]) => name !== group)
  return Object.fromEntries(Object.keys(changed).length === 0 ? others : [...others, [group, changed] as const])
}

/**
 * Lists the members with which a leader begins. What has ended did so before the leader began.
 * @example loadMembers({ a: { a1: { entry } } }, moment.monotonicMs).get('a1')?.entry.group // 'a'
 */
export function loadMembers (table: ReplicaSetTable, nowMs: Moment['monotonicMs']): SuccessionState['members'] {
  const records = Object.values(table).flatMap(set => Object.values(set))
  return new Map(records.map(({ entry, end }) => [entry.database, { entry, knownSinceMs: nowMs, lastSeenAtMs: nowMs, ...(end === undefined ? {} : { ended: { end, atMs: nowMs } }) }]))
}

/**
 * Proposes to store what has changed in the replica set of a group.
 * @example storeReplicaSet(state, 'a', nowMs).effects.length
 */
export function storeReplicaSet (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const stored = getOwn(state.replicaSets, group) ?? {}
  const members = isCopied(state, group) ? [...state.members.values()].filter(({ entry }) => entry.group === group) : []
  const present = members.map(createRecord).filter(record => !isSame(getOwn(stored, record.entry.database), record))
  const covered = Object.keys(stored).filter(database => !members.some(({ entry }) => entry.database === database))
  const isProposed = nowMs - (state.replicasProposedAtMs.get(group) ?? -Infinity) < PROPOSAL_TIMEOUT_MS
  if (isProposed || (present.length === 0 && covered.length === 0)) return createStep(state)
  const command: UpdateReplicaSetCommand = { kind: 'succession/replicas', group, present, covered }
  return {
    state: { ...state, replicasProposedAtMs: new Map(state.replicasProposedAtMs).set(group, nowMs) },
    effects: [tell({ kind: 'agreement/propose', proposal: `succession/${group}/replicas`, command })]
  }
}

// Hosts may differ for a while in what a database last said of itself.
function createRecord ({ entry, ended }: TrackedDatabase): ReplicaRecord {
  const { leads: _, ...lasting } = dropCold(entry)
  return { entry: { ...lasting, departing: false }, ...(ended === undefined ? {} : { end: ended.end }) }
}

function isSame (known: ReplicaRecord | undefined, { entry, end }: ReplicaRecord): boolean {
  return known !== undefined && known.end === end && known.entry.address === entry.address && known.entry.group === entry.group
}

/** Whether replicas receive from their primary: the leader stops them before it compares them, and lets them receive otherwise. */
import type { FenceReplica } from '../databases/driver.js'
import type { SuccessionState, TrackedDatabase } from './state.js'
import { listReplicaSet, type SuccessionStep } from './steps.js'

/** Delay before a replica that still reports a pause is resumed again: its owner reads its status by then. */
const RESUME_RETRY_DELAY_MS = 1_500

/**
 * Resumes the replicas of a group that report a pause. What they say is compared with what they should do, rather than with a
 * record of what was paused: an appointment may fail, a leader may be replaced, and an order or its answer may be lost.
 * @param all true to resume all replicas at once, whose last reports may be older than their pause.
 * @example resumeReplicas(state, 'a', false, nowMs).effects.length
 */
export function resumeReplicas (state: SuccessionState, group: string, all: boolean, nowMs: number): SuccessionStep {
  const paused = listRunning(state, group).filter(known => all || isResumeDue(state, known, nowMs))
  if (paused.length === 0) return { state, effects: [] }
  const resumedAtMs = new Map([...state.resumedAtMs, ...paused.map(({ entry }) => [entry.database, nowMs] as const)])
  return { state: { ...state, resumedAtMs }, effects: paused.map(known => createFenceEffect(state, known, true)) }
}

/**
 * Creates the effect that stops a replica from receiving, or lets it receive.
 * @example createFenceEffect(state, known, false).term
 */
export function createFenceEffect (state: SuccessionState, { entry }: TrackedDatabase, receives: boolean): FenceReplica {
  const { group, database, address } = entry
  const terms = listRunning(state, group).map(({ status }) => Math.max(status?.position.term ?? 0, status?.fencedTerm ?? 0))
  return { kind: 'database/fence', group, database, address, term: Math.max(0, ...terms) + 1, receives }
}

function isResumeDue ({ resumedAtMs }: SuccessionState, { entry, status }: TrackedDatabase, nowMs: number): boolean {
  return (status?.fencedTerm ?? 0) > 0 && nowMs - (resumedAtMs.get(entry.database) ?? -Infinity) >= RESUME_RETRY_DELAY_MS
}

function listRunning (state: SuccessionState, group: string): readonly TrackedDatabase[] {
  return listReplicaSet(state, group).filter(({ ended }) => ended === undefined)
}

/** Applies committed commands to the state machine, in log order, each of them once. */
import { assertInvariant } from '../core/invariant.js'
import { compactLog, findEntry, isControlCommand, findLastPoint, type LogCommand } from './log.js'
import type { StateMachine } from './statemachine.js'
import { keepState, type JournalRecord, type ReplicaEffect, type ReplicaState, type ReplicaStep } from './replica.js'

/** Commits and applies all entries up to an index. */
export function applyCommitted<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, committed: number): ReplicaStep<S, C, O> {
  if (committed <= state.committed) return keepState(state)
  assertInvariant(committed <= findLastPoint(state.log).index, 'the commit index is within the log', String(committed))
  let applied = state.applied
  const effects: Array<ReplicaEffect<S, C, O>> = []
  const proposals = new Map(state.leaderState?.proposals)
  for (let index = state.committed + 1; index <= committed; index++) {
    const { command } = findEntry(state.log, index)!
    if (isControlCommand(command)) continue
    const step = machine.apply(applied, command)
    applied = step.state
    effects.push({ kind: 'replica/applied', proposal: proposals.get(index), command, outcome: step.outcome, state: applied })
    proposals.delete(index)
  }
  const leaderState = state.leaderState && { ...state.leaderState, proposals }
  const next: ReplicaState<S, C> = { ...state, applied, committed, leaderState }
  const snapshot = isSnapshotDue(state, committed) ? takeSnapshot<S, C, O>(next) : keepState(next)
  return { state: snapshot.state, effects: [...effects, ...snapshot.effects] }
}

function isSnapshotDue<S, C> ({ log, limits }: ReplicaState<S, C>, committed: number): boolean {
  if (committed - log.snapshot.index >= limits.snapshotEvery) return true
  const bytes = log.entries.reduce((sum, entry) => (entry.index > log.snapshot.index ? sum + entry.bytes : sum), 0)
  return bytes >= limits.snapshotBytes
}

/** Compacts the log into a snapshot of the applied state. */
export function takeSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const log = compactLog(state.log, state.applied, state.committed, state.limits.entriesKept, state.limits.bytesKept)
  return writeSnapshot({ ...state, log })
}

/** Writes the log's snapshot to the journal, together with the hard state and the entries that follow it. */
export function writeSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const write = state.lastWrite + 1
  const entries = state.log.entries.filter(entry => entry.index > state.log.snapshot.index)
  const records: ReadonlyArray<JournalRecord<C>> = [{ kind: 'mark', mark: state.hardState }, ...entries.map(entry => ({ kind: 'entry', entry }) as const)]
  return {
    state: { ...state, lastWrite: write, heldEffects: [...state.heldEffects, { write, effects: [] }] },
    effects: [{ kind: 'journal/snapshot', write, snapshot: state.log.snapshot, records }]
  }
}

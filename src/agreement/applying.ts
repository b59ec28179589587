/** Applying: committed commands reach the state machine, in order, once. */
import { assertInvariant } from '../core/invariant.js'
import { truncateLog, findEntry, isControl, readLast, type LogCommand } from './log.js'
import type { StateMachine } from './machine.js'
import { keep, type JournalRecord, type ReplicaEffect, type ReplicaState, type ReplicaStep } from './replica.js'

/** Commits and applies up to an index. */
export function applyCommitted<S, C extends LogCommand, O> (machine: StateMachine<S, C, O>, state: ReplicaState<S, C>, committed: number): ReplicaStep<S, C, O> {
  if (committed <= state.committed) return keep(state)
  assertInvariant(committed <= readLast(state.log).index, 'only entries in the log are committed', String(committed))
  let applied = state.applied
  const effects: Array<ReplicaEffect<S, C, O>> = []
  const proposals = new Map(state.leading?.proposals)
  for (let index = state.committed + 1; index <= committed; index++) {
    const { command } = findEntry(state.log, index)!
    if (isControl(command)) continue
    const step = machine.apply(applied, command)
    applied = step.state
    effects.push({ kind: 'replica/applied', proposal: proposals.get(index), command, outcome: step.outcome, state: applied })
    proposals.delete(index)
  }
  const leading = state.leading && { ...state.leading, proposals }
  const next: ReplicaState<S, C> = { ...state, applied, committed, leading }
  const snapshot = isSnapshotDue(state, committed) ? storeSnapshot<S, C, O>(next) : keep(next)
  return { state: snapshot.state, effects: [...effects, ...snapshot.effects] }
}

function isSnapshotDue<S, C> ({ log, limits }: ReplicaState<S, C>, committed: number): boolean {
  if (committed - log.base.index >= limits.snapshotEvery) return true
  const bytes = log.entries.reduce((sum, entry) => (entry.index > log.base.index ? sum + entry.bytes : sum), 0)
  return bytes >= limits.snapshotBytes
}

/** Stores the applied state in place of the entries that led to it. */
export function storeSnapshot<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const log = truncateLog(state.log, state.applied, state.committed, state.limits.entriesKept)
  return storeBase({ ...state, log })
}

/** Stores the log's snapshot, with all that the journal must keep after it. */
export function storeBase<S, C extends LogCommand, O> (state: ReplicaState<S, C>): ReplicaStep<S, C, O> {
  const write = state.writes + 1
  const entries = state.log.entries.filter(entry => entry.index > state.log.base.index)
  const records: ReadonlyArray<JournalRecord<C>> = [{ kind: 'mark', mark: state.mark }, ...entries.map(entry => ({ kind: 'entry', entry }) as const)]
  return {
    state: { ...state, writes: write, held: [...state.held, { write, effects: [] }] },
    effects: [{ kind: 'journal/snapshot', write, snapshot: state.log.base, records }]
  }
}

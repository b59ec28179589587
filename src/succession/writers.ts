/** The hosts that may commit at a group's primary, as the leader knows them from their heartbeats. */
import { ORIGIN, pickLater, type LogPosition } from '../core/position.js'
import { MAX_CLOCK_DRIFT } from '../primacy/tools.js'
import { COMMIT_LEASE_MS } from '../transactions/commits.js'
import { nameProcess } from '../membership/directory.js'
import type { HostReported } from './messages.js'
import type { ReplicaSetTable, StoredWriters } from './replicaset.js'
import type { GroupWriters, SuccessionState, TrackedDatabase, Writer } from './state.js'

/** Time after a heartbeat at which the commit lease that its answer granted has ended, even with clock drift. */
export const COMMIT_LEASE_EXPIRY_MS = COMMIT_LEASE_MS * (1 + MAX_CLOCK_DRIFT) + 1

/** Stands for the hosts that a former leader answered whose log did not name them. */
const FORMER_WRITERS = 'former'

/**
 * Records what a host reports of its commit leases. Each process of a host counts by itself: a later one knows nothing of
 * what an earlier one sent.
 * @example recordWriters(state, message, nowMs).get('a')?.processes.size
 */
export function recordWriters (state: SuccessionState, { host, process, round = 0, writes = [] }: HostReported, nowMs: number): SuccessionState['writers'] {
  if (writes.length === 0) return state.writers
  const next = new Map(state.writers)
  const name = nameProcess(host, process)
  for (const { group, phase, acknowledged, copied } of writes) {
    const writers = next.get(group) ?? getWriters(state, group)
    // A relay may hold an earlier heartbeat for longer than a later one.
    if ((writers.processes.get(name)?.round ?? -1) > round) continue
    next.set(group, { ...writers, processes: new Map(writers.processes).set(name, { heardAtMs: nowMs, round, phase, acknowledged, copied }) })
  }
  return next
}

/**
 * Drops the processes that can't commit any more and whose commits are covered: by what they reported as they stopped, or by a
 * position of the primary that was read after their leases had ended.
 * @example dropLapsedWriters(state, 'a', primary, nowMs).writers.get('a')?.floor
 */
export function dropLapsedWriters (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, nowMs: number): SuccessionState {
  const writers = getWriters(state, group)
  const dropped = [...writers.processes].filter(([, writer]) => hasLapsed(writer, nowMs) && (writer.phase === 'closed' || isCovered(writer, primary)))
  if (dropped.length === 0) return state
  const processes = new Map([...writers.processes].filter(([name]) => !dropped.some(([other]) => other === name)))
  const copied = dropped.map(([, writer]) => writer.copied ?? ORIGIN).reduce(pickLater, writers.copied)
  const floor = dropped.map(([, writer]) => (writer.phase === 'closed' ? writer.acknowledged : primary?.status?.position) ?? ORIGIN).reduce(pickLater, writers.floor)
  return { ...state, writers: new Map(state.writers).set(group, { copied, floor, processes }) }
}

/**
 * Tells whether no host can acknowledge a commit of a group any more: each one has reported that it stopped, or its lease has
 * surely ended. Holds from then on, unless a primary of the group is published without being closed.
 * @example isQuiesced(state, 'a', nowMs)
 */
export function isQuiesced (state: SuccessionState, group: string, nowMs: number): boolean {
  return [...getWriters(state, group).processes.values()].every(writer => writer.phase === 'closed' || hasLapsed(writer, nowMs))
}

/**
 * Finds a position that covers each acknowledged commit of a quiesced group; undefined if a process ended without telling what it
 * acknowledged, and the primary was not read since.
 * @example findAcknowledged(state, 'a')?.offset
 */
export function findAcknowledged (state: SuccessionState, group: string): LogPosition | undefined {
  const { floor, processes } = getWriters(state, group)
  const writers = [...processes.values()]
  if (writers.some(({ phase }) => phase !== 'closed')) return undefined
  return writers.map(({ acknowledged }) => acknowledged ?? ORIGIN).reduce(pickLater, floor)
}

/**
 * Finds the highest position up to which replicas hold all commits, since a later one was acknowledged: a database below it lacks
 * a commit, whatever else is known. What `findAcknowledged` returns may be beyond the last commit that was acknowledged.
 * @example findCopied(state, 'a').offset
 */
export function findCopied (state: SuccessionState, group: string): LogPosition {
  const { copied, processes } = getWriters(state, group)
  return [...processes.values()].map(writer => writer.copied ?? ORIGIN).reduce(pickLater, copied)
}

/**
 * Lists the processes that could commit under the former leader, as the log names them. Each one counts until it reports to this
 * leader, or its lease has surely ended.
 * @example loadWriters(state.replicaSets, nowMs).get('a')?.processes.size
 */
export function loadWriters (table: ReplicaSetTable, nowMs: number): SuccessionState['writers'] {
  const groups = Object.entries(table).flatMap(([group, { writers }]) => (writers === undefined ? [] : [[group, writers] as const]))
  return new Map(groups.map(([group, { processes, floor, copied }]) => [group, { floor, copied, processes: new Map(processes.map(name => [name, createUnheard(nowMs)])) }]))
}

/**
 * Describes what the log is to hold of the processes that may commit in a group.
 * @example describeWriters(state, 'a').processes
 */
export function describeWriters (state: SuccessionState, group: string): StoredWriters {
  const { floor, processes } = getWriters(state, group)
  return { floor, copied: findCopied(state, group), processes: [...processes.keys()] }
}

function createUnheard (heardAtMs: number): Writer {
  return { heardAtMs, round: 0, phase: 'open' }
}

function hasLapsed ({ heardAtMs }: Writer, nowMs: number): boolean {
  return nowMs >= heardAtMs + COMMIT_LEASE_EXPIRY_MS
}

// A primary that started again may hold less than what it acknowledged before.
function isCovered ({ heardAtMs }: Writer, primary: TrackedDatabase | undefined): boolean {
  if (primary?.status === undefined || primary.restartedAtMs !== undefined) return false
  return Math.min(primary.provenAtMs ?? -Infinity, primary.answeredAtMs ?? -Infinity) >= heardAtMs + COMMIT_LEASE_EXPIRY_MS
}

function getWriters ({ writers, leadingSinceMs }: SuccessionState, group: string): GroupWriters {
  return writers.get(group) ?? { copied: ORIGIN, floor: ORIGIN, processes: new Map([[FORMER_WRITERS, createUnheard(leadingSinceMs)]]) }
}

/** What the leader keeps and drops as a database starts again: the new start holds nothing of what the former one answered for. */
import { comparePositions, ORIGIN, type LogPosition } from '../core/position.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { endDatabase } from './coverage.js'
import type { FencingProgress, SuccessionState, TrackedDatabase } from './state.js'
import type { Appointment } from './table.js'

/** The state without former starts, and the databases that took their places. */
export interface DroppedIncarnations {
  readonly state: SuccessionState
  readonly restarted: ReadonlySet<string>
}

/**
 * Drops the former starts of reported databases, with their positions and the progress of fencing them. Those that may hold
 * what a copy acknowledged stay in their replica sets as ended.
 * @example dropFormerIncarnations(state, entries, nowMs).restarted.has('i-1~1700')
 */
export function dropFormerIncarnations (state: SuccessionState, reported: readonly DatabaseEntry[], nowMs: number): DroppedIncarnations {
  const started = reported.filter(({ database, incarnation }) => incarnation !== undefined && !state.databases.has(database))
  const formers = new Map(started.flatMap(entry => listFormer(state, entry).map(former => [former.entry.database, entry] as const)))
  if (formers.size === 0) return { state, restarted: new Set() }
  const ended = [...formers.keys()].reduce((current, database) => endDatabase(current, database, 'superseded', nowMs), state)
  const fencing = new Map([...state.fencing].map(([group, progress]) => [group, dropPositions(progress, formers)]))
  return { state: { ...ended, fencing }, restarted: new Set([...formers.values()].map(({ database }) => database)) }
}

function listFormer ({ members }: SuccessionState, { database, incarnation }: DatabaseEntry): readonly TrackedDatabase[] {
  return [...members.values()].filter(({ entry, ended }) => ended === undefined && entry.database !== database && entry.incarnation?.instance === incarnation?.instance)
}

function dropPositions (progress: FencingProgress, formers: ReadonlyMap<string, unknown>): FencingProgress {
  const isPresent = ([database]: readonly [string, LogPosition]): boolean => !formers.has(database)
  return { ...progress, positions: new Map([...progress.positions].filter(isPresent)), readPositions: new Map([...progress.readPositions].filter(isPresent)) }
}

/**
 * Finds the present start of the instance that was appointed; undefined if it is not known.
 * @example findAppointedInstance(state, 'a', appointment)?.entry.database
 */
export function findAppointedInstance (state: SuccessionState, group: string, { instance }: Appointment): TrackedDatabase | undefined {
  if (instance === undefined) return undefined
  return [...state.databases.values()].find(({ entry }) => entry.group === group && entry.incarnation?.instance === instance)
}

/**
 * Tells whether a database has started again since it was appointed: it may hold less than what it was appointed for.
 * @example isAppointmentSuperseded(state, 'a', appointment)
 */
export function isAppointmentSuperseded (state: SuccessionState, group: string, appointment: Appointment): boolean {
  return !state.databases.has(appointment.database) && findAppointedInstance(state, group, appointment) !== undefined
}

/**
 * Marks restarted databases as complete: a primary that holds all that was seen in its group, and replicas that hold what the
 * primary held after they had started, since all that their former starts acknowledged is part of it.
 * @example markCaughtUp(state, 'a', primary)
 */
export function markCaughtUp (state: SuccessionState, group: string, primary: TrackedDatabase | undefined): SuccessionState {
  const restarted = [...state.databases.values()].filter(({ entry, restartedAtMs }) => restartedAtMs !== undefined && entry.group === group)
  const highest = state.highestPositions.get(group)?.position ?? ORIGIN
  const caughtUp = restarted.filter(known => (known === primary ? isComplete(primary, highest) : hasCaughtUp(known, primary)))
  if (caughtUp.length === 0) return state
  const changes = caughtUp.map(known => [known.entry.database, { ...known, restartedAtMs: undefined }] as const)
  return { ...state, databases: new Map([...state.databases, ...changes]), members: new Map([...state.members, ...changes]) }
}

function isComplete ({ status }: TrackedDatabase, highest: LogPosition): boolean {
  return status?.primary === true && comparePositions(status.position, highest) >= 0
}

function hasCaughtUp ({ status, restartedAtMs = 0 }: TrackedDatabase, primary: TrackedDatabase | undefined): boolean {
  if (status === undefined || primary?.status?.primary !== true || primary.restartedAtMs !== undefined) return false
  return (primary.answeredAtMs ?? 0) >= restartedAtMs && comparePositions(status.position, primary.status.position) >= 0
}

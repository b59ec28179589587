/**
 * Replacement of a primary whose writes are acknowledged by a replica's copy. The primary is closed for writes first. Once no
 * host can acknowledge a commit any more, a replica that covers all that was acknowledged is appointed; where that is not known,
 * or none does, the replicas stop receiving and are compared. The group stays closed until an appointment has ended: a database
 * that joins, starts again or can't be reached meanwhile may hold more than the successor, but nothing that was acknowledged.
 */
import { recordEvent } from '../core/message.js'
import { comparePositions, ORIGIN, type LogPosition } from '../core/position.js'
import type { ReadPosition } from '../databases/driver.js'
import { hasOtherCandidate, isServing, type ReplacementReason } from './candidates.js'
import type { PositionRead, ReplicaFenced } from './messages.js'
import type { FencingProgress, SuccessionState, TrackedDatabase } from './state.js'
import { isPrimaryConfirmed } from './confirmation.js'
import { pickCoveringSuccessor, pickFencedSuccessor } from './quorum.js'
import { createFenceEffect, resumeReplicas } from './receiving.js'
import { appoint, createStep, isAppointmentSettling, isCopied, listReplicaSet, publish, type SuccessionStep } from './steps.js'
import { findAcknowledged, findCopied, isQuiesced } from './writers.js'

/** Delay before replicas that did not answer are fenced again. */
const FENCE_RETRY_DELAY_MS = 400
/** How long replicas may still catch up once no commit is acknowledged any more: many times the replication delay. */
const CATCH_UP_MS = 300
/** Delay between two reads of their positions meanwhile. */
const READ_INTERVAL_MS = 100
/** Time after which an event tells what a group waits for: longer than a change of primary takes. */
const WAITING_REPORT_MS = 5_000
/** How long a primary that serves stays closed without a successor: longer than commit leases last. */
const CLOSE_TIMEOUT_MS = 3_000

/**
 * Takes the next step of replacing a primary.
 * @example replaceClosed(state, 'a', primary, 'departing', nowMs)
 */
export function replaceClosed (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const progress = state.fencing.get(group)
  if (isAppointmentSettling(state, group, nowMs)) return progress === undefined ? resumeGroup(state, group, primary, nowMs) : createStep(state)
  const serves = primary !== undefined && isServing(state, primary, nowMs)
  if (progress === undefined) return serves && !hasOtherCandidate(state, primary, nowMs) ? resumeGroup(state, group, primary, nowMs) : beginClosing(state, group, primary, reason, nowMs)
  if (progress.proposed !== undefined) return appointAgain(state, group, progress.proposed, primary, reason, nowMs)
  if (serves && nowMs - progress.startedAtMs >= CLOSE_TIMEOUT_MS) return cancelClosing(state, group, primary, nowMs)
  if (progress.quiescedAtMs !== undefined) return chooseSuccessor(state, group, progress, primary, reason, nowMs)
  if (!isQuiesced(state, group, nowMs)) return createStep(state)
  const quiesced: FencingProgress = { ...progress, quiescedAtMs: nowMs }
  return chooseSuccessor(replaceProgress(state, group, quiesced), group, quiesced, primary, reason, nowMs)
}

/**
 * Tells whether the appointment of a group's next primary is proposed. It may be committed at any time, so the group stays closed
 * even if the primary answers again.
 * @example isProposed(state, 'a')
 */
export function isProposed ({ fencing }: SuccessionState, group: string): boolean {
  return fencing.get(group)?.proposed !== undefined
}

/**
 * Opens a group whose primary need not be replaced, or not any more, and lets its replicas receive. Where a replica's copy
 * acknowledges a write, it first makes sure that no earlier call to the platform replaces the primary later.
 * @example resumeGroup(state, 'a', primary, nowMs)
 */
export function resumeGroup (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, nowMs: number): SuccessionStep {
  if (primary === undefined || !isCopied(state, group)) return resumeFenced(publish(state, group, primary?.entry.database), group, nowMs)
  const isConfirmed = isPrimaryConfirmed(state, group, primary, nowMs)
  const published = publish(state, group, primary.entry.database, !isConfirmed)
  const fenced = resumeFenced(published, group, nowMs)
  const resumed = resumeReplicas(fenced.state, group, false, nowMs)
  const effects = [...fenced.effects, ...resumed.effects]
  if (isConfirmed || isAppointmentSettling(resumed.state, group, nowMs)) return { state: resumed.state, effects }
  const proposed = { ...createProgress(nowMs), proposed: primary.entry.database }
  const appointed = appoint(replaceProgress(resumed.state, group, proposed), group, primary, 'unconfirmed', nowMs)
  return { state: appointed.state, effects: [...effects, ...appointed.effects] }
}

// Replicas that this leader paused receive again at once, rather than with their next report.
function resumeFenced (step: SuccessionStep, group: string, nowMs: number): SuccessionStep {
  if (!step.state.fencing.has(group)) return step
  const resumed = resumeReplicas(dropProgress(step.state, group), group, true, nowMs)
  return { state: resumed.state, effects: [...step.effects, ...resumed.effects] }
}

/**
 * Records the position of a replica that stopped receiving. One that was read while hosts may have committed is not compared.
 * @example recordFenced(state, message)
 */
export function recordFenced (state: SuccessionState, { group, database, position }: ReplicaFenced): SuccessionState {
  const progress = state.fencing.get(group)
  if (progress?.quiescedAtMs === undefined || !isSameStart(state, database, position)) return state
  return replaceProgress(state, group, { ...progress, positions: new Map(progress.positions).set(database, position) })
}

/**
 * Records the position of a replica that goes on receiving: it only grows.
 * @example recordPosition(state, message)
 */
export function recordPosition (state: SuccessionState, { group, database, position }: PositionRead): SuccessionState {
  const progress = state.fencing.get(group)
  if (progress === undefined || !isSameStart(state, database, position)) return state
  return replaceProgress(state, group, { ...progress, readPositions: new Map(progress.readPositions).set(database, position) })
}

// A question names the instance, so another start of it may answer before it is announced. That is not what the former one held,
// whose positions only grew, and which goes on announcing itself.
function isSameStart ({ databases, members }: SuccessionState, database: string, position: LogPosition): boolean {
  const known = members.get(database)
  return known !== undefined && known.ended === undefined && databases.has(database) && comparePositions(position, known.status?.position ?? ORIGIN) >= 0
}

/**
 * Drops the progress of a group, whose appointment is committed or whose primary stays.
 * @example dropProgress(state, 'a').fencing.has('a') // false
 */
export function dropProgress (state: SuccessionState, group: string): SuccessionState {
  const fencing = new Map(state.fencing)
  fencing.delete(group)
  return { ...state, fencing }
}

function createProgress (nowMs: number): FencingProgress {
  return { startedAtMs: nowMs, askedAtMs: -Infinity, readPositions: new Map(), positions: new Map() }
}

function replaceProgress (state: SuccessionState, group: string, progress: FencingProgress): SuccessionState {
  return { ...state, fencing: new Map(state.fencing).set(group, progress) }
}

// Reports that arrived before the directory changed may still name hosts that commit, so these are looked at with the next check.
function beginClosing (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const begun = replaceProgress(state, group, createProgress(nowMs))
  // One that is gone may still serve the hosts that have not heard of it.
  const published = state.published.get(group)?.database
  const former = primary !== undefined && isServing(state, primary, nowMs) ? primary.entry.database : published
  const closed = former === undefined ? createStep(begun) : publish(begun, group, former, true)
  const event = recordEvent('primary-closing', `Group ${group}: the primary is ${reason}; it is closed for writes until another database leads.`, { group })
  return { state: closed.state, effects: [event, ...closed.effects] }
}

// Without a successor callers do better with the primary that they have, for as long as it serves.
function cancelClosing (state: SuccessionState, group: string, primary: TrackedDatabase, nowMs: number): SuccessionStep {
  const reopened = resumeGroup({ ...state, appointedAtMs: new Map(state.appointedAtMs).set(group, nowMs) }, group, primary, nowMs)
  const event = recordEvent('primary-reopened', `Group ${group}: no database can take over from ${primary.entry.database}, which is open for writes again.`, { group })
  return { state: reopened.state, effects: [event, ...reopened.effects] }
}

function appointAgain (state: SuccessionState, group: string, proposed: string, primary: TrackedDatabase | undefined, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const successor = state.members.get(proposed)
  const confirms = proposed === primary?.entry.database
  return successor === undefined ? createStep(state) : appoint(state, group, successor, confirms ? 'unconfirmed' : reason, nowMs)
}

// What was acknowledged is known in most cases. Then a replica that covers it may lead, and the others need not be reached. A
// database that answers without having led is a replica, whatever it was appointed for.
function chooseSuccessor (state: SuccessionState, group: string, progress: FencingProgress, primary: TrackedDatabase | undefined, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const former = reason === 'unproven' ? undefined : primary
  const acknowledged = findAcknowledged(state, group)
  const covering = acknowledged === undefined ? undefined : pickCoveringSuccessor(state, group, former, acknowledged, nowMs)
  const { unread, successor } = pickFencedSuccessor(state, group, former, findCopied(state, group))
  const chosen = covering ?? successor
  if (chosen !== undefined) return appoint(replaceProgress(state, group, { ...progress, proposed: chosen.entry.database }), group, chosen, reason, nowMs)
  if (acknowledged !== undefined && nowMs - (progress.quiescedAtMs ?? nowMs) < CATCH_UP_MS) return readReplicas(state, group, progress, former, nowMs)
  if (nowMs - progress.askedAtMs < FENCE_RETRY_DELAY_MS) return createStep(state)
  const reported = reportWaiting(state, group, { ...progress, askedAtMs: nowMs }, unread, nowMs)
  const asked = unread.filter(known => known.ended === undefined && (known !== former || isAnsweringSince(known, progress.quiescedAtMs)))
  return { state: reported.state, effects: [...asked.map(known => createFenceEffect(state, known, false)), ...reported.effects] }
}

// A former primary that answers tells what it holds, and can't be stopped from receiving.
function isAnsweringSince ({ answeredAtMs = -Infinity }: TrackedDatabase, sinceMs = Infinity): boolean {
  return answeredAtMs >= sinceMs
}

function readReplicas (state: SuccessionState, group: string, progress: FencingProgress, primary: TrackedDatabase | undefined, nowMs: number): SuccessionStep {
  if (nowMs - (progress.readAtMs ?? -Infinity) < READ_INTERVAL_MS) return createStep(state)
  const replicas = listReplicaSet(state, group).filter(({ entry, ended }) => ended === undefined && entry.database !== primary?.entry.database)
  return { state: replaceProgress(state, group, { ...progress, readAtMs: nowMs }), effects: replicas.map(createReadEffect) }
}

// Without it, an operator sees only that the group has no primary.
function reportWaiting (state: SuccessionState, group: string, progress: FencingProgress, unread: readonly TrackedDatabase[], nowMs: number): SuccessionStep {
  const isLate = progress.waits === undefined && nowMs - progress.startedAtMs >= WAITING_REPORT_MS
  if (!isLate) return createStep(replaceProgress(state, group, progress))
  const names = unread.map(describeAwaited).join(', ')
  const event = recordEvent('replacement-waits', `Group ${group}: no database is sure to hold all acknowledged writes; the group waits for ${names === '' ? 'a replica that catches up' : names}.`, { group })
  return { state: replaceProgress(state, group, { ...progress, waits: true }), effects: [event] }
}

function describeAwaited ({ entry: { database, address }, ended }: TrackedDatabase): string {
  if (ended === undefined) return database
  return ended.end === 'withdrawn' ? `the database that takes over the log of ${database} at ${address}` : `what ${database} held before it started again`
}

function createReadEffect ({ entry: { group, database, address } }: TrackedDatabase): ReadPosition {
  return { kind: 'database/read-position', group, database, address }
}

/** The steps of a primary change; each step is a command of the replicated log. */
import { getOwn } from '../core/own.js'
import { comparePositions, coversPosition, ORIGIN, type LogPosition } from '../core/position.js'
import { assertInvariant } from '../core/invariant.js'
import { isUnwanted } from './detect.js'
import type { CommandOutcome, GrantPublished } from './messages.js'
import type { PrimacyState, StepProgress } from './state.js'
import { isSafeToPromote, type FencedMember, type GroupChange, type GroupRecord } from './table.js'
import { isAnswering, isMajority, LEASE_EXPIRY_MS, propose, runAll, sendCommand, type PrimacyStep } from './tools.js'

/** Time for a promotion; if the chosen database does not answer after it, another one is chosen. */
const PROMOTION_TIMEOUT_MS = 1_500
/** How long a planned change waits for its target to catch up before it is cancelled and writes resume. */
const CLOSE_TIMEOUT_MS = 2_000
/** How long a fenced majority waits for the planned target to be fenced too. */
const TARGET_FENCE_WAIT_MS = 300
/** How long the old primary's position has to be unchanged before it counts as final. */
const STABLE_POSITION_MS = 200

/**
 * Performs the next step of a group's change, if it is due.
 * @example checkChange(state, 'a', record, nowMs)
 */
export function checkChange (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyStep {
  const tracked = trackStep(state, group, record, nowMs)
  const { change } = record
  if (change === undefined) return record.closing === undefined ? { state: tracked, effects: [] } : checkClosing(tracked, group, record, record.closing, nowMs)
  switch (change.phase) {
    case 'ending': return checkEnding(tracked, group, change, nowMs)
    case 'fencing': return checkFencing(tracked, group, record, change, nowMs)
    case 'promoting': return checkPromoting(tracked, group, change, nowMs)
  }
}

function trackStep (state: PrimacyState, group: string, record: GroupRecord, nowMs: number): PrimacyState {
  const step = describeStep(record)
  if (state.progress.get(group)?.step === step) return state
  return replaceProgress(state, group, { step, sinceMs: nowMs, fencedPositions: new Map() })
}

function describeStep ({ term, closing, change }: GroupRecord): string {
  return change === undefined ? `${term}/${closing ?? ''}` : `${change.term}/${change.phase}`
}

function replaceProgress (state: PrimacyState, group: string, progress: StepProgress): PrimacyState {
  return { ...state, progress: new Map(state.progress).set(group, progress) }
}

/**
 * Records the first directory revision with the current state of a group's grant.
 * @example recordPublished(state, published, nowMs)
 */
export function recordPublished (state: PrimacyState, { entry, revision }: GrantPublished, nowMs: number): PrimacyState {
  const record = getOwn(state.table, entry.group)
  if (record === undefined || entry.term !== record.term || entry.primary !== record.primary || entry.closing !== (record.closing === undefined ? undefined : true)) return state
  const tracked = trackStep(state, entry.group, record, nowMs)
  const progress = tracked.progress.get(entry.group)!
  return progress.revision === undefined ? replaceProgress(tracked, entry.group, { ...progress, revision }) : tracked
}

// Every host confirmed the revision, or its lease has expired. Leases of hosts that reported
// only to the previous leader have expired at the end of the grace period.
function isConfirmed (state: PrimacyState, progress: StepProgress, nowMs: number): boolean {
  const { revision } = progress
  if (revision === undefined || nowMs < state.leaseGraceEndsMs) return false
  return [...state.hosts.values()].every(host =>
    nowMs >= host.lastHeartbeatAtMs + LEASE_EXPIRY_MS ||
    (host.revision.epoch === revision.epoch && host.revision.count >= revision.count))
}

function checkClosing (state: PrimacyState, group: string, record: GroupRecord, target: string, nowMs: number): PrimacyStep {
  const progress = state.progress.get(group)!
  const { term } = record
  if (nowMs - progress.sinceMs > CLOSE_TIMEOUT_MS) return propose(state, { kind: 'primacy/reopen', group, term }, nowMs)
  const position = state.databases.get(record.primary!)?.status?.position
  const targetPosition = state.databases.get(target)?.status?.position
  if (position === undefined || targetPosition === undefined || !isConfirmed(state, progress, nowMs)) return { state, effects: [] }
  if (progress.stablePosition === undefined || comparePositions(progress.stablePosition.position, position) !== 0) {
    return { state: replaceProgress(state, group, { ...progress, stablePosition: { position, sinceMs: nowMs } }), effects: [] }
  }
  const stored = isMajority(record, member => coversPosition(state.databases.get(member)?.status?.position ?? ORIGIN, position))
  const ready = nowMs - progress.stablePosition.sinceMs >= STABLE_POSITION_MS && stored && coversPosition(targetPosition, position)
  return ready ? propose(state, { kind: 'primacy/end', group, term }, nowMs) : { state, effects: [] }
}

function checkEnding (state: PrimacyState, group: string, change: GroupChange, nowMs: number): PrimacyStep {
  if (!isConfirmed(state, state.progress.get(group)!, nowMs)) return { state, effects: [] }
  return propose(state, { kind: 'primacy/ended', group, term: change.term }, nowMs)
}

function checkFencing (state: PrimacyState, group: string, record: GroupRecord, change: GroupChange, nowMs: number): PrimacyStep {
  const { fencedPositions, sinceMs } = state.progress.get(group)!
  const isTargetAwaited = change.target !== undefined && !fencedPositions.has(change.target) && nowMs - sinceMs < TARGET_FENCE_WAIT_MS
  if (!isTargetAwaited && isMajority(record, database => fencedPositions.has(database))) return chooseNextPrimary(state, group, record, change, fencedPositions, nowMs)
  const missing = record.members.filter(database => !fencedPositions.has(database))
  return runAll(state, missing, (next, database) => sendCommand(next, next.databases.get(database), 'fence', change.term, nowMs))
}

function chooseNextPrimary (state: PrimacyState, group: string, record: GroupRecord, change: GroupChange, fencedPositions: ReadonlyMap<string, LogPosition>, nowMs: number): PrimacyStep {
  const fenced = [...fencedPositions].map(([database, position]): FencedMember => ({ database, position }))
  const eligible = fenced.filter(member => isSafeToPromote(record.members, member.database, fenced)).map(member => member.database)
  const remaining = eligible.filter(database => !isUnwanted(state, database))
  const candidates = remaining.length > 0 ? remaining : eligible
  const primary = candidates.find(database => database === change.target) ?? candidates[0]
  assertInvariant(primary !== undefined, 'a fenced majority has a last position')
  return propose(state, { kind: 'primacy/choose', group, term: change.term, primary, fenced }, nowMs)
}

function checkPromoting (state: PrimacyState, group: string, change: GroupChange, nowMs: number): PrimacyStep {
  const { sinceMs } = state.progress.get(group)!
  const chosen = change.chosen!
  if (nowMs - sinceMs > PROMOTION_TIMEOUT_MS && !isAnswering(state, chosen, nowMs)) return restartFencing(state, group, change, change.term + 1, nowMs)
  return sendCommand(state, state.databases.get(chosen), 'promote', change.term, nowMs)
}

function restartFencing (state: PrimacyState, group: string, change: GroupChange, next: number, nowMs: number): PrimacyStep {
  return propose(state, { kind: 'primacy/refence', group, term: change.term, next }, nowMs)
}

/**
 * Handles the outcome of a command to a database.
 * @example acceptOutcome(state, outcome, nowMs)
 */
export function acceptOutcome (state: PrimacyState, message: CommandOutcome, nowMs: number): PrimacyStep {
  const entry = Object.entries(state.table).find(([, record]) => record.members.includes(message.database))
  const change = entry?.[1].change
  if (entry === undefined || change === undefined || change.phase === 'ending') return { state, effects: [] }
  const [group, record] = entry
  const { status, action, term, database } = message
  if (status.fencedTerm > change.term) return restartFencing(state, group, change, status.fencedTerm + 1, nowMs)
  if (term !== change.term) return { state, effects: [] }
  const tracked = trackStep(state, group, record, nowMs)
  if (action === 'fence' && change.phase === 'fencing') return recordFenced(tracked, group, record, database, status.position, nowMs)
  const promoted = action === 'promote' && change.phase === 'promoting' && database === change.chosen && status.primary && status.position.term === term
  return promoted ? propose(tracked, { kind: 'primacy/promoted', group, term, primary: database }, nowMs) : { state: tracked, effects: [] }
}

function recordFenced (state: PrimacyState, group: string, record: GroupRecord, database: string, position: LogPosition, nowMs: number): PrimacyStep {
  const progress = state.progress.get(group)!
  const fencedPositions = new Map(progress.fencedPositions).set(database, position)
  return checkChange(replaceProgress(state, group, { ...progress, fencedPositions }), group, record, nowMs)
}

/** The change of a group's primary, step by step; each step is a command of the log. */
import { comparePositions, coversPosition, ORIGIN, type LogPosition } from '../core/position.js'
import { assertInvariant } from '../core/invariant.js'
import type { Obeyed, Published } from './messages.js'
import type { PrimacyState, Progress } from './state.js'
import { isChoiceSafe, type FencedMember, type GroupChange, type GroupRecord } from './table.js'
import { isAnswering, isMajority, LEASE_OVER_MS, propose, runAll, sendCommand, type PrimacyStep } from './tools.js'

/** How long the chosen database may take before another one is chosen. */
const PROMOTE_WITHIN_MS = 1_500
/** How long a planned change may wait for its target before writes go on as they were. */
const CLOSE_WITHIN_MS = 2_000
/** How long a fenced majority waits for the target of a planned change. */
const TARGET_WITHIN_MS = 300
/** How long the former primary's position has to stand before it counts as final. */
const STILL_MS = 200

/**
 * Takes the next step of a group's change, if it is due.
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
  const step = nameStep(record)
  if (state.progress.get(group)?.step === step) return state
  return replaceProgress(state, group, { step, sinceMs: nowMs, fenced: new Map() })
}

function nameStep ({ term, closing, change }: GroupRecord): string {
  return change === undefined ? `${term}/${closing ?? ''}` : `${change.term}/${change.phase}`
}

function replaceProgress (state: PrimacyState, group: string, progress: Progress): PrimacyState {
  return { ...state, progress: new Map(state.progress).set(group, progress) }
}

/**
 * Notes the revision that carries a group's present grant, or its end.
 * @example takePublished(state, published, nowMs)
 */
export function takePublished (state: PrimacyState, { entry, revision }: Published, nowMs: number): PrimacyState {
  const record = state.table[entry.group]
  if (record === undefined || entry.term !== record.term || entry.primary !== record.primary || entry.closing !== (record.closing === undefined ? undefined : true)) return state
  const tracked = trackStep(state, entry.group, record, nowMs)
  const progress = tracked.progress.get(entry.group)!
  return progress.revision === undefined ? replaceProgress(tracked, entry.group, { ...progress, revision }) : tracked
}

// Each host confirmed the revision, or its lease has surely run out. Hosts that reported
// to the former leader alone have lost their leases when the grace ends.
function isConfirmed (state: PrimacyState, progress: Progress, nowMs: number): boolean {
  const { revision } = progress
  if (revision === undefined || nowMs < state.graceEndsMs) return false
  return [...state.hosts.values()].every(host =>
    nowMs >= host.heardAtMs + LEASE_OVER_MS ||
    (host.revision.epoch === revision.epoch && host.revision.count >= revision.count))
}

function checkClosing (state: PrimacyState, group: string, record: GroupRecord, target: string, nowMs: number): PrimacyStep {
  const progress = state.progress.get(group)!
  const { term } = record
  if (nowMs - progress.sinceMs > CLOSE_WITHIN_MS) return propose(state, { kind: 'primacy/reopen', group, term }, nowMs)
  const position = state.databases.get(record.primary!)?.status?.position
  const held = state.databases.get(target)?.status?.position
  if (position === undefined || held === undefined || !isConfirmed(state, progress, nowMs)) return { state, effects: [] }
  if (progress.still === undefined || comparePositions(progress.still.position, position) !== 0) {
    return { state: replaceProgress(state, group, { ...progress, still: { position, sinceMs: nowMs } }), effects: [] }
  }
  const stored = isMajority(record, member => coversPosition(state.databases.get(member)?.status?.position ?? ORIGIN, position))
  const ready = nowMs - progress.still.sinceMs >= STILL_MS && stored && coversPosition(held, position)
  return ready ? propose(state, { kind: 'primacy/end', group, term }, nowMs) : { state, effects: [] }
}

function checkEnding (state: PrimacyState, group: string, change: GroupChange, nowMs: number): PrimacyStep {
  if (!isConfirmed(state, state.progress.get(group)!, nowMs)) return { state, effects: [] }
  return propose(state, { kind: 'primacy/ended', group, term: change.term }, nowMs)
}

function checkFencing (state: PrimacyState, group: string, record: GroupRecord, change: GroupChange, nowMs: number): PrimacyStep {
  const { fenced, sinceMs } = state.progress.get(group)!
  const isTargetAwaited = change.target !== undefined && !fenced.has(change.target) && nowMs - sinceMs < TARGET_WITHIN_MS
  if (!isTargetAwaited && isMajority(record, database => fenced.has(database))) return chooseNext(state, group, record, change, fenced, nowMs)
  const missing = record.members.filter(database => !fenced.has(database))
  return runAll(state, missing, (next, database) => sendCommand(next, next.databases.get(database), 'fence', change.term, nowMs))
}

function chooseNext (state: PrimacyState, group: string, record: GroupRecord, change: GroupChange, held: ReadonlyMap<string, LogPosition>, nowMs: number): PrimacyStep {
  const fenced = [...held].map(([database, position]): FencedMember => ({ database, position }))
  const able = fenced.filter(member => isChoiceSafe(record.members, member.database, fenced)).map(member => member.database)
  const kept = able.filter(database => state.databases.get(database)?.entry.departing !== true)
  const candidates = kept.length > 0 ? kept : able
  const primary = candidates.find(database => database === change.target) ?? candidates[0]
  assertInvariant(primary !== undefined, 'a fenced majority has a last position')
  return propose(state, { kind: 'primacy/choose', group, term: change.term, primary, fenced }, nowMs)
}

function checkPromoting (state: PrimacyState, group: string, change: GroupChange, nowMs: number): PrimacyStep {
  const { sinceMs } = state.progress.get(group)!
  const chosen = change.chosen!
  if (nowMs - sinceMs > PROMOTE_WITHIN_MS && !isAnswering(state, chosen, nowMs)) return retryFence(state, group, change, change.term + 1, nowMs)
  return sendCommand(state, state.databases.get(chosen), 'promote', change.term, nowMs)
}

function retryFence (state: PrimacyState, group: string, change: GroupChange, next: number, nowMs: number): PrimacyStep {
  return propose(state, { kind: 'primacy/refence', group, term: change.term, next }, nowMs)
}

/**
 * Takes the outcome of a command to a database.
 * @example takeObeyed(state, obeyed, nowMs)
 */
export function takeObeyed (state: PrimacyState, message: Obeyed, nowMs: number): PrimacyStep {
  const entry = Object.entries(state.table).find(([, record]) => record.members.includes(message.database))
  const change = entry?.[1].change
  if (entry === undefined || change === undefined || change.phase === 'ending') return { state, effects: [] }
  const [group, record] = entry
  const { status, action, term, database } = message
  if (status.fencedTerm > change.term) return retryFence(state, group, change, status.fencedTerm + 1, nowMs)
  if (term !== change.term) return { state, effects: [] }
  const tracked = trackStep(state, group, record, nowMs)
  if (action === 'fence' && change.phase === 'fencing') return takeFenced(tracked, group, record, database, status.position, nowMs)
  const promoted = action === 'promote' && change.phase === 'promoting' && database === change.chosen && status.primary && status.position.term === term
  return promoted ? propose(tracked, { kind: 'primacy/promoted', group, term, primary: database }, nowMs) : { state: tracked, effects: [] }
}

function takeFenced (state: PrimacyState, group: string, record: GroupRecord, database: string, position: LogPosition, nowMs: number): PrimacyStep {
  const progress = state.progress.get(group)!
  const fenced = new Map(progress.fenced).set(database, position)
  return checkChange(replaceProgress(state, group, { ...progress, fenced }), group, record, nowMs)
}

/** Decisions of the succession slice, which the leader takes: failover of self-fencing databases through calls to the platform. */
import { getOwn } from '../core/own.js'
import { comparePositions } from '../core/position.js'
import { recordEvent, type CoreEffect, type Moment } from '../core/message.js'
import type { DatabaseStatus } from '../membership/directory.js'
import { setTimer, tell } from '../messages.js'
import { findPrimary, findReplacementReason, isServing, pickSuccessor } from './candidates.js'
import { dropProgress, isProposed, recordFenced, recordPosition, replaceClosed, resumeGroup } from './closing.js'
import { dropCovered, endDatabase } from './coverage.js'
import type { CallAnswered, CommandApplied, LeadershipChanged, HostReported, SuccessionMessage } from './messages.js'
import { dropFormerIncarnations, isAppointmentSuperseded, markCaughtUp } from './incarnations.js'
import { learnReplicaSets, loadLastPrimaries, loadMembers, storeReplicaSet } from './replicaset.js'
import type { Appointment } from './table.js'
import type { AppointPrimary, PromotionCall, TrackedDatabase, SuccessionState } from './state.js'
import { appoint, APPOINTMENT_INTERVAL_MS, createStep, isAppointmentSettling, isCopied, publish, type SuccessionStep } from './steps.js'
import { dropLapsedWriters, loadWriters, recordWriters } from './writers.js'

/** Time between two checks of all groups. */
const CHECK_INTERVAL_MS = 50
/** How long a database is known after the last report of a host. */
const REPORT_TTL_MS = 4_000
/** Delay before an unanswered call is retried, and before the next appointment after a failed one. */
const CALL_RETRY_DELAY_MS = 300
/** Delay before a call that the platform throttled is retried. */
const THROTTLED_RETRY_DELAY_MS = 500
/** Unanswered tries after which the appointment fails, so that another database can be appointed. */
const MAX_TRIES = 4
/** Fencing tokens per epoch: the maximum number of appointments of a group under one leader. */
const FENCING_TOKENS_PER_EPOCH = 1_048_576

/**
 * Decides on one message of the succession slice.
 * @example decideSuccession(state, { kind: 'succession/check-due' }, moment)
 */
export function decideSuccession (state: SuccessionState, message: SuccessionMessage, moment: Moment): SuccessionStep {
  if (!state.active) return createStep(state)
  const nowMs = moment.monotonicMs
  switch (message.kind) {
    case 'succession/leadership': return changeLeadership(state, message, nowMs)
    case 'succession/applied': return applyCommand(state, message, nowMs)
    case 'succession/reported': return state.leads ? handleReport(state, message, nowMs) : createStep(state)
    case 'succession/replicas-applied': return createStep(learnReplicaSets(state, message.group, message.replicaSets))
    case 'succession/withdrawn': return createStep(endDatabase(state, message.database, 'withdrawn', nowMs))
    case 'succession/documents': return createStep({ ...state, requiredCopies: message.copies })
    case 'succession/evacuated': return createStep({ ...state, evacuated: message.domains })
    case 'succession/fenced': return createStep(recordFenced(state, message))
    case 'succession/position-read': return createStep(recordPosition(state, message))
    case 'succession/check-due': return state.leads ? checkAll(state, nowMs) : createStep(state)
    case 'succession/answered': return state.leads ? recordAnswer(state, message, nowMs) : createStep(state)
  }
}

function changeLeadership (state: SuccessionState, { leads, epoch, table, replicaSets = {} }: LeadershipChanged, nowMs: number): SuccessionStep {
  const next: SuccessionState = { ...state, leads, epoch, table, replicaSets, replicasProposedAtMs: new Map(), leadingSinceMs: nowMs, databases: new Map(), hosts: new Map(), members: loadMembers(replicaSets, nowMs), fencing: new Map(), resumedAtMs: new Map(), retiredWriters: new Map(), lastPrimaries: loadLastPrimaries(replicaSets), writers: loadWriters(replicaSets, nowMs), calls: new Map(), published: new Map(), appointedAtMs: new Map(), highestPositions: new Map() }
  return { state: next, effects: leads ? [createCheckTimer()] : [] }
}

function applyCommand (state: SuccessionState, { command, table }: CommandApplied, nowMs: number): SuccessionStep {
  const { group } = command
  const changed = getOwn(state.table, group) !== getOwn(table, group)
  const appointed = changed && command.kind === 'succession/appoint'
  const next: SuccessionState = appointed ? { ...dropProgress(state, group), table, appointedAtMs: new Map(state.appointedAtMs).set(group, nowMs) } : { ...state, table }
  return state.leads && changed ? checkGroup(next, group, nowMs) : createStep(next)
}

// A primary that starts again is published under its new name at once.
function handleReport (state: SuccessionState, message: HostReported, nowMs: number): SuccessionStep {
  const { state: current, restarted } = dropFormerIncarnations(state, message.databases, nowMs)
  const recorded = recordReport(current, message, restarted, nowMs)
  const groups = new Set(message.databases.filter(({ database }) => restarted.has(database)).map(({ group }) => group))
  return [...groups].reduce<SuccessionStep>((step, group) => {
    const next = checkGroup(step.state, group, nowMs)
    return { state: next.state, effects: [...step.effects, ...next.effects] }
  }, createStep(recorded))
}

function recordReport (state: SuccessionState, message: HostReported, restarted: ReadonlySet<string>, nowMs: number): SuccessionState {
  const { host, failureDomain, apart, leftAtMs, statuses, databases, remembered } = message
  const known = new Map(state.databases)
  for (const entry of databases) {
    const restartedAtMs = restarted.has(entry.database) ? nowMs : undefined
    known.set(entry.database, { knownSinceMs: nowMs, remembered, restartedAtMs, ...known.get(entry.database), entry, lastSeenAtMs: nowMs })
  }
  // Ages count from the send time, so a delayed report is not taken for a recent one. A report of unknown age proves no role.
  const sentAtMs = Math.min(nowMs, leftAtMs ?? nowMs)
  for (const status of statuses) recordStatus(known, host, leftAtMs === undefined ? { ...status, primary: false } : status, sentAtMs)
  releaseUnreported(known, host, statuses)
  const members = new Map([...state.members, ...known])
  const highestPositions = recordPositions(state.highestPositions, known, statuses, nowMs)
  return { ...state, databases: known, members, highestPositions, writers: recordWriters(state, message, nowMs), hosts: new Map(state.hosts).set(host, { lastHeartbeatAtMs: nowMs, failureDomain, apart }) }
}

function recordPositions (before: SuccessionState['highestPositions'], databases: ReadonlyMap<string, TrackedDatabase>, statuses: readonly DatabaseStatus[], nowMs: number): SuccessionState['highestPositions'] {
  const next = new Map(before)
  for (const { database, answering, position } of statuses) {
    const group = databases.get(database)?.entry.group
    if (group === undefined || !answering) continue
    const highest = next.get(group)
    if (highest === undefined || comparePositions(position, highest.position) > 0) next.set(group, { position, seenAtMs: nowMs })
  }
  return next
}

// As hosts join and leave, ownership moves. The former owner goes on reporting, but not this database.
function releaseUnreported (databases: Map<string, TrackedDatabase>, host: string, statuses: readonly DatabaseStatus[]): void {
  for (const [name, known] of databases) {
    if (known.owner === host && !statuses.some(status => status.database === name)) databases.set(name, { ...known, owner: undefined })
  }
}

function recordStatus (databases: Map<string, TrackedDatabase>, host: string, status: DatabaseStatus, sentAtMs: number): void {
  const known = databases.get(status.database)
  if (known === undefined) return
  const answeredAtMs = sentAtMs - (status.ageMs ?? 0)
  const reportedAtMs = Math.max(sentAtMs, known.reportedAtMs ?? -Infinity)
  const silentSinceMs = computeSilentSinceMs(known, host, status, sentAtMs)
  if (!status.answering) databases.set(status.database, { ...known, owner: host, reportedAtMs, silentSinceMs })
  else if (answeredAtMs >= (known.answeredAtMs ?? 0)) {
    databases.set(status.database, { ...known, owner: host, reportedAtMs, status, answeredAtMs, silentSinceMs, lastSeenAtMs: Math.max(known.lastSeenAtMs, sentAtMs), provenAtMs: status.primary ? answeredAtMs : known.provenAtMs })
  }
}

// A host that has just become the owner does not know how long the database has not answered.
function computeSilentSinceMs ({ owner, silentSinceMs }: TrackedDatabase, host: string, { answering, ageMs = 0, silentMs }: DatabaseStatus, sentAtMs: number): number | undefined {
  if (answering) return Math.max(silentSinceMs ?? -Infinity, sentAtMs - Math.min(silentMs ?? ageMs, ageMs))
  if (silentSinceMs === undefined || silentMs === undefined || owner !== host) return silentSinceMs
  return Math.max(silentSinceMs, sentAtMs - silentMs)
}

function checkAll (state: SuccessionState, nowMs: number): SuccessionStep {
  const databases = new Map([...state.databases].filter(([, known]) => nowMs - known.lastSeenAtMs < REPORT_TTL_MS))
  const groups = new Set([...[...databases.values()].map(known => known.entry.group), ...Object.keys(state.table)])
  const checked = [...groups].reduce<SuccessionStep>((step, group) => {
    const next = checkGroup(step.state, group, nowMs)
    return { state: next.state, effects: [...step.effects, ...next.effects] }
  }, createStep({ ...state, databases }))
  return { state: checked.state, effects: [...checked.effects, createCheckTimer()] }
}

// Databases of a group that no document names are not the system's to change: another writer may have announced them.
function checkGroup (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  if (!state.requiredCopies.has(group)) return createStep(state)
  const current = getOwn(state.table, group)
  if (current !== undefined && current.outcome === undefined) return isAppointmentSuperseded(state, group, current) ? failAppointment(state, group, current, nowMs) : callPlatform(state, group, nowMs)
  const primary = findPrimary(state, group)
  const covered = dropCovered(markCaughtUp(state, group, primary), group, primary, nowMs)
  const stored = storeReplicaSet(isCopied(covered, group) ? dropLapsedWriters(covered, group, primary, nowMs) : covered, group, nowMs)
  const checked = checkPrimary(stored.state, group, nowMs)
  return { state: checked.state, effects: [...stored.effects, ...checked.effects] }
}

function checkPrimary (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const primary = findPrimary(state, group)
  const reason = findReplacementReason(state, primary, nowMs)
  if (reason === undefined && !isProposed(state, group)) return resumeGroup(state, group, primary, nowMs)
  if (reason === undefined || isCopied(state, group)) return replaceClosed(state, group, primary, reason ?? 'silent', nowMs)
  const successor = isAppointmentSettling(state, group, nowMs) ? undefined : pickSuccessor(state, group, primary, nowMs)
  if (successor === undefined) return publish(state, group, primary?.entry.database)
  return appoint(state, group, successor, reason, nowMs)
}

// A departing or evacuated primary stays published until its successor is promoted; a silent one is withdrawn.
function callPlatform (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const { appointment, database } = getOwn(state.table, group)!
  const known = state.calls.get(group)
  const call: PromotionCall = known?.appointment === appointment ? known : { appointment, calledAtMs: 0, dueAtMs: nowMs, tries: 0 }
  if (call.dueAtMs === undefined || call.dueAtMs > nowMs) return createStep(state)
  const next: PromotionCall = { appointment, calledAtMs: nowMs, tries: call.tries + 1 }
  const effect: AppointPrimary = { kind: 'promotion/appoint', group, database, appointment, fence: state.epoch * FENCING_TOKENS_PER_EPOCH + appointment }
  const published = state.published.get(group)?.database
  const former = published === undefined ? undefined : state.databases.get(published)
  const stays = former !== undefined && (former.entry.database === database || isServing(state, former, nowMs))
  const withdrawn = stays ? createStep(state) : publish(state, group, undefined)
  return { state: { ...withdrawn.state, calls: new Map(state.calls).set(group, next) }, effects: [...withdrawn.effects, effect] }
}

// The call names the instance, so it would promote a start that may hold less than the one that was appointed.
function failAppointment (state: SuccessionState, group: string, { appointment, database }: Appointment, nowMs: number): SuccessionStep {
  const known = state.calls.get(group)
  if (known?.appointment === appointment && known.superseded === true) return createStep(state)
  const call: PromotionCall = { appointment, calledAtMs: nowMs, tries: known?.appointment === appointment ? known.tries : 0, superseded: true }
  return {
    state: delayAppointment({ ...state, calls: new Map(state.calls).set(group, call) }, group, nowMs),
    effects: [
      proposeOutcome(group, appointment, 'failed'),
      recordEvent('appointment-superseded', `Group ${group}: ${database} has started again since appointment ${appointment}, which fails.`, { group })
    ]
  }
}

function proposeOutcome (group: string, appointment: number, outcome: 'done' | 'failed'): CoreEffect {
  return tell({ kind: 'agreement/propose', proposal: `succession/${group}/${appointment}/settle`, command: { kind: 'succession/settle', group, appointment, outcome } })
}

function recordAnswer (state: SuccessionState, { group, appointment, outcome }: CallAnswered, nowMs: number): SuccessionStep {
  const call = state.calls.get(group)
  if (call?.appointment !== appointment || call.superseded === true || getOwn(state.table, group)?.outcome !== undefined) return createStep(state)
  const event = recordEvent('promotion-answered', `Group ${group}: the call for appointment ${appointment} was ${outcome} after ${Math.round(nowMs - call.calledAtMs)} ms.`, { group })
  const ended = outcome === 'done' || outcome === 'refused' || (outcome === 'unanswered' && call.tries >= MAX_TRIES)
  if (!ended) {
    const delayMs = outcome === 'throttled' ? THROTTLED_RETRY_DELAY_MS : CALL_RETRY_DELAY_MS
    return { state: { ...state, calls: new Map(state.calls).set(group, { ...call, dueAtMs: nowMs + delayMs }) }, effects: [event] }
  }
  const settled = proposeOutcome(group, appointment, outcome === 'done' ? 'done' : 'failed')
  const published = outcome === 'done' ? publishAppointed(state, group, call, nowMs) : createStep(delayAppointment(state, group, nowMs))
  return { state: published.state, effects: [event, settled, ...published.effects] }
}

// Hosts use the new primary at once; until its promotion completes, it refuses their requests. One that is confirmed stays closed
// until what the platform had accepted before has taken effect. Until then the former one goes on proving its role.
function publishAppointed (state: SuccessionState, group: string, call: PromotionCall, nowMs: number): SuccessionStep {
  const { database, confirms } = getOwn(state.table, group)!
  const appointedAtMs = isCopied(state, group) ? new Map(state.appointedAtMs).set(group, nowMs) : state.appointedAtMs
  const answered = { ...state, appointedAtMs, calls: new Map(state.calls).set(group, { ...call, answeredAtMs: nowMs }) }
  return publish(answered, group, database, confirms === true)
}

function delayAppointment (state: SuccessionState, group: string, nowMs: number): SuccessionState {
  return { ...state, appointedAtMs: new Map(state.appointedAtMs).set(group, nowMs - APPOINTMENT_INTERVAL_MS + CALL_RETRY_DELAY_MS) }
}

function createCheckTimer (): CoreEffect {
  return setTimer('succession/check', CHECK_INTERVAL_MS, { kind: 'succession/check-due' })
}

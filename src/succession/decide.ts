/** Decisions of the succession slice, which the leader takes: failover of self-fencing databases through calls to the platform. */
import { getOwn } from '../core/own.js'
import { comparePositions } from '../core/position.js'
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { DatabaseStatus } from '../membership/directory.js'
import { setTimer, tell } from '../messages.js'
import type { FenceReplica } from '../databases/driver.js'
import { findPrimary, findReplacementReason, isInEvacuated, pickFencedSuccessor, pickSuccessor, type ReplacementReason } from './candidates.js'
import type { CallAnswered, CommandApplied, ReplicaFenced, LeadershipChanged, HostReported, SuccessionMessage } from './messages.js'
import { dropFormerIncarnations, isAppointmentSuperseded, markCaughtUp } from './incarnations.js'
import type { Appointment } from './table.js'
import type { AppointPrimary, PromotionCall, TrackedDatabase, SuccessionState } from './state.js'

/** Time between two checks of all groups. */
const CHECK_INTERVAL_MS = 50
/** How long a database is known after the last report of a host. */
const REPORT_TTL_MS = 4_000
/** Minimum time between two appointments of a group: longer than a promotion takes. */
const APPOINTMENT_INTERVAL_MS = 2_500
/** Time after which an uncommitted appointment is proposed again. */
const PROPOSAL_TIMEOUT_MS = 1_000
/** Delay before an unanswered call is retried, and before the next appointment after a failed one. */
const CALL_RETRY_DELAY_MS = 300
/** Delay before a call that the platform throttled is retried. */
const THROTTLED_RETRY_DELAY_MS = 500
/** Delay before replicas that did not answer are fenced again. */
const FENCE_RETRY_DELAY_MS = 400
/** Unanswered tries after which the appointment fails, so that another database can be appointed. */
const MAX_TRIES = 4
/** Fencing tokens per epoch: the maximum number of appointments of a group under one leader. */
const FENCING_TOKENS_PER_EPOCH = 1_048_576

type SuccessionEffect = CoreEffect | AppointPrimary | FenceReplica
type SuccessionStep = Step<SuccessionState, SuccessionEffect>

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
    case 'succession/withdrawn': return createStep(removeDatabase(state, message.database))
    case 'succession/documents': return createStep({ ...state, requiredCopies: message.copies })
    case 'succession/evacuated': return createStep({ ...state, evacuated: message.domains })
    case 'succession/fenced': return createStep(recordFenced(state, message))
    case 'succession/check-due': return state.leads ? checkAll(state, nowMs) : createStep(state)
    case 'succession/answered': return state.leads ? recordAnswer(state, message, nowMs) : createStep(state)
  }
}

function createStep (state: SuccessionState): SuccessionStep {
  return { state, effects: [] }
}

function changeLeadership (state: SuccessionState, { leads, epoch, table }: LeadershipChanged, nowMs: number): SuccessionStep {
  const next: SuccessionState = { ...state, leads, epoch, table, leadingSinceMs: nowMs, databases: new Map(), hosts: new Map(), members: new Map(), fencing: new Map(), calls: new Map(), published: new Map(), appointedAtMs: new Map(), highestPositions: new Map() }
  return { state: next, effects: leads ? [createCheckTimer()] : [] }
}

function applyCommand (state: SuccessionState, { command, table }: CommandApplied, nowMs: number): SuccessionStep {
  const { group } = command
  const changed = getOwn(state.table, group) !== getOwn(table, group)
  const appointed = changed && command.kind === 'succession/appoint'
  const next: SuccessionState = { ...state, table, appointedAtMs: appointed ? new Map(state.appointedAtMs).set(group, nowMs) : state.appointedAtMs }
  return state.leads && changed ? checkGroup(next, group, nowMs) : createStep(next)
}

// A primary that starts again is published under its new name at once.
function handleReport (state: SuccessionState, message: HostReported, nowMs: number): SuccessionStep {
  const { state: current, restarted } = dropFormerIncarnations(state, message.databases)
  const recorded = recordReport(current, message, restarted, nowMs)
  const groups = new Set(message.databases.filter(({ database }) => restarted.has(database)).map(({ group }) => group))
  return [...groups].reduce<SuccessionStep>((step, group) => {
    const next = checkGroup(step.state, group, nowMs)
    return { state: next.state, effects: [...step.effects, ...next.effects] }
  }, createStep(recorded))
}

function recordReport (state: SuccessionState, { host, failureDomain, apart, leftAtMs, statuses, databases, remembered }: HostReported, restarted: ReadonlySet<string>, nowMs: number): SuccessionState {
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
  return { ...state, databases: known, members, highestPositions, hosts: new Map(state.hosts).set(host, { lastHeartbeatAtMs: nowMs, failureDomain, apart }) }
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

function removeDatabase (state: SuccessionState, database: string): SuccessionState {
  const databases = new Map(state.databases)
  databases.delete(database)
  const members = new Map(state.members)
  members.delete(database)
  return { ...state, databases, members }
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
  return checkPrimary(markCaughtUp(state, group, findPrimary(state, group)), group, nowMs)
}

function checkPrimary (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const primary = findPrimary(state, group)
  const reason = findReplacementReason(state, primary, nowMs)
  if (reason === undefined) return resumeReplicas(publish(state, group, primary?.entry.database), group)
  if ((state.requiredCopies.get(group) ?? 0) > 0) return fenceGroup(state, group, primary, reason, nowMs)
  const successor = isAppointmentSettling(state, group, nowMs) ? undefined : pickSuccessor(state, group, primary, nowMs)
  if (successor === undefined) return publish(state, group, primary?.entry.database)
  return appoint(state, group, successor, reason, nowMs)
}

// Where a replica's copy acknowledges a write, replicas are fenced before their positions are compared, so that
// no write can be acknowledged after the comparison.
function fenceGroup (state: SuccessionState, group: string, primary: TrackedDatabase | undefined, reason: ReplacementReason, nowMs: number): SuccessionStep {
  if (isAppointmentSettling(state, group, nowMs)) return publish(state, group, primary?.entry.database)
  const { awaited, successor } = pickFencedSuccessor(state, group, primary)
  if (successor !== undefined && state.fencing.has(group)) {
    const appointed = appoint(state, group, successor, reason, nowMs)
    const fencing = new Map(state.fencing)
    fencing.delete(group)
    return { state: { ...appointed.state, fencing }, effects: appointed.effects }
  }
  const progress = state.fencing.get(group)
  if (progress !== undefined && nowMs - progress.askedAtMs < FENCE_RETRY_DELAY_MS) return createStep(state)
  const next = { askedAtMs: nowMs, positions: progress?.positions ?? new Map() }
  return { state: { ...state, fencing: new Map(state.fencing).set(group, next) }, effects: awaited.map(known => createFenceEffect(state, known, false)) }
}

function recordFenced (state: SuccessionState, { group, database, position }: ReplicaFenced): SuccessionState {
  const progress = state.fencing.get(group)
  if (progress === undefined || !state.members.has(database)) return state
  return { ...state, fencing: new Map(state.fencing).set(group, { ...progress, positions: new Map(progress.positions).set(database, position) }) }
}

// The primary answers again, so its replicas resume receiving.
function resumeReplicas (step: SuccessionStep, group: string): SuccessionStep {
  if (!step.state.fencing.has(group)) return step
  const fencing = new Map(step.state.fencing)
  fencing.delete(group)
  const members = [...step.state.members.values()].filter(known => known.entry.group === group)
  return { state: { ...step.state, fencing }, effects: [...step.effects, ...members.map(known => createFenceEffect(step.state, known, true))] }
}

function createFenceEffect (state: SuccessionState, { entry }: TrackedDatabase, receives: boolean): FenceReplica {
  const { group, database, address } = entry
  const terms = [...state.members.values()].filter(known => known.entry.group === group).map(known => known.status?.position.term ?? 0)
  return { kind: 'database/fence', group, database, address, term: Math.max(0, ...terms) + 1, receives }
}

// One appointment of a group has to settle before the next begins.
function isAppointmentSettling (state: SuccessionState, group: string, nowMs: number): boolean {
  const appointedAtMs = state.appointedAtMs.get(group)
  return appointedAtMs !== undefined && nowMs - appointedAtMs < APPOINTMENT_INTERVAL_MS
}

function appoint (state: SuccessionState, group: string, successor: TrackedDatabase, reason: ReplacementReason, nowMs: number): SuccessionStep {
  const appointment = (getOwn(state.table, group)?.appointment ?? 0) + 1
  const { database, incarnation } = successor.entry
  // Prevents another proposal until the command is applied or times out.
  const appointedAtMs = new Map(state.appointedAtMs).set(group, nowMs - APPOINTMENT_INTERVAL_MS + PROPOSAL_TIMEOUT_MS)
  const position = successor.status?.position
  const text = `Group ${group}: the primary is ${reason}; ${database} is appointed (appointment ${appointment}), at ${position?.term}.${position?.offset}.`
  return {
    state: { ...state, appointedAtMs },
    effects: [
      tell({ kind: 'agreement/propose', proposal: `succession/${group}/${appointment}`, command: { kind: 'succession/appoint', group, appointment, database, instance: incarnation?.instance } }),
      recordEvent('primary-appointed', text, { group })
    ]
  }
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
  const isPlanned = former !== undefined && (former.entry.departing || isInEvacuated(state, former))
  const isServing = isPlanned && findReplacementReason({ ...state, evacuated: new Set() }, { ...former, entry: { ...former.entry, departing: false } }, nowMs) === undefined
  const withdrawn = isServing ? createStep(state) : publish(state, group, undefined)
  return { state: { ...withdrawn.state, calls: new Map(state.calls).set(group, next) }, effects: [...withdrawn.effects, effect] }
}

// The call names the instance, so it would promote a start that may hold less than the one that was appointed.
function failAppointment (state: SuccessionState, group: string, { appointment, database }: Appointment, nowMs: number): SuccessionStep {
  const known = state.calls.get(group)
  if (known?.appointment === appointment && known.superseded === true) return createStep(state)
  const call: PromotionCall = { appointment, calledAtMs: nowMs, tries: known?.appointment === appointment ? known.tries : 0, superseded: true }
  return {
    state: { ...state, calls: new Map(state.calls).set(group, call), appointedAtMs: new Map(state.appointedAtMs).set(group, nowMs - APPOINTMENT_INTERVAL_MS + CALL_RETRY_DELAY_MS) },
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
  // Hosts use the new primary at once; until its promotion completes, it refuses their requests.
  const published = outcome === 'done' ? publish(state, group, getOwn(state.table, group)!.database) : createStep({ ...state, appointedAtMs: new Map(state.appointedAtMs).set(group, nowMs - APPOINTMENT_INTERVAL_MS + CALL_RETRY_DELAY_MS) })
  return { state: published.state, effects: [event, settled, ...published.effects] }
}

function publish (state: SuccessionState, group: string, database: string | undefined): SuccessionStep {
  const known = state.published.get(group)
  if (known !== undefined && known.database === database) return createStep(state)
  if (known === undefined && database === undefined) return createStep(state)
  const term = getOwn(state.table, group)?.appointment ?? 0
  return {
    state: { ...state, published: new Map(state.published).set(group, { database }) },
    effects: [
      tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary: database, members: [] } }),
      recordEvent('primary-published', `Group ${group}: the published primary is ${database ?? 'none'}.`, { group })
    ]
  }
}

function createCheckTimer (): CoreEffect {
  return setTimer('succession/check', CHECK_INTERVAL_MS, { kind: 'succession/check-due' })
}

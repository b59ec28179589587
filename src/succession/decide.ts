/** Decisions of the succession slice, taken by the leader: when a primary is replaced, by which database, and the calls for it. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { DatabaseStatus } from '../membership/directory.js'
import { setTimer, tell } from '../messages.js'
import type { FenceReplica } from '../databases/driver.js'
import { findPrimary, findReason, pickFenced, pickSuccessor, type Reason } from './choose.js'
import type { Answered, Applied, Fenced, Leadership, Reported, SuccessionMessage } from './messages.js'
import type { AppointPrimary, Call, KnownDatabase, SuccessionState } from './state.js'

/** Time between two looks at all groups. */
const CHECK_EVERY_MS = 50
/** How long a database counts as there after a host last reported it. */
const REPORTED_MS = 4_000
/** The least time between two appointments of one group: longer than a promotion takes. */
const APPOINT_AGAIN_MS = 2_500
/** How long a proposed appointment may take to commit before it is proposed again. */
const PROPOSAL_MS = 1_000
/** The pause before a call without an answer is made again. */
const CALL_AGAIN_MS = 300
/** The pause after the platform said that there are too many calls. */
const THROTTLED_MS = 500
/** The pause before replicas that did not answer are asked again to stop receiving. */
const FENCE_AGAIN_MS = 400
/** Tries without an answer after which the appointment is given up, if another database can lead. */
const MAX_TRIES = 4
/** Appointments of a group that one epoch has room for in a fence. */
const FENCE_ROOM = 1_048_576

type SuccessionEffect = CoreEffect | AppointPrimary | FenceReplica
type SuccessionStep = Step<SuccessionState, SuccessionEffect>

/**
 * Decides on one message of the succession slice.
 * @example decideSuccession(state, { kind: 'succession/check-due' }, moment)
 */
export function decideSuccession (state: SuccessionState, message: SuccessionMessage, moment: Moment): SuccessionStep {
  if (!state.active) return keep(state)
  const nowMs = moment.monotonicMs
  switch (message.kind) {
    case 'succession/leadership': return takeLeadership(state, message, nowMs)
    case 'succession/applied': return takeApplied(state, message, nowMs)
    case 'succession/reported': return state.leads ? keep(takeReport(state, message, nowMs)) : keep(state)
    case 'succession/withdrawn': return keep(dropDatabase(state, message.database))
    case 'succession/documents': return keep({ ...state, copies: message.copies })
    case 'succession/fenced': return keep(takeFenced(state, message))
    case 'succession/check-due': return state.leads ? checkAll(state, nowMs) : keep(state)
    case 'succession/answered': return state.leads ? takeAnswer(state, message, nowMs) : keep(state)
  }
}

function keep (state: SuccessionState): SuccessionStep {
  return { state, effects: [] }
}

function takeLeadership (state: SuccessionState, { leads, epoch, table }: Leadership, nowMs: number): SuccessionStep {
  const next: SuccessionState = { ...state, leads, epoch, table, ledAtMs: nowMs, databases: new Map(), hosts: new Map(), members: new Map(), fences: new Map(), calls: new Map(), published: new Map(), changedAtMs: new Map() }
  return { state: next, effects: leads ? [createCheckTimer()] : [] }
}

function takeApplied (state: SuccessionState, { command, table }: Applied, nowMs: number): SuccessionStep {
  const { group } = command
  const changed = state.table[group] !== table[group]
  const appointed = changed && command.kind === 'succession/appoint'
  const next: SuccessionState = { ...state, table, changedAtMs: appointed ? new Map(state.changedAtMs).set(group, nowMs) : state.changedAtMs }
  return state.leads && changed ? checkGroup(next, group, nowMs) : keep(next)
}

function takeReport (state: SuccessionState, { host, failureDomain, apart, leftAtMs, statuses, databases, remembered }: Reported, nowMs: number): SuccessionState {
  const known = new Map(state.databases)
  for (const entry of databases) known.set(entry.database, { knownSinceMs: nowMs, remembered, ...known.get(entry.database), entry, heardAtMs: nowMs })
  // A report that was held up on its way is as old as it is; of one whose age is not known nothing is proven.
  const sentAtMs = Math.min(nowMs, leftAtMs ?? nowMs)
  for (const status of statuses) takeStatus(known, host, leftAtMs === undefined ? { ...status, primary: false } : status, sentAtMs)
  const members = new Map([...state.members, ...known])
  return { ...state, databases: known, members, hosts: new Map(state.hosts).set(host, { heardAtMs: nowMs, failureDomain, apart }) }
}

function takeStatus (databases: Map<string, KnownDatabase>, host: string, status: DatabaseStatus, sentAtMs: number): void {
  const known = databases.get(status.database)
  if (known === undefined) return
  const answeredAtMs = sentAtMs - (status.ageMs ?? 0)
  if (!status.answering) databases.set(status.database, { ...known, owner: host })
  else if (answeredAtMs >= (known.answeredAtMs ?? 0)) {
    databases.set(status.database, { ...known, owner: host, status, answeredAtMs, heardAtMs: Math.max(known.heardAtMs, sentAtMs), provenAtMs: status.primary ? answeredAtMs : known.provenAtMs })
  }
}

function dropDatabase (state: SuccessionState, database: string): SuccessionState {
  const databases = new Map(state.databases)
  databases.delete(database)
  const members = new Map(state.members)
  members.delete(database)
  return { ...state, databases, members }
}

function checkAll (state: SuccessionState, nowMs: number): SuccessionStep {
  const databases = new Map([...state.databases].filter(([, known]) => nowMs - known.heardAtMs < REPORTED_MS))
  const groups = new Set([...[...databases.values()].map(known => known.entry.group), ...Object.keys(state.table)])
  const checked = [...groups].reduce<SuccessionStep>((step, group) => {
    const next = checkGroup(step.state, group, nowMs)
    return { state: next.state, effects: [...step.effects, ...next.effects] }
  }, keep({ ...state, databases }))
  return { state: checked.state, effects: [...checked.effects, createCheckTimer()] }
}

function checkGroup (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const succession = state.table[group]
  if (succession !== undefined && succession.outcome === undefined) return callPlatform(state, group, nowMs)
  const primary = findPrimary(state, group)
  const reason = findReason(state, primary, nowMs)
  if (reason === undefined) return endFence(publish(state, group, primary?.entry.database), group)
  if ((state.copies.get(group) ?? 0) > 0) return fenceGroup(state, group, primary, reason, nowMs)
  const successor = isSettling(state, group, nowMs) ? undefined : pickSuccessor(state, group, primary, nowMs)
  if (successor === undefined) return publish(state, group, primary?.entry.database)
  return appoint(state, group, successor, reason, nowMs)
}

// Where a replica's copy is the acknowledgement, replicas stop receiving before their positions are compared:
// what is acknowledged after that is acknowledged by nobody.
function fenceGroup (state: SuccessionState, group: string, primary: KnownDatabase | undefined, reason: Reason, nowMs: number): SuccessionStep {
  if (isSettling(state, group, nowMs)) return publish(state, group, primary?.entry.database)
  const { awaited, successor } = pickFenced(state, group, primary)
  if (successor !== undefined && state.fences.has(group)) {
    const appointed = appoint(state, group, successor, reason, nowMs)
    const fences = new Map(state.fences)
    fences.delete(group)
    return { state: { ...appointed.state, fences }, effects: appointed.effects }
  }
  const fence = state.fences.get(group)
  if (fence !== undefined && nowMs - fence.askedAtMs < FENCE_AGAIN_MS) return keep(state)
  const next = { askedAtMs: nowMs, positions: fence?.positions ?? new Map() }
  return { state: { ...state, fences: new Map(state.fences).set(group, next) }, effects: awaited.map(known => createFence(state, known, false)) }
}

function takeFenced (state: SuccessionState, { group, database, position }: Fenced): SuccessionState {
  const fence = state.fences.get(group)
  if (fence === undefined) return state
  return { ...state, fences: new Map(state.fences).set(group, { ...fence, positions: new Map(fence.positions).set(database, position) }) }
}

// The primary answers again: its replicas go on receiving.
function endFence (step: SuccessionStep, group: string): SuccessionStep {
  if (!step.state.fences.has(group)) return step
  const fences = new Map(step.state.fences)
  fences.delete(group)
  const members = [...step.state.members.values()].filter(known => known.entry.group === group)
  return { state: { ...step.state, fences }, effects: [...step.effects, ...members.map(known => createFence(step.state, known, true))] }
}

function createFence (state: SuccessionState, { entry }: KnownDatabase, receives: boolean): FenceReplica {
  const { group, database, address } = entry
  const terms = [...state.members.values()].filter(known => known.entry.group === group).map(known => known.status?.position.term ?? 0)
  return { kind: 'database/fence', group, database, address, term: Math.max(0, ...terms) + 1, receives }
}

// A new leader first hears who is there, and one appointment ends before the next begins.
function isSettling (state: SuccessionState, group: string, nowMs: number): boolean {
  const changedAtMs = state.changedAtMs.get(group)
  return changedAtMs !== undefined && nowMs - changedAtMs < APPOINT_AGAIN_MS
}

function appoint (state: SuccessionState, group: string, successor: KnownDatabase, reason: Reason, nowMs: number): SuccessionStep {
  const appointment = (state.table[group]?.appointment ?? 0) + 1
  const { database } = successor.entry
  // Until the command is applied, the pause keeps another from being proposed.
  const changedAtMs = new Map(state.changedAtMs).set(group, nowMs - APPOINT_AGAIN_MS + PROPOSAL_MS)
  const position = successor.status?.position
  const text = `Group ${group}: the primary is ${reason}; ${database} is appointed (appointment ${appointment}), at ${position?.term}.${position?.offset}.`
  return {
    state: { ...state, changedAtMs },
    effects: [
      tell({ kind: 'agreement/propose', proposal: `succession/${group}/${appointment}`, command: { kind: 'succession/appoint', group, appointment, database } }),
      recordEvent('primary-appointed', text, { group })
    ]
  }
}

// A primary that is about to depart serves until the next one leads; one that is silent serves nobody.
function callPlatform (state: SuccessionState, group: string, nowMs: number): SuccessionStep {
  const { appointment, database } = state.table[group]!
  const known = state.calls.get(group)
  const call: Call = known?.appointment === appointment ? known : { appointment, calledAtMs: 0, dueAtMs: nowMs, tries: 0 }
  if (call.dueAtMs === undefined || call.dueAtMs > nowMs) return keep(state)
  const next: Call = { appointment, calledAtMs: nowMs, tries: call.tries + 1 }
  const effect: AppointPrimary = { kind: 'promotion/appoint', group, database, appointment, fence: state.epoch * FENCE_ROOM + appointment }
  const published = state.published.get(group)?.database
  const former = published === undefined ? undefined : state.databases.get(published)
  const serves = former?.entry.departing === true && findReason(state, { ...former, entry: { ...former.entry, departing: false } }, nowMs) === undefined
  const hidden = serves ? keep(state) : publish(state, group, undefined)
  return { state: { ...hidden.state, calls: new Map(state.calls).set(group, next) }, effects: [...hidden.effects, effect] }
}

function takeAnswer (state: SuccessionState, { group, appointment, outcome }: Answered, nowMs: number): SuccessionStep {
  const call = state.calls.get(group)
  if (call?.appointment !== appointment || state.table[group]?.outcome !== undefined) return keep(state)
  const event = recordEvent('promotion-answered', `Group ${group}: the call for appointment ${appointment} was ${outcome} after ${Math.round(nowMs - call.calledAtMs)} ms.`, { group })
  const ended = outcome === 'done' || outcome === 'refused' || (outcome === 'unanswered' && call.tries >= MAX_TRIES)
  if (!ended) {
    const pauseMs = outcome === 'throttled' ? THROTTLED_MS : CALL_AGAIN_MS
    return { state: { ...state, calls: new Map(state.calls).set(group, { ...call, dueAtMs: nowMs + pauseMs }) }, effects: [event] }
  }
  const settled = tell({ kind: 'agreement/propose', proposal: `succession/${group}/${appointment}/settle`, command: { kind: 'succession/settle', group, appointment, outcome: outcome === 'done' ? 'done' : 'failed' } })
  // Hosts look for the next primary at once; until it leads, it refuses.
  const shown = outcome === 'done' ? publish(state, group, state.table[group]!.database) : keep({ ...state, changedAtMs: new Map(state.changedAtMs).set(group, nowMs - APPOINT_AGAIN_MS + CALL_AGAIN_MS) })
  return { state: shown.state, effects: [event, settled, ...shown.effects] }
}

function publish (state: SuccessionState, group: string, database: string | undefined): SuccessionStep {
  const known = state.published.get(group)
  if (known !== undefined && known.database === database) return keep(state)
  if (known === undefined && database === undefined) return keep(state)
  const term = state.table[group]?.appointment ?? 0
  return {
    state: { ...state, published: new Map(state.published).set(group, { database }) },
    effects: [
      tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary: database, members: [] } }),
      recordEvent('primary-published', `Group ${group}: hosts are told of primary ${database ?? 'none'}.`, { group })
    ]
  }
}

function createCheckTimer (): CoreEffect {
  return setTimer('succession/check', CHECK_EVERY_MS, { kind: 'succession/check-due' })
}

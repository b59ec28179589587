/** Decisions of the membership slice: beats, ownership, and the directory in force on this host. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import type { ProbeDatabase } from '../databases/driver.js'
import { followLeader, listTargets, takeHint } from './discovery.js'
import { answerForce } from './force.js'
import { applyChanges, listEntries, type DatabaseEntry, type DatabaseStatus, type Directory, type HostEntry } from './directory.js'
import { dropDatabase, dropHost, publishEntry, sweepSilent, takeBeat } from './leader.js'
import type { Announced, Answered, Beat, BeatAnswered, MembershipMessage, Probed, Withdrawn } from './messages.js'
import { listOwned } from './owners.js'
import type { Announcement, MembershipState } from './state.js'
import { answerStatus, drainHost } from './operators.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a primary may go without an answer that proves its lead, such as while only its reads are asked for. */
const UNPROVEN_MS = 1_000
/** How long an unanswered beat may still be answered. */
const BEAT_HOLDS_MS = 5_000

/** The effects of the membership slice. */
export type MembershipEffect = CoreEffect | ProbeDatabase
type MembershipStep = Step<MembershipState, MembershipEffect>

/**
 * Decides on one message of the membership slice.
 * @example decideMembership(state, { kind: 'membership/beat-due' }, moment)
 */
export function decideMembership (state: MembershipState, message: MembershipMessage, moment: Moment): MembershipStep {
  switch (message.kind) {
    case 'membership/started': return start(state, message.self, message.control)
    case 'membership/leader-changed': return followLeader(state, message, moment)
    case 'membership/leader-hint': return takeHint(state, message, moment)
    case 'membership/lease-extended': return takeLease(state, message.untilMs)
    case 'membership/beat-due': return sendBeat(state, moment)
    case 'membership/beat-answered': return takeLeadersAnswer(state, message, moment)
    case 'membership/announced': return takeAnnouncement(state, message, moment)
    case 'membership/probe-due': return probeOwned(state, moment)
    case 'membership/probed': return takeProbe(state, message)
    case 'membership/answered': return keep(takeAnswered(state, message))
    case 'membership/withdrawn': return withdrawDatabase(state, message)
    case 'membership/control-changed': return keep({ ...state, control: message.control })
    case 'membership/beat': return state.leading === undefined ? answerHint(state, message) : takeBeat(state, state.leading, message, moment)
    case 'membership/remembered': return keep({ ...state, remembered: message.databases })
    case 'membership/force-asked': return state.leading === undefined ? keep(state) : answerForce(state, state.leading, message, moment)
    case 'membership/sweep-due': return state.leading === undefined ? keep(state) : sweepSilent(state, state.leading, moment)
    case 'membership/status-asked': return answerStatus(state, message, moment)
    case 'membership/drain-asked': return drainHost(state, message)
    case 'membership/leave': return tellLeft(state)
    case 'membership/left': return state.leading === undefined ? keep(state) : dropHost(state, state.leading, message)
    case 'membership/publish': return state.leading === undefined ? keep(state) : publishEntry(state, state.leading, message.entry)
  }
}

function keep (state: MembershipState): MembershipStep {
  return { state, effects: [] }
}

function start (state: MembershipState, self: HostEntry, control: readonly string[]): MembershipStep {
  return { state: { ...state, self, control }, effects: [createBeatTimer(state), createProbeTimer(state)] }
}

function tellLeft (state: MembershipState): MembershipStep {
  if (state.leader === undefined || state.self === undefined) return keep(state)
  return { state, effects: [sendPeer(state.leader, { kind: 'membership/left', incarnation: state.self.incarnation })] }
}

function takeLease (state: MembershipState, leaseUntilMs: number): MembershipStep {
  if (state.leading === undefined) return keep(state)
  return { state: { ...state, leading: { ...state.leading, leaseUntilMs } }, effects: [tell({ kind: 'shares/lease-extended', untilMs: leaseUntilMs })] }
}

function answerHint (state: MembershipState, beat: Beat): MembershipStep {
  const { leader, epoch } = state
  if (leader === undefined || leader === state.self?.host || leader === beat.self.host) return keep(state)
  return { state, effects: [sendPeer(beat.self.host, { kind: 'membership/leader-hint', leader, epoch })] }
}

function sendBeat (state: MembershipState, moment: Moment): MembershipStep {
  const targets = listTargets(state, moment)
  if (state.self === undefined || targets.length === 0) return { state, effects: [createBeatTimer(state)] }
  const round = state.round + 1
  const askedAtMs = new Map([...state.askedAtMs].filter(([, askedMs]) => moment.monotonicMs - askedMs < BEAT_HOLDS_MS))
  askedAtMs.set(round, moment.monotonicMs)
  const beat: Beat = {
    kind: 'membership/beat',
    round,
    self: state.self,
    leftAtMs: state.leaderAheadMs === undefined ? undefined : moment.monotonicMs + state.leaderAheadMs,
    revision: state.directory.revision,
    databases: listAnnounced(state, moment),
    statuses: [...state.statuses.values()].map(held => ({ ...held.status, ageMs: moment.monotonicMs - held.askedAtMs }))
  }
  return { state: { ...state, round, askedAtMs }, effects: [...targets.map(target => sendPeer(target, beat)), createBeatTimer(state)] }
}

// Only a leader answers, so an answer of a later epoch names its leader too.
function takeLeadersAnswer (state: MembershipState, message: BeatAnswered, moment: Moment): MembershipStep {
  if (message.from === undefined || message.revision.epoch <= state.epoch) return takeAnswer(state, message, moment)
  const hinted = takeHint(state, { kind: 'membership/leader-hint', leader: message.from, epoch: message.revision.epoch }, moment)
  const taken = takeAnswer(hinted.state, message, moment)
  return { state: taken.state, effects: [...hinted.effects, ...taken.effects] }
}

function takeAnswer (state: MembershipState, message: BeatAnswered, moment: Moment): MembershipStep {
  const askedAtMs = state.askedAtMs.get(message.round)
  if (askedAtMs === undefined || message.revision.epoch !== state.epoch || isOutdated(state.directory, message)) return keep(state)
  const changed = message.changes.length > 0 || message.revision.epoch !== state.directory.revision.epoch
  const directory = changed ? applyChanges(state.directory, message.revision, message.changes) : state.directory
  // The answer was on its way for a while, so the time that it tells is a little too early, never too late.
  const leaderAheadMs = message.leaderMs === undefined ? undefined : message.leaderMs - moment.monotonicMs
  const next: MembershipState = { ...state, directory, leaderAheadMs, answeredAtMs: moment.monotonicMs, statuses: keepOwned(state, directory) }
  return { state: next, effects: [...(changed ? tellChanged(next) : []), ...tellConfirmed(next, changed, askedAtMs)] }
}

function isOutdated (directory: Directory, { revision }: BeatAnswered): boolean {
  return revision.epoch === directory.revision.epoch && revision.count < directory.revision.count
}

function tellConfirmed (state: MembershipState, changed: boolean, askedAtMs: number): readonly CoreEffect[] {
  const { directory } = state
  const documents = changed ? listEntries(directory, 'document') : undefined
  return [
    tell({ kind: 'admission/documents-confirmed', documents, askedAtMs }),
    tell({ kind: 'requests/grants-confirmed', grants: listEntries(directory, 'grant'), askedAtMs }),
    tell({ kind: 'routing/grants-confirmed', askedAtMs })
  ]
}

function tellChanged (state: MembershipState): readonly CoreEffect[] {
  const { directory } = state
  const hosts = listEntries(directory, 'host')
  const databases = listEntries(directory, 'database')
  const grants = listEntries(directory, 'grant')
  return [
    { kind: 'peer/learn', addresses: hosts.map(({ host, peers }) => ({ host, peers })) },
    tell({ kind: 'timeline/hosts-known', hosts: hosts.map(({ host }) => host) }),
    tell({ kind: 'routing/directory-changed', hosts, databases, grants }),
    tell({ kind: 'transactions/owned-changed', databases: listOwn(state, directory), grants })
  ]
}

function listOwn (state: MembershipState, directory: Directory): readonly DatabaseEntry[] {
  if (state.self === undefined) return []
  const owned = listOwned(state.self.host, listEntries(directory, 'database'), listEntries(directory, 'host'))
  const groups = new Map(listEntries(directory, 'document').flatMap(({ document }) => document.groups.map(group => [group.name, group.connections] as const)))
  return owned.map(entry => (entry.connectionLimit > 0 ? entry : { ...entry, connectionLimit: groups.get(entry.group) ?? entry.slots }))
}

function keepOwned (state: MembershipState, directory: Directory): MembershipState['statuses'] {
  const owned = new Set(listOwn(state, directory).map(entry => entry.database))
  return new Map([...state.statuses].filter(([database]) => owned.has(database)))
}

function takeAnnouncement (state: MembershipState, message: Announced, moment: Moment): MembershipStep {
  const { entry, order } = message
  const known = state.announced.get(entry.database)
  if (isLate(known, order)) return keep(state)
  const announced = new Map([...state.announced].filter(([, { heardAtMs }]) => moment.monotonicMs - heardAtMs <= state.timing.announcementHoldsMs))
  announced.set(entry.database, { entry, heardAtMs: moment.monotonicMs, order })
  return keep({ ...state, announced })
}

function isLate (known: Announcement | undefined, order: Announced['order']): boolean {
  if (known?.order === undefined || order === undefined) return false
  return order.startedAtMs < known.order.startedAtMs || (order.startedAtMs === known.order.startedAtMs && order.sequence <= known.order.sequence)
}

// The leader learns it from the host that the database told.
function withdrawDatabase (state: MembershipState, { database, from }: Withdrawn): MembershipStep {
  const announced = new Map(state.announced)
  announced.delete(database)
  const next: MembershipState = { ...state, announced }
  if (state.leading !== undefined) return { state: { ...next, leading: dropDatabase(state.leading, database) }, effects: [tell({ kind: 'succession/withdrawn', database })] }
  if (from !== undefined || state.leader === undefined) return keep(next)
  return { state: next, effects: [sendPeer(state.leader, { kind: 'membership/withdrawn', database })] }
}

function listAnnounced (state: MembershipState, moment: Moment): readonly DatabaseEntry[] {
  return [...state.announced.values()]
    .filter(announcement => moment.monotonicMs - announcement.heardAtMs <= state.timing.announcementHoldsMs)
    .map(announcement => announcement.entry)
}

function probeOwned (state: MembershipState, moment: Moment): MembershipStep {
  const primaries = new Set(listEntries(state.directory, 'grant').map(grant => grant.primary))
  const probes = listOwn(state, state.directory)
    .filter(({ database }) => isQuiet(state, database, primaries.has(database), moment))
    .map((entry): ProbeDatabase => ({ kind: 'database/probe', database: entry.database, address: entry.address, group: entry.group, askedAtMs: moment.monotonicMs }))
  return { state, effects: [...probes, createProbeTimer(state)] }
}

// What answers requests need not be asked how it is.
function isQuiet (state: MembershipState, database: string, primary: boolean, moment: Moment): boolean {
  const held = state.statuses.get(database)
  const quietMs = primary ? state.timing.quietMs : state.timing.replicaQuietMs
  if (held === undefined || !held.status.answering || moment.monotonicMs - held.askedAtMs >= quietMs) return true
  return primary && moment.monotonicMs - (held.provenAtMs ?? -Infinity) >= UNPROVEN_MS
}

function takeAnswered (state: MembershipState, { database, position, askedAtMs, proven }: Answered): MembershipState {
  const known = state.statuses.get(database)
  if (known !== undefined && known.askedAtMs > askedAtMs) return state
  const status: DatabaseStatus = { fencedTerm: 0, ...known?.status, database, answering: true, position, primary: proven }
  return { ...state, statuses: new Map(state.statuses).set(database, { status, askedAtMs, provenAtMs: proven ? askedAtMs : known?.provenAtMs }) }
}

function takeProbe (state: MembershipState, message: Probed): MembershipStep {
  const { status, askedAtMs } = message
  const provenAtMs = status.primary ? askedAtMs : state.statuses.get(status.database)?.provenAtMs
  const statuses = new Map(state.statuses).set(status.database, { status, askedAtMs, provenAtMs })
  const effects: CoreEffect[] = [tell({ kind: 'routing/status-read', status: message.status, askedAtMs: message.askedAtMs })]
  if (message.status.answering) {
    effects.push(tell({ kind: 'transactions/position-read', database: message.status.database, position: message.status.position }))
  }
  return { state: { ...state, statuses }, effects }
}

function createBeatTimer ({ timing }: MembershipState): CoreEffect {
  return setTimer('membership/beat', timing.beatEveryMs, { kind: 'membership/beat-due' })
}

function createProbeTimer ({ timing }: MembershipState): CoreEffect {
  return setTimer('membership/probe', timing.probeEveryMs, { kind: 'membership/probe-due' })
}

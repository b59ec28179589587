/** Decisions of the membership slice: heartbeats, ownership, and this host's copy of the directory. */
import { writeLog, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { ProbeDatabase } from '../databases/driver.js'
import { findEntryErrors } from './entry.js'
import { computeTimelyMs, recordConfirmation, recordTick, recordVersions } from './contact.js'
import { followLeader, listControlHosts, listHeartbeatTargets, followHint, rankControlHosts } from './discovery.js'
import { reportRollout } from './rollout.js'
import { applyChanges, listColdRates, listEntries, type DatabaseEntry, type DatabaseStatus, type Directory, type HostEntry, nameProcess } from './directory.js'
import { removeDatabases, removeHost, publishEntry, evictSilent, receiveHeartbeat } from './leader.js'
import { isCurrent, pruneIncarnations, recordWithdrawal } from './incarnations.js'
import { recordDatabaseEvents } from './log.js'
import type { DatabaseAnnounced, DatabaseAnswered, Heartbeat, HeartbeatAnswered, MembershipMessage, ProbeCompleted, DatabaseWithdrawn, VersionsHeld, WritesChanged } from './messages.js'
import { hasOrders, listEvacuatedDomains, listMarkedDatabases, listOrders, ORDERS_NAME } from '../evacuation/view.js'
import { listLenders } from './lenders.js'
import { allocateOwners } from './owners.js'
import type { Announcement, MembershipState } from './state.js'
import { answerStatus, drainHost } from './operators.js'
import { answerRelayed, countQuietIntervals, findRelay, forwardHeld, holdHeartbeat, isRelayed } from './relay.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/**
 * Age of the last answer that proved the primary role, after which a primary is probed although it answers. Replicas serve
 * bounded reads only while there is a fresh proof, so a primary whose queue is too long for reads has to be probed.
 */
const PRIMARY_PROOF_MAX_AGE_MS = 600
/** Age of the last status from which on a database is probed although it answers, where hosts need a lease to commit. */
const FENCE_MAX_AGE_MS = 1_000
/** How long an answer to a heartbeat is accepted. */
const HEARTBEAT_TTL_MS = 5_000
/** The part of the time for an evacuation after which an unconfirmed owner refuses work; the rest is for clocks and work under way. */
const EVACUATION_LEASE_FRACTION = 0.9

/** The effects of the membership slice. */
export type MembershipEffect = CoreEffect | ProbeDatabase
type MembershipStep = Step<MembershipState, MembershipEffect>

/**
 * Decides on one message of the membership slice.
 * @example decideMembership(state, { kind: 'membership/beat-due' }, moment)
 */
export function decideMembership (state: MembershipState, message: MembershipMessage, moment: Moment): MembershipStep {
  const step = decideMessage(state, message, moment)
  const events = recordDatabaseEvents(state.leaderState, step.state.leaderState)
  return events.length === 0 ? step : { state: step.state, effects: [...step.effects, ...events] }
}

function decideMessage (state: MembershipState, message: MembershipMessage, moment: Moment): MembershipStep {
  switch (message.kind) {
    case 'membership/started': return start(state, message.self, message.control)
    case 'membership/leader-changed': return followLeader(state, message, moment)
    case 'membership/leader-hint': return followHint(state, message, moment)
    case 'membership/lease-extended': return updateLease(state, message.untilMs)
    case 'membership/beat-due': return handleHeartbeatDue(state, moment)
    case 'membership/beat-answered': return receiveAnswer(state, message, moment)
    case 'membership/versions-held': return receiveVersions(state, message)
    case 'membership/announced': return recordAnnouncement(state, message, moment)
    case 'membership/probe-due': return probeOwned(state, moment)
    case 'membership/probed': return recordProbe(state, message)
    case 'membership/answered': return createStep(recordAnswer(state, message))
    case 'membership/writes-changed': return recordWrites(state, message)
    case 'membership/withdrawn': return withdrawDatabase(state, message, moment)
    case 'membership/control-changed': return changeControl({ ...state, control: message.control })
    case 'membership/beat': return acceptHeartbeat(state, message, moment)
    case 'membership/remembered': return createStep({ ...state, storedDatabases: message.databases })
    case 'membership/force-asked': return state.leaderState === undefined ? createStep(state) : reportRollout(state, state.leaderState, message, moment)
    case 'membership/sweep-due': return state.leaderState === undefined ? createStep(state) : evictSilent(state, state.leaderState, moment)
    case 'membership/status-asked': return answerStatus(state, message, moment)
    case 'membership/drain-asked': return drainHost(state, message)
    case 'membership/leave': return announceLeave(state)
    case 'membership/left': return state.leaderState === undefined ? createStep(state) : removeHost(state, state.leaderState, message)
    case 'membership/publish': return state.leaderState === undefined ? createStep(state) : publishEntry(state, state.leaderState, message.entry)
  }
}

function createStep (state: MembershipState): MembershipStep {
  return { state, effects: [] }
}

function start (state: MembershipState, self: HostEntry, control: readonly string[]): MembershipStep {
  return { state: { ...state, self, control }, effects: [createHeartbeatTimer(state), createProbeTimer(state), tell({ kind: 'operations/control-known', control })] }
}

function changeControl (state: MembershipState): MembershipStep {
  return { state, effects: [tell({ kind: 'operations/control-known', control: listControlHosts(state) })] }
}

function announceLeave (state: MembershipState): MembershipStep {
  if (state.leader === undefined || state.self === undefined) return createStep(state)
  return { state, effects: [sendPeer(state.leader, { kind: 'membership/left', incarnation: state.self.incarnation })] }
}

function updateLease (state: MembershipState, leaseUntilMs: number): MembershipStep {
  if (state.leaderState === undefined) return createStep(state)
  return { state: { ...state, leaderState: { ...state.leaderState, leaseUntilMs } }, effects: [tell({ kind: 'shares/lease-extended', untilMs: leaseUntilMs })] }
}

function acceptHeartbeat (state: MembershipState, message: Heartbeat, moment: Moment): MembershipStep {
  if (state.leaderState !== undefined) return receiveHeartbeat(state, state.leaderState, message, moment)
  return isRelayed(state, message) ? holdHeartbeat(state, message) : sendLeaderHint(state, message)
}

function sendLeaderHint (state: MembershipState, heartbeat: Heartbeat): MembershipStep {
  const { leader, epoch } = state
  if (leader === undefined || leader === state.self?.host || leader === heartbeat.self.host) return createStep(state)
  return { state, effects: [sendPeer(heartbeat.self.host, { kind: 'membership/leader-hint', leader, epoch })] }
}

function handleHeartbeatDue (state: MembershipState, moment: Moment): MembershipStep {
  const intervalMs = computeHeartbeatIntervalMs(state)
  const timelyMs = computeTimelyMs(moment.monotonicMs - (state.contact.tickedAtMs ?? moment.monotonicMs), intervalMs)
  const statuses = new Map([...state.statuses].map(([database, known]) => [database, { ...known, silentMs: known.silentMs + timelyMs }]))
  const ticked = recordTick(state.contact, rankControlHosts(state), intervalMs, moment)
  const sent = sendHeartbeat({ ...state, statuses, contact: ticked.contact }, moment)
  return { state: sent.state, effects: [...sent.effects, ...ticked.effects, ...tellLease(state, sent.state, moment)] }
}

function sendHeartbeat (state: MembershipState, moment: Moment): MembershipStep {
  const targets = listHeartbeatTargets(state, moment)
  if (state.self === undefined || targets.length === 0) return { state, effects: [createHeartbeatTimer(state)] }
  const round = state.heartbeatRound + 1
  const heartbeatSentAtMs = new Map([...state.heartbeatSentAtMs].filter(([, sentAtMs]) => moment.monotonicMs - sentAtMs < HEARTBEAT_TTL_MS))
  heartbeatSentAtMs.set(round, moment.monotonicMs)
  const next = forwardHeld({ ...state, heartbeatRound: round, heartbeatSentAtMs }, round)
  const heartbeat: Heartbeat = {
    kind: 'membership/beat',
    round,
    self: state.self,
    leftAtMs: state.leaderClockOffsetMs === undefined ? undefined : moment.monotonicMs + state.leaderClockOffsetMs,
    revision: state.directory.revision,
    databases: listAnnounced(state, moment),
    statuses: [...state.statuses.values()].map(known => ({ ...known.status, ageMs: moment.monotonicMs - known.askedAtMs, silentMs: known.silentMs })),
    writes: state.writes.size === 0 ? undefined : [...state.writes.values()],
    relayed: next.relayedHeartbeats.get(round)
  }
  return { state: next, effects: [...targets.map(target => sendPeer(target, heartbeat)), createHeartbeatTimer(state)] }
}

// A change of primary waits for this report, and the first commit after one for its answer.
function recordWrites (state: MembershipState, { group, phase, acknowledged, copied }: WritesChanged): MembershipStep {
  const writes = new Map(state.writes).set(group, { group, phase, acknowledged, ...(copied === undefined ? {} : { copied }) })
  return { state: { ...state, writes }, effects: [setTimer('membership/beat', 0, { kind: 'membership/beat-due' })] }
}

function receiveVersions (state: MembershipState, message: VersionsHeld): MembershipStep {
  const askedAtMs = state.contact.sentAtMsByRound.get(message.round)
  const documents = message.versions?.filter(({ service }) => service !== ORDERS_NAME)
  const { contact, effects } = recordVersions(state.contact, { ...message, versions: documents })
  const holdsAll = askedAtMs !== undefined && message.versions !== undefined && hasOrders(state.directory, message.versions)
  const ordersConfirmedAtMs = holdsAll ? Math.max(state.ordersConfirmedAtMs ?? askedAtMs, askedAtMs) : state.ordersConfirmedAtMs
  const next: MembershipState = { ...state, contact, ordersConfirmedAtMs }
  return { state: next, effects: [...effects, ...tellLease(state, next)] }
}

// An owner in contact that is not confirmed may have missed an order. One that is cut off goes on by what it has.
function tellLease (before: MembershipState, after: MembershipState, moment?: Moment): readonly CoreEffect[] {
  const untilMs = findLeaseEnd(after)
  const hasLapsed = moment !== undefined && untilMs !== undefined && untilMs < moment.monotonicMs && untilMs >= (before.contact.tickedAtMs ?? moment.monotonicMs)
  return untilMs === undefined || (untilMs === findLeaseEnd(before) && !hasLapsed) ? [] : [tell({ kind: 'transactions/confirmed', untilMs })]
}

function findLeaseEnd ({ timing, contact, ordersConfirmedAtMs, self }: MembershipState): number | undefined {
  if (timing.evacuateMs === undefined || ordersConfirmedAtMs === undefined || self?.apart === true) return undefined
  return contact.isolated ? Infinity : ordersConfirmedAtMs + timing.evacuateMs * EVACUATION_LEASE_FRACTION
}

// Only a leader answers, through a relay or not, so an answer with a later epoch shows the leader of that epoch.
function receiveAnswer (state: MembershipState, message: HeartbeatAnswered, moment: Moment): MembershipStep {
  const leader = message.leader ?? message.from
  if (leader === undefined || message.revision.epoch <= state.epoch) return applyAnswer(state, message, moment)
  const followed = followHint(state, { kind: 'membership/leader-hint', leader, epoch: message.revision.epoch }, moment)
  const applied = applyAnswer(followed.state, message, moment)
  return { state: applied.state, effects: [...followed.effects, ...applied.effects] }
}

function applyAnswer (state: MembershipState, message: HeartbeatAnswered, moment: Moment): MembershipStep {
  const askedAtMs = state.heartbeatSentAtMs.get(message.round)
  if (askedAtMs === undefined || message.revision.epoch !== state.epoch || isOutdated(state.directory, message)) return createStep(state)
  const changed = message.changes.length > 0 || message.revision.epoch !== state.directory.revision.epoch
  const directory = changed ? applyChanges(state.directory, message.revision, message.changes) : state.directory
  // The answer's transit time makes this offset too small, never too large.
  const leaderClockOffsetMs = message.leaderMs === undefined ? undefined : message.leaderMs - moment.monotonicMs
  const owners = changed && isPlacementChanged(state, message) ? allocateOwners(listEntries(directory, 'database'), listEntries(directory, 'host')) : state.owners
  const ownedDatabases = changed ? listOwnDatabases(state, directory, owners) : state.ownedDatabases
  const statuses = filterOwnedStatuses(state.statuses, ownedDatabases)
  const relay = changed ? findRelay(directory, state.self) : state.relay
  const quietIntervals = changed ? countQuietIntervals(directory) : state.quietIntervals
  const confirmed = recordConfirmation(state.contact, askedAtMs, moment)
  const next: MembershipState = { ...state, directory, owners, ownedDatabases, relay, quietIntervals, leaderClockOffsetMs, leaderAnsweredAtMs: moment.monotonicMs, contact: confirmed.contact, ordersConfirmedAtMs: Math.max(state.ordersConfirmedAtMs ?? askedAtMs, askedAtMs), statuses }
  const answered = answerRelayed(next, message)
  const effects = [...(changed ? notifyChanged(next, state.ordersConfirmedAtMs) : []), ...tellLease(state, next), ...notifyConfirmed(next, changed, askedAtMs), ...confirmed.effects, ...answered.effects]
  // The leader waits for the first report of a new owner, whose last heartbeat announced a quiet interval.
  const isNewOwner = state.ownedDatabases.size === 0 && ownedDatabases.size > 0
  return { state: answered.state, effects: isNewOwner ? [...effects, createHeartbeatTimer(next)] : effects }
}

// Most changes of a calm fleet are those of grants and documents, which no owner depends on.
function isPlacementChanged ({ directory }: MembershipState, { revision, changes }: HeartbeatAnswered): boolean {
  return revision.epoch !== directory.revision.epoch || changes.some(({ key }) => key.startsWith('host/') || key.startsWith('database/'))
}

function isOutdated (directory: Directory, { revision }: HeartbeatAnswered): boolean {
  return revision.epoch === directory.revision.epoch && revision.count < directory.revision.count
}

function notifyConfirmed (state: MembershipState, changed: boolean, askedAtMs: number): readonly CoreEffect[] {
  const { directory } = state
  const documents = changed ? listEntries(directory, 'document') : undefined
  return [
    tell({ kind: 'admission/documents-confirmed', documents, askedAtMs }),
    tell({ kind: 'requests/grants-confirmed', grants: listEntries(directory, 'grant'), askedAtMs }),
    tell({ kind: 'routing/grants-confirmed', askedAtMs }),
    ...(isConfirmationNeeded(state) ? [tell({ kind: 'transactions/contact-confirmed', askedAtMs })] : [])
  ]
}

function isConfirmationNeeded ({ directory, ownedDatabases }: MembershipState): boolean {
  const hasColdRate = ownedDatabases.size > 0 && [...listColdRates(directory).values()].some(rate => rate > 0)
  return hasColdRate || listEntries(directory, 'grant').some(({ leased }) => leased === true)
}

function notifyChanged (state: MembershipState, confirmedAtMs: number | undefined): readonly CoreEffect[] {
  const { directory, owners } = state
  const hosts = listEntries(directory, 'host')
  const databases = listMarkedDatabases(directory)
  const grants = listEntries(directory, 'grant')
  return [
    ...notifyOrders(state, hosts, databases),
    { kind: 'peer/learn', addresses: hosts.map(({ host, peers }) => ({ host, peers })) },
    tell({ kind: 'admission/lenders-changed', lenders: listLenders(directory, owners) }),
    tell({ kind: 'operations/control-known', control: listControlHosts(state) }),
    tell({ kind: 'timeline/hosts-known', hosts: hosts.map(({ host }) => host) }),
    tell({ kind: 'routing/directory-changed', hosts, databases, owners, grants }),
    tell({ kind: 'transactions/owned-changed', databases: [...state.ownedDatabases.values()], grants, process: nameProcess(state.self?.host ?? '', state.self?.incarnation), evacuated: listEvacuatedDomains(directory), confirmedAtMs, coldRates: listColdRates(directory) })
  ]
}

function notifyOrders ({ self, directory }: MembershipState, hosts: readonly HostEntry[], databases: readonly DatabaseEntry[]): readonly CoreEffect[] {
  const orders = listOrders(directory)
  const domains = (): readonly string[] => [...new Set([...hosts, ...databases].map(({ failureDomain }) => failureDomain))]
  return [
    ...(self?.control === true ? [tell({ kind: 'evacuation/directory-changed', domains: domains(), databases })] : []),
    ...(orders.size > 0 ? [tell({ kind: 'operations/orders-known', orders })] : [])
  ]
}

function listOwnDatabases (state: MembershipState, directory: Directory, owners: MembershipState['owners']): MembershipState['ownedDatabases'] {
  const owned = listEntries(directory, 'database').filter(({ database }) => owners.get(database) === state.self?.host)
  const groups = new Map(listEntries(directory, 'document').flatMap(({ document }) => document.groups.map(group => [group.name, group.connections] as const)))
  // A new leader may name databases before documents.
  const findLimit = ({ database, group, slots }: DatabaseEntry): number => groups.get(group) ?? state.ownedDatabases.get(database)?.connectionLimit ?? slots
  return new Map(owned.map(entry => [entry.database, entry.connectionLimit > 0 ? entry : { ...entry, connectionLimit: findLimit(entry) }]))
}

function filterOwnedStatuses (statuses: MembershipState['statuses'], owned: MembershipState['ownedDatabases']): MembershipState['statuses'] {
  return new Map([...statuses].filter(([database]) => owned.has(database)))
}

function recordAnnouncement (state: MembershipState, message: DatabaseAnnounced, moment: Moment): MembershipStep {
  const { entry, order, coldLeftMs = 0 } = message
  const errors = findEntryErrors(entry)
  if (errors.length > 0) return { state, effects: [writeLog('warn', 'An announcement was ignored, since it names no database that can be used.', { errors })] }
  const known = state.announcements.get(entry.database)
  if (isOutOfOrder(known, order)) return createStep(state)
  const announcements = new Map([...state.announcements].filter(([, { receivedAtMs }]) => moment.monotonicMs - receivedAtMs <= state.timing.announcementHoldsMs))
  const coldUntilMs = coldLeftMs > 0 ? moment.monotonicMs + coldLeftMs : undefined
  announcements.set(entry.database, { entry, receivedAtMs: moment.monotonicMs, coldUntilMs, order })
  return createStep({ ...state, announcements })
}

function isOutOfOrder (known: Announcement | undefined, order: DatabaseAnnounced['order']): boolean {
  if (known?.order === undefined || order === undefined) return false
  return order.startedAtMs < known.order.startedAtMs || (order.startedAtMs === known.order.startedAtMs && order.sequence <= known.order.sequence)
}

// The host that the database notified tells all control hosts: the leader removes the database, the others report it no
// longer, and know of it if they lead next.
function withdrawDatabase (state: MembershipState, { database, incarnation, from }: DatabaseWithdrawn, moment: Moment): MembershipStep {
  const announcements = new Map(state.announcements)
  announcements.delete(database)
  const incarnations = incarnation === undefined ? state.incarnations : pruneIncarnations(recordWithdrawal(state.incarnations, database, incarnation, moment.monotonicMs), moment.monotonicMs)
  const next: MembershipState = { ...state, announcements, incarnations }
  const others = from !== undefined ? [] : [...new Set([...listControlHosts(state), ...(state.leader === undefined ? [] : [state.leader])])].filter(host => host !== state.self?.host)
  const notifications = others.map(host => sendPeer(host, { kind: 'membership/withdrawn', database, incarnation }))
  if (state.leaderState === undefined) return { state: next, effects: notifications }
  // The withdrawal may be the first that is heard of this start.
  const superseded = listEntries(state.leaderState.directory, 'database').filter(entry => !isCurrent(incarnations, entry)).map(entry => entry.database)
  const gone = [...new Set([database, ...superseded])]
  return { state: { ...next, leaderState: removeDatabases(state.leaderState, gone) }, effects: [...notifications, ...gone.map(name => tell({ kind: 'succession/withdrawn', database: name }))] }
}

function listAnnounced (state: MembershipState, moment: Moment): readonly DatabaseEntry[] {
  return [...state.announcements.values()]
    .filter(announcement => moment.monotonicMs - announcement.receivedAtMs <= state.timing.announcementHoldsMs)
    .map(({ entry, coldUntilMs }) => (coldUntilMs !== undefined && moment.monotonicMs < coldUntilMs ? { ...entry, cold: true } : entry))
}

function probeOwned (state: MembershipState, moment: Moment): MembershipStep {
  const grants = listEntries(state.directory, 'grant')
  const primaries = new Set(grants.map(grant => grant.primary))
  const leased = new Set(grants.filter(grant => grant.leased === true).map(({ group }) => group))
  const probes = [...state.ownedDatabases.values()]
    .filter(({ database, group }) => isProbeNeeded(state, database, primaries.has(database), moment) || (leased.has(group) && isFenceUnread(state, database, moment)))
    .map((entry): ProbeDatabase => ({ kind: 'database/probe', database: entry.database, address: entry.address, group: entry.group, askedAtMs: moment.monotonicMs, primary: primaries.has(entry.database) }))
  return { state, effects: [...probes, createProbeTimer(state)] }
}

// A database that recently answered a request needs no probe.
function isProbeNeeded (state: MembershipState, database: string, primary: boolean, moment: Moment): boolean {
  const known = state.statuses.get(database)
  const quietMs = primary ? state.timing.quietMs : state.timing.replicaQuietMs
  if (known === undefined || !known.status.answering || moment.monotonicMs - known.askedAtMs >= quietMs) return true
  return primary && moment.monotonicMs - (known.provenAtMs ?? -Infinity) >= PRIMARY_PROOF_MAX_AGE_MS
}

// Answers to requests do not tell whether replication is paused.
function isFenceUnread ({ statuses }: MembershipState, database: string, { monotonicMs }: Moment): boolean {
  return monotonicMs - (statuses.get(database)?.readAtMs ?? -Infinity) >= FENCE_MAX_AGE_MS
}

function recordAnswer (state: MembershipState, { database, position, askedAtMs, proven }: DatabaseAnswered): MembershipState {
  const known = state.statuses.get(database)
  if (known !== undefined && known.askedAtMs > askedAtMs) return state
  const status: DatabaseStatus = { fencedTerm: 0, ...known?.status, database, answering: true, position, primary: proven }
  return { ...state, statuses: new Map(state.statuses).set(database, { status, askedAtMs, readAtMs: known?.readAtMs, provenAtMs: proven ? askedAtMs : known?.provenAtMs, silentMs: 0 }) }
}

function recordProbe (state: MembershipState, message: ProbeCompleted): MembershipStep {
  const { status, askedAtMs } = message
  const known = state.statuses.get(status.database)
  const provenAtMs = status.primary ? askedAtMs : known?.provenAtMs
  const silentMs = status.answering ? 0 : known?.silentMs ?? 0
  const statuses = new Map(state.statuses).set(status.database, { status, askedAtMs, readAtMs: askedAtMs, provenAtMs, silentMs })
  const effects: CoreEffect[] = [tell({ kind: 'routing/status-read', status: message.status, askedAtMs: message.askedAtMs })]
  if (message.status.answering) {
    effects.push(tell({ kind: 'transactions/position-read', database: message.status.database, position: message.status.position }))
  }
  return { state: { ...state, statuses }, effects }
}

function computeHeartbeatIntervalMs ({ timing, relay, ownedDatabases, quietIntervals }: MembershipState): number {
  return timing.beatEveryMs * (relay !== undefined && ownedDatabases.size === 0 ? quietIntervals : 1)
}

function createHeartbeatTimer (state: MembershipState): CoreEffect {
  return setTimer('membership/beat', computeHeartbeatIntervalMs(state), { kind: 'membership/beat-due' })
}

function createProbeTimer ({ timing }: MembershipState): CoreEffect {
  return setTimer('membership/probe', timing.probeEveryMs, { kind: 'membership/probe-due' })
}

/** Decisions of the routing slice: selects the database that serves a request. */
import { createFailure, type ErrorCode } from '../core/errors.js'
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { rankCandidates } from '../core/rendezvous.js'
import { ORIGIN, coversPosition, pickLater, type LogPosition } from '../core/position.js'
import { isEvacuated } from '../evacuation/view.js'
import { listRegions } from '../homes/homes.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { Target } from '../requests/messages.js'
import type { DatabaseAnswered, ChooseTarget, DirectoryChanged, OwnerAnswered, PositionsRequested, PositionsReported, RoutingMessage, StatusRead, ReportedPosition } from './messages.js'
import { addSample, findFreshFloor } from './staleness.js'
import { chooseDomain, recordOwnerAnswer as recordPrice, type LeavingChoice } from '../leaving/decide.js'
import { createCandidates, isHome, isUnresponsiveOwner, pickLeastLoaded } from './placement.js'
import type { TimedPosition, DatabaseWithOwner, PrimarySample, RoutingState } from './state.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long an answer to a poll is accepted. */
const POLL_TTL_MS = 2_000
/** How long positions are polled after a group's last request: longer than callers usually pause between requests. */
const GROUP_IN_USE_MS = 10_000
/** How long a reported load is used; a database that gets no requests is tried again after it. */
const LOAD_MAX_AGE_MS = 1_000
/** Time without an answer after which an owner is polled, to tell a slow request from an unresponsive host. */
const OWNER_POLL_AFTER_MS = 100
/** Rounds between two polls of an owner that stays silent; its last poll has to be younger than `POLL_TTL_MS` when it answers again. */
const SILENT_POLL_ROUNDS = 4
/** Rounds between two polls of owners that were reached, whichever is next in turn. */
const REACHED_POLL_ROUNDS = 8
/** Without a confirmation by the leader for this long, a host expects no news of another primary: longer than an election takes. */
const LEADER_CONTACT_MS = 1_500
/** A replica whose lag is at most this may be chosen although the read has to wait briefly until it reaches the floor. */
const TOLERATED_LAG_MS = 400
const UNREACHABLE_POSITION: LogPosition = { term: Number.MAX_SAFE_INTEGER, offset: 0 }

type RoutingStep = Step<RoutingState, CoreEffect>

/**
 * Decides on one message of the routing slice.
 * @example decideRouting(state, { kind: 'routing/ask-due' }, moment)
 */
export function decideRouting (state: RoutingState, message: RoutingMessage, moment: Moment): RoutingStep {
  switch (message.kind) {
    case 'routing/choose': return chooseTarget(state, message, moment)
    case 'routing/directory-changed': return updateDirectory(state, message)
    case 'routing/status-read': return { state: recordStatus(state, message), effects: [] }
    case 'routing/grants-confirmed': return { state: { ...state, grantsConfirmedAtMs: Math.max(state.grantsConfirmedAtMs, message.askedAtMs) }, effects: [] }
    case 'routing/ask-due': return pollPositions(state, moment)
    case 'routing/positions-asked': return reportPositions(state, message, moment)
    case 'routing/positions-told': return createSampledStep(state, recordReport(state, message))
    case 'routing/answered': return createSampledStep(state, recordAnswer(state, message))
    case 'routing/load-changed': return { state: { ...state, loads: new Map(state.loads).set(message.database, message.load) }, effects: [] }
    case 'routing/owner-answered': return { state: recordOwnerAnswer(state, message, moment), effects: [] }
  }
}

function chooseTarget (before: RoutingState, message: ChooseTarget, moment: Moment): RoutingStep {
  const { rules } = message
  const state: RoutingState = { ...before, groupUsedAtMs: new Map(before.groupUsedAtMs).set(rules.group, moment.monotonicMs) }
  const grant = state.grants.get(rules.group)
  const mayBeStale = isBoundedRead(message)
  const leaving = mayBeStale && state.leaving !== undefined ? chooseDomain(state.leaving, state.failureDomain, rules.group, createCandidates(state, message), moment.random, moment.monotonicMs) : undefined
  const target = !mayBeStale ? undefined : state.guarantees.selfFencing ? chooseBounded(state, message, grant, leaving) : chooseCovering(state, message, grant, moment)
  if (target !== undefined) return answerTarget({ ...state, roundRobinCounter: state.roundRobinCounter + 1 }, message, target, moment)
  const primary = grant?.primary === undefined ? undefined : state.databases.get(grant.primary)
  if (primary !== undefined && isEvacuated(primary.entry)) return hasReplica(state, message, message.avoid) ? refuse(state, message, 'no-database', moment) : refuseAtOnce(state, message, 'evacuated')
  if (primary !== undefined && !isHome(primary, rules.homes)) return hasReplica(state, message, []) ? refuse(state, message, 'no-database', moment) : refuseAtOnce(state, message, 'no-home')
  if (grant === undefined || isClosed(state, grant, rules) || primary?.owner === undefined || isUnresponsiveOwner(state, primary.owner)) return refuse(state, message, 'no-primary', moment)
  return answerTarget(state, message, createTarget(primary, 'primary', grant.term, ORIGIN), moment)
}

// A self-fencing primary that is closed serves reads until its successor leads.
function isClosed ({ guarantees }: RoutingState, { closing }: GrantEntry, { action }: ChooseTarget['rules']): boolean {
  return closing === true && !(guarantees.selfFencing && action === 'read')
}

// A self-fencing database refuses a read whose floor it lacks, so any replica may be chosen. Its owner determines the
// floor: only the owners of a group exchange its positions, which would cost each host of a large fleet more than its requests.
function chooseBounded (state: RoutingState, message: ChooseTarget, grant: GrantEntry | undefined, leaving: LeavingChoice | undefined): Target | undefined {
  const replica = pickLeastLoaded(state, message, leaving?.candidates.map(({ database }) => database))
  if (replica === undefined) return undefined
  const bound = { maxStalenessMs: message.rules.maxStalenessMs, seen: message.seen }
  return { ...createTarget(replica, 'replica', grant?.term ?? 0, ORIGIN), bound, ...(leaving?.left === undefined ? {} : { left: leaving.left }) }
}

function chooseCovering (state: RoutingState, message: ChooseTarget, grant: GrantEntry | undefined, moment: Moment): Target | undefined {
  const floor = findFloor(state, message, moment)
  const replica = floor === undefined ? undefined : pickReplica(state, message, floor, moment)
  return replica === undefined || floor === undefined ? undefined : createTarget(replica, 'replica', grant?.term ?? 0, floor)
}

// The floor is the later of two positions: what the session has seen, and what the
// primary held at the start of the route's staleness window. Only samples taken before the
// last confirmation of the grant count: a deposed primary behind a partition keeps answering.
function findFloor (state: RoutingState, message: ChooseTarget, moment: Moment): LogPosition | undefined {
  const { group, maxStalenessMs } = message.rules
  const grant = state.grants.get(group)
  const proven = (state.samples.get(group) ?? []).filter(sample =>
    sample.database === grant?.primary &&
    sample.position.term === grant.term &&
    sample.askedAtMs <= state.grantsConfirmedAtMs)
  const fresh = findFreshFloor(proven, moment.monotonicMs - maxStalenessMs)
  return fresh === undefined ? undefined : pickLater(fresh, message.seen)
}

function pickReplica (state: RoutingState, message: ChooseTarget, floor: LogPosition, moment: Moment): DatabaseWithOwner | undefined {
  const primary = state.grants.get(message.rules.group)?.primary
  const eligible = [...state.databases.values()].filter(database =>
    database.entry.group === message.rules.group &&
    database.entry.database !== primary &&
    database.owner !== undefined &&
    !database.entry.departing &&
    !isEvacuated(database.entry) &&
    isHome(database, message.rules.homes) &&
    !message.avoid.includes(database.entry.database))
  const covering = eligible.filter(database => coversPosition(getLatestPosition(state, database), floor))
  const local = covering.filter(database => isLocal(state, database))
  const candidates = local.length > 0 ? local : covering
  if (candidates.length > 0) return candidates[state.roundRobinCounter % candidates.length]
  const nearlyCaughtUp = eligible.filter(database => coversPosition(getLatestPosition(state, database), findRecentPosition(state, message, moment)))
  return nearlyCaughtUp.find(database => isLocal(state, database)) ?? nearlyCaughtUp[state.roundRobinCounter % Math.max(1, nearlyCaughtUp.length)]
}

// The positions known here lag behind. A replica that keeps up may hold the floor by now
// or soon; its owner knows the current position and lets the read wait briefly for it.
function findRecentPosition (state: RoutingState, message: ChooseTarget, moment: Moment): LogPosition {
  const recent = findFreshFloor(state.samples.get(message.rules.group) ?? [], moment.monotonicMs - TOLERATED_LAG_MS)
  return recent ?? UNREACHABLE_POSITION
}

function isLocal (state: RoutingState, database: DatabaseWithOwner): boolean {
  return database.entry.failureDomain === state.failureDomain
}

function getLatestPosition (state: RoutingState, database: DatabaseWithOwner): LogPosition {
  return state.latestPositions.get(database.entry.database)?.position ?? ORIGIN
}

function createTarget (database: DatabaseWithOwner, purpose: Target['purpose'], term: number, floor: LogPosition): Target {
  return { database: database.entry.database, owner: database.owner!, purpose, term, floor }
}

function answerTarget (before: RoutingState, message: ChooseTarget, target: Target, moment: Moment): RoutingStep {
  const awaited = !before.guarantees.selfFencing || target.owner === before.self || before.awaitedOwners.has(target.owner)
  const state: RoutingState = awaited ? before : { ...before, reachedOwners: addReached(before, [target.owner]), awaitedOwners: new Map(before.awaitedOwners).set(target.owner, moment.monotonicMs) }
  return { state, effects: [tell({ kind: 'requests/routed', caller: message.caller, attempt: message.attempt, target, regions: state.databases.get(target.database)?.regions })] }
}

function addReached ({ reachedOwners }: RoutingState, owners: readonly string[]): ReadonlySet<string> {
  return owners.every(owner => reachedOwners.has(owner)) ? reachedOwners : new Set([...reachedOwners, ...owners])
}

// A retry helps only while this host is in touch with the leader, which may grant another primary.
function refuse (state: RoutingState, message: ChooseTarget, code: ErrorCode, moment: Moment): RoutingStep {
  const failure = createFailure(code, message.rules.group)
  const retriable = moment.monotonicMs - state.grantsConfirmedAtMs < LEADER_CONTACT_MS
  return { state, effects: [tell({ kind: 'requests/failed', caller: message.caller, attempt: message.attempt, failure, retriable })] }
}

function isBoundedRead ({ rules, primaryOnly }: ChooseTarget): boolean {
  return rules.action === 'read' && rules.maxStalenessMs > 0 && primaryOnly !== true
}

// A replica at home that is not eligible now may be so by the next try, unless it is evacuated.
function hasReplica ({ databases }: RoutingState, message: ChooseTarget, avoid: readonly string[]): boolean {
  const { rules } = message
  return isBoundedRead(message) && [...databases.values()].some(database => {
    const { entry } = database
    return entry.group === rules.group && !isEvacuated(entry) && !avoid.includes(entry.database) && isHome(database, rules.homes)
  })
}

// A promotion takes longer than callers wait, so they are told when to come back. Nothing brings a database home.
function refuseAtOnce (state: RoutingState, { caller, attempt, rules }: ChooseTarget, code: 'evacuated' | 'no-home'): RoutingStep {
  return { state, effects: [tell({ kind: 'requests/failed', caller, attempt, failure: createFailure(code, rules.group), retriable: false })] }
}

function updateDirectory (state: RoutingState, message: DirectoryChanged): RoutingStep {
  const domains = new Map(state.regions.size === 0 ? [] : message.hosts.map(({ host, failureDomain }) => [host, failureDomain]))
  const databases = new Map(message.databases.map(entry => [entry.database, createRouted(state, entry, message.owners.get(entry.database), domains)]))
  const grants = new Map(message.grants.map(grant => [grant.group, grant]))
  const owners = new Set([...databases.values()].map(({ owner }) => owner))
  const awaitedOwners = new Map([...state.awaitedOwners].filter(([owner]) => owners.has(owner)))
  const reachedOwners = new Set([...state.reachedOwners].filter(owner => owners.has(owner)))
  return { state: { ...state, hosts: message.hosts, databases, grants, awaitedOwners, reachedOwners }, effects: [] }
}

// The regions that a request's body reaches beyond its caller's host: those of the database and of its owner.
function createRouted ({ regions, self }: RoutingState, entry: DatabaseEntry, owner: string | undefined, domains: ReadonlyMap<string, string>): DatabaseWithOwner {
  if (regions.size === 0) return { entry, owner }
  const reached = owner === undefined || owner === self ? [entry.failureDomain] : [entry.failureDomain, domains.get(owner) ?? '']
  return { entry, owner, regions: listRegions(regions, reached) }
}

function recordStatus (state: RoutingState, message: StatusRead): RoutingState {
  if (!message.status.answering) return state
  return recordPosition(state, message.status.database, { position: message.status.position, askedAtMs: message.askedAtMs })
}

function recordPosition (state: RoutingState, database: string, latest: TimedPosition): RoutingState {
  return { ...state, latestPositions: new Map(state.latestPositions).set(database, latest) }
}

function pollPositions (state: RoutingState, moment: Moment): RoutingStep {
  const { watched, polled } = listOwnersToPoll(state, moment)
  const round = state.pollRound + 1
  const pollSentAtMs = new Map([...state.pollSentAtMs].filter(([, sentAtMs]) => moment.monotonicMs - sentAtMs < POLL_TTL_MS))
  pollSentAtMs.set(round, moment.monotonicMs)
  const polls = polled.map(owner => sendPeer(owner, { kind: 'routing/positions-asked', round }))
  const nextPoll = setTimer('routing/ask', state.askEveryMs, { kind: 'routing/ask-due' })
  const unansweredPolls = new Map(watched.map(owner => [owner, (state.unansweredPolls.get(owner) ?? -1) + 1]))
  return { state: { ...dropOldLoads(state, moment), pollRound: round, pollSentAtMs, unansweredPolls, reachedOwners: addReached(state, polled) }, effects: [...polls, nextPoll] }
}

function dropOldLoads (state: RoutingState, moment: Moment): RoutingState {
  const old = [...state.loadReportedAtMs].filter(([, reportedAtMs]) => moment.monotonicMs - reportedAtMs > LOAD_MAX_AGE_MS).map(([database]) => database)
  if (old.length === 0) return state
  const loads = new Map(state.loads)
  const loadReportedAtMs = new Map(state.loadReportedAtMs)
  for (const database of old) {
    loads.delete(database)
    loadReportedAtMs.delete(database)
  }
  return { ...state, loads, loadReportedAtMs }
}

function recordOwnerAnswer (state: RoutingState, message: OwnerAnswered, moment: Moment): RoutingState {
  const { owner, database, load } = message
  const next = load === undefined || owner === state.self ? state : recordLoad(state, database, load, moment.monotonicMs)
  return recordPath(state.awaitedOwners.has(owner) ? markAnswering(next, owner) : next, message, moment)
}

function recordPath (state: RoutingState, { database, elapsedMs, waitedMs, ranMs, bytes = 0 }: OwnerAnswered, moment: Moment): RoutingState {
  const entry = state.databases.get(database)?.entry
  if (state.leaving === undefined || entry === undefined || elapsedMs === undefined || waitedMs === undefined || ranMs === undefined) return state
  return { ...state, leaving: recordPrice(state.leaving, { group: entry.group, failureDomain: entry.failureDomain, elapsedMs, waitedMs, ranMs, bytes }, moment.monotonicMs) }
}

function recordLoad (state: RoutingState, database: string, load: number, reportedAtMs: number): RoutingState {
  return { ...state, loads: new Map(state.loads).set(database, load), loadReportedAtMs: new Map(state.loadReportedAtMs).set(database, reportedAtMs) }
}

interface OwnersOfRound {
  /** Owners whose silence counts. */
  readonly watched: readonly string[]
  /** Those of them that are polled in this round. */
  readonly polled: readonly string[]
}

function listOwnersToPoll (state: RoutingState, moment: Moment): OwnersOfRound {
  if (state.guarantees.selfFencing) return listPeerOwners(state, moment)
  const owners = listOwnersInUse(state, moment)
  return { watched: owners, polled: owners }
}

// The owners of the groups of which this host owns a database, those that leave requests of this host unanswered, and
// one other owner in turn.
function listPeerOwners (state: RoutingState, moment: Moment): OwnersOfRound {
  const databases = [...state.databases.values()]
  const groups = new Set(databases.filter(({ owner }) => owner === state.self).map(({ entry }) => entry.group))
  const turn = pickTurn(state, databases)
  const due = databases.filter(({ entry, owner }) => groups.has(entry.group) || owner === turn)
  const awaited = databases.filter(({ owner }) => moment.monotonicMs - (state.awaitedOwners.get(owner ?? '') ?? Infinity) >= OWNER_POLL_AFTER_MS)
  const watched = listOwners(state, [...due, ...awaited])
  return { watched, polled: listOwners(state, [...due, ...awaited.filter(({ owner }) => isPollDue(state, owner!))]) }
}

// Links to all owners are to be open before requests need them. One that was reached may have restarted since.
function pickTurn (state: RoutingState, databases: readonly DatabaseWithOwner[]): string | undefined {
  const { pollOffset, pollRound, reachedOwners, self } = state
  const start = (pollOffset + Math.floor(pollRound / REACHED_POLL_ROUNDS)) % Math.max(1, databases.length)
  const ordered = [...databases.slice(start), ...databases.slice(0, start)]
  const unreached = ordered.find(({ owner }) => owner !== undefined && owner !== self && !reachedOwners.has(owner))
  return unreached === undefined && pollRound % REACHED_POLL_ROUNDS === 0 ? ordered[0]?.owner : unreached?.owner
}

function listOwners ({ self }: RoutingState, databases: readonly DatabaseWithOwner[]): readonly string[] {
  return [...new Set(databases.flatMap(({ owner }) => (owner === undefined || owner === self ? [] : [owner])))]
}

// A silent owner may only be late: polls in each round by all hosts that wait for it would keep it late.
function isPollDue ({ unansweredPolls }: RoutingState, owner: string): boolean {
  const silentRounds = (unansweredPolls.get(owner) ?? -1) + 1
  return silentRounds === 0 || silentRounds % SILENT_POLL_ROUNDS === SILENT_POLL_ROUNDS / 2
}

// For groups in use on this host: the owners of the primaries and of the databases in this failure
// domain. A group without a local replica adds the owner of one remote replica.
function listOwnersInUse (state: RoutingState, moment: Moment): readonly string[] {
  const databases = [...state.databases.values()].filter(({ entry }) => moment.monotonicMs - (state.groupUsedAtMs.get(entry.group) ?? -Infinity) < GROUP_IN_USE_MS)
  const primaries = new Set([...state.grants.values()].map(grant => grant.primary))
  const replicas = databases.filter(database => !primaries.has(database.entry.database))
  const locallyServedGroups = new Set(replicas.filter(database => isLocal(state, database)).map(database => database.entry.group))
  const remote = [...state.grants.keys()].filter(group => !locallyServedGroups.has(group)).flatMap(group => pickRemoteReplica(state, group, replicas))
  const polledDatabases = databases.filter(database => primaries.has(database.entry.database) || isLocal(state, database))
  return [...new Set([...polledDatabases, ...remote].flatMap(database => (database.owner === undefined ? [] : [database.owner])))]
}

function pickRemoteReplica (state: RoutingState, group: string, replicas: readonly DatabaseWithOwner[]): readonly DatabaseWithOwner[] {
  const candidates = replicas.filter(database => database.entry.group === group)
  const [first] = rankCandidates(state.self, candidates.map(database => database.entry.database))
  return candidates.filter(database => database.entry.database === first)
}

function reportPositions (state: RoutingState, message: PositionsRequested, moment: Moment): RoutingStep {
  if (message.from === undefined) return { state, effects: [] }
  const positions = [...state.databases.values()]
    .filter(database => database.owner === state.self)
    .flatMap((database): readonly ReportedPosition[] => {
      const latest = state.latestPositions.get(database.entry.database)
      if (latest === undefined) return []
      return [{ database: database.entry.database, position: latest.position, ageMs: moment.monotonicMs - latest.askedAtMs, ...describeProof(state, database, moment) }]
    })
  return { state, effects: [sendPeer(message.from, { kind: 'routing/positions-told', round: message.round, positions })] }
}

function describeProof (state: RoutingState, { entry }: DatabaseWithOwner, moment: Moment): Pick<ReportedPosition, 'provenAgeMs' | 'provenPosition' | 'load'> {
  const proof = state.primaryProofs.get(entry.database)
  const load = state.loads.get(entry.database)
  return proof === undefined ? { load } : { load, provenPosition: proof.position, provenAgeMs: moment.monotonicMs - proof.askedAtMs }
}

function recordAnswer (state: RoutingState, { database, position, askedAtMs, proven }: DatabaseAnswered): RoutingState {
  const withPosition = recordPosition(state, database, { position, askedAtMs })
  if (!proven) return withPosition
  const withProof: RoutingState = { ...withPosition, primaryProofs: new Map(state.primaryProofs).set(database, { position, askedAtMs }) }
  const group = state.databases.get(database)?.entry.group
  return group === undefined ? withProof : recordSample(withProof, group, { database, askedAtMs, position })
}

function recordSample (state: RoutingState, group: string, sample: PrimarySample): RoutingState {
  return { ...state, samples: new Map(state.samples).set(group, addSample(state.samples.get(group) ?? [], sample)) }
}

function recordReport (state: RoutingState, message: PositionsReported): RoutingState {
  const askedAtMs = state.pollSentAtMs.get(message.round)
  if (askedAtMs === undefined) return state
  const withAnswer = message.from === undefined ? state : markAnswering(state, message.from)
  return message.positions.reduce((next, reported) => recordReportedPosition(next, reported, askedAtMs), withAnswer)
}

function markAnswering (state: RoutingState, owner: string): RoutingState {
  const awaitedOwners = new Map(state.awaitedOwners)
  awaitedOwners.delete(owner)
  return { ...state, awaitedOwners, unansweredPolls: new Map(state.unansweredPolls).set(owner, -1) }
}

// The owner of a database determines the floors of its reads from these samples.
function createSampledStep (before: RoutingState, state: RoutingState): RoutingStep {
  if (!state.guarantees.selfFencing || state.samples === before.samples) return { state, effects: [] }
  const changed = [...state.samples].filter(([group, samples]) => before.samples.get(group) !== samples)
  return { state, effects: changed.map(([group, samples]) => tell({ kind: 'transactions/primary-sampled', group, samples })) }
}

function recordReportedPosition (state: RoutingState, reported: ReportedPosition, roundAskedAtMs: number): RoutingState {
  const askedAtMs = roundAskedAtMs - reported.ageMs
  const withLoad = reported.load === undefined ? state : recordLoad(state, reported.database, reported.load, roundAskedAtMs)
  const next = recordPosition(withLoad, reported.database, { position: reported.position, askedAtMs })
  const group = state.databases.get(reported.database)?.entry.group
  if (group !== undefined && reported.provenAgeMs !== undefined && reported.provenPosition !== undefined) {
    return recordSample(next, group, { database: reported.database, askedAtMs: roundAskedAtMs - reported.provenAgeMs, position: reported.provenPosition })
  }
  if (state.guarantees.selfFencing || group === undefined || state.grants.get(group)?.primary !== reported.database) return next
  return recordSample(next, group, { database: reported.database, askedAtMs, position: reported.position })
}

/** Decisions of the routing slice: which database serves a request. */
import { createFailure, type ErrorCode } from '../core/errors.js'
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { rankCandidates } from '../core/rendezvous.js'
import { ORIGIN, coversPosition, pickLater, type LogPosition } from '../core/position.js'
import { findOwner } from '../membership/owners.js'
import type { Target } from '../requests/messages.js'
import type { Answered, Choose, DirectoryChanged, PositionsAsked, PositionsTold, RoutingMessage, StatusRead, ToldPosition } from './messages.js'
import { addSample, findFreshFloor, findProvenFloor } from './staleness.js'
import { isSilentOwner, pickLightest } from './placement.js'
import type { HeldPosition, KnownDatabase, PrimarySample, RoutingState } from './state.js'
import { sendPeer, setTimer, tell } from '../messages.js'

const ASK_HOLDS_MS = 2_000
/** How long after its last request a group's positions are still asked for: longer than callers pause between requests. */
const USED_MS = 10_000
/** A host that the leader has not confirmed for this long hears of no other primary: longer than an election takes. */
const OUT_OF_TOUCH_MS = 1_500
/** A replica that holds what the primary had this long ago is worth a short wait. */
const KEEPING_UP_MS = 400
const NEVER: LogPosition = { term: Number.MAX_SAFE_INTEGER, offset: 0 }

type RoutingStep = Step<RoutingState, CoreEffect>

/**
 * Decides on one message of the routing slice.
 * @example decideRouting(state, { kind: 'routing/ask-due' }, moment)
 */
export function decideRouting (state: RoutingState, message: RoutingMessage, moment: Moment): RoutingStep {
  switch (message.kind) {
    case 'routing/choose': return choose(state, message, moment)
    case 'routing/directory-changed': return takeDirectory(state, message)
    case 'routing/status-read': return { state: takeStatus(state, message), effects: [] }
    case 'routing/grants-confirmed': return { state: { ...state, confirmedAtMs: Math.max(state.confirmedAtMs, message.askedAtMs) }, effects: [] }
    case 'routing/ask-due': return askPositions(state, moment)
    case 'routing/positions-asked': return tellPositions(state, message, moment)
    case 'routing/positions-told': return takePositions(state, message)
    case 'routing/answered': return { state: takeAnswer(state, message), effects: [] }
    case 'routing/load-changed': return { state: { ...state, loads: new Map(state.loads).set(message.database, message.load) }, effects: [] }
  }
}

function choose (before: RoutingState, message: Choose, moment: Moment): RoutingStep {
  const { rules } = message
  const state: RoutingState = { ...before, usedAtMs: new Map(before.usedAtMs).set(rules.group, moment.monotonicMs) }
  const grant = state.grants.get(rules.group)
  const floor = rules.action === 'read' && rules.maxStalenessMs > 0 ? findFloor(state, message, moment) : undefined
  const replica = floor === undefined ? undefined : state.guarantees.selfFencing ? pickLightest(state, message) : pickReplica(state, message, floor, moment)
  if (replica !== undefined && floor !== undefined) {
    return answer({ ...state, turn: state.turn + 1 }, message, createTarget(replica, 'replica', grant?.term ?? 0, floor))
  }
  const primary = grant?.primary === undefined ? undefined : state.databases.get(grant.primary)
  if (grant === undefined || grant.closing === true || primary?.owner === undefined || isSilentOwner(state, primary.owner)) return refuse(state, message, 'no-primary', moment)
  return answer(state, message, createTarget(primary, 'primary', grant.term, ORIGIN))
}

// A replica serves if it holds what the session has seen, and what the primary had
// when the route's staleness began. Both are one position: the later of the two.
// A sample proves something only up to the last time its grant was confirmed: a
// deposed primary that is cut off goes on answering.
function findFloor (state: RoutingState, message: Choose, moment: Moment): LogPosition | undefined {
  const { group, maxStalenessMs } = message.rules
  if (state.guarantees.selfFencing) return findProvenFloor(state.samples.get(group) ?? [], message.seen, moment.monotonicMs - maxStalenessMs)
  const grant = state.grants.get(group)
  const proven = (state.samples.get(group) ?? []).filter(sample =>
    sample.database === grant?.primary &&
    sample.position.term === grant.term &&
    sample.askedAtMs <= state.confirmedAtMs)
  const fresh = findFreshFloor(proven, moment.monotonicMs - maxStalenessMs)
  return fresh === undefined ? undefined : pickLater(fresh, message.seen)
}

function pickReplica (state: RoutingState, message: Choose, floor: LogPosition, moment: Moment): KnownDatabase | undefined {
  const primary = state.grants.get(message.rules.group)?.primary
  const able = [...state.databases.values()].filter(database =>
    database.entry.group === message.rules.group &&
    database.entry.database !== primary &&
    database.owner !== undefined &&
    !database.entry.departing &&
    !message.avoid.includes(database.entry.database))
  const covering = able.filter(database => coversPosition(readHeld(state, database), floor))
  const near = covering.filter(database => isNear(state, database))
  const candidates = near.length > 0 ? near : covering
  if (candidates.length > 0) return candidates[state.turn % candidates.length]
  const following = able.filter(database => coversPosition(readHeld(state, database), findRecent(state, message, moment)))
  return following.find(database => isNear(state, database)) ?? following[state.turn % Math.max(1, following.length)]
}

// What this host knows of a replica is a little old. One that keeps up may hold the
// position by now, or soon: its owner knows, and lets the read wait a moment for it.
function findRecent (state: RoutingState, message: Choose, moment: Moment): LogPosition {
  const recent = findFreshFloor(state.samples.get(message.rules.group) ?? [], moment.monotonicMs - KEEPING_UP_MS)
  return recent ?? NEVER
}

function isNear (state: RoutingState, database: KnownDatabase): boolean {
  return database.entry.failureDomain === state.failureDomain
}

function readHeld (state: RoutingState, database: KnownDatabase): LogPosition {
  return state.held.get(database.entry.database)?.position ?? ORIGIN
}

function createTarget (database: KnownDatabase, purpose: Target['purpose'], term: number, floor: LogPosition): Target {
  return { database: database.entry.database, owner: database.owner!, purpose, term, floor }
}

function answer (state: RoutingState, message: Choose, target: Target): RoutingStep {
  return { state, effects: [tell({ kind: 'requests/routed', caller: message.caller, attempt: message.attempt, target })] }
}

// Looking again is of use while the leader may name another primary.
function refuse (state: RoutingState, message: Choose, code: ErrorCode, moment: Moment): RoutingStep {
  const failure = createFailure(code, message.rules.group)
  const retriable = moment.monotonicMs - state.confirmedAtMs < OUT_OF_TOUCH_MS
  return { state, effects: [tell({ kind: 'requests/failed', caller: message.caller, attempt: message.attempt, failure, retriable })] }
}

function takeDirectory (state: RoutingState, message: DirectoryChanged): RoutingStep {
  const databases = new Map(message.databases.map(entry => [entry.database, { entry, owner: findOwner(entry, message.hosts) }]))
  const grants = new Map(message.grants.map(grant => [grant.group, grant]))
  return { state: { ...state, hosts: message.hosts, databases, grants }, effects: [] }
}

function takeStatus (state: RoutingState, message: StatusRead): RoutingState {
  if (!message.status.answering) return state
  return holdPosition(state, message.status.database, { position: message.status.position, askedAtMs: message.askedAtMs })
}

function holdPosition (state: RoutingState, database: string, held: HeldPosition): RoutingState {
  return { ...state, held: new Map(state.held).set(database, held) }
}

function askPositions (state: RoutingState, moment: Moment): RoutingStep {
  const owners = listOwnersToAsk(state, moment)
  const round = state.round + 1
  const askedAtMs = new Map([...state.askedAtMs].filter(([, askedMs]) => moment.monotonicMs - askedMs < ASK_HOLDS_MS))
  askedAtMs.set(round, moment.monotonicMs)
  const asks = owners.map(owner => sendPeer(owner, { kind: 'routing/positions-asked', round }))
  const again = setTimer('routing/ask', state.askEveryMs, { kind: 'routing/ask-due' })
  const unanswered = new Map(owners.map(owner => [owner, (state.unanswered.get(owner) ?? -1) + 1]))
  return { state: { ...state, round, askedAtMs, unanswered }, effects: [...asks, again] }
}

// Of the groups that are asked for here, only the owners of primaries and of this failure domain's
// databases; for a group without a replica here, also the owner of one replica elsewhere.
function listOwnersToAsk (state: RoutingState, moment: Moment): readonly string[] {
  const databases = [...state.databases.values()].filter(({ entry }) => moment.monotonicMs - (state.usedAtMs.get(entry.group) ?? -Infinity) < USED_MS)
  // Where reads go to any database with room, the load of each counts.
  if (state.guarantees.selfFencing) return [...new Set(databases.flatMap(({ owner }) => (owner === undefined ? [] : [owner])))]
  const primaries = new Set([...state.grants.values()].map(grant => grant.primary))
  const replicas = databases.filter(database => !primaries.has(database.entry.database))
  const served = new Set(replicas.filter(database => isNear(state, database)).map(database => database.entry.group))
  const far = [...state.grants.keys()].filter(group => !served.has(group)).flatMap(group => pickFar(state, group, replicas))
  const asked = databases.filter(database => primaries.has(database.entry.database) || isNear(state, database))
  return [...new Set([...asked, ...far].flatMap(database => (database.owner === undefined ? [] : [database.owner])))]
}

function pickFar (state: RoutingState, group: string, replicas: readonly KnownDatabase[]): readonly KnownDatabase[] {
  const candidates = replicas.filter(database => database.entry.group === group)
  const [first] = rankCandidates(state.self, candidates.map(database => database.entry.database))
  return candidates.filter(database => database.entry.database === first)
}

function tellPositions (state: RoutingState, message: PositionsAsked, moment: Moment): RoutingStep {
  if (message.from === undefined) return { state, effects: [] }
  const positions = [...state.databases.values()]
    .filter(database => database.owner === state.self)
    .flatMap((database): readonly ToldPosition[] => {
      const held = state.held.get(database.entry.database)
      if (held === undefined) return []
      return [{ database: database.entry.database, position: held.position, ageMs: moment.monotonicMs - held.askedAtMs, ...tellProof(state, database, moment) }]
    })
  return { state, effects: [sendPeer(message.from, { kind: 'routing/positions-told', round: message.round, positions })] }
}

function tellProof (state: RoutingState, { entry }: KnownDatabase, moment: Moment): Pick<ToldPosition, 'provenAgeMs' | 'provenPosition' | 'load'> {
  const proof = state.proofs.get(entry.database)
  const load = state.loads.get(entry.database)
  return proof === undefined ? { load } : { load, provenPosition: proof.position, provenAgeMs: moment.monotonicMs - proof.askedAtMs }
}

function takeAnswer (state: RoutingState, { database, position, askedAtMs, proven }: Answered): RoutingState {
  const held = holdPosition(state, database, { position, askedAtMs })
  if (!proven) return held
  const proved: RoutingState = { ...held, proofs: new Map(state.proofs).set(database, { position, askedAtMs }) }
  const group = state.databases.get(database)?.entry.group
  return group === undefined ? proved : putSample(proved, group, { database, askedAtMs, position })
}

function putSample (state: RoutingState, group: string, sample: PrimarySample): RoutingState {
  return { ...state, samples: new Map(state.samples).set(group, addSample(state.samples.get(group) ?? [], sample)) }
}

function takePositions (state: RoutingState, message: PositionsTold): RoutingStep {
  const askedAtMs = state.askedAtMs.get(message.round)
  if (askedAtMs === undefined) return { state, effects: [] }
  const heard: RoutingState = message.from === undefined ? state : { ...state, unanswered: new Map(state.unanswered).set(message.from, -1) }
  return { state: message.positions.reduce((next, told) => takePosition(next, told, askedAtMs), heard), effects: [] }
}

function takePosition (state: RoutingState, told: ToldPosition, roundAskedAtMs: number): RoutingState {
  const askedAtMs = roundAskedAtMs - told.ageMs
  const loads = told.load === undefined ? state.loads : new Map(state.loads).set(told.database, told.load)
  const next: RoutingState = { ...holdPosition(state, told.database, { position: told.position, askedAtMs }), loads }
  const group = state.databases.get(told.database)?.entry.group
  if (group !== undefined && told.provenAgeMs !== undefined && told.provenPosition !== undefined) {
    return putSample(next, group, { database: told.database, askedAtMs: roundAskedAtMs - told.provenAgeMs, position: told.provenPosition })
  }
  if (state.guarantees.selfFencing || group === undefined || state.grants.get(group)?.primary !== told.database) return next
  return putSample(next, group, { database: told.database, askedAtMs, position: told.position })
}

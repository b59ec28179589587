/** Load-based placement of reads, for databases that refuse a read whose floor they lack. */
import { pickHeaviest } from '../core/rendezvous.js'
import { isEvacuated } from '../evacuation/view.js'
import { isAtHome } from '../homes/homes.js'
import type { LeavingCandidate } from '../leaving/decide.js'
import type { DatabaseEntry } from '../membership/directory.js'
import type { ChooseTarget } from './messages.js'
import type { DatabaseWithOwner, RoutingState } from './state.js'

/** Consecutive rounds without an answer to a poll after which a host gets no requests until it answers; a busy host misses fewer. */
const MAX_UNANSWERED_POLLS = 2
/** Cost of a database in another failure domain, in requests per slot. */
const REMOTE_DOMAIN_COST = 1.3
/** Cost of the primary, whose slots writes need, in requests per slot. */
const PRIMARY_COST = 0.7

/** Cost of a cold database, in requests per slot: it takes few requests, which the primary's writes may need. */
const COLD_COST = 2

/**
 * Picks the database for a read by the lowest cost: the load, plus penalties for other failure domains and for the
 * primary. Handles the load pattern of one overloaded database beside idle replicas.
 * @param among the databases that may be picked; all where absent.
 * @example pickLeastLoaded(state, { kind: 'routing/choose', caller: 'c1', attempt: 1, rules, seen, avoid: [] })
 */
export function pickLeastLoaded (state: RoutingState, message: ChooseTarget, among?: readonly string[]): DatabaseWithOwner | undefined {
  const { group } = message.rules
  const eligible = listEligible(state, message).filter(({ entry }) => among === undefined || among.includes(entry.database))
  const primary = state.grants.get(group)?.primary
  const rated = eligible.map((database, index) => ({ database, cost: calculateCost(state, database, primary), order: (index + state.roundRobinCounter) % eligible.length }))
  const [first, ...others] = rated.sort((a, b) => a.cost - b.cost || a.order - b.order)
  return first === undefined ? undefined : pickPreferred(message.workspace, [first, ...others.filter(other => other.cost === first.cost)].map(({ database }) => database))
}

function listEligible (state: RoutingState, message: ChooseTarget): readonly DatabaseWithOwner[] {
  return [...state.databases.values()].filter(database => database.entry.group === message.rules.group && isEligible(state, database, message))
}

/**
 * Lists the databases that may serve a read, with what is known of their load.
 * @example createCandidates(state, message)[0]?.load // 0.67
 */
export function createCandidates (state: RoutingState, message: ChooseTarget): readonly LeavingCandidate[] {
  const primary = state.grants.get(message.rules.group)?.primary
  return listEligible(state, message).map(({ entry }) => ({
    database: entry.database,
    failureDomain: entry.failureDomain,
    slots: entry.slots,
    load: state.loads.get(entry.database),
    extraCost: calculateRoleCost(entry, primary)
  }))
}

function calculateRoleCost (entry: DatabaseEntry, primary: string | undefined): number {
  return (entry.database === primary ? PRIMARY_COST : 0) + (entry.cold === true ? COLD_COST : 0)
}

// A connection serves one workspace, so a workspace whose reads stay at one of several equal databases needs fewer openings.
function pickPreferred (workspace: string | undefined, equal: readonly DatabaseWithOwner[]): DatabaseWithOwner | undefined {
  const preferred = workspace === undefined ? undefined : pickHeaviest(workspace, equal.map(({ entry }) => entry.database))
  return equal.find(({ entry }) => entry.database === preferred) ?? equal[0]
}

function isEligible (state: RoutingState, database: DatabaseWithOwner, { avoid, rules }: ChooseTarget): boolean {
  const { entry, owner } = database
  return owner !== undefined && !isUnresponsiveOwner(state, owner) && !entry.departing && !isEvacuated(entry) && !avoid.includes(entry.database) && isHome(database, rules.homes)
}

/**
 * Checks whether a request with these homes may run at a database.
 * @example isHome(database, ['east'])
 */
export function isHome ({ regions }: DatabaseWithOwner, homes: readonly string[] | undefined): boolean {
  return isAtHome(homes, regions)
}

/**
 * Checks whether the owner of a database left the last polls unanswered. Handles the load pattern of requests
 * that queue up at a frozen or partitioned host.
 * @example isUnresponsiveOwner(state, 'host-2')
 */
export function isUnresponsiveOwner (state: RoutingState, owner: string): boolean {
  return state.guarantees.selfFencing && (state.unansweredPolls.get(owner) ?? 0) >= MAX_UNANSWERED_POLLS
}

function calculateCost (state: RoutingState, { entry }: DatabaseWithOwner, primary: string | undefined): number {
  const remoteCost = state.leaving !== undefined || entry.failureDomain === state.failureDomain ? 0 : REMOTE_DOMAIN_COST
  return (state.loads.get(entry.database) ?? 0) + remoteCost + calculateRoleCost(entry, primary)
}

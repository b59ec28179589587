/** Placement of reads where each database refuses by itself what it lacks: the nearest one that has room. */
import type { Choose } from './messages.js'
import type { KnownDatabase, RoutingState } from './state.js'

/** Rounds without an answer after which a host gets no requests until it answers: more than a busy host misses. */
const SILENT_ROUNDS = 2
/** What a database of another failure domain has to be less loaded by, in requests for each slot. */
const DISTANCE = 1.3
/** The same for the primary, whose slots writes wait for. */
const PRIMARY = 0.7

/**
 * Picks the database for a read: the least loaded one, with a handicap for those far away and for the primary.
 * Answers the load pattern of a crowded database beside free replicas.
 * @example pickLightest(state, { kind: 'routing/choose', caller: 'c1', attempt: 1, rules, seen, avoid: [] })
 */
export function pickLightest (state: RoutingState, message: Choose): KnownDatabase | undefined {
  const { group } = message.rules
  const able = [...state.databases.values()].filter(database => database.entry.group === group && isAble(state, database, message))
  const primary = state.grants.get(group)?.primary
  const rated = able.map((database, index) => ({ database, handicap: readHandicap(state, database, primary), order: (index + state.turn) % able.length }))
  return rated.sort((a, b) => a.handicap - b.handicap || a.order - b.order)[0]?.database
}

function isAble (state: RoutingState, { entry, owner }: KnownDatabase, { avoid }: Choose): boolean {
  return owner !== undefined && !isSilentOwner(state, owner) && !entry.departing && !avoid.includes(entry.database)
}

/**
 * Tells whether a host that owns databases has left the last questions without an answer. Answers the load
 * pattern of requests that pile up at a host which is frozen or cut off.
 * @example isSilentOwner(state, 'host-2')
 */
export function isSilentOwner (state: RoutingState, owner: string): boolean {
  return state.guarantees.selfFencing && (state.unanswered.get(owner) ?? 0) >= SILENT_ROUNDS
}

function readHandicap (state: RoutingState, { entry }: KnownDatabase, primary: string | undefined): number {
  const distance = entry.failureDomain === state.failureDomain ? 0 : DISTANCE
  return (state.loads.get(entry.database) ?? 0) + distance + (entry.database === primary ? PRIMARY : 0)
}

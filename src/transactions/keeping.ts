/**
 * Which connection is closed for a new one where each serves one workspace. Covers the load pattern of more workspaces than
 * connections, few of which send most of the requests: closing what was idle longest drops their connections, too, for
 * workspaces that send one request.
 */
import type { Connection } from './state.js'

/** After so many starts of the database for each connection of its limit, a use counts half. */
const HALF_LIFE_PER_CONNECTION = 8

/**
 * Records that a request starts on a connection.
 * @param started the requests that the database started so far.
 * @param limit how many connections its owner may open.
 * @example recordUse(connection, 120, 28).uses // 1.8
 */
export function recordUse (connection: Connection, started: number, limit: number): Connection {
  return { ...connection, uses: computeUses(connection, started, limit) + 1, usedAt: started }
}

/**
 * Picks the connection to close among idle ones: the one that was used least, older uses counting less.
 * @param idle idle connections, those that were used last at the end.
 * @example pickLeastUsed(idle, 120, 28)?.connection // 'a1#1.7'
 */
export function pickLeastUsed (idle: readonly Connection[], started: number, limit: number): Connection | undefined {
  const rated = idle.map(connection => ({ connection, uses: computeUses(connection, started, limit) }))
  return rated.reduce<typeof rated[number] | undefined>((least, other) => (least === undefined || other.uses < least.uses ? other : least), undefined)?.connection
}

function computeUses ({ uses = 0, usedAt = 0 }: Connection, started: number, limit: number): number {
  return uses * 2 ** ((usedAt - started) / (HALF_LIFE_PER_CONNECTION * limit))
}

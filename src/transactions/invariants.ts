/** Invariants of an owned database, checked after each state change. */
import { assertInvariant } from '../core/invariant.js'
import type { OwnedDatabase } from './state.js'

/**
 * Asserts that no two units of work share a connection, and that slots and connections stay within their limits.
 * @example checkOwnedDatabase(database)
 * @throws InvariantError when an invariant is violated.
 */
export function checkOwnedDatabase (database: OwnedDatabase): void {
  const { entry, guarantees, units, connections, refill } = database
  for (const unit of units.values()) {
    const connection = connections.get(unit.connection)
    assertInvariant(connection?.phase === 'bound' && connection.caller === unit.caller, 'each unit has a connection of its own', `${unit.caller} at ${unit.connection}`)
  }
  assertInvariant(refill === undefined || (refill.tokens >= 0 && refill.tokens <= refill.capacity), 'tokens of a cold database within their bucket', `${refill?.tokens} of ${refill?.capacity} at ${entry.database}`)
  let bound = 0
  for (const connection of connections.values()) {
    if (connection.phase !== 'bound') continue
    bound += 1
    assertInvariant(units.get(connection.caller ?? '')?.connection === connection.connection, 'each bound connection has its unit', connection.connection)
  }
  assertInvariant(bound === units.size, 'as many bound connections as units', `${bound} and ${units.size}`)
  assertInvariant(database.releasing || guarantees.slotPerStatement || units.size <= entry.slots, 'units within the slots', `${units.size} of ${entry.slots} at ${entry.database}`)
  assertInvariant(database.releasing || connections.size <= entry.connectionLimit, 'connections within the limit', `${connections.size} of ${entry.connectionLimit} at ${entry.database}`)
}

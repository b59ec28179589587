/** Makes members replicate from the granted primary, also when they return after a failure, and records how many entries a deposed primary discards. */
import { recordEvent } from '../core/message.js'
import type { DatabaseStatus } from '../membership/directory.js'
import type { TrackedDatabase, PrimacyState } from './state.js'
import type { GroupRecord } from './table.js'
import { isAnswering, sendCommand, type PrimacyEffect, type PrimacyStep } from './tools.js'

/**
 * Commands a member to follow the granted primary, unless it does already.
 * @example checkFollower(state, record, 'a2', nowMs)
 */
export function checkFollower (state: PrimacyState, record: GroupRecord, member: string, nowMs: number): PrimacyStep {
  const known = state.databases.get(member)
  const primary = record.primary === undefined ? undefined : state.databases.get(record.primary)
  if (known?.status === undefined || primary === undefined || member === record.primary) return { state, effects: [] }
  const { address } = primary.entry
  if (!isAnswering(state, member, nowMs) || isFollowing(known.status, record.term, address)) return { state, effects: [] }
  return sendCommand(state, known, 'follow', record.term, nowMs, address)
}

/**
 * Checks whether a replica follows the primary at an address in a term.
 * @example isFollowing(status, 3, '10.0.0.1:5432')
 */
export function isFollowing (status: DatabaseStatus, term: number, address: string): boolean {
  return !status.primary && status.fencedTerm >= term && status.source === address
}

/**
 * Creates the event for log entries that a database discarded since its last status; none if it discarded nothing.
 * @example createDiscardEvent(known, status)
 */
export function createDiscardEvent (known: TrackedDatabase, status: DatabaseStatus): readonly PrimacyEffect[] {
  const before = known.status?.discarded
  const count = (status.discarded ?? 0) - (before ?? 0)
  if (before === undefined || count <= 0) return []
  const { database, group } = known.entry
  return [recordEvent('tail-discarded', `Database ${database} discarded ${count} entries that no majority stored.`, { group })]
}

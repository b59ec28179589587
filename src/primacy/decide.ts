/** Decisions of the primacy slice, taken by the leader of the control hosts. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { PrimacyMessage } from './messages.js'
import { tell } from '../messages.js'

/** State of the primacy slice. */
export interface PrimacyState {
  readonly grants: ReadonlyMap<string, GrantEntry>
  readonly databases: ReadonlyMap<string, DatabaseEntry>
}

/**
 * Creates the state in which no group has a primary.
 * @example createPrimacyState().grants.size // 0
 */
export function createPrimacyState (): PrimacyState {
  return { grants: new Map(), databases: new Map() }
}

/**
 * Decides on one message of the primacy slice.
 * @example decidePrimacy(state, { kind: 'primacy/reported', ... }, moment)
 */
export function decidePrimacy (state: PrimacyState, message: PrimacyMessage, _moment: Moment): Step<PrimacyState, CoreEffect> {
  const databases = new Map(state.databases)
  for (const entry of message.databases) databases.set(entry.database, entry)
  const known: PrimacyState = { ...state, databases }
  const primary = message.statuses.find(status => status.answering && status.primary && databases.has(status.database))
  const entry = primary === undefined ? undefined : databases.get(primary.database)
  if (primary === undefined || entry === undefined) return { state: known, effects: [] }
  const members = [...databases.values()].filter(other => other.group === entry.group).map(other => other.database).sort()
  const grant: GrantEntry = { kind: 'grant', group: entry.group, term: primary.position.term, primary: primary.database, members }
  const held = state.grants.get(entry.group)
  if (held?.primary === grant.primary && held?.members.length === members.length) return { state: known, effects: [] }
  return {
    state: { ...known, grants: new Map(state.grants).set(grant.group, grant) },
    effects: [
      tell({ kind: 'membership/publish', entry: grant }),
      recordEvent('group-formed', `Database ${grant.primary} is primary of group ${grant.group}.`, { group: grant.group })
    ]
  }
}

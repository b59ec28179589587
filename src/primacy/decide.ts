/** Decisions of the primacy slice, taken by the leader of the control hosts. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus, GrantEntry } from '../membership/directory.js'
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
  const primaries = message.statuses.filter(status => status.answering && status.primary && databases.has(status.database))
  return primaries.reduce<Step<PrimacyState, CoreEffect>>((step, status) => {
    const next = grantPrimary(step.state, status)
    return { state: next.state, effects: [...step.effects, ...next.effects] }
  }, { state: known, effects: [] })
}

function grantPrimary (state: PrimacyState, status: DatabaseStatus): Step<PrimacyState, CoreEffect> {
  const { group } = state.databases.get(status.database)!
  const members = [...state.databases.values()].filter(other => other.group === group).map(other => other.database).sort()
  const held = state.grants.get(group)
  if (held?.primary === status.database && held.members.length === members.length) return { state, effects: [] }
  const grant: GrantEntry = { kind: 'grant', group, term: status.position.term, primary: status.database, members }
  return {
    state: { ...state, grants: new Map(state.grants).set(group, grant) },
    effects: [
      tell({ kind: 'membership/publish', entry: grant }),
      recordEvent('group-formed', `Database ${status.database} is primary of group ${group}.`, { group })
    ]
  }
}

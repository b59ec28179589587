/** Decisions of the primacy slice, taken by the leader of the control hosts. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { tell } from '../messages.js'
import type { Applied, Leadership, PrimacyMessage, Reported } from './messages.js'
import type { GroupsTable } from './table.js'

/** State of the primacy slice. */
export interface PrimacyState {
  readonly leads: boolean
  readonly table: GroupsTable
  readonly databases: ReadonlyMap<string, DatabaseEntry>
}

type PrimacyStep = Step<PrimacyState, CoreEffect>

/**
 * Creates the state of a host that does not lead.
 * @example createPrimacyState().leads // false
 */
export function createPrimacyState (): PrimacyState {
  return { leads: false, table: {}, databases: new Map() }
}

/**
 * Decides on one message of the primacy slice.
 * @example decidePrimacy(state, { kind: 'primacy/reported', ... }, moment)
 */
export function decidePrimacy (state: PrimacyState, message: PrimacyMessage, _moment: Moment): PrimacyStep {
  switch (message.kind) {
    case 'primacy/leadership': return takeLeadership(message)
    case 'primacy/applied': return takeApplied(state, message)
    case 'primacy/reported': return state.leads ? takeReport(state, message) : { state, effects: [] }
  }
}

function takeLeadership (message: Leadership): PrimacyStep {
  const effects = message.leads ? Object.keys(message.table).map(group => publish(message.table, group)) : []
  return { state: { leads: message.leads, table: message.table, databases: new Map() }, effects }
}

function takeApplied (state: PrimacyState, message: Applied): PrimacyStep {
  const { group, primary } = message.command
  const effects = state.leads
    ? [publish(message.table, group), recordEvent('primary-granted', `Database ${primary} is primary of group ${group}.`, { group })]
    : []
  return { state: { ...state, table: message.table }, effects }
}

function takeReport (state: PrimacyState, message: Reported): PrimacyStep {
  const databases = new Map(state.databases)
  for (const entry of message.databases) databases.set(entry.database, entry)
  const primaries = message.statuses.filter(status => status.answering && status.primary && databases.has(status.database))
  const next: PrimacyState = { ...state, databases }
  return { state: next, effects: primaries.flatMap(status => proposeGrant(next, status)) }
}

function proposeGrant (state: PrimacyState, status: DatabaseStatus): readonly CoreEffect[] {
  const { group } = state.databases.get(status.database)!
  if (state.table[group] !== undefined) return []
  const members = [...state.databases.values()].filter(other => other.group === group).map(other => other.database).sort()
  const command = { kind: 'primacy/grant', group, term: status.position.term, primary: status.database, members } as const
  return [tell({ kind: 'agreement/propose', proposal: `grant/${group}`, command })]
}

function publish (table: GroupsTable, group: string): CoreEffect {
  const { term, primary, members } = table[group]!
  return tell({ kind: 'membership/publish', entry: { kind: 'grant', group, term, primary, members } })
}

/** Decisions of the primacy slice: the leader's view of all groups, and the owners' commands to databases. */
import { recordEvent, type Moment } from '../core/message.js'
import type { DatabaseStatus } from '../membership/directory.js'
import { sendPeer, setTimer } from '../messages.js'
import { checkChange, takeObeyed, takePublished } from './change.js'
import { checkDeparting, checkFormation, checkPrimary } from './detect.js'
import { checkFollower, createDiscardEvent } from './follow.js'
import { checkMembers, listFollowers } from './members.js'
import type { Applied, Command, Commanded, Documents, Leadership, Move, PrimacyMessage, Reported } from './messages.js'
import { createPrimacyState, type KnownDatabase, type PrimacyState } from './state.js'
import type { PrimacyCommand } from './table.js'
import { LEASE_OVER_MS, propose, publishGroup, runAll, type PrimacyEffect, type PrimacyStep } from './tools.js'

/** Time between two looks at all groups. */
const CHECK_EVERY_MS = 50
/** How long a sent command or proposal is remembered. */
const ASKS_HOLD_MS = 5_000
/** How many unplanned changes of a group are remembered. */
const CHANGES_KEPT = 8

/**
 * Decides on one message of the primacy slice.
 * @example decidePrimacy(state, { kind: 'primacy/check-due' }, moment)
 */
export function decidePrimacy (state: PrimacyState, message: PrimacyMessage, moment: Moment): PrimacyStep {
  if (!state.active) return { state, effects: [] }
  const nowMs = moment.monotonicMs
  switch (message.kind) {
    case 'primacy/leadership': return takeLeadership(state, message, nowMs)
    case 'primacy/documents': return { state: takeDocuments(state, message), effects: [] }
    case 'primacy/command': return commandDatabase(state, message)
    case 'primacy/commanded': return tellOutcome(state, message)
    case 'primacy/applied': return takeApplied(state, message, nowMs)
    case 'primacy/published': return { state: state.leads ? takePublished(state, message, nowMs) : state, effects: [] }
    case 'primacy/reported': return state.leads ? takeReport(state, message, nowMs) : { state, effects: [] }
    case 'primacy/obeyed': return state.leads ? takeObeyed(state, message, nowMs) : { state, effects: [] }
    case 'primacy/check-due': return state.leads ? checkAll(state, nowMs) : { state, effects: [] }
    case 'primacy/move': return moveGroup(state, message, nowMs)
  }
}

function takeLeadership (state: PrimacyState, message: Leadership, nowMs: number): PrimacyStep {
  const { leads, epoch, table } = message
  const next: PrimacyState = { ...createPrimacyState(), leads, epoch, table, counts: state.counts, graceEndsMs: nowMs + LEASE_OVER_MS }
  if (!leads) return { state: next, effects: [] }
  return { state: next, effects: [...Object.keys(table).map(group => publishGroup(table, group)), createCheckTimer()] }
}

function takeDocuments (state: PrimacyState, message: Documents): PrimacyState {
  return { ...state, counts: new Map(message.groups.map(group => [group.name, group.databases])) }
}

function takeApplied (state: PrimacyState, message: Applied, nowMs: number): PrimacyStep {
  const { command, table } = message
  const { group } = command
  const changed = state.table[group] !== table[group]
  const next: PrimacyState = { ...state, table }
  if (!state.leads || !changed || table[group] === undefined) return { state: next, effects: [] }
  const unplanned = command.kind === 'primacy/reopen' || (command.kind === 'primacy/end' && table[group].change?.target === undefined)
  const noted = unplanned ? noteChange(next, group, nowMs) : next
  const checked = checkChange(noted, group, table[group], nowMs)
  return { state: checked.state, effects: [publishGroup(table, group), ...createEvents(command), ...checked.effects] }
}

function noteChange (state: PrimacyState, group: string, nowMs: number): PrimacyState {
  const times = [...(state.changedAtMs.get(group) ?? []), nowMs].slice(-CHANGES_KEPT)
  return { ...state, changedAtMs: new Map(state.changedAtMs).set(group, times) }
}

function createEvents (command: PrimacyCommand): readonly PrimacyEffect[] {
  const { group, term } = command
  switch (command.kind) {
    case 'primacy/grant':
    case 'primacy/promoted': return [recordEvent('primary-granted', `Database ${command.primary} is primary of group ${group} in term ${term}.`, { group })]
    case 'primacy/close': return [recordEvent('primary-closing', `Group ${group} moves to database ${command.target}.`, { group })]
    case 'primacy/reopen': return [recordEvent('primary-reopened', `Group ${group} keeps its primary.`, { group })]
    case 'primacy/end': return [recordEvent('grant-ended', `The grant of term ${term} of group ${group} ends.`, { group })]
    case 'primacy/choose': return [recordEvent('primary-chosen', `Database ${command.primary} is chosen for term ${term} of group ${group}.`, { group })]
    default: return []
  }
}

function takeReport (state: PrimacyState, message: Reported, nowMs: number): PrimacyStep {
  const { host, failureDomain, revision } = message
  const hosts = new Map(state.hosts).set(host, { heardAtMs: nowMs, failureDomain, revision })
  const databases = new Map(state.databases)
  for (const entry of message.databases) databases.set(entry.database, { answeredAtMs: 0, ...databases.get(entry.database), entry, heardAtMs: nowMs })
  const known: PrimacyState = { ...state, hosts, databases }
  return runAll(known, message.statuses, (next, status) => takeStatus(next, host, status, nowMs))
}

function takeStatus (state: PrimacyState, host: string, status: DatabaseStatus, nowMs: number): PrimacyStep {
  const known = state.databases.get(status.database)
  if (known === undefined) return { state, effects: [] }
  const answeredAtMs = nowMs - (status.ageMs ?? 0)
  if (!status.answering || answeredAtMs < known.answeredAtMs) return { state, effects: [] }
  const next: KnownDatabase = { ...known, owner: host, status, answeredAtMs }
  const events = createDiscardEvent(known, status)
  return { state: { ...state, databases: new Map(state.databases).set(status.database, next) }, effects: events }
}

function checkAll (state: PrimacyState, nowMs: number): PrimacyStep {
  const asked = new Map([...state.askedAtMs].filter(([, askedAtMs]) => nowMs - askedAtMs < ASKS_HOLD_MS))
  const formed = runAll({ ...state, askedAtMs: asked }, state.counts.keys(), (next, group) => checkFormation(next, group, nowMs))
  const checked = runAll(formed.state, Object.keys(state.table), (next, group) => checkGroup(next, group, nowMs))
  return { state: checked.state, effects: [...formed.effects, ...checked.effects, createCheckTimer()] }
}

function checkGroup (state: PrimacyState, group: string, nowMs: number): PrimacyStep {
  const record = state.table[group]!
  const changed = checkChange(state, group, record, nowMs)
  const checked = checkPrimary(changed.state, group, record, nowMs)
  const moved = checkDeparting(checked.state, group, record, nowMs)
  const settled = checkMembers(moved.state, group, record, nowMs)
  const followed = runAll(settled.state, listFollowers(settled.state, group, record), (next, member) => checkFollower(next, record, member, nowMs))
  return { state: followed.state, effects: [...changed.effects, ...checked.effects, ...moved.effects, ...settled.effects, ...followed.effects] }
}

function createCheckTimer (): PrimacyEffect {
  return setTimer('primacy/check', CHECK_EVERY_MS, { kind: 'primacy/check-due' })
}

function moveGroup (state: PrimacyState, message: Move, nowMs: number): PrimacyStep {
  const { group, database, operation, from } = message
  const answer = (outcome: unknown): readonly PrimacyEffect[] => (from === undefined ? [] : [sendPeer(from, { kind: 'operations/answered', operation, outcome })])
  const record = state.table[group]
  if (!state.leads) return { state, effects: answer({ error: 'not-leader' }) }
  if (record === undefined || !record.members.includes(database)) return { state, effects: answer({ accepted: false, text: `Database "${database}" is no member of group "${group}".` }) }
  if (record.primary === database) return { state, effects: answer({ accepted: true, term: record.term }) }
  if (record.primary === undefined || record.closing !== undefined) return { state, effects: answer({ accepted: false, text: `Group "${group}" changes its primary already.` }) }
  const step = propose(state, { kind: 'primacy/close', group, term: record.term, target: database }, nowMs)
  return { state: step.state, effects: [...step.effects, ...answer({ accepted: true, term: record.term })] }
}

function commandDatabase (state: PrimacyState, message: Command): PrimacyStep {
  const { action, database, address, term, source, from } = message
  if (from === undefined) return { state, effects: [] }
  return { state, effects: [{ kind: 'database/command', action, database, address, term, source, asker: from }] }
}

function tellOutcome (state: PrimacyState, message: Commanded): PrimacyStep {
  const { asker, action, database, term, status } = message
  if (status === undefined) return { state, effects: [] }
  return { state, effects: [sendPeer(asker, { kind: 'primacy/obeyed', action, database, term, status })] }
}

/** Decisions of the primacy slice: the leader manages the primaries of all groups, and owners execute its commands to databases. */
import { recordEvent, type Moment } from '../core/message.js'
import { getOwn } from '../core/own.js'
import type { DatabaseStatus } from '../membership/directory.js'
import { sendPeer, setTimer } from '../messages.js'
import { checkChange, acceptOutcome, recordPublished } from './change.js'
import { checkDeparting, checkFormation, checkPrimary } from './detect.js'
import { checkFollower, createDiscardEvent } from './follow.js'
import { checkMembers, listFollowers } from './members.js'
import type { CommandApplied, DatabaseCommand, CommandExecuted, DocumentsChanged, LeadershipChanged, MovePrimary, PrimacyMessage, HostReported } from './messages.js'
import { createPrimacyState, type TrackedDatabase, type PrimacyState } from './state.js'
import type { PrimacyCommand } from './table.js'
import { LEASE_EXPIRY_MS, propose, publishGroup, runAll, type PrimacyEffect, type PrimacyStep } from './tools.js'

/** Time between two checks of all groups. */
const CHECK_INTERVAL_MS = 50
/** How long the send time of a command or proposal is kept. */
const SEND_TIME_RETENTION_MS = 5_000
/** How many unplanned changes are kept per group. */
const MAX_CHANGES_KEPT = 8

/**
 * Decides on one message of the primacy slice.
 * @example decidePrimacy(state, { kind: 'primacy/check-due' }, moment)
 */
export function decidePrimacy (state: PrimacyState, message: PrimacyMessage, moment: Moment): PrimacyStep {
  if (!state.active) return { state, effects: [] }
  const nowMs = moment.monotonicMs
  switch (message.kind) {
    case 'primacy/leadership': return changeLeadership(state, message, nowMs)
    case 'primacy/documents': return { state: updateGroupSizes(state, message), effects: [] }
    case 'primacy/evacuated': return { state: { ...state, evacuated: message.domains }, effects: [] }
    case 'primacy/command': return commandDatabase(state, message)
    case 'primacy/commanded': return reportOutcome(state, message)
    case 'primacy/applied': return applyCommand(state, message, nowMs)
    case 'primacy/published': return { state: state.leads ? recordPublished(state, message, nowMs) : state, effects: [] }
    case 'primacy/reported': return state.leads ? recordReport(state, message, nowMs) : { state, effects: [] }
    case 'primacy/obeyed': return state.leads ? acceptOutcome(state, message, nowMs) : { state, effects: [] }
    case 'primacy/check-due': return state.leads ? checkAll(state, nowMs) : { state, effects: [] }
    case 'primacy/move': return moveGroup(state, message, nowMs)
  }
}

function changeLeadership (state: PrimacyState, message: LeadershipChanged, nowMs: number): PrimacyStep {
  const { leads, epoch, table } = message
  const next: PrimacyState = { ...createPrimacyState(), leads, epoch, table, groupSizes: state.groupSizes, evacuated: state.evacuated, leaseGraceEndsMs: nowMs + LEASE_EXPIRY_MS }
  if (!leads) return { state: next, effects: [] }
  return { state: next, effects: [...Object.keys(table).map(group => publishGroup(table, group)), createCheckTimer()] }
}

function updateGroupSizes (state: PrimacyState, message: DocumentsChanged): PrimacyState {
  return { ...state, groupSizes: new Map(message.groups.map(group => [group.name, group.databases])) }
}

function applyCommand (state: PrimacyState, message: CommandApplied, nowMs: number): PrimacyStep {
  const { command, table } = message
  const { group } = command
  const record = getOwn(table, group)
  const changed = getOwn(state.table, group) !== record
  const next: PrimacyState = { ...state, table }
  if (!state.leads || !changed || record === undefined) return { state: next, effects: [] }
  const unplanned = command.kind === 'primacy/reopen' || (command.kind === 'primacy/end' && record.change?.target === undefined)
  const recorded = unplanned ? recordUnplannedChange(next, group, nowMs) : next
  const checked = checkChange(recorded, group, record, nowMs)
  return { state: checked.state, effects: [publishGroup(table, group), ...createEvents(command), ...checked.effects] }
}

function recordUnplannedChange (state: PrimacyState, group: string, nowMs: number): PrimacyState {
  const times = [...(state.unplannedChangesAtMs.get(group) ?? []), nowMs].slice(-MAX_CHANGES_KEPT)
  return { ...state, unplannedChangesAtMs: new Map(state.unplannedChangesAtMs).set(group, times) }
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

function recordReport (state: PrimacyState, message: HostReported, nowMs: number): PrimacyStep {
  const { host, failureDomain, revision } = message
  const hosts = new Map(state.hosts).set(host, { lastHeartbeatAtMs: nowMs, failureDomain, revision })
  const databases = new Map(state.databases)
  for (const entry of message.databases) databases.set(entry.database, { answeredAtMs: 0, ...databases.get(entry.database), entry, reportedAtMs: nowMs })
  const withReport: PrimacyState = { ...state, hosts, databases }
  return runAll(withReport, message.statuses, (next, status) => recordStatus(next, host, status, nowMs))
}

function recordStatus (state: PrimacyState, host: string, status: DatabaseStatus, nowMs: number): PrimacyStep {
  const known = state.databases.get(status.database)
  if (known === undefined) return { state, effects: [] }
  const answeredAtMs = nowMs - (status.ageMs ?? 0)
  if (!status.answering || answeredAtMs < known.answeredAtMs) return { state, effects: [] }
  const { ageMs = 0, silentMs = ageMs } = status
  const next: TrackedDatabase = { ...known, owner: host, status, answeredAtMs, silentSinceMs: nowMs - Math.min(silentMs, ageMs) }
  const events = createDiscardEvent(known, status)
  return { state: { ...state, databases: new Map(state.databases).set(status.database, next) }, effects: events }
}

function checkAll (state: PrimacyState, nowMs: number): PrimacyStep {
  const lastSentAtMs = new Map([...state.lastSentAtMs].filter(([, sentAtMs]) => nowMs - sentAtMs < SEND_TIME_RETENTION_MS))
  const formed = runAll({ ...state, lastSentAtMs }, state.groupSizes.keys(), (next, group) => checkFormation(next, group, nowMs))
  const checked = runAll(formed.state, Object.keys(state.table), (next, group) => checkGroup(next, group, nowMs))
  return { state: checked.state, effects: [...formed.effects, ...checked.effects, createCheckTimer()] }
}

function checkGroup (state: PrimacyState, group: string, nowMs: number): PrimacyStep {
  const record = getOwn(state.table, group)!
  const changed = checkChange(state, group, record, nowMs)
  const checked = checkPrimary(changed.state, group, record, nowMs)
  const moved = checkDeparting(checked.state, group, record, nowMs)
  const membersChecked = checkMembers(moved.state, group, record, nowMs)
  const followed = runAll(membersChecked.state, listFollowers(membersChecked.state, group, record), (next, member) => checkFollower(next, record, member, nowMs))
  return { state: followed.state, effects: [...changed.effects, ...checked.effects, ...moved.effects, ...membersChecked.effects, ...followed.effects] }
}

function createCheckTimer (): PrimacyEffect {
  return setTimer('primacy/check', CHECK_INTERVAL_MS, { kind: 'primacy/check-due' })
}

function moveGroup (state: PrimacyState, message: MovePrimary, nowMs: number): PrimacyStep {
  const { group, database, operation, from } = message
  const answer = (outcome: unknown): readonly PrimacyEffect[] => (from === undefined ? [] : [sendPeer(from, { kind: 'operations/answered', operation, outcome })])
  const record = getOwn(state.table, group)
  if (!state.leads) return { state, effects: answer({ error: 'not-leader' }) }
  if (record === undefined || !record.members.includes(database)) return { state, effects: answer({ accepted: false, text: `Database "${database}" is not a member of group "${group}": check both names with status.` }) }
  if (record.primary === database) return { state, effects: answer({ accepted: true, term: record.term }) }
  if (record.primary === undefined || record.closing !== undefined) return { state, effects: answer({ accepted: false, text: `Group "${group}" is already changing its primary: try again when the change has ended.` }) }
  const step = propose(state, { kind: 'primacy/close', group, term: record.term, target: database }, nowMs)
  return { state: step.state, effects: [...step.effects, ...answer({ accepted: true, term: record.term })] }
}

function commandDatabase (state: PrimacyState, message: DatabaseCommand): PrimacyStep {
  const { action, database, address, term, source, from } = message
  if (from === undefined) return { state, effects: [] }
  return { state, effects: [{ kind: 'database/command', action, database, address, term, source, asker: from }] }
}

function reportOutcome (state: PrimacyState, message: CommandExecuted): PrimacyStep {
  const { asker, action, database, term, status } = message
  if (status === undefined) return { state, effects: [] }
  return { state, effects: [sendPeer(asker, { kind: 'primacy/obeyed', action, database, term, status })] }
}

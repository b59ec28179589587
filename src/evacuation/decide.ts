/** Decisions of the evacuation slice: the leader proposes operators' orders to the log, and publishes what is in force in the directory. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { getOwn } from '../core/own.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { sendPeer, tell } from '../messages.js'
import type { DirectoryChanged, EvacuationMessage, LeadershipChanged, OrderApplied, OrderRequested } from './messages.js'
import type { EvacuationState, PendingOrder } from './state.js'
import { listEvacuated, type EvacuationTable, type OrderCommand } from './table.js'

export { createEvacuationState } from './state.js'

/** How long a control host learns which failure domains there are before it refuses an unknown one: hosts and databases announce themselves by then. */
const LEARNING_MS = 5_000

const NOT_LEADER = { error: 'not-leader', text: 'The host is not the leader.' }
const NOT_READY = { error: 'not-ready', text: 'The leader does not know all failure domains yet. Try again with the same request id.' }
const OUTCOME_UNKNOWN = { error: 'outcome-unknown', text: 'The leader changed before the command was answered. Retry with the same request id.' }

type EvacuationStep = Step<EvacuationState, CoreEffect>

/**
 * Decides on one message of the evacuation slice.
 * @example decideEvacuation(state, { kind: 'evacuation/ask', ... }, moment)
 */
export function decideEvacuation (state: EvacuationState, message: EvacuationMessage, moment: Moment): EvacuationStep {
  switch (message.kind) {
    case 'evacuation/ask': return proposeOrder(state, message, moment)
    case 'evacuation/applied': return handleApplied(state, message)
    case 'evacuation/leadership': return handleLeadershipChange(state, message)
    case 'evacuation/directory-changed': return { state: learnDomains(state, message, moment), effects: [] }
  }
}

// What was seen once stays known: the hosts and databases of a domain that is cut off leave the directory.
function learnDomains (state: EvacuationState, { domains, databases }: DirectoryChanged, { monotonicMs }: Moment): EvacuationState {
  const known = domains.every(domain => state.domains.has(domain)) ? state.domains : new Set([...state.domains, ...domains])
  return { ...state, domains: known, databases, learningSinceMs: state.learningSinceMs ?? monotonicMs }
}

function proposeOrder (state: EvacuationState, message: OrderRequested, moment: Moment): EvacuationStep {
  const { from = '', operation, requestId, domain, evacuated, after } = message
  const order: PendingOrder = { from, operation }
  if (!state.leads) return { state, effects: [answer(order, NOT_LEADER)] }
  if (evacuated && !isKnown(state, domain)) return { state, effects: [answer(order, isLearning(state, moment) ? NOT_READY : createUnknownDomain(domain))] }
  const proposal = `evacuation/${from}/${operation}`
  const command: OrderCommand = { kind: 'evacuation/order', requestId, domain, evacuated, after }
  return {
    state: { ...state, pendingOrders: new Map(state.pendingOrders).set(proposal, order) },
    effects: [tell({ kind: 'agreement/propose', proposal, command })]
  }
}

function isKnown ({ domains, table }: EvacuationState, domain: string): boolean {
  return domains.has(domain) || getOwn(table.domains, domain) !== undefined
}

function isLearning ({ learningSinceMs }: EvacuationState, { monotonicMs }: Moment): boolean {
  return learningSinceMs === undefined || monotonicMs - learningSinceMs < LEARNING_MS
}

function createUnknownDomain (domain: string): unknown {
  const text = `Failure domain "${domain}" is unknown: no host or database belongs to it; check its name with status.`
  return { error: 'unknown-domain', text, findings: [{ line: 1, column: 1, path: 'domain', text }] }
}

function handleApplied (state: EvacuationState, { proposal, command, outcome, table }: OrderApplied): EvacuationStep {
  const { domain } = command
  const order = proposal === undefined ? undefined : state.pendingOrders.get(proposal)
  const pendingOrders = new Map(state.pendingOrders)
  if (proposal !== undefined) pendingOrders.delete(proposal)
  const next: EvacuationState = { ...state, table, pendingOrders }
  const stranded = command.evacuated ? listStrandedGroups(state.databases, listEvacuated(table)) : []
  const changed = table.version !== state.table.version
  const publications = changed && state.leads ? [publishDomain(table, domain), recordOrder(command, stranded)] : []
  const notifications = changed ? tellEvacuated(table) : []
  const answers = order === undefined ? [] : [answer(order, stranded.length === 0 ? outcome : { ...outcome, stranded })]
  return { state: next, effects: [...publications, ...notifications, ...answers] }
}

function recordOrder ({ domain, evacuated, requestId }: OrderCommand, stranded: readonly string[]): CoreEffect {
  if (!evacuated) return recordEvent('evacuation-ended', `The evacuation of failure domain ${domain} ends.`, { request: requestId })
  const note = stranded.length === 0 ? '' : ` No database elsewhere serves: ${stranded.join(', ')}.`
  return recordEvent('evacuation-begun', `Failure domain ${domain} is evacuated: its databases get no more requests.${note}`, { request: requestId })
}

/**
 * Lists the groups whose databases are all in evacuated failure domains.
 * @example listStrandedGroups(databases, ['east']) // ['a']
 */
export function listStrandedGroups (databases: readonly DatabaseEntry[], evacuated: readonly string[]): readonly string[] {
  const groups = new Set(databases.filter(({ failureDomain }) => evacuated.includes(failureDomain)).map(({ group }) => group))
  return [...groups].filter(group => !databases.some(entry => entry.group === group && !evacuated.includes(entry.failureDomain))).sort()
}

function handleLeadershipChange (state: EvacuationState, { leads, table }: LeadershipChanged): EvacuationStep {
  const unknownOutcomes = [...state.pendingOrders.values()].map(order => answer(order, OUTCOME_UNKNOWN))
  const publications = leads ? Object.keys(table.domains).map(domain => publishDomain(table, domain)) : []
  return { state: { ...state, leads, table, pendingOrders: new Map() }, effects: [...unknownOutcomes, ...publications, ...tellEvacuated(table)] }
}

function tellEvacuated (table: EvacuationTable): readonly CoreEffect[] {
  const domains = new Set(listEvacuated(table))
  return [tell({ kind: 'succession/evacuated', domains }), tell({ kind: 'primacy/evacuated', domains })]
}

function publishDomain (table: EvacuationTable, domain: string): CoreEffect {
  const { evacuated, version } = table.domains[domain]!
  return tell({ kind: 'membership/publish', entry: { kind: 'evacuation', failureDomain: domain, evacuated, version } })
}

function answer ({ from, operation }: PendingOrder, outcome: unknown): CoreEffect {
  return sendPeer(from, { kind: 'operations/answered', operation, outcome })
}

/** What operators ask of membership: a read-only view of the system, and taking a host out of service. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
import { listEntries, type DatabaseEntry, type GrantEntry, type HostEntry, type Revision } from './directory.js'
import type { DrainAsked, StatusAsked } from './messages.js'
import { findOwner } from './owners.js'
import type { MembershipState } from './state.js'

/** A host with the revision that it has in force, as far as the answering host knows. */
export interface HostStatus extends HostEntry {
  /** Known to the leader alone. */
  readonly revision?: Revision
  /** Known to the leader alone: how long ago the host was heard. */
  readonly heardAgoMs?: number
}

/** A database and the host through which its work passes. */
export interface DatabaseView extends DatabaseEntry {
  readonly owner?: string
}

/** What a host knows of the system. */
export interface SystemStatus {
  /** The host that answered. */
  readonly host?: string
  readonly leader?: string
  /** True when the leader itself answered. */
  readonly leads: boolean
  /** The last revision; hosts that confirmed it have it in force. */
  readonly revision: Revision
  readonly hosts: readonly HostStatus[]
  readonly databases: readonly DatabaseView[]
  readonly groups: readonly GrantEntry[]
  readonly documents: ReadonlyArray<{ readonly service: string, readonly version: number }>
}

/**
 * Answers an operator with what this host knows of the system.
 * @example answerStatus(state, { kind: 'membership/status-asked', operation: '1' }, moment)
 */
export function answerStatus (state: MembershipState, message: StatusAsked, moment: Moment): Step<MembershipState, CoreEffect> {
  return { state, effects: [answer(message, createStatus(state, moment))] }
}

/**
 * Marks this host as draining, or passes the wish on to the host that it is meant for.
 * @example drainHost(state, { kind: 'membership/drain-asked', operation: '1', host: 'host-2' })
 */
export function drainHost (state: MembershipState, message: DrainAsked): Step<MembershipState, CoreEffect> {
  const { host, operation, from } = message
  if (state.self?.host === host) {
    const drained: MembershipState = { ...state, self: { ...state.self, draining: true } }
    return { state: drained, effects: [recordEvent('host-draining', `Host ${host} is draining.`), answer(message, { draining: true, host })] }
  }
  const known = listEntries(state.directory, 'host').some(entry => entry.host === host)
  if (known && from === undefined) return { state, effects: [sendPeer(host, { kind: 'membership/drain-asked', operation, host })] }
  return { state, effects: [answer(message, { error: 'unknown-host', text: `Host "${host}" is not known.` })] }
}

/**
 * Creates the view of the system that a host has.
 * @example createStatus(state, moment).hosts.length
 */
export function createStatus (state: MembershipState, moment: Moment): SystemStatus {
  const { leading, leader, self } = state
  const directory = leading?.directory ?? state.directory
  const hosts = listEntries(directory, 'host')
  return {
    host: self?.host,
    leader,
    leads: leading !== undefined,
    revision: directory.revision,
    hosts: hosts.map(entry => createHostStatus(state, entry, moment)),
    databases: listEntries(directory, 'database').map(entry => ({ ...entry, owner: findOwner(entry, hosts) })),
    groups: listEntries(directory, 'grant'),
    documents: listEntries(directory, 'document').map(({ service, version }) => ({ service, version }))
  }
}

function createHostStatus (state: MembershipState, entry: HostEntry, moment: Moment): HostStatus {
  const reporting = state.leading?.hosts.get(entry.host)
  if (reporting === undefined) return entry
  return { ...entry, revision: reporting.confirmed, heardAgoMs: Math.round(moment.monotonicMs - reporting.heardAtMs) }
}

function answer (asked: StatusAsked | DrainAsked, outcome: unknown): CoreEffect {
  const answered = { kind: 'operations/answered', operation: asked.operation, outcome } as const
  return asked.from === undefined ? tell(answered) : sendPeer(asked.from, answered)
}

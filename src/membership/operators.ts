/** Operator requests of the membership slice: the system status, and draining a host. */
import { listEvacuatedDomains, listMarkedDatabases } from '../evacuation/view.js'
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { sendPeer, tell } from '../messages.js'
import { listEntries, type DatabaseEntry, type GrantEntry, type HostEntry, type Revision } from './directory.js'
import type { DrainRequested, StatusRequested } from './messages.js'
import { allocateOwners } from './owners.js'
import type { MembershipState } from './state.js'

/** A host with the directory revision that it confirmed, as known to the answering host. */
export interface HostStatus extends HostEntry {
  /** Known to the leader only. */
  readonly revision?: Revision
  /** Time since the host's last heartbeat, in milliseconds; known to the leader only. */
  readonly heardAgoMs?: number
}

/** A database with its owner, the host that executes all its requests. */
export interface DatabaseView extends DatabaseEntry {
  readonly owner?: string
}

/** A host's view of the system. */
export interface SystemStatus {
  /** The host that answered. */
  readonly host?: string
  readonly leader?: string
  /** True if the answering host is the leader. */
  readonly leads: boolean
  /** The latest revision of the answering host's directory; a host that confirmed it has that directory in force. */
  readonly revision: Revision
  readonly hosts: readonly HostStatus[]
  readonly databases: readonly DatabaseView[]
  readonly groups: readonly GrantEntry[]
  /** Failure domains whose databases get no requests, by an operators' order; absent from hosts of an earlier version. */
  readonly evacuated?: readonly string[]
  readonly documents: ReadonlyArray<{ readonly service: string, readonly version: number }>
}

/**
 * Answers an operator with this host's view of the system.
 * @example answerStatus(state, { kind: 'membership/status-asked', operation: '1' }, moment)
 */
export function answerStatus (state: MembershipState, message: StatusRequested, moment: Moment): Step<MembershipState, CoreEffect> {
  return { state, effects: [answer(message, createStatus(state, moment))] }
}

/**
 * Marks this host as draining, or forwards the request to the named host; answers `unknown-host` if there is none.
 * @example drainHost(state, { kind: 'membership/drain-asked', operation: '1', host: 'host-2' })
 */
export function drainHost (state: MembershipState, message: DrainRequested): Step<MembershipState, CoreEffect> {
  const { host, operation, from } = message
  if (state.self?.host === host) {
    const drained: MembershipState = { ...state, self: { ...state.self, draining: true } }
    return { state: drained, effects: [recordEvent('host-draining', `Host ${host} is draining.`), answer(message, { draining: true, host })] }
  }
  const known = listEntries(state.directory, 'host').some(entry => entry.host === host)
  if (known && from === undefined) return { state, effects: [sendPeer(host, { kind: 'membership/drain-asked', operation, host })] }
  return { state, effects: [answer(message, { error: 'unknown-host', text: `Host "${host}" is unknown: check its name with status.` })] }
}

/**
 * Creates this host's view of the system; on the leader from the directory that it writes.
 * @example createStatus(state, moment).hosts.length
 */
export function createStatus (state: MembershipState, moment: Moment): SystemStatus {
  const { leaderState, leader, self } = state
  const directory = leaderState?.directory ?? state.directory
  const hosts = listEntries(directory, 'host')
  const databases = listMarkedDatabases(directory)
  const owners = allocateOwners(databases, hosts)
  return {
    host: self?.host,
    leader,
    leads: leaderState !== undefined,
    revision: directory.revision,
    hosts: hosts.map(entry => createHostStatus(state, entry, moment)),
    databases: databases.map(entry => ({ ...entry, owner: owners.get(entry.database) })),
    groups: listEntries(directory, 'grant'),
    evacuated: listEvacuatedDomains(directory),
    documents: listEntries(directory, 'document').map(({ service, version }) => ({ service, version }))
  }
}

function createHostStatus (state: MembershipState, entry: HostEntry, moment: Moment): HostStatus {
  const reporting = state.leaderState?.hosts.get(entry.host)
  if (reporting === undefined) return entry
  return { ...entry, revision: reporting.confirmedRevision, heardAgoMs: Math.round(moment.monotonicMs - reporting.lastHeartbeatAtMs) }
}

function answer (asked: StatusRequested | DrainRequested, outcome: unknown): CoreEffect {
  const answered = { kind: 'operations/answered', operation: asked.operation, outcome } as const
  return asked.from === undefined ? tell(answered) : sendPeer(asked.from, answered)
}

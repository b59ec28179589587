/** The leader's side of membership: builds the directory from the heartbeats of hosts. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { createDirectory, removeEntry, listChangesSince, listEntries, putEntry, getEntryKey, type DatabaseEntry, type Directory, type DirectoryEntry } from './directory.js'
import type { Heartbeat, HostLeft } from './messages.js'
import type { LeaderState, MembershipState, ReportingHost } from './state.js'
import { proposeStoredDatabases } from './stored.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** Time without a heartbeat after which a host is removed from the directory. */
export const HOST_TIMEOUT_MS = 1_000
/** Time without a report by any host after which a database is removed from the directory. */
export const DATABASE_TIMEOUT_MS = 1_000
const SWEEP_INTERVAL_MS = 200
/** Grace period after an election, in which a database may have to find another host to announce itself to. */
const REANNOUNCEMENT_GRACE_MS = 3_000
/** Maximum age of an answer that counts as a sign of life of a database. */
const ANSWER_MAX_AGE_MS = 1_000
/** How long the time of a host's last answered heartbeat is kept: longer than any authority lease. */
const ANSWER_RETENTION_MS = 10_000

type MembershipStep = Step<MembershipState, CoreEffect>

/** How long a new leader waits for heartbeats of the hosts that it knew as a follower. */
const KNOWN_HOSTS_WAIT_MS = 500

/**
 * Starts to lead with a directory of the new epoch, which heartbeats fill. It contains the databases that this host
 * knows and those stored in the control hosts' log from the start, since they may announce themselves only seconds later.
 * @example startLeading(state, 4, moment)
 */
export function startLeading (state: MembershipState, epoch: number, moment: Moment): MembershipStep {
  const awaitedHosts = listEntries(state.directory, 'host').map(entry => entry.host).filter(host => host !== state.previousLeader)
  const knownDatabases = listEntries(state.directory, 'database')
  const storedDatabases = Object.values(state.storedDatabases).filter(entry => !knownDatabases.some(other => other.database === entry.database))
  const databases = [...knownDatabases, ...storedDatabases]
  const leaderState: LeaderState = {
    directory: databases.reduce(putAnnouncedDatabase, createDirectory(epoch)),
    hosts: new Map(),
    databaseReportedAtMs: markReported(new Map(), databases, moment.monotonicMs + REANNOUNCEMENT_GRACE_MS),
    leaseUntilMs: -Infinity,
    leadingSinceMs: moment.monotonicMs,
    hostAnsweredAtMs: new Map(),
    answersHeldUntilMs: moment.monotonicMs + KNOWN_HOSTS_WAIT_MS,
    awaitedHosts
  }
  const report = { kind: 'succession/reported', host: state.self?.host ?? '', failureDomain: state.self?.failureDomain ?? '', apart: true, statuses: [] } as const
  const notifications = [tell({ ...report, databases: knownDatabases }), tell({ ...report, databases: storedDatabases, remembered: true })]
  return { state: { ...state, leaderState }, effects: [...notifications, createSweepTimer()] }
}

/**
 * Applies a host's heartbeat and answers with the changes since the host's revision.
 * @example receiveHeartbeat(state, leaderState, heartbeat, moment)
 */
export function receiveHeartbeat (state: MembershipState, leaderState: LeaderState, heartbeat: Heartbeat, moment: Moment): MembershipStep {
  const host = heartbeat.self.host
  const report: ReportingHost = {
    entry: heartbeat.self,
    lastHeartbeatAtMs: moment.monotonicMs,
    confirmedRevision: heartbeat.revision,
    databases: heartbeat.databases
  }
  const directory = heartbeat.databases.reduce(putAnnouncedDatabase, putEntry(leaderState.directory, heartbeat.self))
  const next: LeaderState = {
    ...leaderState,
    directory,
    hosts: new Map(leaderState.hosts).set(host, report),
    databaseReportedAtMs: markAnswered(markReported(leaderState.databaseReportedAtMs, heartbeat.databases, moment.monotonicMs), heartbeat, moment.monotonicMs)
  }
  const answers = isReadyToAnswer(next, moment) ? [createHeartbeatAnswer(next, heartbeat, moment)] : []
  const hostAnsweredAtMs = answers.length === 0 ? leaderState.hostAnsweredAtMs : new Map(leaderState.hostAnsweredAtMs).set(host, moment.monotonicMs)
  const { statuses, databases } = heartbeat
  const notifications = [
    tell({ kind: 'primacy/reported', host, failureDomain: heartbeat.self.failureDomain, statuses, databases, revision: heartbeat.revision }),
    tell({ kind: 'succession/reported', host, failureDomain: heartbeat.self.failureDomain, apart: heartbeat.self.apart === true, leftAtMs: heartbeat.leftAtMs, statuses, databases })
  ]
  return { state: { ...state, leaderState: { ...next, hostAnsweredAtMs } }, effects: [...answers, ...notifications] }
}

// An answer renews the leases of the host, so a leader answers only within its own lease. A new leader
// first waits until its directory contains the live hosts.
function isReadyToAnswer (leaderState: LeaderState, moment: Moment): boolean {
  if (moment.monotonicMs >= leaderState.leaseUntilMs) return false
  return moment.monotonicMs >= leaderState.answersHeldUntilMs || leaderState.awaitedHosts.every(host => leaderState.hosts.has(host))
}

function createHeartbeatAnswer ({ directory, leaseUntilMs }: LeaderState, heartbeat: Heartbeat, moment: Moment): CoreEffect {
  const answer = sendPeer(heartbeat.self.host, {
    kind: 'membership/beat-answered',
    round: heartbeat.round,
    leaderMs: moment.monotonicMs,
    revision: directory.revision,
    changes: listChangesSince(directory, heartbeat.revision)
  })
  return { ...answer, notAfterMs: leaseUntilMs }
}

/**
 * Inserts an entry of another slice into the directory.
 * @example publishEntry(state, leaderState, grant)
 */
export function publishEntry (state: MembershipState, leaderState: LeaderState, entry: DirectoryEntry): MembershipStep {
  const directory = putEntry(leaderState.directory, entry)
  const notifications = entry.kind === 'grant' ? [tell({ kind: 'primacy/published', entry, revision: directory.revision })] : []
  return { state: { ...state, leaderState: { ...leaderState, directory } }, effects: notifications }
}

/**
 * Removes a host that left deliberately, without waiting for its timeout.
 * @example removeHost(state, leaderState, { kind: 'membership/left', from: 'host-2', incarnation: '1f' })
 */
export function removeHost (state: MembershipState, leaderState: LeaderState, { from, incarnation }: HostLeft): MembershipStep {
  if (from === undefined || leaderState.hosts.get(from)?.entry.incarnation !== incarnation) return { state, effects: [] }
  const hosts = new Map(leaderState.hosts)
  hosts.delete(from)
  return { state: { ...state, leaderState: { ...leaderState, hosts, directory: removeEntry(leaderState.directory, `host/${from}`) } }, effects: [] }
}

/**
 * Removes hosts and databases that timed out.
 * @example evictSilent(state, leaderState, moment)
 */
export function evictSilent (state: MembershipState, leaderState: LeaderState, moment: Moment): MembershipStep {
  const hosts = new Map([...leaderState.hosts].filter(([, host]) => moment.monotonicMs - host.lastHeartbeatAtMs <= HOST_TIMEOUT_MS))
  const databaseReportedAtMs = new Map([...leaderState.databaseReportedAtMs].filter(([, reportedAtMs]) => moment.monotonicMs - reportedAtMs <= DATABASE_TIMEOUT_MS))
  const directory = removeSilent(leaderState.directory, hosts, databaseReportedAtMs)
  const hostAnsweredAtMs = new Map([...leaderState.hostAnsweredAtMs].filter(([, answeredAtMs]) => moment.monotonicMs - answeredAtMs <= ANSWER_RETENTION_MS))
  return { state: { ...state, leaderState: { ...leaderState, directory, hosts, databaseReportedAtMs, hostAnsweredAtMs } }, effects: [...proposeStoredDatabases(state.storedDatabases, directory), createSweepTimer()] }
}

function removeSilent (directory: Directory, hosts: ReadonlyMap<string, unknown>, databases: ReadonlyMap<string, unknown>): Directory {
  const silentHosts = listEntries(directory, 'host').filter(entry => !hosts.has(entry.host)).map(entry => `host/${entry.host}`)
  const silentDatabases = listEntries(directory, 'database').filter(entry => !databases.has(entry.database)).map(entry => `database/${entry.database}`)
  return [...silentHosts, ...silentDatabases].reduce(removeEntry, directory)
}

// Departing is final while the directory holds the database: a departing database does not return within its lifetime,
// and another host may still report its older announcement.
function putAnnouncedDatabase (directory: Directory, entry: DatabaseEntry): Directory {
  const known = directory.changes.get(getEntryKey(entry))?.entry
  const departing = entry.departing || (known?.kind === 'database' && known.departing)
  return putEntry(directory, departing === entry.departing ? entry : { ...entry, departing })
}

// An answer to its owner keeps a database in the directory while its announcements reach no host.
function markAnswered (reportedAtMs: ReadonlyMap<string, number>, heartbeat: Heartbeat, nowMs: number): ReadonlyMap<string, number> {
  const next = new Map(reportedAtMs)
  for (const { database, answering, ageMs = 0 } of heartbeat.statuses) {
    if (answering && ageMs < ANSWER_MAX_AGE_MS && next.has(database)) next.set(database, Math.max(next.get(database)!, nowMs - ageMs))
  }
  return next
}

/**
 * Removes a database that withdrew itself.
 * @example removeDatabase(leaderState, 'a1')
 */
export function removeDatabase (leaderState: LeaderState, database: string): LeaderState {
  const databaseReportedAtMs = new Map(leaderState.databaseReportedAtMs)
  databaseReportedAtMs.delete(database)
  return { ...leaderState, databaseReportedAtMs, directory: removeEntry(leaderState.directory, `database/${database}`) }
}

function markReported (reportedAtMs: ReadonlyMap<string, number>, databases: readonly DatabaseEntry[], nowMs: number): ReadonlyMap<string, number> {
  const next = new Map(reportedAtMs)
  for (const database of databases) next.set(database.database, Math.max(next.get(database.database) ?? 0, nowMs))
  return next
}

function createSweepTimer (): CoreEffect {
  return setTimer('membership/sweep', SWEEP_INTERVAL_MS, { kind: 'membership/sweep-due' })
}

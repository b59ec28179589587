/** The leader's side of membership: builds the directory from the heartbeats of hosts. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { createDirectory, dropCold, removeEntry, listChangesSince, listColdRates, listEntries, putEntry, getEntryKey, type DatabaseEntry, type DatabaseStatus, type Directory, type DirectoryEntry } from './directory.js'
import { keepValidEntries } from './entry.js'
import { isCurrent, listDoubted, listWithdrawals, mergeKnownDatabases, recordReports, pruneIncarnations, type IncarnationTable } from './incarnations.js'
import type { Heartbeat, HostLeft } from './messages.js'
import { MIN_RELAYED_HOSTS } from './relay.js'
import type { LeaderState, MembershipState, ReportingHost } from './state.js'
import { proposeStoredDatabases } from './stored.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a database counts as cold after the last report of it as cold: longer than the slowest hosts take between two heartbeats. */
const COLD_REPORT_HOLDS_MS = 2_000
/** Time without a heartbeat after which a host is removed from the directory. */
export const HOST_TIMEOUT_MS = 1_000
/**
 * The same for a host of a large fleet that owns no database and serves no control: nothing waits for its removal, it sends
 * fewer heartbeats, and each removal and return of a host that was only late is a change for all others.
 */
const QUIET_HOST_TIMEOUT_MS = 2_500
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
  const copied = listEntries(state.directory, 'database')
  const recovered = keepValidEntries(Object.values(state.storedDatabases)).filter(entry => !copied.some(other => other.database === entry.database))
  const { table: incarnations, known: knownDatabases, stored: storedDatabases } = mergeKnownDatabases(state.incarnations, copied, recovered, moment.monotonicMs)
  const databases = [...knownDatabases, ...storedDatabases]
  const databaseReportedAtMs = new Map<string, number>()
  markReported(databaseReportedAtMs, databases, moment.monotonicMs + REANNOUNCEMENT_GRACE_MS)
  const leaderState: LeaderState = {
    directory: databases.reduce(putAnnouncedDatabase, createDirectory(epoch)),
    hosts: new Map(),
    databaseReportedAtMs,
    leaseUntilMs: -Infinity,
    leadingSinceMs: moment.monotonicMs,
    hostAnsweredAtMs: new Map(),
    answersHeldUntilMs: moment.monotonicMs + KNOWN_HOSTS_WAIT_MS,
    awaitedHosts
  }
  const report = { kind: 'succession/reported', host: state.self?.host ?? '', failureDomain: state.self?.failureDomain ?? '', apart: true, statuses: [] } as const
  const reports = [tell({ ...report, databases: knownDatabases }), tell({ ...report, databases: storedDatabases, remembered: true })]
  // The former leader may have been lost before it stored them.
  const withdrawals = listWithdrawals(state.incarnations).map(({ database }) => tell({ kind: 'succession/withdrawn', database }))
  return { state: { ...state, incarnations, leaderState }, effects: [...reports, ...withdrawals, createSweepTimer()] }
}

/**
 * Applies a host's heartbeat and those that it relays, and answers with the changes since the host's revision.
 * @example receiveHeartbeat(state, leaderState, heartbeat, moment)
 */
export function receiveHeartbeat (state: MembershipState, leaderState: LeaderState, heartbeat: Heartbeat, moment: Moment): MembershipStep {
  const { heartbeats, incarnations, superseded } = admitHeartbeats(state, [heartbeat, ...(heartbeat.relayed ?? [])], moment)
  const doubted = listDoubted(incarnations, state.timing.announcementHoldsMs)
  const next = recordHeartbeats(removeDatabases(leaderState, superseded), heartbeats, doubted, moment)
  const notifications = heartbeats.flatMap(notifyReported)
  if (!isReadyToAnswer(next, moment)) return { state: { ...state, incarnations, leaderState: next }, effects: notifications }
  const hostAnsweredAtMs = new Map(next.hostAnsweredAtMs)
  for (const { self } of heartbeats) hostAnsweredAtMs.set(self.host, moment.monotonicMs)
  return { state: { ...state, incarnations, leaderState: { ...next, hostAnsweredAtMs } }, effects: [createHeartbeatAnswer(next, heartbeat, moment), ...notifications] }
}

interface AdmittedHeartbeats {
  readonly heartbeats: readonly Heartbeat[]
  readonly incarnations: IncarnationTable
  readonly superseded: readonly string[]
}

// Hosts report whatever was announced to them. Databases that can't be used, or are no longer there, go no further.
function admitHeartbeats (state: MembershipState, received: readonly Heartbeat[], moment: Moment): AdmittedHeartbeats {
  const valid = received.map(heartbeat => ({ ...heartbeat, databases: keepValidEntries(heartbeat.databases) }))
  const { table, superseded } = recordReports(state.incarnations, valid.flatMap(({ databases }) => databases), state.timing.announcementHoldsMs, moment.monotonicMs)
  const heartbeats = valid.map(heartbeat => ({ ...heartbeat, databases: heartbeat.databases.filter(entry => isCurrent(table, entry)) }))
  return { heartbeats, incarnations: table, superseded }
}

// The maps are copied once for all heartbeats of a message, since relays bring those of many hosts.
function recordHeartbeats (leaderState: LeaderState, heartbeats: readonly Heartbeat[], doubted: ReadonlySet<string>, moment: Moment): LeaderState {
  const hosts = new Map(leaderState.hosts)
  const reportedAtMs = new Map(leaderState.databaseReportedAtMs)
  const coldReportedAtMs = new Map(leaderState.coldReportedAtMs)
  const rates = coldReportedAtMs.size > 0 || heartbeats.some(({ databases }) => databases.some(({ cold }) => cold === true)) ? listColdRates(leaderState.directory) : undefined
  let { directory } = leaderState
  for (const { self, revision, databases, statuses } of heartbeats) {
    // Where no document names a rate, nothing depends on it.
    const known = databases.map(entry => ((rates?.get(entry.group) ?? 0) > 0 ? keepCold(coldReportedAtMs, entry, moment.monotonicMs) : dropCold(entry)))
    directory = known.reduce(putAnnouncedDatabase, putEntry(directory, self))
    hosts.set(self.host, { entry: self, owns: statuses.length > 0, lastHeartbeatAtMs: moment.monotonicMs, confirmedRevision: revision, databases })
    markReported(reportedAtMs, databases, moment.monotonicMs)
    markAnswered(reportedAtMs, statuses.filter(({ database }) => !doubted.has(database)), moment.monotonicMs)
  }
  return { ...leaderState, directory, hosts, databaseReportedAtMs: reportedAtMs, coldReportedAtMs }
}

// Another host may still report an older announcement, by which the database was warm.
function keepCold (coldReportedAtMs: Map<string, number>, entry: DatabaseEntry, nowMs: number): DatabaseEntry {
  if (entry.cold === true) coldReportedAtMs.set(entry.database, nowMs)
  else if (nowMs - (coldReportedAtMs.get(entry.database) ?? -Infinity) < COLD_REPORT_HOLDS_MS) return { ...entry, cold: true }
  else coldReportedAtMs.delete(entry.database)
  return entry
}

function notifyReported ({ self, round, leftAtMs, revision, statuses, databases, writes }: Heartbeat): readonly CoreEffect[] {
  const { host, failureDomain } = self
  return [
    tell({ kind: 'primacy/reported', host, failureDomain, statuses, databases, revision }),
    tell({ kind: 'succession/reported', host, failureDomain, apart: self.apart === true, leftAtMs, statuses, databases, ...(writes === undefined ? {} : { writes, process: self.incarnation, round }) })
  ]
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
    changes: listChangesSince(directory, heartbeat.revision),
    relayed: heartbeat.relayed?.map(({ self }) => self.host)
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
  const hosts = new Map([...leaderState.hosts].filter(([, host]) => moment.monotonicMs - host.lastHeartbeatAtMs <= getHostTimeoutMs(leaderState, host)))
  const databaseReportedAtMs = new Map([...leaderState.databaseReportedAtMs].filter(([, reportedAtMs]) => moment.monotonicMs - reportedAtMs <= DATABASE_TIMEOUT_MS))
  const directory = removeSilent(leaderState.directory, hosts, databaseReportedAtMs)
  const hostAnsweredAtMs = new Map([...leaderState.hostAnsweredAtMs].filter(([, answeredAtMs]) => moment.monotonicMs - answeredAtMs <= ANSWER_RETENTION_MS))
  const incarnations = pruneIncarnations(state.incarnations, moment.monotonicMs)
  return { state: { ...state, incarnations, leaderState: { ...leaderState, directory, hosts, databaseReportedAtMs, hostAnsweredAtMs } }, effects: [...proposeStoredDatabases(state.storedDatabases, directory), createSweepTimer()] }
}

function getHostTimeoutMs ({ hosts }: LeaderState, { entry, owns }: ReportingHost): number {
  return owns || entry.control === true || hosts.size < MIN_RELAYED_HOSTS ? HOST_TIMEOUT_MS : QUIET_HOST_TIMEOUT_MS
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
function markAnswered (reportedAtMs: Map<string, number>, statuses: readonly DatabaseStatus[], nowMs: number): void {
  for (const { database, answering, ageMs = 0 } of statuses) {
    if (answering && ageMs < ANSWER_MAX_AGE_MS && reportedAtMs.has(database)) reportedAtMs.set(database, Math.max(reportedAtMs.get(database)!, nowMs - ageMs))
  }
}

/**
 * Removes databases that withdrew themselves or were superseded.
 * @example removeDatabases(leaderState, ['a1'])
 */
export function removeDatabases (leaderState: LeaderState, databases: readonly string[]): LeaderState {
  if (databases.length === 0) return leaderState
  const databaseReportedAtMs = new Map([...leaderState.databaseReportedAtMs].filter(([database]) => !databases.includes(database)))
  const directory = databases.map(database => `database/${database}`).reduce(removeEntry, leaderState.directory)
  return { ...leaderState, databaseReportedAtMs, directory }
}

function markReported (reportedAtMs: Map<string, number>, databases: readonly DatabaseEntry[], nowMs: number): void {
  for (const { database } of databases) reportedAtMs.set(database, Math.max(reportedAtMs.get(database) ?? 0, nowMs))
}

function createSweepTimer (): CoreEffect {
  return setTimer('membership/sweep', SWEEP_INTERVAL_MS, { kind: 'membership/sweep-due' })
}

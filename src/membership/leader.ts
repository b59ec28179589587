/** The leader's side of membership: it writes the directory from the hosts' beats. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { createDirectory, dropEntry, listChangesSince, listEntries, putEntry, type DatabaseEntry, type Directory, type DirectoryEntry } from './directory.js'
import type { Beat } from './messages.js'
import type { Leading, MembershipState, ReportingHost } from './state.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a host may be silent before it leaves the directory. */
export const HOST_SILENT_MS = 1_000
/** How long a database may go unreported before it leaves the directory. */
export const DATABASE_SILENT_MS = 1_000
const SWEEP_EVERY_MS = 200

type MembershipStep = Step<MembershipState, CoreEffect>

/**
 * Starts to lead: with an empty directory of the new epoch, which the hosts' beats fill.
 * @example startLeading(state, 4)
 */
export function startLeading (state: MembershipState, epoch: number): MembershipStep {
  const leading: Leading = { directory: createDirectory(epoch), hosts: new Map(), databases: new Map() }
  return { state: { ...state, leading }, effects: [createSweepTimer()] }
}

/**
 * Takes a host's beat and answers with what changed since the host's revision.
 * @example takeBeat(state, leading, beat, moment)
 */
export function takeBeat (state: MembershipState, leading: Leading, beat: Beat, moment: Moment): MembershipStep {
  const host = beat.self.host
  const report: ReportingHost = {
    entry: beat.self,
    heardAtMs: moment.monotonicMs,
    confirmed: beat.revision,
    databases: beat.databases
  }
  const directory = beat.databases.reduce(putAnnounced, putEntry(leading.directory, beat.self))
  const next: Leading = {
    directory,
    hosts: new Map(leading.hosts).set(host, report),
    databases: markHeard(leading.databases, beat.databases, moment.monotonicMs)
  }
  const answer = sendPeer(host, {
    kind: 'membership/beat-answered',
    round: beat.round,
    revision: directory.revision,
    changes: listChangesSince(directory, beat.revision)
  })
  const told = tell({ kind: 'primacy/reported', host, failureDomain: beat.self.failureDomain, statuses: beat.statuses, databases: beat.databases, revision: beat.revision })
  return { state: { ...state, leading: next }, effects: [answer, told] }
}

/**
 * Puts an entry of another slice into the directory.
 * @example publishEntry(state, leading, grant)
 */
export function publishEntry (state: MembershipState, leading: Leading, entry: DirectoryEntry): MembershipStep {
  const directory = putEntry(leading.directory, entry)
  const told = entry.kind === 'grant' ? [tell({ kind: 'primacy/published', entry, revision: directory.revision })] : []
  return { state: { ...state, leading: { ...leading, directory } }, effects: told }
}

/**
 * Drops hosts and databases that went silent.
 * @example sweepSilent(state, leading, moment)
 */
export function sweepSilent (state: MembershipState, leading: Leading, moment: Moment): MembershipStep {
  const hosts = new Map([...leading.hosts].filter(([, host]) => moment.monotonicMs - host.heardAtMs <= HOST_SILENT_MS))
  const databases = new Map([...leading.databases].filter(([, heardAtMs]) => moment.monotonicMs - heardAtMs <= DATABASE_SILENT_MS))
  const directory = dropSilent(leading.directory, hosts, databases)
  return { state: { ...state, leading: { directory, hosts, databases } }, effects: [createSweepTimer()] }
}

function dropSilent (directory: Directory, hosts: ReadonlyMap<string, unknown>, databases: ReadonlyMap<string, unknown>): Directory {
  const silentHosts = listEntries(directory, 'host').filter(entry => !hosts.has(entry.host)).map(entry => `host/${entry.host}`)
  const silentDatabases = listEntries(directory, 'database').filter(entry => !databases.has(entry.database)).map(entry => `database/${entry.database}`)
  return [...silentHosts, ...silentDatabases].reduce(dropEntry, directory)
}

function putAnnounced (directory: Directory, entry: DatabaseEntry): Directory {
  return putEntry(directory, entry)
}

function markHeard (heard: ReadonlyMap<string, number>, databases: readonly DatabaseEntry[], nowMs: number): ReadonlyMap<string, number> {
  const next = new Map(heard)
  for (const database of databases) next.set(database.database, nowMs)
  return next
}

function createSweepTimer (): CoreEffect {
  return setTimer('membership/sweep', SWEEP_EVERY_MS, { kind: 'membership/sweep-due' })
}

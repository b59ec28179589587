/** The leader's side of membership: it writes the directory from the hosts' beats. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { createDirectory, dropEntry, listChangesSince, listEntries, putEntry, readEntryKey, type DatabaseEntry, type Directory, type DirectoryEntry } from './directory.js'
import type { Beat, Left } from './messages.js'
import type { Leading, MembershipState, ReportingHost } from './state.js'
import { proposeRemembered } from './remembered.js'
import { sendPeer, setTimer, tell } from '../messages.js'

/** How long a host may be silent before it leaves the directory. */
export const HOST_SILENT_MS = 1_000
/** How long a database may go unreported before it leaves the directory. */
export const DATABASE_SILENT_MS = 1_000
const SWEEP_EVERY_MS = 200
/** What a new leader adds for a database that has to find another host to announce itself to. */
const ANNOUNCED_AGAIN_MS = 3_000
/** How old an answer may be that shows a database to be there. */
const ANSWERED_MS = 1_000
/** Longer than any authority lasts. */
const ANSWERED_KEPT_MS = 10_000

type MembershipStep = Step<MembershipState, CoreEffect>

/** How long a new leader waits for the hosts that were there before it. */
const HOLD_MS = 500

/**
 * Starts to lead: with a directory of the new epoch, which the hosts' beats fill. Databases that this host knows
 * of, or that the control hosts remember, are in it from the start, since they may announce themselves only seconds later.
 * @example startLeading(state, 4, moment)
 */
export function startLeading (state: MembershipState, epoch: number, moment: Moment): MembershipStep {
  const awaited = listEntries(state.directory, 'host').map(entry => entry.host).filter(host => host !== state.lostLeader)
  const followed = listEntries(state.directory, 'database')
  const remembered = Object.values(state.remembered).filter(entry => !followed.some(other => other.database === entry.database))
  const databases = [...followed, ...remembered]
  const leading: Leading = {
    directory: databases.reduce(putAnnounced, createDirectory(epoch)),
    hosts: new Map(),
    databases: markHeard(new Map(), databases, moment.monotonicMs + ANNOUNCED_AGAIN_MS),
    leaseUntilMs: -Infinity,
    ledAtMs: moment.monotonicMs,
    answered: new Map(),
    heldUntilMs: moment.monotonicMs + HOLD_MS,
    awaited
  }
  const report = { kind: 'succession/reported', host: state.self?.host ?? '', failureDomain: state.self?.failureDomain ?? '', apart: true, statuses: [] } as const
  const told = [tell({ ...report, databases: followed }), tell({ ...report, databases: remembered, remembered: true })]
  return { state: { ...state, leading }, effects: [...told, createSweepTimer()] }
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
    ...leading,
    directory,
    hosts: new Map(leading.hosts).set(host, report),
    databases: markAnswering(markHeard(leading.databases, beat.databases, moment.monotonicMs), beat, moment.monotonicMs)
  }
  const answers = isAnswering(next, moment) ? [createAnswer(next, beat, moment)] : []
  const answered = answers.length === 0 ? leading.answered : new Map(leading.answered).set(host, moment.monotonicMs)
  const { statuses, databases } = beat
  const told = [
    tell({ kind: 'primacy/reported', host, failureDomain: beat.self.failureDomain, statuses, databases, revision: beat.revision }),
    tell({ kind: 'succession/reported', host, failureDomain: beat.self.failureDomain, apart: beat.self.apart === true, leftAtMs: beat.leftAtMs, statuses, databases })
  ]
  return { state: { ...state, leading: { ...next, answered } }, effects: [...answers, ...told] }
}

// An answered beat renews what its host may do, so only a leader within its lease answers, and a new one
// only when its directory names the hosts that live.
function isAnswering (leading: Leading, moment: Moment): boolean {
  if (moment.monotonicMs >= leading.leaseUntilMs) return false
  return moment.monotonicMs >= leading.heldUntilMs || leading.awaited.every(host => leading.hosts.has(host))
}

function createAnswer ({ directory, leaseUntilMs }: Leading, beat: Beat, moment: Moment): CoreEffect {
  const answer = sendPeer(beat.self.host, {
    kind: 'membership/beat-answered',
    round: beat.round,
    leaderMs: moment.monotonicMs,
    revision: directory.revision,
    changes: listChangesSince(directory, beat.revision)
  })
  return { ...answer, notAfterMs: leaseUntilMs }
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
 * Drops a host that left by request, without waiting for its silence.
 * @example dropHost(state, leading, { kind: 'membership/left', from: 'host-2', incarnation: '1f' })
 */
export function dropHost (state: MembershipState, leading: Leading, { from, incarnation }: Left): MembershipStep {
  if (from === undefined || leading.hosts.get(from)?.entry.incarnation !== incarnation) return { state, effects: [] }
  const hosts = new Map(leading.hosts)
  hosts.delete(from)
  return { state: { ...state, leading: { ...leading, hosts, directory: dropEntry(leading.directory, `host/${from}`) } }, effects: [] }
}

/**
 * Drops hosts and databases that went silent.
 * @example sweepSilent(state, leading, moment)
 */
export function sweepSilent (state: MembershipState, leading: Leading, moment: Moment): MembershipStep {
  const hosts = new Map([...leading.hosts].filter(([, host]) => moment.monotonicMs - host.heardAtMs <= HOST_SILENT_MS))
  const databases = new Map([...leading.databases].filter(([, heardAtMs]) => moment.monotonicMs - heardAtMs <= DATABASE_SILENT_MS))
  const directory = dropSilent(leading.directory, hosts, databases)
  const answered = new Map([...leading.answered].filter(([, answeredAtMs]) => moment.monotonicMs - answeredAtMs <= ANSWERED_KEPT_MS))
  return { state: { ...state, leading: { ...leading, directory, hosts, databases, answered } }, effects: [...proposeRemembered(state.remembered, directory), createSweepTimer()] }
}

function dropSilent (directory: Directory, hosts: ReadonlyMap<string, unknown>, databases: ReadonlyMap<string, unknown>): Directory {
  const silentHosts = listEntries(directory, 'host').filter(entry => !hosts.has(entry.host)).map(entry => `host/${entry.host}`)
  const silentDatabases = listEntries(directory, 'database').filter(entry => !databases.has(entry.database)).map(entry => `database/${entry.database}`)
  return [...silentHosts, ...silentDatabases].reduce(dropEntry, directory)
}

// A database that said that it departs does not come back in the same lifetime; one host may have heard it earlier than another.
function putAnnounced (directory: Directory, entry: DatabaseEntry): Directory {
  const known = directory.changes.get(readEntryKey(entry))?.entry
  const departing = entry.departing || (known?.kind === 'database' && known.departing)
  return putEntry(directory, departing === entry.departing ? entry : { ...entry, departing })
}

// A database that answers its owner is there, also while its announcements reach nobody.
function markAnswering (heard: ReadonlyMap<string, number>, beat: Beat, nowMs: number): ReadonlyMap<string, number> {
  const next = new Map(heard)
  for (const { database, answering, ageMs = 0 } of beat.statuses) {
    if (answering && ageMs < ANSWERED_MS && next.has(database)) next.set(database, Math.max(next.get(database)!, nowMs - ageMs))
  }
  return next
}

/**
 * Drops a database that ended by its own word.
 * @example dropDatabase(leading, 'a1')
 */
export function dropDatabase (leading: Leading, database: string): Leading {
  const databases = new Map(leading.databases)
  databases.delete(database)
  return { ...leading, databases, directory: dropEntry(leading.directory, `database/${database}`) }
}

function markHeard (heard: ReadonlyMap<string, number>, databases: readonly DatabaseEntry[], nowMs: number): ReadonlyMap<string, number> {
  const next = new Map(heard)
  for (const database of databases) next.set(database.database, Math.max(next.get(database.database) ?? 0, nowMs))
  return next
}

function createSweepTimer (): CoreEffect {
  return setTimer('membership/sweep', SWEEP_EVERY_MS, { kind: 'membership/sweep-due' })
}

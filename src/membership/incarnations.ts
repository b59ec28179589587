/**
 * Which start of an instance counts. A database may start again under the identity that it had; it then holds and knows
 * nothing of before, and there is one start at a time. Whoever calls it by its instance reaches the last start, so the
 * answers of one must not keep another in the directory.
 *
 * The latest start time counts, whatever the order in which announcements arrive. Since start times come from clocks that
 * may be wrong, an earlier one counts nevertheless if it goes on announcing itself, for longer than a late announcement is
 * reported, while the later one is silent. If an earlier one withdraws itself, the instance may be gone, so that only
 * announcements, and no answers, keep the later one.
 */
import type { DatabaseEntry, Incarnation } from './directory.js'

/** Time without a report after which a database counts as silent here: hosts report several times a second. */
const SILENT_AFTER_MS = 1_000
/** How much longer than a late announcement is reported an earlier start has to go on announcing itself. */
const OVERRULE_MARGIN_MS = 1_000
/** How long a database that is gone is remembered, so that reports that are still on their way do not bring it back. */
const RETENTION_MS = 60_000
/** How many starts of an instance that do not count are remembered. */
const MAX_REFUSED = 4

/** An earlier start than the one that counts, which goes on announcing itself. */
interface Challenger {
  readonly database: string
  readonly sinceMs: number
  readonly reportedAtMs: number
}

/** The start of an instance that counts. */
export interface CurrentIncarnation {
  readonly database: string
  readonly startedAtMs: number
  /** When a host last reported it. */
  readonly reportedAtMs: number
  /** True once it withdrew itself. */
  readonly ended?: true
  readonly challenger?: Challenger
  /** Other starts that do not count, whatever their time: they withdrew themselves, or were overruled. */
  readonly refused?: readonly string[]
  /** When another start withdrew itself. */
  readonly doubtedAtMs?: number
}

/** The starts that count, by instance. */
export type IncarnationTable = ReadonlyMap<string, CurrentIncarnation>

/** The outcome of reports of databases. */
export interface RecordedReports {
  readonly table: IncarnationTable
  /** The databases that count no longer. */
  readonly superseded: readonly string[]
}

/**
 * Records reported databases.
 * @param holdsMs how long a host reports a database after its last announcement.
 * @example recordReports(new Map(), heartbeat.databases, 3_600, moment.monotonicMs).superseded
 */
export function recordReports (table: IncarnationTable, reported: readonly DatabaseEntry[], holdsMs: number, nowMs: number): RecordedReports {
  if (reported.every(entry => entry.incarnation === undefined)) return { table, superseded: [] }
  const next = new Map(table)
  const superseded: string[] = []
  for (const { database, incarnation } of reported) {
    if (incarnation === undefined) continue
    const known = next.get(incarnation.instance)
    const current = evaluateReport(known, database, incarnation, holdsMs, nowMs)
    next.set(incarnation.instance, current)
    if (known !== undefined && known.database !== current.database) superseded.push(known.database)
  }
  return { table: next, superseded }
}

/**
 * Tells whether a database counts: it has no incarnation, or it is the present start of its instance and did not withdraw.
 * @example isCurrent(table, entry)
 */
export function isCurrent (table: IncarnationTable, { database, incarnation }: DatabaseEntry): boolean {
  const current = incarnation === undefined ? undefined : table.get(incarnation.instance)
  return current === undefined || (current.database === database && current.ended !== true)
}

function evaluateReport (known: CurrentIncarnation | undefined, database: string, { startedAtMs }: Incarnation, holdsMs: number, nowMs: number): CurrentIncarnation {
  if (known === undefined) return { database, startedAtMs, reportedAtMs: nowMs }
  if (known.database === database) return { ...known, reportedAtMs: nowMs }
  if (known.refused?.includes(database) === true) return known
  if (startedAtMs > known.startedAtMs) return { database, startedAtMs, reportedAtMs: nowMs }
  const challenger = trackChallenger(known.challenger, database, nowMs)
  const announcedForMs = nowMs - challenger.sinceMs
  const overrules = announcedForMs >= holdsMs + OVERRULE_MARGIN_MS && nowMs - known.reportedAtMs >= SILENT_AFTER_MS
  return overrules ? { database, startedAtMs, reportedAtMs: nowMs, refused: addRefused(known, known.database) } : { ...known, challenger }
}

function trackChallenger (known: Challenger | undefined, database: string, nowMs: number): Challenger {
  const goesOn = known?.database === database && nowMs - known.reportedAtMs < SILENT_AFTER_MS
  return { database, sinceMs: goesOn ? known.sinceMs : nowMs, reportedAtMs: nowMs }
}

function addRefused ({ refused = [] }: CurrentIncarnation, database: string): readonly string[] {
  return [database, ...refused.filter(other => other !== database)].slice(0, MAX_REFUSED)
}

/**
 * Records that a database withdrew itself: reports of it and of earlier starts of its instance do not bring it back.
 * @example recordWithdrawal(table, 'i-1~1700', { instance: 'i-1', startedAtMs: 1_700 }, moment.monotonicMs)
 */
export function recordWithdrawal (table: IncarnationTable, database: string, { instance, startedAtMs }: Incarnation, nowMs: number): IncarnationTable {
  const known = table.get(instance)
  if (known?.refused?.includes(database) === true) return table
  const isEarlier = known !== undefined && known.database !== database && known.startedAtMs >= startedAtMs
  return new Map(table).set(instance, isEarlier ? { ...known, refused: addRefused(known, database), doubtedAtMs: nowMs } : { database, startedAtMs, reportedAtMs: nowMs, ended: true })
}

/** A start of an instance that withdrew itself. */
export interface Withdrawal {
  readonly database: string
  readonly incarnation: Incarnation
}

/**
 * Lists the starts that withdrew themselves.
 * @example listWithdrawals(table) // [{ database: 'i-1~1700', incarnation: { instance: 'i-1', startedAtMs: 1_700 } }]
 */
export function listWithdrawals (table: IncarnationTable): readonly Withdrawal[] {
  return [...table].filter(([, { ended }]) => ended === true).map(([instance, { database, startedAtMs }]) => ({ database, incarnation: { instance, startedAtMs } }))
}

/**
 * Lists the databases that answers do not keep in the directory: another start of their instance withdrew itself, and no
 * announcement that came later was reported.
 * @param holdsMs how long a host reports a database after its last announcement.
 * @example listDoubted(table, 3_600).has('i-1~1700')
 */
export function listDoubted (table: IncarnationTable, holdsMs: number): ReadonlySet<string> {
  const doubted = [...table.values()].filter(({ doubtedAtMs, reportedAtMs }) => doubtedAtMs !== undefined && reportedAtMs - doubtedAtMs <= holdsMs)
  return new Set(doubted.map(({ database }) => database))
}

/** The databases with which a new leader begins, and the starts of their instances that count. */
export interface KnownDatabases {
  readonly table: IncarnationTable
  readonly known: readonly DatabaseEntry[]
  readonly stored: readonly DatabaseEntry[]
}

/**
 * Selects the databases with which a new leader begins: those of its copy of the directory, which is newer than the log, and
 * the stored ones of other instances. Databases that withdrew themselves are left out.
 * @example mergeKnownDatabases(state.incarnations, known, stored, moment.monotonicMs).known
 */
export function mergeKnownDatabases (before: IncarnationTable, known: readonly DatabaseEntry[], stored: readonly DatabaseEntry[], nowMs: number): KnownDatabases {
  const table = new Map([...before].filter(([, { ended }]) => ended === true))
  const accept = ({ database, incarnation }: DatabaseEntry): boolean => {
    if (incarnation === undefined) return true
    const { instance, startedAtMs } = incarnation
    const current = table.get(instance)
    if (current !== undefined && (current.ended !== true || current.startedAtMs >= startedAtMs)) return false
    table.set(instance, { database, startedAtMs, reportedAtMs: nowMs })
    return true
  }
  return { known: known.filter(accept), stored: stored.filter(accept), table }
}

/**
 * Forgets instances that were neither reported nor withdrawn for long.
 * @example pruneIncarnations(table, moment.monotonicMs).size
 */
export function pruneIncarnations (table: IncarnationTable, nowMs: number): IncarnationTable {
  const kept = [...table].filter(([, { reportedAtMs }]) => nowMs - reportedAtMs < RETENTION_MS)
  return kept.length === table.size ? table : new Map(kept)
}

/** Finds the cause of a failed or late request in its history. */
import type { RequestHistory, LogLine } from './history.js'

/** How long a host may lack tokens after its start or an election: its share must arrive first, then the bucket fills within a second. */
const TOKEN_SHORTAGE_MS = 2_000

/** How long after an election a refusal may follow from it, by what the host knew of the reserve; TOKEN_SHORTAGE_MS where it did not say. */
const ELECTION_WINDOWS_MS: ReadonlyMap<string, number> = new Map([['complete', -Infinity], ['unanswered', 500]])

/** Failures that a change of the primary may cause. */
const PRIMARY_FAILURES: ReadonlySet<string> = new Set(['no-primary', 'outcome-unknown', 'transaction-lost', 'deadline-passed'])
/** Events that begin a change of the primary. */
const PRIMARY_EVENTS: ReadonlySet<string> = new Set(['primary-silent', 'primary-role-lost', 'grant-ended', 'primary-closing', 'primary-appointed', 'primary-chosen'])

/** The cause of a failed or late request, with its evidence. */
export interface Conclusion {
  readonly kind: string
  readonly text: string
  /** The log lines that support the conclusion. */
  readonly evidence: readonly LogLine[]
}

/** A kind of cause that can be recognized in a history. */
abstract class Cause {
  abstract readonly kind: string

  /** Returns the conclusion when the history shows this kind of cause, and undefined otherwise. */
  abstract explain (history: RequestHistory, last: LogLine): Conclusion | undefined

  protected createConclusion (text: string, evidence: readonly LogLine[] = []): Conclusion {
    return { kind: this.kind, text, evidence }
  }
}

class RateLimitCause extends Cause {
  readonly kind = 'rate'

  static create (): RateLimitCause {
    return new RateLimitCause()
  }

  explain ({ events }: RequestHistory, last: LogLine): Conclusion | undefined {
    const { failure, workspace, shareLeftMs, reserve } = last.fields
    if (failure !== 'rate-exceeded') return undefined
    if (reserve === 'unreachable') return this.createConclusion(`Host ${last.host} could not reach the leader, and its share of the rate of workspace ${String(workspace)} was used up.`)
    const recent = events.filter(event => event.stamp.wallMs <= last.stamp.wallMs && last.stamp.wallMs - event.stamp.wallMs <= TOKEN_SHORTAGE_MS)
    const started = shareLeftMs !== undefined && shareLeftMs !== 0 ? [] : recent.filter(event => event.host === last.host && event.text.startsWith('daemon: Host') && event.text.includes(' started'))
    if (started.length > 0) return this.createConclusion(`Host ${last.host} had started ${calculateGapMs(started, last)} ms before, so its share of the rate of workspace ${String(workspace)} was empty.`, started)
    const electionWindowMs = ELECTION_WINDOWS_MS.get(String(reserve)) ?? TOKEN_SHORTAGE_MS
    const elected = recent.filter(event => event.fields.event === 'leader-elected' && last.stamp.wallMs - event.stamp.wallMs <= electionWindowMs)
    if (elected.length > 0) return this.createConclusion(`A new leader had been elected ${calculateGapMs(elected, last)} ms before and had not all tokens of the rate to lend yet.`, elected)
    if (reserve === 'unanswered') return this.createConclusion(`Host ${last.host} had no token left in its share of the rate of workspace ${String(workspace)}, and the leader did not answer its requests for a loan.`)
    return this.createConclusion(`Workspace ${String(workspace)} exceeded its rate and burst: host ${last.host} had no token left in its share, and got none from the leader's reserve in time.`)
  }
}

class PrimaryChangeCause extends Cause {
  readonly kind = 'primary-changed'

  static create (): PrimaryChangeCause {
    return new PrimaryChangeCause()
  }

  explain ({ lines, events }: RequestHistory): Conclusion | undefined {
    const failed = lines.find(line => PRIMARY_FAILURES.has(String(line.fields.failure)))
    if (failed === undefined) return undefined
    const { failure, group, database } = failed.fields
    const changes = events.filter(event => event.fields.group === group && PRIMARY_EVENTS.has(String(event.fields.event)))
    const effect = failure === 'no-primary' ? 'found no serving primary' : `was running on database ${String(database)}, and its answer did not arrive`
    if (changes.length > 0) return this.createConclusion(`The primary of group ${String(group)} was being replaced; the request ${effect}.`, changes)
    return failure === 'no-primary' ? this.createConclusion(`Host ${failed.host} could reach no primary of group ${String(group)}, and no primary was replaced around that time: check for a network partition.`) : undefined
  }
}

class EvacuationCause extends Cause {
  readonly kind = 'evacuation'

  static create (): EvacuationCause {
    return new EvacuationCause()
  }

  explain ({ events }: RequestHistory, last: LogLine): Conclusion | undefined {
    const { failure, group } = last.fields
    if (failure !== 'evacuated' && failure !== 'transaction-evacuated') return undefined
    const orders = events.filter(event => event.fields.event === 'evacuation-begun')
    const effect = failure === 'evacuated' ? `No database of group ${String(group)} outside evacuated failure domains could run the request.` : `The transaction did not end in time at a database of group ${String(group)} that is evacuated, and was rolled back.`
    return this.createConclusion(effect, orders)
  }
}

class HostLossCause extends Cause {
  readonly kind = 'host-lost'

  static create (): HostLossCause {
    return new HostLossCause()
  }

  explain ({ events }: RequestHistory, last: LogLine): Conclusion | undefined {
    const { failure, owner } = last.fields
    if (failure === undefined || typeof owner !== 'string') return undefined
    const restarts = events.filter(event => event.host === owner && (event.text.startsWith('daemon: Host') || event.text.startsWith('stopping:')))
    if (restarts.length === 0) return undefined
    return this.createConclusion(`Host ${owner}, which owns the connections to the database, stopped or started at that time (${restarts[0]!.text}).`, restarts)
  }
}

class SilentDatabaseCause extends Cause {
  readonly kind = 'database-silent'

  static create (): SilentDatabaseCause {
    return new SilentDatabaseCause()
  }

  explain ({ lines }: RequestHistory): Conclusion | undefined {
    const retries = lines.filter(line => line.text.includes('tried again') && line.fields.phase === 'running' && line.fields.database !== undefined)
    if (retries.length === 0) return undefined
    const names = [...new Set(retries.map(line => `${String(line.fields.database)} through host ${String(line.fields.owner)}`))].join(', ')
    return this.createConclusion(`An earlier attempt got no usable answer from ${names}; the retry delayed the request.`, retries)
  }
}

class QueueCause extends Cause {
  readonly kind = 'queue'

  static create (): QueueCause {
    return new QueueCause()
  }

  explain (_history: RequestHistory, last: LogLine): Conclusion | undefined {
    const { failure, phase, database, reason, answerMs, limitMs, coldRate, waitMs } = last.fields
    if (failure === 'overloaded') return this.createConclusion(`${String(reason)} The answer was expected after ${String(answerMs)} ms, where ${String(limitMs)} ms were allowed.`, [last])
    if (failure === 'database-cold') return this.createConclusion(`${String(reason)} This host may send it ${String(coldRate)} requests a second; the wait was ${String(waitMs)} ms, where ${String(limitMs)} ms were allowed.`, [last])
    if (failure !== 'queue-full' && !(failure === 'deadline-passed' && phase === 'waiting')) return undefined
    return this.createConclusion(`The request found no free slot of database ${String(database)} before its deadline: the queue of the database was too long.`)
  }
}

class ReportedCause extends Cause {
  readonly kind = 'stated'

  static create (): ReportedCause {
    return new ReportedCause()
  }

  explain (_history: RequestHistory, last: LogLine): Conclusion {
    const { reason, phase, elapsedMs } = last.fields
    if (reason !== undefined) return this.createConclusion(`${String(reason)} (phase ${String(phase)})`, [last])
    return this.createConclusion(`The request was answered after ${String(elapsedMs)} ms; no log line reports a fault.`, [last])
  }
}

/** All causes, from the most specific to the fallback. */
const CAUSES: readonly Cause[] = [RateLimitCause.create(), EvacuationCause.create(), PrimaryChangeCause.create(), HostLossCause.create(), QueueCause.create(), SilentDatabaseCause.create(), ReportedCause.create()]

/**
 * Finds the cause of a request's outcome; undefined when the history has no line of the request.
 * @example findCause(reader.finish())?.text
 */
export function findCause (history: RequestHistory): Conclusion | undefined {
  const last = history.lines[history.lines.length - 1]
  if (last === undefined) return undefined
  for (const cause of CAUSES) {
    const conclusion = cause.explain(history, last)
    if (conclusion !== undefined) return conclusion
  }
  return undefined
}

function calculateGapMs (events: readonly LogLine[], last: LogLine): number {
  return Math.round(last.stamp.wallMs - events[events.length - 1]!.stamp.wallMs)
}

/** Why a request failed or came late, concluded from its story. */
import type { Story, StoryLine } from './story.js'

/** How long after a start or an election a host may lack tokens: buckets fill within a second, shares come before. */
const TOKENS_LACK_MS = 2_000

/** Failures that a change of primary may be behind. */
const PRIMARY_FAILURES: ReadonlySet<string> = new Set(['no-primary', 'outcome-unknown', 'transaction-lost', 'deadline-passed'])
/** Events that begin a change of primary. */
const PRIMARY_EVENTS: ReadonlySet<string> = new Set(['primary-silent', 'grant-ended', 'primary-closing', 'primary-appointed', 'primary-chosen'])

/** What a story says of its request's failure. */
export interface Conclusion {
  readonly kind: string
  readonly text: string
  /** The lines that the conclusion rests on. */
  readonly evidence: readonly StoryLine[]
}

/** One kind of cause. */
abstract class Cause {
  abstract readonly kind: string

  /** Concludes from a story; undefined where this is not the cause. */
  abstract explain (story: Story, last: StoryLine): Conclusion | undefined

  protected createConclusion (text: string, evidence: readonly StoryLine[] = []): Conclusion {
    return { kind: this.kind, text, evidence }
  }
}

class RateCause extends Cause {
  readonly kind = 'rate'

  static create (): RateCause {
    return new RateCause()
  }

  explain ({ events }: Story, last: StoryLine): Conclusion | undefined {
    const { failure, workspace } = last.fields
    if (failure !== 'rate-exceeded') return undefined
    const recent = events.filter(event => event.stamp.wallMs <= last.stamp.wallMs && last.stamp.wallMs - event.stamp.wallMs <= TOKENS_LACK_MS)
    const started = recent.filter(event => event.host === last.host && event.text.startsWith('daemon: Host') && event.text.includes(' started'))
    if (started.length > 0) return this.createConclusion(`Host ${last.host} had started ${readGap(started, last)} ms before, so its share of the rate of workspace ${String(workspace)} was empty.`, started)
    const elected = recent.filter(event => event.fields.event === 'leader-elected')
    if (elected.length > 0) return this.createConclusion(`A new leader had been elected ${readGap(elected, last)} ms before and had not given out shares of the rate yet.`, elected)
    return this.createConclusion(`Workspace ${String(workspace)} had used up its rate and burst: host ${last.host} had no token of its share, and the leader's reserve had none in time.`)
  }
}

class PrimaryCause extends Cause {
  readonly kind = 'primary-changed'

  static create (): PrimaryCause {
    return new PrimaryCause()
  }

  explain ({ lines, events }: Story): Conclusion | undefined {
    const troubled = lines.find(line => PRIMARY_FAILURES.has(String(line.fields.failure)))
    if (troubled === undefined) return undefined
    const { failure, group, database } = troubled.fields
    const changes = events.filter(event => event.fields.group === group && PRIMARY_EVENTS.has(String(event.fields.event)))
    const met = failure === 'no-primary' ? 'found no primary that serves' : `was at database ${String(database)}, and its answer did not come`
    if (changes.length > 0) return this.createConclusion(`The primary of group ${String(group)} was being replaced; the request ${met}.`, changes)
    return failure === 'no-primary' ? this.createConclusion(`Host ${troubled.host} knew of no primary of group ${String(group)} that it could reach, and none was replaced around that time: look for a cut link.`) : undefined
  }
}

class OwnerCause extends Cause {
  readonly kind = 'host-lost'

  static create (): OwnerCause {
    return new OwnerCause()
  }

  explain ({ events }: Story, last: StoryLine): Conclusion | undefined {
    const { failure, owner } = last.fields
    if (failure === undefined || typeof owner !== 'string') return undefined
    const ends = events.filter(event => event.host === owner && (event.text.startsWith('daemon: Host') || event.text.startsWith('stopping:')))
    if (ends.length === 0) return undefined
    return this.createConclusion(`Host ${owner}, through which the database is reached, stopped or started meanwhile (${ends[0]!.text}).`, ends)
  }
}

class SilentDatabaseCause extends Cause {
  readonly kind = 'database-silent'

  static create (): SilentDatabaseCause {
    return new SilentDatabaseCause()
  }

  explain ({ lines }: Story): Conclusion | undefined {
    const left = lines.filter(line => line.text.includes('tried again') && line.fields.phase === 'running' && line.fields.database !== undefined)
    if (left.length === 0) return undefined
    const names = [...new Set(left.map(line => `${String(line.fields.database)} through host ${String(line.fields.owner)}`))].join(', ')
    return this.createConclusion(`An earlier attempt got no usable answer from ${names}; the request was tried again elsewhere, which took its time.`, left)
  }
}

class QueueCause extends Cause {
  readonly kind = 'queue'

  static create (): QueueCause {
    return new QueueCause()
  }

  explain (_story: Story, last: StoryLine): Conclusion | undefined {
    const { failure, phase, database } = last.fields
    if (failure !== 'queue-full' && !(failure === 'deadline-passed' && phase === 'waiting')) return undefined
    return this.createConclusion(`The request found no free slot of database ${String(database)} within its time: too much work waited there.`)
  }
}

class StatedCause extends Cause {
  readonly kind = 'stated'

  static create (): StatedCause {
    return new StatedCause()
  }

  explain (_story: Story, last: StoryLine): Conclusion {
    const { reason, phase, elapsedMs } = last.fields
    if (reason !== undefined) return this.createConclusion(`${String(reason)} (phase ${String(phase)})`, [last])
    return this.createConclusion(`The request was answered after ${String(elapsedMs)} ms; no line tells of a fault.`, [last])
  }
}

/** From the most particular to the last resort. */
const CAUSES: readonly Cause[] = [RateCause.create(), PrimaryCause.create(), OwnerCause.create(), QueueCause.create(), SilentDatabaseCause.create(), StatedCause.create()]

/**
 * Concludes why the request of a story ended as it did; undefined when there is no line on it.
 * @example findCause(reader.finish())?.text
 */
export function findCause (story: Story): Conclusion | undefined {
  const last = story.lines[story.lines.length - 1]
  if (last === undefined) return undefined
  for (const cause of CAUSES) {
    const conclusion = cause.explain(story, last)
    if (conclusion !== undefined) return conclusion
  }
  return undefined
}

function readGap (events: readonly StoryLine[], last: StoryLine): number {
  return Math.round(last.stamp.wallMs - events[events.length - 1]!.stamp.wallMs)
}

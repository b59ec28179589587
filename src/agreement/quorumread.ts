/**
 * Reads that a majority of the control hosts confirms, without the leader. A host that the leader does not confirm, or that
 * reads a document for an operator, asks any control host, which asks the members. One read serves all questions that came
 * before it was sent, so that control hosts exchange as many messages however many hosts ask.
 */
import { clearTimer, type CoreEffect, type Moment } from '../core/message.js'
import { sendPeer, setTimer } from '../messages.js'
import type { DocumentVersion } from '../membership/messages.js'
import { hasQuorum, type Configuration } from './log.js'
import type { VersionsTold } from './messages.js'

/** The shortest interval between two reads of a control host. */
const READ_INTERVAL_MS = 200
/** The interval is also this multiple of the time that the last read took: control hosts that are late must not be asked more. */
const INTERVAL_FACTOR = 3
const MAX_READ_INTERVAL_MS = 1_500
/** How long a control host may take for its answer before it is asked again. */
const RETRY_AFTER_MS = 1_000
/** How long a read waits for a majority of the members. */
const READ_TIMEOUT_MS = 2_000
/** How long a question is kept: as long as an operator's call. */
const QUESTION_TTL_MS = 9_000

/** A host asks which versions a majority holds. */
export interface VersionsQuestion {
  readonly kind: 'versions'
  readonly from: string
  readonly round: number
  readonly askedAtMs: number
}

/** An operator reads the text of a document. */
export interface TextQuestion {
  readonly kind: 'text'
  readonly from: string
  readonly operation: string
  readonly service: string
  readonly askedAtMs: number
}

/** A question that waits for a read. */
export type Question = VersionsQuestion | TextQuestion

/** The reads of a control host: at most one at a time. */
export interface QuorumReads {
  /** The number of the last read. */
  readonly round: number
  readonly sentAtMs: number
  /** How long the last read took. */
  readonly tookMs: number
  /** The questions that the read in flight answers; none while there is no such read. */
  readonly serving: readonly Question[]
  /** The questions that came since it was sent. */
  readonly waiting: readonly Question[]
  /** The answers to the read in flight, by control host. */
  readonly answers: ReadonlyMap<string, VersionsTold>
  /** The newest members that any answer named. */
  readonly newest?: Configuration
}

/** What a read found. */
export interface ReadOutcome {
  readonly questions: readonly Question[]
  /** The newest versions that a majority may hold; undefined if a majority is in reach, but not one of the members has answered. */
  readonly versions?: readonly DocumentVersion[]
}

/** The next reads, and what the last one found. */
export interface ReadStep {
  readonly reads: QuorumReads
  readonly outcome?: ReadOutcome
  readonly effects: readonly CoreEffect[]
}

/** A control host without reads. */
export const NO_READS: QuorumReads = { round: 0, sentAtMs: -Infinity, tookMs: 0, serving: [], waiting: [], answers: new Map() }

/**
 * Adds a question for the next read, which is sent at once unless the last one is too recent or in flight.
 * @param control the control hosts that this host knows.
 * @example addQuestion(NO_READS, question, ['c1', 'c2', 'c3'], moment).effects.length // 4: three questions, and a timer
 */
export function addQuestion (reads: QuorumReads, question: Question, control: readonly string[], moment: Moment): ReadStep {
  const others = reads.waiting.filter(other => !isRepeated(other, question))
  const next: QuorumReads = { ...reads, waiting: [...others, question] }
  return reads.serving.length > 0 || reads.waiting.length > 0 ? { reads: next, effects: [] } : scheduleRead(next, control, moment)
}

// A host that asks again has no use for the answer to its earlier question.
function isRepeated (one: Question, other: Question): boolean {
  return one.from === other.from && (one.kind === 'versions' ? other.kind === 'versions' : other.kind === 'text' && one.operation === other.operation)
}

function scheduleRead (reads: QuorumReads, control: readonly string[], moment: Moment): ReadStep {
  if (reads.waiting.length === 0) return { reads, effects: [clearTimer('agreement/read')] }
  const intervalMs = Math.max(READ_INTERVAL_MS, Math.min(MAX_READ_INTERVAL_MS, INTERVAL_FACTOR * reads.tookMs))
  const remainingMs = reads.sentAtMs + intervalMs - moment.monotonicMs
  return remainingMs > 0 ? { reads, effects: [createTimer(remainingMs)] } : startRead(reads, control, moment)
}

function startRead (reads: QuorumReads, control: readonly string[], { monotonicMs }: Moment): ReadStep {
  const round = reads.round + 1
  const asked = listTargets(reads, control).map(host => sendPeer(host, { kind: 'agreement/versions-asked', round }))
  return {
    reads: { ...reads, round, sentAtMs: monotonicMs, serving: reads.waiting, waiting: [], answers: new Map() },
    effects: [...asked, createTimer(RETRY_AFTER_MS)]
  }
}

function listTargets ({ newest }: QuorumReads, control: readonly string[]): readonly string[] {
  return [...new Set([...control, ...Object.keys(newest?.members ?? {}), ...Object.keys(newest?.old ?? {})])]
}

function createTimer (afterMs: number): CoreEffect {
  return setTimer('agreement/read', afterMs, { kind: 'agreement/read-due' })
}

/**
 * Adds a control host's answer; the read ends once a majority of the members has answered.
 * @example receiveVersions(reads, told, ['c1', 'c2', 'c3'], moment).outcome?.versions
 */
export function receiveVersions (reads: QuorumReads, told: VersionsTold, control: readonly string[], moment: Moment): ReadStep {
  if (told.round !== reads.round || told.from === undefined || reads.serving.length === 0) return { reads, effects: [] }
  const answers = new Map(reads.answers).set(told.from, told)
  const newest = findNewest([...answers.values()])
  const next: QuorumReads = { ...reads, answers, newest: newest ?? reads.newest }
  if (newest === undefined || !isConfirmed(newest, answers)) return { reads: next, effects: [] }
  return endRead(next, { questions: reads.serving, versions: collectVersions(answers) }, [], control, moment)
}

/**
 * Sends the next read, or goes on with the one in flight: asks the control hosts again that have not answered, and tells the
 * hosts that wait whether a majority has. Members that are short of processor time answer late, and their answers count.
 * @example continueReads(reads, ['c1', 'c2', 'c3'], moment).outcome
 */
export function continueReads (reads: QuorumReads, control: readonly string[], moment: Moment): ReadStep {
  const { round, sentAtMs, serving, answers } = reads
  if (serving.length === 0) return scheduleRead(reads, control, moment)
  const targets = listTargets(reads, control)
  const isReached = answers.size * 2 > targets.length
  const outcome: ReadOutcome | undefined = isReached ? { questions: serving.filter(({ kind }) => kind === 'versions') } : undefined
  if (moment.monotonicMs - sentAtMs >= READ_TIMEOUT_MS) return endRead(reads, outcome, listKept(serving, moment), control, moment)
  const asked = targets.filter(host => !answers.has(host)).map(host => sendPeer(host, { kind: 'agreement/versions-asked', round }))
  return { reads, outcome, effects: [...asked, createTimer(RETRY_AFTER_MS)] }
}

// A host asks again, an operator's call does not.
function listKept (questions: readonly Question[], { monotonicMs }: Moment): readonly Question[] {
  return questions.filter(({ kind, askedAtMs }) => kind === 'text' && monotonicMs - askedAtMs < QUESTION_TTL_MS)
}

/**
 * Adds questions again whose answer this host does not hold yet.
 * @example repeatQuestions(reads, [question], ['c1', 'c2', 'c3'], moment).reads.waiting.length
 */
export function repeatQuestions (reads: QuorumReads, questions: readonly Question[], control: readonly string[], moment: Moment): ReadStep {
  return listKept(questions, moment).reduce<ReadStep>((step, question) => {
    const added = addQuestion(step.reads, question, control, moment)
    return { reads: added.reads, effects: [...step.effects, ...added.effects] }
  }, { reads, effects: [] })
}

function endRead (reads: QuorumReads, outcome: ReadOutcome | undefined, kept: readonly Question[], control: readonly string[], moment: Moment): ReadStep {
  const next = scheduleRead({ ...reads, tookMs: moment.monotonicMs - reads.sentAtMs, serving: [], waiting: [...kept, ...reads.waiting], answers: new Map() }, control, moment)
  return { ...next, outcome }
}

// The newest members that any of them knows: later ones were stored by a majority of these, so one of the answers would name them.
function findNewest (answers: readonly VersionsTold[]): Configuration | undefined {
  const [newest] = [...answers].sort((a, b) => b.configurationTerm - a.configurationTerm || b.configurationIndex - a.configurationIndex)
  return newest?.configuration
}

// An incarnation that lost its disk is no member.
function isConfirmed (newest: Configuration, answers: ReadonlyMap<string, VersionsTold>): boolean {
  return hasQuorum(newest, (host, incarnation) => answers.get(host)?.incarnation === incarnation)
}

function collectVersions (answers: ReadonlyMap<string, VersionsTold>): readonly DocumentVersion[] {
  const versions = new Map<string, number>()
  for (const { service, version } of [...answers.values()].flatMap(answer => answer.versions)) versions.set(service, Math.max(version, versions.get(service) ?? 0))
  return [...versions].map(([service, version]) => ({ service, version }))
}

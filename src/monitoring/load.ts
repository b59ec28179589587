/** Tells which messages a busy process spends its time on, second by second: counters alone don't show when work shifted. */
import type { Message } from '../core/message.js'
import type { Log } from './log.js'

const INTERVAL_MS = 1_000
/** The processor time within an interval from which on a process is busy: a tenth of a core. */
const MIN_PROCESSOR_MS = 100
/** The most kinds of messages in a line. */
const MAX_KINDS = 10
const MICROSECONDS_PER_MS = 1_000

/** Reads the processor time that the process has used, in milliseconds. */
export type ReadProcessorMs = () => number

/** Writes a line for each second in which the process is busy. */
export class LoadReport {
  readonly #log: Log
  readonly #readProcessorMs: ReadProcessorMs
  #counts = new Map<string, number>()
  #tookMs = new Map<string, number>()
  #sinceMs: number | undefined
  #processorMs = 0
  #heartbeatAtMs: number | undefined
  #longestHeartbeatMs = 0

  private constructor (log: Log, readProcessorMs: ReadProcessorMs) {
    this.#log = log
    this.#readProcessorMs = readProcessorMs
  }

  /**
   * Creates the report of this process.
   * @example LoadReport.create(log).observeMessage({ kind: 'membership/beat' }, moment.monotonicMs)
   */
  static create (log: Log, readProcessorMs: ReadProcessorMs = readOwnProcessorMs): LoadReport {
    return new LoadReport(log, readProcessorMs)
  }

  /** Counts a message at a monotonic time; the first message after an interval ends it. */
  observeMessage ({ kind }: Message, nowMs: number): void {
    if (this.#sinceMs === undefined || nowMs - this.#sinceMs >= INTERVAL_MS) this.#endInterval(nowMs)
    this.#counts.set(kind, (this.#counts.get(kind) ?? 0) + 1)
    if (kind === 'membership/beat-due') this.#observeHeartbeat(nowMs)
  }

  /** Adds the time that a message took, in milliseconds: its decision, and the effects with their encoding. */
  observeHandled ({ kind }: Message, tookMs: number): void {
    this.#tookMs.set(kind, (this.#tookMs.get(kind) ?? 0) + tookMs)
  }

  // A host that is late, for whatever reason, handles its own timers late.
  #observeHeartbeat (nowMs: number): void {
    this.#longestHeartbeatMs = Math.max(this.#longestHeartbeatMs, nowMs - (this.#heartbeatAtMs ?? nowMs))
    this.#heartbeatAtMs = nowMs
  }

  #endInterval (nowMs: number): void {
    const processorMs = this.#readProcessorMs()
    const spentMs = processorMs - this.#processorMs
    if (this.#sinceMs !== undefined && spentMs >= MIN_PROCESSOR_MS) this.#write(nowMs - this.#sinceMs, spentMs)
    this.#sinceMs = nowMs
    this.#processorMs = processorMs
    this.#counts = new Map()
    this.#tookMs = new Map()
    this.#longestHeartbeatMs = 0
  }

  #write (elapsedMs: number, spentMs: number): void {
    const handled = listMost(this.#counts).map(([kind, count]) => `${kind} ${count}`)
    const took = listMost(this.#tookMs).map(([kind, ms]) => `${kind} ${Math.round(ms)} ms`)
    this.#log.write('monitoring', 'info', 'This host is busy.', {
      event: 'load',
      elapsedMs: Math.round(elapsedMs),
      processorMs: Math.round(spentMs),
      longestHeartbeatMs: Math.round(this.#longestHeartbeatMs),
      handled,
      took
    })
  }
}

function listMost (byKind: ReadonlyMap<string, number>): ReadonlyArray<readonly [string, number]> {
  return [...byKind].sort((a, b) => b[1] - a[1]).slice(0, MAX_KINDS)
}

function readOwnProcessorMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MS
}

/** The history of one request, collected from the log lines of all processes. */
import { compareStamps, type Stamp } from '../timeline/stamp.js'

/** How long before the start of a request an event may still be its cause; longer than shares of the rate are valid. */
const LOOKBACK_MS = 10_000
/** How long after the end of a request an event may still show its cause; longer than the failover of a silent primary takes. */
const LOOKAHEAD_MS = 3_000
/** Lines without a request that are kept, some 50 MB; the oldest are dropped whenever twice as many are held. */
const MAX_EVENTS = 100_000
/** The count for a line without a stamp, which sorts it before the stamped lines of the same millisecond. */
const UNSTAMPED_COUNT = -1

/** A parsed log line of a process. */
export interface LogLine {
  readonly stamp: Stamp
  readonly host: string
  readonly text: string
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** The log lines of a request, and the events of all processes around it, each in causal order. */
export interface RequestHistory {
  readonly request: string
  readonly lines: readonly LogLine[]
  readonly events: readonly LogLine[]
  /** True when the oldest events were dropped, since there were too many. */
  readonly truncated: boolean
}

const METADATA_FIELDS = new Set(['name', 'hostname', 'pid', 'v', 'time', 'stamp', 'host', 'msg'])

/** Reads log lines one by one and keeps those that may be relevant to one request. */
export class HistoryReader {
  readonly #request: string
  readonly #lines: LogLine[] = []
  #events: LogLine[] = []
  #truncated = false

  private constructor (request: string) {
    this.#request = request
  }

  /**
   * Creates a reader for the request with this id.
   * @example HistoryReader.create('5c0e7a21').add('{"request":"5c0e7a21","msg":"requests: ..."}')
   */
  static create (request: string): HistoryReader {
    return new HistoryReader(request)
  }

  /** Adds a line of any process; other text than log lines is ignored. */
  add (text: string): void {
    // Most lines belong to other requests; they are skipped without parsing.
    const matches = text.includes(this.#request)
    if (!matches && text.includes('"request":')) return
    const line = parseLine(text)
    if (line === undefined) return
    if (line.fields.request === this.#request) this.#lines.push(line)
    else if (line.fields.request === undefined) this.#addEvent(line)
  }

  /** Returns the history from all added lines. */
  finish (): RequestHistory {
    const lines = listByStamp(this.#lines)
    const events = lines.length === 0 ? [] : listByStamp(this.#events.filter(event => isAround(event, lines)))
    return { request: this.#request, lines, events, truncated: this.#truncated }
  }

  #addEvent (line: LogLine): void {
    this.#events.push(line)
    if (this.#events.length < 2 * MAX_EVENTS) return
    this.#events = listByStamp(this.#events).slice(-MAX_EVENTS)
    this.#truncated = true
  }
}

// Some log collectors prefix lines with a time or a name.
function parseLine (text: string): LogLine | undefined {
  try {
    const { time, stamp, host, msg, ...rest } = JSON.parse(text.slice(text.indexOf('{'))) as Record<string, unknown>
    if (typeof msg !== 'string' || typeof time !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(rest).filter(([key]) => !METADATA_FIELDS.has(key)))
    return { stamp: readStamp(stamp, time), host: String(host), text: msg, fields }
  } catch {
    // Not a log line, for example part of a stack trace.
    return undefined
  }
}

function readStamp (stamp: unknown, time: string): Stamp {
  if (Array.isArray(stamp) && typeof stamp[0] === 'number' && typeof stamp[1] === 'number') return { wallMs: stamp[0], count: stamp[1] }
  return { wallMs: Date.parse(time), count: UNSTAMPED_COUNT }
}

function listByStamp (lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((a, b) => compareStamps(a.stamp, b.stamp))
}

function isAround ({ stamp }: LogLine, lines: readonly LogLine[]): boolean {
  const first = lines[0]!
  const startMs = first.stamp.wallMs - Number(first.fields.elapsedMs ?? 0)
  return stamp.wallMs >= startMs - LOOKBACK_MS && stamp.wallMs <= lines[lines.length - 1]!.stamp.wallMs + LOOKAHEAD_MS
}

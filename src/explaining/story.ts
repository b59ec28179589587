/** The story of one request, told by the log lines of all processes. */
import { compareStamps, type Stamp } from '../timeline/stamp.js'

/** How long before a request began a change may still be its cause: longer than shares last. */
const BEFORE_MS = 10_000
/** How long after its end a change may show its cause: longer than a silent primary takes to be replaced. */
const AFTER_MS = 3_000
/** Lines on what processes believe that are held at a time: some 50 MB. */
const MAX_KEPT = 100_000
/** A process numbers the lines of one millisecond; a line without a stamp comes before them. */
const UNSTAMPED = -1

/** One line of a process, as far as it can be read. */
export interface StoryLine {
  readonly stamp: Stamp
  readonly host: string
  readonly text: string
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** The lines on a request, and what the processes did and believed around it, each in the order of cause and effect. */
export interface Story {
  readonly request: string
  readonly lines: readonly StoryLine[]
  readonly events: readonly StoryLine[]
  /** True when there were more lines than can be held. */
  readonly cut: boolean
}

const PLUMBING = new Set(['name', 'hostname', 'pid', 'v', 'time', 'stamp', 'host', 'msg'])

/** Reads lines one by one and keeps those that may matter to one request. */
export class StoryReader {
  readonly #request: string
  readonly #lines: StoryLine[] = []
  #events: StoryLine[] = []
  #cut = false

  private constructor (request: string) {
    this.#request = request
  }

  /**
   * Creates a reader for one request.
   * @example StoryReader.create('5c0e7a21').take('{"request":"5c0e7a21","msg":"requests: ..."}')
   */
  static create (request: string): StoryReader {
    return new StoryReader(request)
  }

  /** Takes the next line of any process; what is no log line is left out. */
  take (text: string): void {
    // Most lines are on other requests: they are not parsed.
    const named = text.includes(this.#request)
    if (!named && text.includes('"request":')) return
    const line = parseLine(text)
    if (line === undefined) return
    if (line.fields.request === this.#request) this.#lines.push(line)
    else if (line.fields.request === undefined) this.#keep(line)
  }

  /** Returns what the lines tell. */
  finish (): Story {
    const lines = listInOrder(this.#lines)
    const events = lines.length === 0 ? [] : listInOrder(this.#events.filter(event => isAround(event, lines)))
    return { request: this.#request, lines, events, cut: this.#cut }
  }

  #keep (line: StoryLine): void {
    this.#events.push(line)
    if (this.#events.length < 2 * MAX_KEPT) return
    this.#events = listInOrder(this.#events).slice(-MAX_KEPT)
    this.#cut = true
  }
}

// Some collectors put a time or a name before the line.
function parseLine (text: string): StoryLine | undefined {
  try {
    const { time, stamp, host, msg, ...rest } = JSON.parse(text.slice(text.indexOf('{'))) as Record<string, unknown>
    if (typeof msg !== 'string' || typeof time !== 'string') return undefined
    const fields = Object.fromEntries(Object.entries(rest).filter(([key]) => !PLUMBING.has(key)))
    return { stamp: readStamp(stamp, time), host: String(host), text: msg, fields }
  } catch {
    // Not a line of the log, such as a stack trace.
    return undefined
  }
}

function readStamp (stamp: unknown, time: string): Stamp {
  if (Array.isArray(stamp) && typeof stamp[0] === 'number' && typeof stamp[1] === 'number') return { wallMs: stamp[0], count: stamp[1] }
  return { wallMs: Date.parse(time), count: UNSTAMPED }
}

function listInOrder (lines: readonly StoryLine[]): StoryLine[] {
  return [...lines].sort((a, b) => compareStamps(a.stamp, b.stamp))
}

function isAround ({ stamp }: StoryLine, lines: readonly StoryLine[]): boolean {
  const first = lines[0]!
  const beganMs = first.stamp.wallMs - Number(first.fields.elapsedMs ?? 0)
  return stamp.wallMs >= beganMs - BEFORE_MS && stamp.wallMs <= lines[lines.length - 1]!.stamp.wallMs + AFTER_MS
}

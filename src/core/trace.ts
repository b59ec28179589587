/** Traces: the messages delivered to slices, with their moments, as JSON lines; replaying them gives the same effects. */
import { createHash } from 'node:crypto'
import { closeSync, openSync, writeSync } from 'node:fs'
import type { Effect, Message, Moment } from './message.js'
import { readOwner } from './message.js'
import type { Slice } from './slice.js'

/** The size at which recording stops. */
const MAX_TRACE_BYTES = 67_108_864

/** One message and the moment of its delivery. */
export interface TraceStep {
  readonly message: Message
  readonly moment: Moment
}

/**
 * Encodes a step as one line.
 * @example encodeStep({ message: { kind: 'agreement/tick' }, moment })
 */
export function encodeStep (step: TraceStep): string {
  return JSON.stringify(step, encodeValue)
}

/**
 * Decodes the lines of a trace; an incomplete last line is ignored.
 * @example decodeTrace(await readFile('host-1.trace', 'utf8'))
 * @throws SyntaxError when another line is not valid JSON.
 */
export function decodeTrace (text: string): readonly TraceStep[] {
  return text.slice(0, text.lastIndexOf('\n') + 1).split('\n').filter(line => line !== '').map(line => JSON.parse(line, decodeValue) as TraceStep)
}

/**
 * Replays a trace on a newly created slice and returns all its effects in order.
 * @example replayTrace(DecidingSlice.create({ name: 'agreement', ... }), decodeTrace(text)).length
 */
export function replayTrace (slice: Slice, steps: readonly TraceStep[]): readonly Effect[] {
  return steps.filter(({ message }) => readOwner(message.kind) === slice.name).flatMap(({ message, moment }) => slice.handle(message, moment))
}

/**
 * Returns a SHA-256 digest of effects, to compare the outcome of replays.
 * @example hashEffects(replayTrace(slice, steps))
 */
export function hashEffects (effects: readonly Effect[]): string {
  return createHash('sha256').update(JSON.stringify(effects, encodeValue)).digest('hex')
}

/** Records the messages of some slices to a file until it reaches its maximum size. Messages may hold callers' data, so recording is opt-in. */
export class TraceFile {
  readonly #file: number
  readonly #slices: ReadonlySet<string>
  #bytes = 0

  private constructor (file: number, slices: ReadonlySet<string>) {
    this.#file = file
    this.#slices = slices
  }

  /**
   * Creates or truncates a trace file.
   * @example TraceFile.create('host-1.trace', ['agreement'])
   * @throws an Error of the file system when the file can't be opened.
   */
  static create (path: string, slices: readonly string[]): TraceFile {
    return new TraceFile(openSync(path, 'w'), new Set(slices))
  }

  /** Records a message before its decision. */
  readonly record = (message: Message, moment: Moment): void => {
    if (!this.#slices.has(readOwner(message.kind)) || this.#bytes >= MAX_TRACE_BYTES) return
    this.#bytes += writeSync(this.#file, `${encodeStep({ message, moment })}\n`)
  }

  async [Symbol.asyncDispose] (): Promise<void> {
    this.#bytes = MAX_TRACE_BYTES
    closeSync(this.#file)
  }
}

// Reads the value from its object, since JSON.stringify has already called toJSON on a Buffer.
function encodeValue (this: unknown, key: string, encoded: unknown): unknown {
  const value = (this as Readonly<Record<string, unknown>>)[key]
  if (value === Infinity || value === -Infinity) return { $number: String(value) }
  if (value instanceof Map) return { $map: [...value] }
  if (value instanceof Set) return { $set: [...value] }
  if (value instanceof Uint8Array) return { $bytes: Buffer.from(value).toString('base64') }
  return encoded
}

function decodeValue (_key: string, value: unknown): unknown {
  const { $number, $map, $set, $bytes } = (value ?? {}) as { readonly $number?: string, readonly $map?: ReadonlyArray<readonly [unknown, unknown]>, readonly $set?: readonly unknown[], readonly $bytes?: string }
  if ($number !== undefined) return Number($number)
  if ($map !== undefined) return new Map($map)
  if ($set !== undefined) return new Set($set)
  if ($bytes !== undefined) return Uint8Array.from(Buffer.from($bytes, 'base64'))
  return value
}

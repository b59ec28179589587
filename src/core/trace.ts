/** Traces: the messages that slices took, with their moments, as JSON lines that replay to the same effects. */
import { createHash } from 'node:crypto'
import { closeSync, openSync, writeSync } from 'node:fs'
import type { Effect, Message, Moment } from './message.js'
import { readOwner } from './message.js'
import type { Slice } from './slice.js'

/** The largest trace of one process. */
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
 * Decodes the lines of a trace; an unfinished last line is dropped.
 * @example decodeTrace(await readFile('host-1.trace', 'utf8'))
 * @throws SyntaxError when another line is broken.
 */
export function decodeTrace (text: string): readonly TraceStep[] {
  return text.slice(0, text.lastIndexOf('\n') + 1).split('\n').filter(line => line !== '').map(line => JSON.parse(line, decodeValue) as TraceStep)
}

/**
 * Hands the steps of a trace to a fresh slice, and returns all its effects in order.
 * @example replayTrace(DecidingSlice.create({ name: 'agreement', ... }), decodeTrace(text)).length
 */
export function replayTrace (slice: Slice, steps: readonly TraceStep[]): readonly Effect[] {
  return steps.filter(({ message }) => readOwner(message.kind) === slice.name).flatMap(({ message, moment }) => slice.take(message, moment))
}

/**
 * Returns a digest of effects, to state a trace's outcome in one line.
 * @example hashEffects(replayTrace(slice, steps))
 */
export function hashEffects (effects: readonly Effect[]): string {
  return createHash('sha256').update(JSON.stringify(effects, encodeValue)).digest('hex')
}

/** Writes the messages of some slices to a file, until the file is full. Holds what messages hold, so it is opt-in. */
export class TraceFile {
  readonly #file: number
  readonly #slices: ReadonlySet<string>
  #bytes = 0

  private constructor (file: number, slices: ReadonlySet<string>) {
    this.#file = file
    this.#slices = slices
  }

  /**
   * Creates or empties a trace file.
   * @example TraceFile.create('host-1.trace', ['agreement'])
   * @throws when the file can't be written.
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

// The value is read from its holder, since a buffer has turned into its own JSON form by now.
function encodeValue (this: unknown, key: string, encoded: unknown): unknown {
  const value = (this as Readonly<Record<string, unknown>>)[key]
  if (value === Infinity || value === -Infinity) return { $number: String(value) }
  if (value instanceof Map) return { $map: [...value] }
  if (value instanceof Uint8Array) return { $bytes: Buffer.from(value).toString('base64') }
  return encoded
}

function decodeValue (_key: string, value: unknown): unknown {
  const { $number, $map, $bytes } = (value ?? {}) as { readonly $number?: string, readonly $map?: ReadonlyArray<readonly [unknown, unknown]>, readonly $bytes?: string }
  if ($number !== undefined) return Number($number)
  if ($map !== undefined) return new Map($map)
  if ($bytes !== undefined) return Uint8Array.from(Buffer.from($bytes, 'base64'))
  return value
}

/** Messages, which the loop delivers to slices, and effects, which slices return. */

/** A typed, read-only message. The part of `kind` before the slash names the slice that owns it. */
export interface Message {
  readonly kind: string
}

/** A typed, read-only effect. The part of `kind` before the slash names the adapter that executes it. */
export interface Effect {
  readonly kind: string
  /** The monotonic time after which the effect must not be executed, such as the end of a lease. */
  readonly notAfterMs?: number
  /** Posted to the loop when the effect is discarded after `notAfterMs`. */
  readonly otherwise?: Message
}

/** The time, and a random number, at the delivery of one message. */
export interface Moment {
  /** Milliseconds of a clock that never steps back and advances while the process is suspended. */
  readonly monotonicMs: number
  /** Milliseconds since the epoch, for display only. */
  readonly wallMs: number
  /** A fresh random number in [0, 1). */
  readonly random: number
}

/** The outcome of one decision: the next state and the effects to execute. */
export interface Step<State, E extends Effect> {
  readonly state: State
  readonly effects: readonly E[]
}

/** Delivers a message to a slice of this process. */
export interface Tell<M extends Message = Message> {
  readonly kind: 'loop/tell'
  readonly message: M
}

/** Delivers a message after a delay; a timer of the same name replaces the earlier one. */
export interface SetTimer<M extends Message = Message> {
  readonly kind: 'timer/set'
  readonly name: string
  readonly afterMs: number
  readonly message: M
}

/** Clears a timer. */
export interface ClearTimer {
  readonly kind: 'timer/clear'
  readonly name: string
}

/** Sends a message to a slice of another host. Delivery is best-effort. */
export interface SendPeer<M extends Message = Message> extends Effect {
  readonly kind: 'peer/send'
  readonly to: string
  readonly message: M
}

/** Updates the addresses at which other hosts listen for peers. */
export interface LearnPeers {
  readonly kind: 'peer/learn'
  readonly addresses: ReadonlyArray<{ readonly host: string, readonly peers: string }>
}

/** Adds an event to the timeline. */
export interface RecordEvent {
  readonly kind: 'timeline/record'
  readonly event: string
  readonly text: string
  readonly group?: string
  readonly request?: string
}

/** The severity of a log line. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Writes a line to the log, prefixed with the name of the slice. */
export interface WriteLog {
  readonly kind: 'log/write'
  readonly level: LogLevel
  readonly text: string
  /** The subject of the line, and the values that the decision was based on. */
  readonly fields?: LogFields
}

/** Fields of a log line: names of requests, hosts and databases, ages in milliseconds, versions. Never a key or a row. */
export type LogFields = Readonly<Record<string, string | number | boolean | readonly string[] | undefined>>

/** The effects that every slice may return. */
export type CoreEffect = Tell | SetTimer | ClearTimer | SendPeer | LearnPeers | RecordEvent | WriteLog

/**
 * Creates the effect that delivers a message to a slice of this process.
 * @example tell({ kind: 'membership/started' })
 */
export function tell<M extends Message> (message: M): Tell<M> {
  return { kind: 'loop/tell', message }
}

/**
 * Creates the effect that delivers a message after a delay.
 * @example setTimer('membership/beat', 150, { kind: 'membership/beat' })
 */
export function setTimer<M extends Message> (name: string, afterMs: number, message: M): SetTimer<M> {
  return { kind: 'timer/set', name, afterMs, message }
}

/**
 * Creates the effect that clears a timer.
 * @example clearTimer('membership/beat')
 */
export function clearTimer (name: string): ClearTimer {
  return { kind: 'timer/clear', name }
}

/**
 * Creates the effect that sends a message to another host.
 * @example sendPeer('host-2', { kind: 'membership/beat' })
 */
export function sendPeer<M extends Message> (to: string, message: M): SendPeer<M> {
  return { kind: 'peer/send', to, message }
}

/**
 * Creates the effect that adds an event to the timeline.
 * @example recordEvent('promoted', 'Database a1 is primary of group a.', { group: 'a' })
 */
export function recordEvent (event: string, text: string, about: { readonly group?: string, readonly request?: string } = {}): RecordEvent {
  return { kind: 'timeline/record', event, text, ...about }
}

/**
 * Creates the effect that writes a short sentence to the log. Timeline events are logged already.
 * @example writeLog('warn', 'Host host-2 stopped sending heartbeats.')
 */
export function writeLog (level: LogLevel, text: string, fields?: LogFields): WriteLog {
  return { kind: 'log/write', level, text, fields }
}

/**
 * Returns the name of the slice or adapter that owns a message or effect.
 * @example readOwner('routing/choose') // 'routing'
 */
export function readOwner (kind: string): string {
  const slash = kind.indexOf('/')
  return slash < 0 ? kind : kind.slice(0, slash)
}

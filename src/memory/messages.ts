/** Messages of the memory slice, which ends the connections that take too much room or time. */

/** Who is at the other end of a connection. */
export type ConnectionKind = 'caller' | 'operator' | 'peer'

/**
 * What a connection waits for: `starting` for its first message, `receiving` for the rest of a message, `unread` for the
 * other end to read an answer, `ending` for it to close its side. An `idle` connection waits for nothing, and may do so for as
 * long as it likes.
 */
export type Stage = 'starting' | 'receiving' | 'unread' | 'ending' | 'idle'

/** What a connection takes. */
export interface ConnectionUse {
  readonly connection: number
  readonly kind: ConnectionKind
  readonly stage: Stage
  /** The time since which it is in its stage; for `unread` and `ending`, since which nothing was read. */
  readonly sinceMs: number
  /** Bytes that were read and not answered, or written and not read. */
  readonly bytes: number
}

/** What the limits did since the last check. */
export interface LimitCounts {
  /** Requests that were refused because the process had no room for them. */
  readonly refusedRequests: number
  /** Connections that were not accepted because all were in use. */
  readonly refusedConnections: number
  /** Connections that were closed for another one, because all were in use. */
  readonly replacedConnections: number
  /** Times that a connection was not read further until there was room. */
  readonly pauses: number
}

/** The use of connections that wait for their other end was measured. */
export interface UseMeasured {
  readonly kind: 'memory/measured'
  /** The time of the measurement on the clock of the connections. */
  readonly atMs: number
  /** Bytes of all connections. */
  readonly bytes: number
  readonly connections: number
  /** The connections that are not idle. */
  readonly waiting: readonly ConnectionUse[]
  readonly counts: LimitCounts
}

/** Any message of the memory slice. */
export type MemoryMessage = UseMeasured

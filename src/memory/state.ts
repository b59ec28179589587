/** The state of the memory slice. */
import type { LimitCounts } from './messages.js'

/** The limits of a process. */
export interface MemoryLimits {
  /** Bytes that all connections may hold together: what was read and not answered, and what was written and not read. */
  readonly heldBytes: number
  /** Connections that may be open at a time. */
  readonly connections: number
  /** The largest message of a peer, decompressed. */
  readonly peerMessageBytes: number
  /** How long a connection may take until its first message is complete. */
  readonly startMs: number
  /** How long the rest of a message may take once it has begun. */
  readonly messageMs: number
  /** How long the other end may read nothing of an answer. */
  readonly unreadMs: number
}

/** Why a connection was closed. */
export type CloseReason = 'start-too-slow' | 'message-too-slow' | 'answer-unread' | 'end-too-slow' | 'memory-full'

/** State of the memory slice. */
export interface MemoryState {
  readonly limits: MemoryLimits
  /** What the limits did since the last log line. */
  readonly unreported: LimitCounts
  readonly unreportedClosed: Readonly<Record<CloseReason, number>>
  /** The monotonic time of the last log line. */
  readonly reportedAtMs?: number
}

export const NO_COUNTS: LimitCounts = { refusedRequests: 0, refusedConnections: 0, replacedConnections: 0, pauses: 0 }
export const NONE_CLOSED: Readonly<Record<CloseReason, number>> = { 'start-too-slow': 0, 'message-too-slow': 0, 'answer-unread': 0, 'end-too-slow': 0, 'memory-full': 0 }

/**
 * Creates the state of a process whose limits have not acted yet.
 * @example createMemoryState(limits).unreported.refusedRequests // 0
 */
export function createMemoryState (limits: MemoryLimits): MemoryState {
  return { limits, unreported: NO_COUNTS, unreportedClosed: NONE_CLOSED }
}

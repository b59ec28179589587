/** Decisions under clients that keep to no limit: what is read, served, accepted and closed. */
import { recordEvent, type Effect, type Moment, type RecordEvent, type Step } from '../core/message.js'
import type { ConnectionKind, ConnectionUse, LimitCounts, MemoryMessage, Stage, UseMeasured } from './messages.js'
import { NO_COUNTS, NONE_CLOSED, type CloseReason, type MemoryLimits, type MemoryState } from './state.js'

/** What a connection holds at most with messages of ordinary size. */
export const ORDINARY_BYTES = 32_768
/** How far beyond the limit connections with messages of ordinary size are still served. */
const ORDINARY_FACTOR = 1.25
/** The part of the limit down to which connections are closed once it is exceeded. */
const RELIEVED_FRACTION = 0.75
/** The part of all connections up to which those of each kind are accepted: some are left for operators and databases, and for peers. */
const CONNECTION_FRACTIONS: Readonly<Record<ConnectionKind, number>> = { caller: 0.75, operator: 0.875, peer: 1 }
/** The part of the limit that several connections of one workspace may take with large requests. */
const PARTY_FRACTION = 0.5
/** The part of the limit that the state of all sessions may take, beside what connections hold. */
const STATE_FRACTION = 0.5
/** What a session may keep while others have taken that part, and how far beyond it. */
const ORDINARY_STATE_BYTES = 4_096
const REPORT_INTERVAL_MS = 1_000
/** The order in which connections give way when all are in use: nobody misses one that never began. */
const REPLACED_STAGES: readonly Stage[] = ['ending', 'starting', 'receiving', 'unread']

/** Closes a connection at once. */
export interface CloseConnection extends Effect {
  readonly kind: 'connection/close'
  readonly connection: number
  readonly reason: CloseReason
}

/** An effect of the memory slice. */
export type MemoryEffect = CloseConnection | RecordEvent

/**
 * Whether a process has room for more of a connection. Load: many messages of legal size at once. Connections with messages
 * of ordinary size are served on from room that the others do not get.
 * @example hasRoom(limits, 5_000_000, 200) // true
 */
export function hasRoom (limits: MemoryLimits, processBytes: number, connectionBytes: number): boolean {
  return processBytes <= (connectionBytes <= ORDINARY_BYTES ? limits.heldBytes * ORDINARY_FACTOR : limits.heldBytes)
}

/**
 * Returns what each connection may hold if all of them hold as much, at most what messages of ordinary size take. Load: as many
 * connections as are accepted, each with little that was half sent or is not read.
 * @example calculateFairBytes(limits) // 4_096
 */
export function calculateFairBytes ({ heldBytes, connections }: MemoryLimits): number {
  return Math.min(ORDINARY_BYTES, Math.floor(heldBytes * RELIEVED_FRACTION / connections))
}

/**
 * Whether a request of a connection runs. Load: many messages of legal size of one workspace, through several connections;
 * those of others still find room.
 * @example isRequestAdmitted(limits, 5_000_000, 200, 4_000_000) // true
 * @param partyBytes bytes of all connections of the workspace, this one included.
 */
export function isRequestAdmitted (limits: MemoryLimits, processBytes: number, connectionBytes: number, partyBytes: number): boolean {
  if (!hasRoom(limits, processBytes, connectionBytes)) return false
  return connectionBytes <= ORDINARY_BYTES || partyBytes <= connectionBytes || partyBytes <= limits.heldBytes * PARTY_FRACTION
}

/**
 * Whether a session may keep so much state, such as prepared statements. Load: many sessions that each keep what is legal.
 * @example isStateAdmitted(limits, 1_000_000, 4_000) // true
 * @param allBytes bytes of the state of all sessions, this one included.
 */
export function isStateAdmitted ({ heldBytes }: MemoryLimits, allBytes: number, sessionBytes: number): boolean {
  return allBytes <= heldBytes * (sessionBytes <= ORDINARY_STATE_BYTES ? 2 * STATE_FRACTION : STATE_FRACTION)
}

/**
 * Whether a connection is read further while a request of it runs. Load: many messages sent ahead on one connection; what is
 * not read waits with its sender.
 * @example isReadAhead(limits, 0, 1_048_576) // false
 */
export function isReadAhead (limits: MemoryLimits, processBytes: number, aheadBytes: number): boolean {
  return aheadBytes <= ORDINARY_BYTES && processBytes <= limits.heldBytes
}

/**
 * Whether one more connection of a kind is accepted beside those that are open. Load: crowds that only connect.
 * @example isAccepted(limits, 100, 'caller')
 */
export function isAccepted (limits: MemoryLimits, connections: number, kind: ConnectionKind): boolean {
  return connections < limits.connections * CONNECTION_FRACTIONS[kind]
}

/**
 * Chooses the connection that gives way to a new one when all are in use; undefined when each of them is idle. Load: crowds
 * that connect, send or read slowly, or stop half-way.
 * @example chooseReplaced(uses)?.connection
 */
export function chooseReplaced (waiting: Iterable<ConnectionUse>): ConnectionUse | undefined {
  let chosen: ConnectionUse | undefined
  for (const use of waiting) {
    const order = REPLACED_STAGES.indexOf(use.stage)
    if (order < 0) continue
    const chosenOrder = chosen === undefined ? Infinity : REPLACED_STAGES.indexOf(chosen.stage)
    if (order < chosenOrder || (order === chosenOrder && use.sinceMs < chosen!.sinceMs)) chosen = use
  }
  return chosen
}

/**
 * Decides on one message of the memory slice.
 * @example decideMemory(state, { kind: 'memory/measured', atMs, bytes, connections, waiting, counts }, moment)
 */
export function decideMemory (state: MemoryState, message: MemoryMessage, moment: Moment): Step<MemoryState, MemoryEffect> {
  const closed = [...chooseSlow(state.limits, message), ...chooseLargest(state.limits, message)]
  const reasons = new Map(closed.map(effect => [effect.connection, effect]))
  const next = countActions(state, message.counts, [...reasons.values()])
  return reportActions(next, [...reasons.values()], message, moment)
}

// Load: crowds that stop half-way. Each stage has its time limit; an idle connection has none.
function chooseSlow ({ startMs, messageMs, unreadMs }: MemoryLimits, { waiting, atMs }: UseMeasured): readonly CloseConnection[] {
  const limitByStage: Readonly<Record<Stage, number>> = { starting: startMs, receiving: messageMs, unread: unreadMs, ending: unreadMs, idle: Infinity }
  const reasonByStage: Readonly<Record<Stage, CloseReason>> = { starting: 'start-too-slow', receiving: 'message-too-slow', unread: 'answer-unread', ending: 'end-too-slow', idle: 'memory-full' }
  return waiting.filter(({ stage, sinceMs }) => atMs - sinceMs > limitByStage[stage]).map(({ connection, stage }) => createClose(connection, reasonByStage[stage]))
}

// Load: many large messages that stop half-way, or large answers that nobody reads: refusing further requests frees nothing.
// Ordinary ones are closed, too, once there are so many that ordinary requests are refused.
function chooseLargest (limits: MemoryLimits, { waiting, bytes }: UseMeasured): readonly CloseConnection[] {
  const { heldBytes } = limits
  if (bytes <= heldBytes) return []
  const keptBytes = bytes > heldBytes * ORDINARY_FACTOR ? calculateFairBytes(limits) : ORDINARY_BYTES
  let excess = bytes - heldBytes * RELIEVED_FRACTION
  const closed: CloseConnection[] = []
  for (const use of waiting.filter(({ stage }) => stage !== 'idle').sort((a, b) => b.bytes - a.bytes || a.sinceMs - b.sinceMs)) {
    if (excess <= 0 || use.bytes <= keptBytes) break
    excess -= use.bytes
    closed.push(createClose(use.connection, 'memory-full'))
  }
  return closed
}

function createClose (connection: number, reason: CloseReason): CloseConnection {
  return { kind: 'connection/close', connection, reason }
}

function countActions (state: MemoryState, counts: LimitCounts, closed: readonly CloseConnection[]): MemoryState {
  const { unreported, unreportedClosed } = state
  if (counts === NO_COUNTS && closed.length === 0) return state
  const nextClosed = { ...unreportedClosed }
  for (const { reason } of closed) nextClosed[reason] += 1
  return {
    ...state,
    unreported: {
      refusedRequests: unreported.refusedRequests + counts.refusedRequests,
      refusedConnections: unreported.refusedConnections + counts.refusedConnections,
      replacedConnections: unreported.replacedConnections + counts.replacedConnections,
      pauses: unreported.pauses + counts.pauses
    },
    unreportedClosed: nextClosed
  }
}

// A crowd makes the limits act thousands of times a second; one line tells of all of them.
function reportActions (state: MemoryState, effects: readonly CloseConnection[], { bytes, connections }: UseMeasured, { monotonicMs }: Moment): Step<MemoryState, MemoryEffect> {
  const figures = Object.entries({ ...state.unreported, ...state.unreportedClosed }).filter(([, count]) => count > 0)
  const isDue = state.reportedAtMs === undefined || monotonicMs - state.reportedAtMs >= REPORT_INTERVAL_MS
  if (figures.length === 0 || !isDue) return { state, effects }
  const text = `The limits of this process acted with ${bytes} bytes on ${connections} connections: ${figures.map(([name, count]) => `${name} ${count}`).join(', ')}.`
  return { state: { ...state, unreported: NO_COUNTS, unreportedClosed: NONE_CLOSED, reportedAtMs: monotonicMs }, effects: [...effects, recordEvent('limits-acted', text)] }
}

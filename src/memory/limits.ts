/** The limits of a process, from its settings and its machine. */
import { readFileSync } from 'node:fs'
import { totalmem } from 'node:os'
import { getHeapStatistics } from 'node:v8'
import type { MemoryLimits } from './state.js'

/** The part of the memory that connections may hold: a message exists up to six times while it is parsed, stored and sent. */
const HELD_FRACTION = 0.125
const MIN_HELD_BYTES = 4_194_304
/** The part of the memory that the largest message of a peer may take, but at least what a large document takes. */
const PEER_MESSAGE_FRACTION = 0.125
const MIN_PEER_MESSAGE_BYTES = 25_165_824
const MAX_PEER_MESSAGE_BYTES = 67_108_864
/** Descriptors that are left for connections to databases and other hosts, and for files. */
const MIN_RESERVED_DESCRIPTORS = 96
const RESERVED_FRACTION = 0.125
/** What an idle connection takes of the heap, and the part of the heap that all of them may take. */
const CONNECTION_BYTES = 16_384
const CONNECTIONS_FRACTION = 0.5
const DEFAULT_DESCRIPTORS = 1_024

/** What a process may use of its machine. */
export interface Machine {
  readonly memoryBytes: number
  readonly descriptors: number
}

/** The limits of the settings; 0 where a limit follows from the machine. */
export interface LimitSettings {
  readonly heldBytes: number
  readonly connections: number
  /** The descriptors that connections may use. */
  readonly descriptors: number
  readonly startMs: number
  readonly messageMs: number
  readonly unreadMs: number
}

/**
 * Returns the limits of a process.
 * @example calculateLimits(settings.limits, readMachine()).heldBytes
 */
export function calculateLimits (settings: LimitSettings, machine: Machine): MemoryLimits {
  const { memoryBytes } = machine
  const descriptors = settings.descriptors > 0 ? settings.descriptors : machine.descriptors
  const reserved = Math.max(MIN_RESERVED_DESCRIPTORS, descriptors * RESERVED_FRACTION)
  const connections = Math.max(1, Math.floor(Math.min(descriptors - reserved, memoryBytes * CONNECTIONS_FRACTION / CONNECTION_BYTES)))
  const { startMs, messageMs, unreadMs } = settings
  return {
    heldBytes: settings.heldBytes > 0 ? settings.heldBytes : Math.max(MIN_HELD_BYTES, Math.floor(memoryBytes * HELD_FRACTION)),
    connections: settings.connections > 0 ? settings.connections : connections,
    peerMessageBytes: Math.min(MAX_PEER_MESSAGE_BYTES, Math.max(MIN_PEER_MESSAGE_BYTES, Math.floor(memoryBytes * PEER_MESSAGE_FRACTION))),
    startMs,
    messageMs,
    unreadMs
  }
}

/**
 * Reads what this process may use.
 * @example readMachine().descriptors // 1_024
 */
export function readMachine (): Machine {
  const constrained = process.constrainedMemory?.() ?? 0
  const available = constrained > 0 ? Math.min(constrained, totalmem()) : totalmem()
  return { memoryBytes: Math.min(getHeapStatistics().heap_size_limit, available), descriptors: readDescriptorLimit() }
}

// Other systems than Linux have no such file.
function readDescriptorLimit (): number {
  try {
    const found = /^Max open files\s+(\d+)/m.exec(readFileSync('/proc/self/limits', 'utf8'))
    return found === null ? DEFAULT_DESCRIPTORS : Number(found[1])
  } catch {
    return DEFAULT_DESCRIPTORS
  }
}

/** Large requests that were passed from one host to another and are not answered yet. */
import type { MemoryLimits } from './state.js'

/** The part of what this host may hold that it may send to one owner. */
const OWNER_FRACTION = 0.5
/** How long an owner that had no room gets no further large request. */
const FULL_MS = 500
/** How long after the deadline of a request its answer may still come. */
const GRACE_MS = 1_000

interface Payload {
  readonly host: string
  readonly bytes: number
  readonly endsAtMs: number
}

/**
 * Whether a large request is sent to an owner. Load: many messages of legal size through several hosts; what the owner has no
 * room for is refused before its bytes are sent.
 * @example isSent(limits, 0, 1_048_576) // true
 */
export function isSent ({ heldBytes }: MemoryLimits, bytesAtOwner: number, bytes: number): boolean {
  return bytesAtOwner === 0 || bytesAtOwner + bytes <= heldBytes * OWNER_FRACTION
}

/** Counts the bytes of large requests until they are answered, or could not be answered any more. */
export class PayloadLedger {
  readonly #onChange: (change: number) => void
  readonly #payloads = new Map<string, Payload>()
  readonly #bytesByHost = new Map<string, number>()
  readonly #fullUntilMs = new Map<string, number>()

  private constructor (onChange: (change: number) => void) {
    this.#onChange = onChange
  }

  /**
   * Creates an empty ledger.
   * @example PayloadLedger.create(change => account.addBytes(change))
   */
  static create (onChange: (change: number) => void = () => undefined): PayloadLedger {
    return new PayloadLedger(onChange)
  }

  /** Returns the bytes of requests that a host has not answered, or has not been answered. */
  countBytes (host: string): number {
    return this.#bytesByHost.get(host) ?? 0
  }

  /** Adds the request of a caller. */
  add (caller: string, host: string, bytes: number, remainingMs: number, nowMs: number): void {
    this.remove(caller)
    this.expire(nowMs)
    this.#payloads.set(caller, { host, bytes, endsAtMs: nowMs + remainingMs + GRACE_MS })
    this.#change(host, bytes)
  }

  /** Removes the request of a caller, which was answered or given up. */
  remove (caller: string): void {
    const payload = this.#payloads.get(caller)
    if (payload === undefined) return
    this.#payloads.delete(caller)
    this.#change(payload.host, -payload.bytes)
  }

  /** Removes all requests of a host whose link was lost. */
  removeHost (host: string): void {
    for (const [caller, payload] of [...this.#payloads]) if (payload.host === host) this.remove(caller)
  }

  /** Marks a host that had no room. */
  markFull (host: string, nowMs: number): void {
    this.#fullUntilMs.set(host, nowMs + FULL_MS)
  }

  /** Whether a host said lately that it has no room. */
  isFull (host: string, nowMs: number): boolean {
    return nowMs < (this.#fullUntilMs.get(host) ?? 0)
  }

  /** Removes requests that could not be answered any more. */
  expire (nowMs: number): void {
    for (const [caller, { endsAtMs }] of [...this.#payloads]) if (endsAtMs < nowMs) this.remove(caller)
  }

  #change (host: string, change: number): void {
    const bytes = this.countBytes(host) + change
    if (bytes === 0) this.#bytesByHost.delete(host)
    else this.#bytesByHost.set(host, bytes)
    this.#onChange(change)
  }
}

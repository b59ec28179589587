/** Large requests on the links between hosts: they are refused where the owner has no room for them. */
import { createFailure } from '../core/errors.js'
import type { Message } from '../core/message.js'
import type { MemoryAccount } from '../memory/account.js'
import { ORDINARY_BYTES } from '../memory/decide.js'
import { isSent, PayloadLedger } from '../memory/payloads.js'
import type { HostMessage } from '../messages.js'
import type { AttemptFailed } from '../requests/messages.js'
import type { RunRequest } from '../transactions/messages.js'

/** Counts the large requests of a host at owners, and those of other hosts at this one. */
export class LargeRequests {
  readonly #account: MemoryAccount
  /** Their bytes are counted with the connections of their callers. */
  readonly #sent = PayloadLedger.create()
  readonly #received: PayloadLedger

  private constructor (account: MemoryAccount) {
    this.#account = account
    this.#received = PayloadLedger.create(change => account.addBytes(change))
  }

  /**
   * Creates the counts of a host.
   * @example LargeRequests.create(account)
   */
  static create (account: MemoryAccount): LargeRequests {
    return new LargeRequests(account)
  }

  /** Counts a message that is to be sent; returns the refusal of a request that the owner has no room for. */
  send (to: string, sent: Message): AttemptFailed | undefined {
    const message = sent as HostMessage
    switch (message.kind) {
      case 'transactions/run': return isLarge(message) ? this.#sendRequest(to, message) : undefined
      case 'transactions/cancel':
        this.#sent.remove(message.caller)
        return undefined
      case 'requests/finished':
      case 'requests/failed':
        this.#received.remove(message.caller)
        return undefined
      default: return undefined
    }
  }

  /** Counts a message that was received; returns the refusal of a request that this host has no room for. */
  receive (from: string, received: Message): AttemptFailed | undefined {
    const message = received as HostMessage
    switch (message.kind) {
      case 'transactions/run': return isLarge(message) ? this.#receiveRequest(from, message) : undefined
      case 'transactions/cancel':
        this.#received.remove(message.caller)
        return undefined
      case 'requests/failed':
        if (message.failure.code === 'memory-full') this.#sent.markFull(from, performance.now())
        this.#sent.remove(message.caller)
        return undefined
      case 'requests/finished':
        this.#sent.remove(message.caller)
        return undefined
      default: return undefined
    }
  }

  /** Forgets requests that could not be answered any more, so that a lost answer takes no room for good. */
  expire (nowMs: number): void {
    this.#sent.expire(nowMs)
    this.#received.expire(nowMs)
  }

  /** Forgets the requests to and from a host whose link was lost. */
  removeHost (host: string): void {
    this.#sent.removeHost(host)
    this.#received.removeHost(host)
  }

  #sendRequest (to: string, message: RunRequest): AttemptFailed | undefined {
    const nowMs = performance.now()
    const bytes = message.payload.length
    this.expire(nowMs)
    if (this.#sent.isFull(to, nowMs) || !isSent(this.#account.limits, this.#sent.countBytes(to), bytes)) return this.#refuse(message)
    this.#sent.add(message.caller, to, bytes, message.remainingMs, nowMs)
    return undefined
  }

  #receiveRequest (from: string, message: RunRequest): AttemptFailed | undefined {
    const nowMs = performance.now()
    const bytes = message.payload.length
    this.expire(nowMs)
    if (!this.#account.hasRoomFor(bytes)) return this.#refuse(message)
    this.#received.add(message.caller, from, bytes, message.remainingMs, nowMs)
    return undefined
  }

  #refuse ({ caller, attempt }: RunRequest): AttemptFailed {
    this.#account.countRefused()
    return { kind: 'requests/failed', caller, attempt, failure: createFailure('memory-full') }
  }
}

function isLarge ({ payload }: RunRequest): boolean {
  return payload !== undefined && payload.length > ORDINARY_BYTES
}

/** The owner of a database with one caller: runs its statements after random delays, and knows which of them were kept. */
import { createFailure } from '../../src/core/errors.js'
import { ORIGIN } from '../../src/core/position.js'
import type { HostMessage } from '../../src/messages.js'
import type { TransactionStatus } from '../../src/requests/messages.js'
import type { CancelRequest, RunRequest } from '../../src/transactions/messages.js'
import type { SimulatedClock } from './simulatedclock.js'

const MAX_WORK_MS = 150
/** Longer than the time limit of a statement and what its entry host waits beyond it. */
const LATE_WORK_MS = 1_500
const LATE_SHARE = 0.02
const REFUSED_SHARE = 0.08
const FAILED_SHARE = 0.05

/** Encodes the answer to a statement. */
export type EncodeAnswer = (error: 'FAILED' | 'ABORTED' | undefined, status: TransactionStatus) => Uint8Array

/** The dependencies of an owner. */
export interface OwnerParts {
  readonly clock: SimulatedClock
  readonly random: () => number
  readonly encodeAnswer: EncodeAnswer
  readonly readId: (payload: Uint8Array) => string
  readonly reply: (message: HostMessage) => void
}

interface OwnedTransaction {
  readonly ids: readonly string[]
  readonly failed: boolean
}

/** Owns one database. */
export class SimulatedOwner {
  readonly #parts: OwnerParts
  readonly #runs = new Map<string, number>()
  readonly #kept = new Set<string>()
  #transaction: OwnedTransaction | undefined
  #cancelledOrder = 0
  #cancelsOnTheirWay = 0

  private constructor (parts: OwnerParts) {
    this.#parts = parts
  }

  static create (parts: OwnerParts): SimulatedOwner {
    return new SimulatedOwner(parts)
  }

  /** The caller's transaction; idle as soon as its cancellation was sent. */
  get status (): TransactionStatus {
    if (this.#transaction === undefined || this.#cancelsOnTheirWay > 0) return 'idle'
    return this.#transaction.failed ? 'failed' : 'open'
  }

  /** Returns how often a statement ran. */
  countRuns (id: string): number {
    return this.#runs.get(id) ?? 0
  }

  /** True if a statement's effect was committed. */
  isKept (id: string): boolean {
    return this.#kept.has(id)
  }

  /** Tells the owner that a cancellation was sent to it. */
  expectCancel (): void {
    this.#cancelsOnTheirWay += 1
  }

  cancel ({ ticket }: CancelRequest): void {
    this.#cancelsOnTheirWay -= 1
    this.#cancelledOrder = Math.max(this.#cancelledOrder, ticket.order)
    this.#transaction = undefined
  }

  run (message: RunRequest): void {
    const { clock, random } = this.#parts
    const workMs = random() < LATE_SHARE ? LATE_WORK_MS : random() * MAX_WORK_MS
    clock.schedule(workMs, () => this.#execute(message))
  }

  #execute (message: RunRequest): void {
    const { random } = this.#parts
    if (message.ticket.order <= this.#cancelledOrder) return
    if (message.transaction === undefined && random() < REFUSED_SHARE) return this.#fail(message, 'queue-full', true)
    if (message.transaction !== undefined && this.#transaction === undefined) return this.#fail(message, 'transaction-lost', false)
    const id = this.#parts.readId(message.payload)
    this.#runs.set(id, this.countRuns(id) + 1)
    this.#finish(message, this.#apply(message, id))
  }

  #apply ({ intent }: RunRequest, id: string): 'FAILED' | 'ABORTED' | undefined {
    const transaction = this.#transaction
    switch (intent) {
      case 'begin':
      case 'begin-read-only':
        this.#transaction = { ids: [id], failed: false }
        return undefined
      case 'rollback':
        this.#transaction = undefined
        return undefined
      case 'commit': return this.#commit(id)
      case 'statement':
        if (transaction === undefined) this.#kept.add(id)
        else return this.#continueTransaction(transaction, id)
    }
    return undefined
  }

  #continueTransaction (transaction: OwnedTransaction, id: string): 'FAILED' | undefined {
    const failed = transaction.failed || this.#parts.random() < FAILED_SHARE
    this.#transaction = { ids: [...transaction.ids, id], failed }
    return failed ? 'FAILED' : undefined
  }

  #commit (id: string): 'ABORTED' | undefined {
    const transaction = this.#transaction
    this.#transaction = undefined
    if (transaction === undefined || transaction.failed) return 'ABORTED'
    for (const kept of [...transaction.ids, id]) this.#kept.add(kept)
    return undefined
  }

  #finish ({ caller, attempt }: RunRequest, error: 'FAILED' | 'ABORTED' | undefined): void {
    const status = this.#transaction === undefined ? 'idle' : this.#transaction.failed ? 'failed' : 'open'
    this.#parts.reply({ kind: 'requests/finished', from: 'owner', caller, attempt, status, wrote: false, position: ORIGIN, parts: 0, payload: this.#parts.encodeAnswer(error, status) })
  }

  #fail ({ caller, attempt }: RunRequest, code: 'queue-full' | 'transaction-lost', retriable: boolean): void {
    this.#parts.reply({ kind: 'requests/failed', from: 'owner', caller, attempt, failure: createFailure(code, 'a1'), retriable })
  }
}

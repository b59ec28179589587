/** Load on one owned database in simulated time: requests of many workspaces, slots, and connections that take time to open. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Effect, Message, SendPeer, SetTimer } from '../../core/message.js'
import { ORIGIN } from '../../core/position.js'
import { StoreSlice } from '../../core/store.js'
import type { DatabaseEntry } from '../../membership/directory.js'
import type { AttemptFailed, AttemptFinished } from '../../requests/messages.js'
import { decideTransactions } from '../decide.js'
import { checkOwnedDatabase } from '../invariants.js'
import type { RunRequest, TransactionsMessage } from '../messages.js'
import type { ColdLimits } from '../refill.js'
import { createTransactionsShared } from '../state.js'

const QUEUE_LENGTH = 200
const IDLE_TRANSACTION_MS = 3_000

/** One of several kinds of requests in a load. */
export interface RequestKind {
  readonly name: string
  /** The requests of this kind, of all. */
  readonly share: number
  readonly priority?: number
  readonly latencyMs?: number
  /** True for a route without keys, whose requests belong to no workspace. */
  readonly open?: boolean
}

/** The load pattern. */
export interface DatabaseLoad {
  readonly seed: number
  readonly slots: number
  readonly connectionLimit: number
  readonly workspaces: number
  readonly requestsPerSecond: number
  readonly durationMs: number
  readonly openMs: number
  /** The mean time of a statement; statements take from half of it to one and a half times. */
  readonly statementMs: number
  readonly remainingMs: number
  /** The latency target of the requests; none when absent. */
  readonly latencyMs?: number
  /** How late the owner is: answers of the database and its own timers wait that long. */
  readonly lagMs?: number
  /** How long requests wait at the late owner before it handles them; callers count it, the owner can't. */
  readonly inboxMs?: number
  /** The kinds of the requests; one kind with the `latencyMs` above when absent. */
  readonly kinds?: readonly RequestKind[]
  /** True where all requests are equally urgent, first in, first out. */
  readonly unranked?: boolean
  /** The database is cold, and its group has this rate. */
  readonly coldRate?: number
  /** The fraction of requests that open a transaction of three statements; none when absent. */
  readonly transactionPart?: number
  /** When the leader's confirmations end; never when absent. */
  readonly cutAtMs?: number
}

/** Excess, slack and delay of news in load patterns of cold databases. */
export const COLD_LIMITS: ColdLimits = { excess: 1.5, slack: 5, unheardMs: 2_000 }

/** What became of one request. */
export interface RequestOutcome {
  readonly outcome: 'finished' | 'refused' | 'expired'
  readonly elapsedMs: number
  /** The name of its kind; absent where the load has one kind. */
  readonly kind?: string
}

/** The outcomes of a run, and the connections that it opened. */
export interface DatabaseLoadResult {
  readonly outcomes: readonly RequestOutcome[]
  readonly opened: number
  /** When each statement reached the database. */
  readonly sentAtMs: readonly number[]
}

interface ScheduledStep {
  readonly atMs: number
  readonly sequence: number
  readonly run: () => void
}

interface OpenDatabase extends Effect { readonly connection: string }

/**
 * Runs a load pattern against the transactions slice. Large workspaces ask more often: the n-th asks 1/n as often as the first.
 * @example runDatabaseLoad({ seed: 1, slots: 3, ... }).opened
 */
export function runDatabaseLoad (load: DatabaseLoad): DatabaseLoadResult {
  return DatabaseLoadSimulation.create(load).run()
}

class DatabaseLoadSimulation {
  readonly #load: DatabaseLoad
  readonly #random
  readonly #slice
  readonly #steps: ScheduledStep[] = []
  readonly #timers = new Map<string, number>()
  readonly #arrivals = new Map<string, { readonly atMs: number, readonly kind?: RequestKind }>()
  readonly #outcomes: RequestOutcome[] = []
  readonly #sentAtMs: number[] = []
  /** Statements that are left, by caller with an open transaction. */
  readonly #statementsLeft = new Map<string, number>()
  readonly #shares: readonly number[]
  readonly #waitingForSlot: Array<() => void> = []
  #slotsInUse = 0
  #nowMs = 0
  #sequence = 0
  #opened = 0
  #tickets = 0
  readonly #runs = new Map<string, RunRequest>()

  private constructor (load: DatabaseLoad) {
    this.#load = load
    this.#random = xoroshiro128plus(load.seed)
    const shared = createTransactionsShared(QUEUE_LENGTH, IDLE_TRANSACTION_MS, { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }, COLD_LIMITS)
    this.#slice = StoreSlice.create({ name: 'transactions', shared, decide: decideTransactions, checkItem: checkOwnedDatabase })
    this.#shares = Array.from({ length: load.workspaces }, (_, index) => 1 / (index + 1))
  }

  static create (load: DatabaseLoad): DatabaseLoadSimulation {
    return new DatabaseLoadSimulation(load)
  }

  run (): DatabaseLoadResult {
    const { slots, connectionLimit, coldRate } = this.#load
    const entry: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '', slots, connectionLimit, departing: false, ...(coldRate === undefined ? {} : { cold: true }) }
    this.#handle({ kind: 'transactions/owned-changed', databases: [entry], grants: [], coldRates: new Map(coldRate === undefined ? [] : [['a', coldRate]]) })
    if (coldRate !== undefined) this.#renewConfirmation()
    this.#scheduleArrival(1)
    while (this.#steps.length > 0) {
      this.#steps.sort((a, b) => b.atMs - a.atMs || b.sequence - a.sequence)
      const step = this.#steps.pop()!
      this.#nowMs = step.atMs
      step.run()
    }
    return { outcomes: this.#outcomes, opened: this.#opened, sentAtMs: this.#sentAtMs }
  }

  #renewConfirmation (): void {
    if (this.#nowMs > Math.min(this.#load.durationMs, this.#load.cutAtMs ?? Infinity)) return
    this.#handle({ kind: 'transactions/contact-confirmed', askedAtMs: this.#nowMs })
    this.#schedule(100, () => this.#renewConfirmation())
  }

  #scheduleArrival (number: number): void {
    const pauseMs = -Math.log(1 - uniformFloat64(this.#random)) * 1_000 / this.#load.requestsPerSecond
    if (this.#nowMs + pauseMs > this.#load.durationMs) return
    this.#schedule(pauseMs, () => {
      this.#arrive(number)
      this.#scheduleArrival(number + 1)
    })
  }

  #arrive (number: number): void {
    const caller = `c${number}`
    const kind = this.#drawKind()
    this.#arrivals.set(caller, { atMs: this.#nowMs, kind })
    if (this.#load.transactionPart !== undefined && uniformFloat64(this.#random) < this.#load.transactionPart) this.#statementsLeft.set(caller, 2)
    const run: RunRequest = {
      kind: 'transactions/run',
      from: 'entry',
      caller,
      attempt: 1,
      ticket: { sender: 'p', order: ++this.#tickets },
      service: 's',
      workspace: kind?.open === true ? undefined : `w${this.#drawWorkspace()}`,
      target: { database: 'a1', owner: 'o', purpose: 'replica', term: 1, floor: ORIGIN },
      intent: 'statement',
      remainingMs: this.#load.remainingMs,
      ...this.#rank(kind),
      payload: new Uint8Array(0)
    }
    this.#runs.set(caller, run)
    this.#schedule(this.#load.inboxMs ?? 0, () => this.#handle(run))
  }

  #rank (kind: RequestKind | undefined): Pick<RunRequest, 'priority' | 'latencyMs' | 'targetLeftMs'> {
    const latencyMs = kind === undefined ? this.#load.latencyMs : kind.latencyMs
    return this.#load.unranked === true ? { latencyMs, priority: 0, targetLeftMs: Infinity } : { latencyMs, priority: kind?.priority }
  }

  #drawKind (): RequestKind | undefined {
    const { kinds } = this.#load
    if (kinds === undefined) return undefined
    let left = uniformFloat64(this.#random)
    return kinds.find(({ share }) => (left -= share) < 0) ?? kinds.at(-1)
  }

  #continueTransaction (caller: string): void {
    const left = this.#statementsLeft.get(caller)! - 1
    this.#statementsLeft.set(caller, left)
    const attempt = 3 - left
    this.#handle({ ...this.#runs.get(caller)!, attempt, transaction: 1, ticket: { sender: 'p', order: ++this.#tickets }, intent: left === 0 ? 'commit' : 'statement' })
  }

  #drawWorkspace (): number {
    let left = uniformFloat64(this.#random) * this.#shares.reduce((sum, share) => sum + share, 0)
    return this.#shares.findIndex(share => (left -= share) < 0)
  }

  #schedule (afterMs: number, run: () => void): void {
    this.#steps.push({ atMs: this.#nowMs + afterMs, sequence: ++this.#sequence, run })
  }

  #handle (message: TransactionsMessage): void {
    for (const effect of this.#slice.handle(message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 })) this.#execute(effect)
  }

  #execute (effect: Effect): void {
    switch (effect.kind) {
      case 'database/open': return this.#open((effect as OpenDatabase).connection)
      case 'database/execute': return this.#startStatement((effect as OpenDatabase).connection)
      case 'timer/set': return this.#setTimer(effect as SetTimer)
      case 'timer/clear': this.#timers.delete((effect as Effect & { readonly name: string }).name); return
      case 'peer/send': return this.#record((effect as SendPeer).message as AttemptFailed | AttemptFinished)
    }
  }

  #open (connection: string): void {
    this.#opened += 1
    this.#acquireSlot(this.#load.openMs, () => this.#handle({ kind: 'transactions/opened', connection }))
  }

  #startStatement (connection: string): void {
    const statementMs = this.#load.statementMs * (0.5 + uniformFloat64(this.#random))
    const observed = { position: ORIGIN, askedAtMs: this.#nowMs, proven: false }
    this.#sentAtMs.push(this.#nowMs)
    const caller = this.#slice.store.items.get('a1')?.connections.get(connection)?.caller ?? ''
    const status = (this.#statementsLeft.get(caller) ?? 0) > 0 ? 'open' : 'idle'
    this.#acquireSlot(statementMs, () => this.#handle({ kind: 'transactions/finished', connection, status, refused: false, observed, payload: new Uint8Array(0) }))
  }

  // The database runs as many pieces of work as it has slots, in the order of their arrival.
  #acquireSlot (forMs: number, report: () => void): void {
    if (this.#slotsInUse >= this.#load.slots) {
      this.#waitingForSlot.push(() => this.#acquireSlot(forMs, report))
      return
    }
    this.#slotsInUse += 1
    this.#schedule(forMs, () => {
      this.#slotsInUse -= 1
      this.#schedule(this.#load.lagMs ?? 0, report)
      this.#waitingForSlot.shift()?.()
    })
  }

  #setTimer ({ name, afterMs, message }: SetTimer): void {
    if (message.kind === 'transactions/lag-due' && this.#nowMs > this.#load.durationMs) return
    const sequence = this.#sequence + 1
    this.#timers.set(name, sequence)
    this.#schedule(afterMs + (this.#load.lagMs ?? 0), () => {
      if (this.#timers.get(name) === sequence) this.#handle(message as Message as TransactionsMessage)
    })
  }

  #record (answer: AttemptFailed | AttemptFinished): void {
    if (answer.kind === 'requests/finished' && (this.#statementsLeft.get(answer.caller) ?? 0) > 0) {
      this.#schedule(5, () => this.#continueTransaction(answer.caller))
      return
    }
    const { atMs, kind } = this.#arrivals.get(answer.caller)!
    const elapsedMs = this.#nowMs - atMs
    const outcome = answer.kind === 'requests/finished' ? 'finished' : answer.failure.code === 'deadline-passed' ? 'expired' : 'refused'
    this.#outcomes.push({ outcome, elapsedMs, kind: kind?.name })
  }
}

/** Random schedules with changes of the leader, delayed promotion calls, and databases that go silent. */
import { expect } from 'chai'
import { createRandom } from '../../test/support/stepqueue.js'
import type { Effect, Tell } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decideSuccession } from './decide.js'
import type { CallAnswered, SuccessionMessage } from './messages.js'
import { createSuccessionState, type AppointPrimary, type SuccessionState } from './state.js'
import { applySuccessionCommand, type SuccessionCommand, type AppointmentTable } from './table.js'

const RUNS = Number(process.env.RUNS ?? 100)
const FIRST_SEED = Number(process.env.SEED ?? 1)
const DOMAINS = ['a', 'b', 'c'] as const
const STEP_MS = 50
const FAULTS_MS = 25_000
/** Longer than a late call, the delays between appointments, and the silence of a database together. */
const RECOVERY_MS = 20_000
/** Maximum delay of a late call. */
const MAX_LATE_CALL_MS = 4_000
const PROMOTION_DELAY_MS = 400
const CALL_DELAY_MS = 20
/** Timeout of an unanswered call. */
const CALL_TIMEOUT_MS = 1_000

interface Leader {
  readonly epoch: number
  state: SuccessionState
  /** The end of its leadership; a deposed leader acts until its lease ends. */
  endsAtMs: number
  readonly refused: Set<number>
}

interface ScheduledEvent {
  readonly atMs: number
  readonly run: () => void
}

const createEntry = (index: number): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain: DOMAINS[index]!, address: `127.0.0.1:${index}`, slots: 3, connectionLimit: 10, departing: false, leads: index === 0 })

/** Simulates a platform that checks fencing tokens, a log that accepts commands of the last leader only, and hosts that send reports. */
class FailoverSimulation {
  readonly #random: () => number
  #nowMs = 0
  #table: AppointmentTable = {}
  #leaders: Leader[] = []
  #scheduled: ScheduledEvent[] = []
  #primary = 'db-0'
  #highestFence = 0
  readonly #silentUntilMs = new Map<string, number>()
  /** The database of each fencing token that was sent. */
  readonly #databaseByFence = new Map<number, string>()
  #hasFaults = true
  promotions = 0

  private constructor (seed: number) {
    this.#random = createRandom(seed)
    this.#startLeader()
  }

  static create (seed: number): FailoverSimulation {
    return new FailoverSimulation(seed)
  }

  run (): void {
    for (; this.#nowMs < FAULTS_MS + RECOVERY_MS; this.#nowMs += STEP_MS) {
      if (this.#nowMs >= FAULTS_MS && this.#hasFaults) this.#endFaults()
      if (this.#hasFaults) this.#drawFaults()
      const ready = this.#scheduled.filter(event => event.atMs <= this.#nowMs)
      this.#scheduled = this.#scheduled.filter(event => event.atMs > this.#nowMs)
      for (const event of ready) event.run()
      for (const leader of this.#leaders.filter(one => one.endsAtMs > this.#nowMs)) this.#runLeader(leader)
    }
    const last = this.#leaders[this.#leaders.length - 1]!
    expect(last.state.published.get('g')?.database, 'the published primary').to.equal(this.#primary)
  }

  #endFaults (): void {
    this.#hasFaults = false
    this.#silentUntilMs.clear()
  }

  #drawFaults (): void {
    if (this.#random() < 0.01) this.#startLeader()
    if (this.#random() < 0.02) this.#silentUntilMs.set(`db-${Math.floor(this.#random() * 3)}`, this.#nowMs + this.#random() * 6_000)
  }

  #startLeader (): void {
    for (const leader of this.#leaders) leader.endsAtMs = Math.min(leader.endsAtMs, this.#nowMs + this.#random() * 500)
    const leader: Leader = { epoch: this.#leaders.length + 1, state: createSuccessionState(true), endsAtMs: Infinity, refused: new Set() }
    this.#leaders.push(leader)
    this.#decide(leader, { kind: 'succession/leadership', leads: true, epoch: leader.epoch, table: this.#table })
    this.#decide(leader, { kind: 'succession/documents', copies: new Map([['g', 0]]) })
  }

  #runLeader (leader: Leader): void {
    for (const index of DOMAINS.keys()) this.#report(leader, index)
    this.#decide(leader, { kind: 'succession/check-due' })
  }

  #report (leader: Leader, index: number): void {
    const entry = createEntry(index)
    const answering = (this.#silentUntilMs.get(entry.database) ?? 0) <= this.#nowMs
    const status: DatabaseStatus = { database: entry.database, answering, primary: entry.database === this.#primary, position: { term: this.promotions + 1, offset: index }, fencedTerm: 0, ageMs: 0 }
    this.#decide(leader, { kind: 'succession/reported', host: `host-${index}`, failureDomain: entry.failureDomain, apart: false, leftAtMs: this.#nowMs - this.#random() * 100, statuses: [status], databases: [entry] })
  }

  #decide (leader: Leader, message: SuccessionMessage): void {
    const step = decideSuccession(leader.state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: this.#random() })
    leader.state = step.state
    for (const effect of step.effects) this.#execute(leader, effect)
  }

  #execute (leader: Leader, effect: Effect): void {
    if (effect.kind === 'promotion/appoint') return this.#call(leader, effect as AppointPrimary)
    if (effect.kind !== 'loop/tell') return
    const message = (effect as Tell).message as { readonly kind: string, readonly command?: SuccessionCommand }
    const commits = leader === this.#leaders[this.#leaders.length - 1]
    if (message.kind !== 'agreement/propose' || !commits) return
    this.#scheduled.push({ atMs: this.#nowMs + this.#random() * 100, run: () => this.#commit(leader, message.command!) })
  }

  #commit (leader: Leader, command: SuccessionCommand): void {
    if (leader !== this.#leaders[this.#leaders.length - 1]) return
    this.#table = applySuccessionCommand(this.#table, command)
    this.#decide(leader, { kind: 'succession/applied', command, table: this.#table })
  }

  #call (leader: Leader, { fence, database, group, appointment }: AppointPrimary): void {
    expect(this.#databaseByFence.get(fence) ?? database, `fencing token ${fence} belongs to one database`).to.equal(database)
    expect(Math.floor(fence / 1_048_576), 'the fencing token belongs to the epoch of its leader').to.equal(leader.epoch)
    expect(leader.refused.has(fence), `refused fencing token ${fence} is not used again`).to.equal(false)
    this.#databaseByFence.set(fence, database)
    const late = this.#hasFaults && this.#random() < 0.3
    const atMs = this.#nowMs + (late ? this.#random() * MAX_LATE_CALL_MS : CALL_DELAY_MS)
    if (late) {
      // The leader does not learn of a late refusal, so a retry is allowed.
      this.#scheduled.push({ atMs, run: () => { this.#promote(fence, database) } })
      this.#scheduled.push({ atMs: this.#nowMs + CALL_TIMEOUT_MS, run: () => this.#answer(leader, { kind: 'succession/answered', group, appointment, outcome: 'unanswered' }) })
      return
    }
    this.#scheduled.push({
      atMs,
      run: () => {
        const outcome = this.#promote(fence, database)
        if (outcome === 'refused') leader.refused.add(fence)
        this.#answer(leader, { kind: 'succession/answered', group, appointment, outcome })
      }
    })
  }

  #answer (leader: Leader, message: CallAnswered): void {
    if (leader.endsAtMs > this.#nowMs) this.#decide(leader, message)
  }

  #promote (fence: number, database: string): 'done' | 'refused' {
    const runs = (this.#silentUntilMs.get(database) ?? 0) <= this.#nowMs
    if (fence < this.#highestFence || !runs) return 'refused'
    this.#highestFence = fence
    if (database === this.#primary) return 'done'
    this.promotions += 1
    this.#scheduled.push({ atMs: this.#nowMs + PROMOTION_DELAY_MS, run: () => { if (this.#highestFence === fence) this.#primary = database } })
    return 'done'
  }
}

describe('primary failover under random schedules', () => {
  it(`uses each fencing token for one database, never retries a refused call, and finally publishes the primary (seeds ${FIRST_SEED} to ${FIRST_SEED + RUNS - 1})`, function () {
    this.timeout(300_000)
    let promotions = 0
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const simulation = FailoverSimulation.create(seed)
      try {
        simulation.run()
      } catch (fault) {
        throw new Error(`seed ${seed}: SEED=${seed} RUNS=1 npx mocha src/succession/random.test.ts`, { cause: fault })
      }
      promotions += simulation.promotions
    }
    this.test!.title += ` (${promotions} promotions)`
    expect(promotions).to.be.above(RUNS)
  })
})

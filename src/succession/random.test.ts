/** Randomised schedules over leaders that change, calls that are carried out late, and databases that fall silent. */
import { expect } from 'chai'
import { createRandom } from '../../test/support/rates.js'
import type { Effect, Tell } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decideSuccession } from './decide.js'
import type { Answered, SuccessionMessage } from './messages.js'
import { createSuccessionState, type AppointPrimary, type SuccessionState } from './state.js'
import { applySuccessionCommand, type SuccessionCommand, type SuccessionTable } from './table.js'

const RUNS = Number(process.env.RUNS ?? 100)
const FIRST_SEED = Number(process.env.SEED ?? 1)
const DOMAINS = ['a', 'b', 'c'] as const
const STEP_MS = 50
const FAULTS_MS = 25_000
/** Longer than a late call, the pauses between appointments, and a database's silence together. */
const HEALED_MS = 20_000
/** The longest time after which a call is carried out. */
const LATE_MS = 4_000
const PROMOTE_MS = 400
const SOON_MS = 20
/** After this time a call without an answer is given up. */
const UNANSWERED_MS = 1_000

interface Leader {
  readonly epoch: number
  state: SuccessionState
  /** Until then it acts; a deposed one goes on for as long as its lease. */
  endsAtMs: number
  readonly refused: Set<number>
}

interface Due {
  readonly atMs: number
  readonly run: () => void
}

const createEntry = (index: number): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain: DOMAINS[index]!, address: `127.0.0.1:${index}`, slots: 3, connectionLimit: 10, departing: false, leads: index === 0 })

/** A platform that checks fences, a log that takes the commands of the last leader alone, and hosts that report. */
class SuccessionWorld {
  readonly #random: () => number
  #nowMs = 0
  #table: SuccessionTable = {}
  #leaders: Leader[] = []
  #due: Due[] = []
  #primary = 'db-0'
  #highest = 0
  readonly #silentUntilMs = new Map<string, number>()
  /** The database that each fence was sent for. */
  readonly #sent = new Map<number, string>()
  #faulty = true
  promotions = 0

  private constructor (seed: number) {
    this.#random = createRandom(seed)
    this.#startLeader()
  }

  static create (seed: number): SuccessionWorld {
    return new SuccessionWorld(seed)
  }

  run (): void {
    for (; this.#nowMs < FAULTS_MS + HEALED_MS; this.#nowMs += STEP_MS) {
      if (this.#nowMs >= FAULTS_MS && this.#faulty) this.#endFaults()
      if (this.#faulty) this.#drawFaults()
      const ready = this.#due.filter(due => due.atMs <= this.#nowMs)
      this.#due = this.#due.filter(due => due.atMs > this.#nowMs)
      for (const due of ready) due.run()
      for (const leader of this.#leaders.filter(one => one.endsAtMs > this.#nowMs)) this.#runLeader(leader)
    }
    const last = this.#leaders[this.#leaders.length - 1]!
    expect(last.state.published.get('g')?.database, 'the primary that hosts are told of').to.equal(this.#primary)
  }

  #endFaults (): void {
    this.#faulty = false
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
    this.#take(leader, { kind: 'succession/leadership', leads: true, epoch: leader.epoch, table: this.#table })
  }

  #runLeader (leader: Leader): void {
    for (const index of DOMAINS.keys()) this.#report(leader, index)
    this.#take(leader, { kind: 'succession/check-due' })
  }

  #report (leader: Leader, index: number): void {
    const entry = createEntry(index)
    const answering = (this.#silentUntilMs.get(entry.database) ?? 0) <= this.#nowMs
    const status: DatabaseStatus = { database: entry.database, answering, primary: entry.database === this.#primary, position: { term: this.promotions + 1, offset: index }, fencedTerm: 0, ageMs: 0 }
    this.#take(leader, { kind: 'succession/reported', host: `host-${index}`, failureDomain: entry.failureDomain, apart: false, leftAtMs: this.#nowMs - this.#random() * 100, statuses: [status], databases: [entry] })
  }

  #take (leader: Leader, message: SuccessionMessage): void {
    const step = decideSuccession(leader.state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: this.#random() })
    leader.state = step.state
    for (const effect of step.effects) this.#carryOut(leader, effect)
  }

  #carryOut (leader: Leader, effect: Effect): void {
    if (effect.kind === 'promotion/appoint') return this.#call(leader, effect as AppointPrimary)
    if (effect.kind !== 'loop/tell') return
    const told = (effect as Tell).message as { readonly kind: string, readonly command?: SuccessionCommand }
    const commits = leader === this.#leaders[this.#leaders.length - 1]
    if (told.kind !== 'agreement/propose' || !commits) return
    this.#due.push({ atMs: this.#nowMs + this.#random() * 100, run: () => this.#commit(leader, told.command!) })
  }

  #commit (leader: Leader, command: SuccessionCommand): void {
    if (leader !== this.#leaders[this.#leaders.length - 1]) return
    this.#table = applySuccessionCommand(this.#table, command)
    this.#take(leader, { kind: 'succession/applied', command, table: this.#table })
  }

  #call (leader: Leader, { fence, database, group, appointment }: AppointPrimary): void {
    expect(this.#sent.get(fence) ?? database, `fence ${fence} names one database`).to.equal(database)
    expect(Math.floor(fence / 1_048_576), 'the fence is of its leader').to.equal(leader.epoch)
    expect(leader.refused.has(fence), `no call again after a refusal of fence ${fence}`).to.equal(false)
    this.#sent.set(fence, database)
    const late = this.#faulty && this.#random() < 0.3
    const atMs = this.#nowMs + (late ? this.#random() * LATE_MS : SOON_MS)
    if (late) {
      // What was refused late was not heard of, so a call again is no fault.
      this.#due.push({ atMs, run: () => { this.#promote(fence, database) } })
      this.#due.push({ atMs: this.#nowMs + UNANSWERED_MS, run: () => this.#answer(leader, { kind: 'succession/answered', group, appointment, outcome: 'unanswered' }) })
      return
    }
    this.#due.push({
      atMs,
      run: () => {
        const outcome = this.#promote(fence, database)
        if (outcome === 'refused') leader.refused.add(fence)
        this.#answer(leader, { kind: 'succession/answered', group, appointment, outcome })
      }
    })
  }

  #answer (leader: Leader, message: Answered): void {
    if (leader.endsAtMs > this.#nowMs) this.#take(leader, message)
  }

  #promote (fence: number, database: string): 'done' | 'refused' {
    const runs = (this.#silentUntilMs.get(database) ?? 0) <= this.#nowMs
    if (fence < this.#highest || !runs) return 'refused'
    this.#highest = fence
    if (database === this.#primary) return 'done'
    this.promotions += 1
    this.#due.push({ atMs: this.#nowMs + PROMOTE_MS, run: () => { if (this.#highest === fence) this.#primary = database } })
    return 'done'
  }
}

describe('the succession under random schedules', () => {
  it(`uses each fence for one database, never calls again after a refusal, and names the primary in the end (seeds ${FIRST_SEED} to ${FIRST_SEED + RUNS - 1})`, function () {
    this.timeout(300_000)
    let promotions = 0
    for (let seed = FIRST_SEED; seed < FIRST_SEED + RUNS; seed++) {
      const world = SuccessionWorld.create(seed)
      try {
        world.run()
      } catch (fault) {
        throw new Error(`seed ${seed}: SEED=${seed} RUNS=1 npx mocha src/succession/random.test.ts`, { cause: fault })
      }
      promotions += world.promotions
    }
    this.test!.title += ` (${promotions} promotions)`
    expect(promotions).to.be.above(RUNS)
  })
})

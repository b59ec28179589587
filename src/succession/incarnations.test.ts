/** Guards against answers of a restarted database that count as those of its former start (docs/incidents/restarted-databases.md). */
import { expect } from 'chai'
import type { Effect, Tell } from '../core/message.js'
import type { FenceReplica } from '../databases/driver.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decideSuccession } from './decide.js'
import type { SuccessionMessage } from './messages.js'
import { createSuccessionState, type AppointPrimary, type SuccessionState } from './state.js'
import { TestLog, type ProposedCommand } from './support/testlog.js'

const DOMAINS = ['a', 'b', 'c'] as const
const STEP_MS = 50

interface SimulatedDatabase {
  startedAtMs: number
  offset: number
  answering: boolean
  departing: boolean
}

/** A leader whose log commits at once, and one owner in each of three failure domains that reports the database there. */
class TestLeader {
  readonly calls: AppointPrimary[] = []
  readonly published: Array<string | undefined> = []
  readonly fences: FenceReplica[] = []
  readonly databases: SimulatedDatabase[] = [50, 48, 49].map(offset => ({ startedAtMs: 1_000, offset, answering: true, departing: false }))
  /** The index of the database that the platform made primary. */
  primary = 0
  readonly #log = TestLog.create()
  #state: SuccessionState = createSuccessionState(true)
  #nowMs = 10_000
  #term = 1

  static create (copies = 0): TestLeader {
    const leader = new TestLeader()
    leader.#decide(leader.#log.lead(3))
    leader.#decide({ kind: 'succession/documents', copies: new Map([['g', copies]]) })
    return leader
  }

  get lastCall (): AppointPrimary | undefined {
    return this.calls.at(-1)
  }

  name (index: number): string {
    return this.#createEntry(index).database
  }

  /** Another host leads, which knows the log alone. */
  lead (): void {
    this.#decide(this.#log.lead(4))
    this.#decide({ kind: 'succession/documents', copies: this.#state.requiredCopies })
  }

  restart (index: number, offset: number): void {
    const database = this.databases[index]!
    database.startedAtMs += 10_000
    database.offset = offset
  }

  /** Answers the last call; a promotion begins the next term. */
  answer (outcome: 'done' | 'refused'): void {
    const { group, appointment, database } = this.lastCall!
    if (outcome === 'done') {
      this.primary = Number(/^i-(\d)/.exec(database)![1])
      this.#term += 1
    }
    this.#decide({ kind: 'succession/answered', group, appointment, outcome })
  }

  reportFenced (database: string, offset: number): void {
    this.#decide({ kind: 'succession/fenced', group: 'g', database, position: { term: this.#term, offset } })
  }

  run (ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.#nowMs += STEP_MS
      for (const index of DOMAINS.keys()) this.#report(index)
      this.#decide({ kind: 'succession/check-due' })
    }
  }

  #createEntry (index: number): DatabaseEntry {
    const { startedAtMs, departing } = this.databases[index]!
    return { kind: 'database', database: `i-${index}~${startedAtMs}`, incarnation: { instance: `i-${index}`, startedAtMs }, group: 'g', failureDomain: DOMAINS[index]!, address: `127.0.0.1:${7_000 + index}`, slots: 3, connectionLimit: 10, departing, leads: this.primary === index }
  }

  #report (index: number): void {
    const entry = this.#createEntry(index)
    const { offset, answering } = this.databases[index]!
    const status: DatabaseStatus = { database: entry.database, answering, primary: this.primary === index, position: { term: this.#term, offset }, fencedTerm: 0, ageMs: 0 }
    this.#decide({ kind: 'succession/reported', host: `host-${index}`, failureDomain: entry.failureDomain, apart: false, leftAtMs: this.#nowMs, statuses: [status], databases: [entry] })
  }

  #decide (message: SuccessionMessage): void {
    const step = decideSuccession(this.#state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 })
    this.#state = step.state
    for (const effect of step.effects) this.#execute(effect)
  }

  #execute (effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.calls.push(effect as AppointPrimary)
    if (effect.kind === 'database/fence') this.fences.push(effect as FenceReplica)
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell
    if (message.kind === 'membership/publish') this.published.push((message as unknown as { readonly entry: { readonly primary?: string } }).entry.primary)
    if (message.kind !== 'agreement/propose') return
    const { command } = message as unknown as { readonly command: ProposedCommand }
    this.#decide(this.#log.commit(command))
  }
}

describe('a primary that starts again under its identity', () => {
  let leader: TestLeader

  const promote = (): void => {
    leader.databases[0]!.departing = true
    leader.run(500)
    leader.answer('done')
    leader.run(500)
  }

  beforeEach(() => {
    leader = TestLeader.create()
    leader.run(1_000)
    expect(leader.published).to.deep.equal([leader.name(0)])
  })

  it('stays primary under its new name, also after several starts in series', () => {
    for (let count = 0; count < 3; count++) {
      leader.restart(0, 50)
      leader.run(200)
      expect(leader.published.at(-1)).to.equal(leader.name(0))
    }
    leader.run(10_000)
    expect(leader.calls).to.deep.equal([])
    expect(leader.published).not.to.include(undefined)
  })

  it('stays primary when it was appointed under its former name, also under the next leader', () => {
    promote()
    const index = leader.primary
    leader.restart(index, 50)
    leader.run(500)
    expect(leader.published.at(-1)).to.equal(leader.name(index))
    leader.lead()
    leader.run(10_000)
    expect(leader.published.at(-1)).to.equal(leader.name(index))
    expect(leader.calls).to.have.length(1)
  })

  it('is replaced by another database when it departs, never by its own former start', () => {
    leader.restart(0, 60)
    leader.run(1_000)
    leader.databases[0]!.departing = true
    leader.run(500)
    expect(leader.lastCall?.database).to.equal(leader.name(2))
  })

  it('is replaced by the database that holds most if it comes back without its log', () => {
    leader.restart(0, 0)
    leader.run(1_000)
    expect(leader.lastCall?.database).to.equal(leader.name(2))
    leader.answer('done')
    leader.run(10_000)
    expect(leader.published.at(-1)).to.equal(leader.name(2))
    expect(leader.calls).to.have.length(1)
  })
})

describe('a replica that starts again under its identity', () => {
  it('is not promoted by an appointment that named its former start', () => {
    const leader = TestLeader.create()
    leader.run(1_000)
    leader.databases[0]!.answering = false
    leader.run(1_000)
    expect(leader.lastCall?.database).to.equal(leader.name(2))
    leader.restart(2, 0)
    leader.run(3_000)
    expect(leader.lastCall?.database).to.equal(leader.name(1))
    expect(leader.lastCall!.appointment).to.equal(2)
    leader.answer('done')
    leader.run(500)
    expect(leader.published.at(-1)).to.equal(leader.name(1))
  })

  it('is fenced again: what its former start reported counts no longer', () => {
    const leader = TestLeader.create(1)
    leader.run(1_000)
    leader.databases[0]!.answering = false
    leader.run(1_000)
    const former = leader.name(2)
    leader.reportFenced(former, 49)
    leader.restart(2, 10)
    leader.run(500)
    leader.reportFenced(former, 49)
    leader.reportFenced(leader.name(1), 48)
    leader.run(500)
    expect(leader.fences.at(-1)!.database).to.equal(leader.name(2))
    expect(leader.calls).to.deep.equal([])
  })

  // The former start may have acknowledged the only copy of a write.
  it('holds a promotion up until the primary is back or covered, where a copy acknowledges a write', () => {
    const leader = TestLeader.create(1)
    leader.run(1_000)
    leader.databases[0]!.answering = false
    leader.restart(2, 10)
    leader.run(2_000)
    leader.reportFenced(leader.name(1), 48)
    leader.reportFenced(leader.name(2), 10)
    leader.run(5_000)
    expect(leader.calls).to.deep.equal([])
    leader.databases[0]!.answering = true
    leader.run(500)
    expect(leader.published.at(-1)).to.equal(leader.name(0))
  })

  it('does not answer for its former start before it is announced', () => {
    const leader = TestLeader.create(1)
    leader.run(1_000)
    leader.databases[0]!.answering = false
    leader.databases[2]!.answering = false
    leader.run(3_000)
    leader.reportFenced(leader.name(1), 48)
    leader.reportFenced(leader.name(2), 10)
    leader.run(500)
    expect(leader.calls).to.deep.equal([])
    leader.databases[2]!.answering = true
    leader.reportFenced(leader.name(2), 49)
    leader.run(500)
    expect(leader.lastCall?.database).to.equal(leader.name(2))
  })

  it('counts once it holds what the primary held since', () => {
    const leader = TestLeader.create(1)
    leader.run(1_000)
    leader.restart(2, 10)
    leader.run(500)
    leader.databases[2]!.offset = 50
    leader.run(500)
    leader.databases[0]!.offset = 53
    leader.run(100)
    leader.databases[0]!.answering = false
    leader.run(1_000)
    leader.reportFenced(leader.name(1), 51)
    leader.reportFenced(leader.name(2), 52)
    leader.run(500)
    expect(leader.lastCall?.database).to.equal(leader.name(2))
  })
})

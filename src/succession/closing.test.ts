/** Guards against a database that is promoted while hosts commit at the former primary (docs/incidents/commits-during-a-change-of-primary.md). */
import { expect } from 'chai'
import type { Effect, Tell } from '../core/message.js'
import type { FenceReplica } from '../databases/driver.js'
import type { DatabaseEntry, DatabaseStatus, GrantEntry, WriteReport } from '../membership/directory.js'
import { decideSuccession } from './decide.js'
import type { SuccessionMessage } from './messages.js'
import { createSuccessionState, type AppointPrimary } from './state.js'
import { applySuccessionCommand, type SuccessionCommand } from './table.js'
import { COMMIT_LEASE_EXPIRY_MS } from './writers.js'

const STEP_MS = 50
const OPEN: WriteReport = { group: 'g', phase: 'open' }
const CLOSED: WriteReport = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }

/** A leader with a log that commits unless told otherwise, and three databases that one host reports. */
class TestLeader {
  readonly calls: AppointPrimary[] = []
  readonly grants: GrantEntry[] = []
  readonly offsets = [50, 50, 50]
  readonly silent = new Set<number>()
  readonly departing = new Set<number>()
  /** What the owner of the primary reports; undefined while it is silent. */
  writes: WriteReport | undefined = OPEN
  commitsProposals = true
  #state = createSuccessionState(true)
  #nowMs = 10_000
  #round = 0

  static create (): TestLeader {
    const leader = new TestLeader()
    leader.#decide({ kind: 'succession/leadership', leads: true, epoch: 3, table: {} })
    leader.#decide({ kind: 'succession/documents', copies: new Map([['g', 1]]) })
    leader.run(3_000)
    return leader
  }

  run (ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
      this.#nowMs += STEP_MS
      this.report(this.writes)
      this.#decide({ kind: 'succession/check-due' })
    }
  }

  /** Reports the databases, and what a host says of its commits. */
  report (writes: WriteReport | undefined, round = ++this.#round): void {
    const databases = [0, 1, 2].map((index): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain: 'a', address: '', slots: 3, connectionLimit: 10, departing: this.departing.has(index), leads: index === 0 }))
    const statuses = this.offsets.map((offset, index): DatabaseStatus => ({ database: `db-${index}`, answering: !this.silent.has(index), primary: index === 0, position: { term: 1, offset }, fencedTerm: 0, ageMs: 0 }))
    const report = { kind: 'succession/reported', failureDomain: 'a', apart: false, leftAtMs: this.#nowMs, statuses, databases } as const
    this.#decide({ ...report, host: 'prober' })
    if (writes !== undefined) this.#decide({ ...report, host: 'owner', statuses: [], databases: [], writes: [writes], process: 'p1', round })
  }

  answer (outcome: 'done' | 'refused' | 'unanswered'): void {
    const { group, appointment } = this.calls.at(-1)!
    this.#decide({ kind: 'succession/answered', group, appointment, outcome })
  }

  #decide (message: SuccessionMessage): void {
    const step = decideSuccession(this.#state, message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 })
    this.#state = step.state
    for (const effect of step.effects) this.#execute(effect)
  }

  #execute (effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.calls.push(effect as AppointPrimary)
    if (effect.kind === 'database/fence') this.#answerFence(effect as FenceReplica)
    if (effect.kind !== 'loop/tell') return
    const message = (effect as Tell).message as { readonly kind: string, readonly command?: SuccessionCommand, readonly entry?: GrantEntry }
    if (message.kind === 'membership/publish') this.grants.push(message.entry!)
    if (message.kind === 'agreement/propose' && this.commitsProposals) this.#decide({ kind: 'succession/applied', command: message.command!, table: applySuccessionCommand(this.#state.table, message.command!) })
  }

  #answerFence ({ database, receives }: FenceReplica): void {
    const index = Number(database.slice('db-'.length))
    if (!receives && !this.silent.has(index)) this.#decide({ kind: 'succession/fenced', group: 'g', database, position: { term: 1, offset: this.offsets[index]! } })
  }
}

describe('the replacement of a primary whose writes a replica\'s copy acknowledges', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = TestLeader.create()
    leader.departing.add(0)
  })

  it('closes it for writes, and appoints none before the last host has stopped committing', () => {
    leader.run(1_000)
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0', closing: true, leased: true })
    leader.writes = { ...CLOSED, phase: 'closing' }
    leader.run(1_000)
    expect(leader.calls).to.deep.equal([])
    leader.writes = CLOSED
    leader.run(200)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })

  it('waits until the commit lease of a silent host has ended', () => {
    leader.writes = undefined
    leader.run(COMMIT_LEASE_EXPIRY_MS - STEP_MS)
    expect(leader.calls).to.deep.equal([])
    leader.run(500)
    expect(leader.calls).to.have.length(1)
  })

  it('goes by the last heartbeat of a host, whichever arrives last', () => {
    leader.run(100)
    leader.writes = undefined
    leader.report(CLOSED, 1)
    leader.run(500)
    expect(leader.calls).to.deep.equal([])
  })

  it('goes on once its appointment is proposed, even if the primary stays after all', () => {
    leader.commitsProposals = false
    leader.writes = CLOSED
    leader.run(500)
    leader.departing.clear()
    leader.run(500)
    expect(leader.grants.at(-1)).to.deep.include({ closing: true })
    leader.commitsProposals = true
    leader.run(1_500)
    leader.answer('done')
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-1' }).and.not.to.have.property('closing')
  })

  it('opens it again where no other database can take over', () => {
    leader.silent.add(1).add(2)
    leader.writes = CLOSED
    leader.run(3_500)
    expect(leader.grants.at(-1)).to.not.have.property('closing')
    expect(leader.calls).to.deep.equal([])
  })
})

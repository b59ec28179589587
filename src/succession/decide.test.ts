import { expect } from 'chai'
import type { Effect, Moment, Tell } from '../core/message.js'
import type { FenceReplica } from '../databases/driver.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decideSuccession } from './decide.js'
import type { SuccessionMessage } from './messages.js'
import { createSuccessionState, type AppointPrimary, type SuccessionState } from './state.js'
import { applySuccessionCommand, type SuccessionCommand } from './table.js'

const DOMAINS = ['a', 'b', 'c'] as const
const STEP_MS = 50

const createEntry = (index: number): DatabaseEntry => ({
  kind: 'database',
  database: `db-${index}`,
  group: 'g',
  failureDomain: DOMAINS[index]!,
  address: `127.0.0.1:${7_000 + index}`,
  slots: 3,
  connectionLimit: 10,
  departing: false,
  leads: index === 0
})

/** A leader of a log that commits at once, and hosts that report. */
class Leader {
  readonly calls: AppointPrimary[] = []
  readonly published: Array<string | undefined> = []
  /** Replicas that were told to stop receiving or to go on, in order. */
  readonly fences: FenceReplica[] = []
  #state: SuccessionState = createSuccessionState(true)
  #nowMs = 10_000
  readonly #entries = new Map(DOMAINS.map((_, index) => [index, createEntry(index)]))
  readonly silentHosts = new Set<number>()
  readonly silentDatabases = new Set<number>()
  readonly offsets = [50, 48, 49]
  /** How long reports are on their way. */
  delayMs = 0

  static create (): Leader {
    const leader = new Leader()
    leader.#take({ kind: 'succession/leadership', leads: true, epoch: 3, table: {} })
    return leader
  }

  lead (epoch: number): void {
    this.#take({ kind: 'succession/leadership', leads: true, epoch, table: this.#state.table })
  }

  /** What a new leader knows from the directory of the one before it. */
  learnDirectory (remembered?: true): void {
    this.#take({ kind: 'succession/reported', host: 'control-1', failureDomain: 'b', apart: true, statuses: [], databases: [...this.#entries.values()], remembered })
  }

  announceDeparture (index: number): void {
    this.#entries.set(index, { ...this.#entries.get(index)!, departing: true })
  }

  answer (outcome: 'done' | 'refused' | 'unanswered'): void {
    const { group, appointment } = this.calls[this.calls.length - 1]!
    this.#take({ kind: 'succession/answered', group, appointment, outcome })
  }

  requireCopies (copies: number): void {
    this.#take({ kind: 'succession/documents', copies: new Map([['g', copies]]) })
  }

  run (ms: number, primary = 0): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.#nowMs += STEP_MS
      for (const index of DOMAINS.keys()) {
        if (!this.silentHosts.has(index)) this.#report(index, primary)
      }
      this.#take({ kind: 'succession/check-due' })
    }
  }

  #report (index: number, primary: number): void {
    const entry = this.#entries.get(index)!
    const answering = !this.silentDatabases.has(index)
    const status: DatabaseStatus = { database: entry.database, answering, primary: index === primary, position: { term: 1, offset: this.offsets[index]! }, fencedTerm: 0, ageMs: 0 }
    this.#take({ kind: 'succession/reported', host: `host-${index}`, failureDomain: entry.failureDomain, apart: false, leftAtMs: this.#nowMs - this.delayMs, statuses: [status], databases: [entry] })
  }

  #take (message: SuccessionMessage): void {
    const moment: Moment = { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 }
    const step = decideSuccession(this.#state, message, moment)
    this.#state = step.state
    for (const effect of step.effects) this.#carryOut(effect)
  }

  #fence (effect: FenceReplica): void {
    this.fences.push(effect)
    const index = Number(effect.database.slice('db-'.length))
    if (effect.receives || this.silentDatabases.has(index)) return
    this.#take({ kind: 'succession/fenced', group: 'g', database: effect.database, position: { term: 1, offset: this.offsets[index]! } })
  }

  #carryOut (effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.calls.push(effect as AppointPrimary)
    if (effect.kind === 'database/fence') this.#fence(effect as FenceReplica)
    if (effect.kind !== 'loop/tell') return
    const told = (effect as Tell).message as { readonly kind: string, readonly command?: SuccessionCommand, readonly entry?: { readonly primary?: string } }
    if (told.kind === 'membership/publish') this.published.push(told.entry?.primary)
    if (told.kind === 'agreement/propose') this.#take({ kind: 'succession/applied', command: told.command!, table: applySuccessionCommand(this.#state.table, told.command!) })
  }
}

describe('the succession of a primary', () => {
  it('publishes the primary that databases prove, and calls for nothing while it answers', () => {
    const leader = Leader.create()
    leader.run(10_000)
    expect(leader.published).to.deep.equal(['db-0'])
    expect(leader.calls).to.deep.equal([])
  })

  it('appoints the database that holds the most within a second of silence, and publishes it once the call is done', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
    expect(leader.published).to.deep.equal(['db-0', undefined])
    leader.answer('done')
    expect(leader.published).to.deep.equal(['db-0', undefined, 'db-2'])
  })

  it('waits for another owner while only the owner of the primary is silent, and not where its whole failure domain is', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentHosts.add(0)
    leader.run(1_000)
    expect(leader.calls.length).to.equal(1)
  })

  it('replaces a primary whose whole failure domain was cut off together with the leader within a second of the next leader', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentHosts.add(0)
    leader.lead(4)
    leader.learnDirectory()
    leader.run(600)
    expect(leader.calls.length).to.equal(0)
    leader.run(400)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('takes the silence of a failure domain for no cut after all hosts were restarted', () => {
    const leader = Leader.create()
    leader.silentHosts.add(0)
    leader.learnDirectory(true)
    leader.run(2_000)
    expect(leader.published).to.deep.equal(['db-0'])
    leader.silentHosts.delete(0)
    leader.run(3_000)
    expect(leader.calls.length).to.equal(0)
  })

  it('waits longer for the owner of a primary that a new leader has not heard of yet, while its failure domain lives', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.lead(4)
    leader.learnDirectory()
    leader.silentDatabases.add(0)
    leader.run(2_000)
    expect(leader.calls.length).to.equal(0)
    leader.silentDatabases.delete(0)
    leader.run(3_000)
    expect(leader.calls.length).to.equal(0)
  })

  it('keeps a departing primary published until the next one leads', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.announceDeparture(0)
    leader.run(100)
    expect(leader.calls.length).to.equal(1)
    expect(leader.published).to.deep.equal(['db-0'])
    leader.answer('done')
    expect(leader.published).to.deep.equal(['db-0', 'db-2'])
  })

  it('takes a report that was held up on its way for as old as it is', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    leader.answer('done')
    leader.silentDatabases.clear()
    leader.run(6_000, 2)
    // What the former primary proved before the change arrives long after it.
    leader.delayMs = 8_000
    leader.run(100, 0)
    leader.delayMs = 0
    leader.run(500, -1)
    expect(leader.published).to.deep.equal(['db-0', undefined, 'db-2'])
  })

  it('appoints the database that holds the most when the one that was published answers and proves no lead', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.offsets[1] = 60
    leader.run(6_000, -1)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-1'])
  })

  it('raises the fence with each appointment and each leader, and never calls again after a refusal', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    leader.answer('refused')
    leader.run(1_000)
    leader.lead(4)
    leader.run(3_000)
    const fences = leader.calls.map(call => call.fence)
    expect(fences.length).to.be.greaterThan(2)
    expect(fences.every((fence, index) => index === 0 || fence > fences[index - 1]!)).to.equal(true)
  })

  it('stops all replicas before it compares them, where a replica\'s copy is the acknowledgement', () => {
    const leader = Leader.create()
    leader.requireCopies(1)
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_500)
    expect(leader.fences.slice(0, 2).map(({ database, term, receives }) => [database, term, receives])).to.deep.equal([['db-1', 2, false], ['db-2', 2, false]])
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('appoints nobody while a replica that may hold the last writes is silent, and lets the others go on when the primary answers again', () => {
    const leader = Leader.create()
    leader.requireCopies(1)
    leader.run(3_000)
    leader.silentDatabases.add(0).add(2)
    leader.run(3_000)
    expect(leader.calls).to.deep.equal([])
    leader.silentDatabases.clear()
    leader.run(200)
    expect(leader.calls).to.deep.equal([])
    expect(leader.fences.filter(fence => fence.receives).map(fence => fence.database)).to.include.members(['db-1', 'db-2'])
  })

  it('calls again with the same fence when no answer came, and only then', () => {
    const leader = Leader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    leader.answer('unanswered')
    leader.run(400)
    expect(leader.calls.map(call => call.fence)).to.deep.equal([leader.calls[0]!.fence, leader.calls[0]!.fence])
  })
})

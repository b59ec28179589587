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

/** A leader with a log that commits at once, and hosts that send reports. */
class TestLeader {
  readonly calls: AppointPrimary[] = []
  readonly published: Array<string | undefined> = []
  /** Fencing effects in order: replicas that stop or resume receiving. */
  readonly fences: FenceReplica[] = []
  #state: SuccessionState = createSuccessionState(true)
  #nowMs = 10_000
  readonly #entries = new Map(DOMAINS.map((_, index) => [index, createEntry(index)]))
  readonly silentHosts = new Set<number>()
  readonly silentDatabases = new Set<number>()
  /** Databases that no host owns at the moment, while all hosts report. */
  readonly unowned = new Set<number>()
  readonly offsets = [50, 48, 49]
  /** The age of the primary's last answer in the reports of its owner. */
  statusAgeMs = 0
  /** The transit time of reports. */
  delayMs = 0

  static create (): TestLeader {
    const leader = new TestLeader()
    leader.#decide({ kind: 'succession/leadership', leads: true, epoch: 3, table: {} })
    leader.requireCopies(0)
    return leader
  }

  lead (epoch: number): void {
    this.#decide({ kind: 'succession/leadership', leads: true, epoch, table: this.#state.table })
  }

  /** Reports the databases that a new leader knows from its copy of the previous leader's directory. */
  learnDirectory (remembered?: true): void {
    this.#decide({ kind: 'succession/reported', host: 'control-1', failureDomain: 'b', apart: true, statuses: [], databases: [...this.#entries.values()], remembered })
  }

  announceDeparture (index: number): void {
    this.#entries.set(index, { ...this.#entries.get(index)!, departing: true })
  }

  setEvacuated (...domains: readonly string[]): void {
    this.#decide({ kind: 'succession/evacuated', domains: new Set(domains) })
  }

  answer (outcome: 'done' | 'refused' | 'unanswered'): void {
    const { group, appointment } = this.calls[this.calls.length - 1]!
    this.#decide({ kind: 'succession/answered', group, appointment, outcome })
  }

  /** Removes the group from all documents. */
  dropDocument (): void {
    this.#decide({ kind: 'succession/documents', copies: new Map([['other', 0]]) })
  }

  requireCopies (copies: number): void {
    this.#decide({ kind: 'succession/documents', copies: new Map([['g', copies]]) })
  }

  run (ms: number, primary = 0): void {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      this.#nowMs += STEP_MS
      for (const index of DOMAINS.keys()) {
        if (!this.silentHosts.has(index)) this.#report(index, primary)
      }
      this.#decide({ kind: 'succession/check-due' })
    }
  }

  #report (index: number, primary: number): void {
    const entry = this.#entries.get(index)!
    const answering = !this.silentDatabases.has(index)
    const status: DatabaseStatus = { database: entry.database, answering, primary: index === primary, position: { term: 1, offset: this.offsets[index]! }, fencedTerm: 0, ageMs: index === primary ? this.statusAgeMs : 0 }
    this.#decide({ kind: 'succession/reported', host: `host-${index}`, failureDomain: entry.failureDomain, apart: false, leftAtMs: this.#nowMs - this.delayMs, statuses: this.unowned.has(index) ? [] : [status], databases: [entry] })
  }

  #decide (message: SuccessionMessage): void {
    const moment: Moment = { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 }
    const step = decideSuccession(this.#state, message, moment)
    this.#state = step.state
    for (const effect of step.effects) this.#execute(effect)
  }

  #recordFence (effect: FenceReplica): void {
    this.fences.push(effect)
    const index = Number(effect.database.slice('db-'.length))
    if (effect.receives || this.silentDatabases.has(index)) return
    this.#decide({ kind: 'succession/fenced', group: 'g', database: effect.database, position: { term: 1, offset: this.offsets[index]! } })
  }

  #execute (effect: Effect): void {
    if (effect.kind === 'promotion/appoint') this.calls.push(effect as AppointPrimary)
    if (effect.kind === 'database/fence') this.#recordFence(effect as FenceReplica)
    if (effect.kind !== 'loop/tell') return
    const message = (effect as Tell).message as { readonly kind: string, readonly command?: SuccessionCommand, readonly entry?: { readonly primary?: string } }
    if (message.kind === 'membership/publish') this.published.push(message.entry?.primary)
    if (message.kind === 'agreement/propose') this.#decide({ kind: 'succession/applied', command: message.command!, table: applySuccessionCommand(this.#state.table, message.command!) })
  }
}

describe('primary failover', () => {
  it('publishes the database that proves to be primary, and appoints none while it answers', () => {
    const leader = TestLeader.create()
    leader.run(10_000)
    expect(leader.published).to.deep.equal(['db-0'])
    expect(leader.calls).to.deep.equal([])
  })

  it('changes nothing in a group that no document names', () => {
    const leader = TestLeader.create()
    leader.dropDocument()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(10_000)
    expect([leader.calls, leader.published]).to.deep.equal([[], []])
  })

  it('appoints the database with the latest position within a second of silence, and publishes it once the call is done', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
    expect(leader.published).to.deep.equal(['db-0', undefined])
    leader.answer('done')
    expect(leader.published).to.deep.equal(['db-0', undefined, 'db-2'])
  })

  it('replaces a primary within a second if its whole failure domain is silent, without waiting for another owner', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.silentHosts.add(0)
    leader.run(1_000)
    expect(leader.calls.length).to.equal(1)
  })

  it('replaces a primary whose failure domain was partitioned together with the old leader within a second of the new leader', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.silentHosts.add(0)
    leader.lead(4)
    leader.learnDirectory()
    leader.run(600)
    expect(leader.calls.length).to.equal(0)
    leader.run(400)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('does not treat a silent failure domain as partitioned after a restart of all hosts', () => {
    const leader = TestLeader.create()
    leader.silentHosts.add(0)
    leader.learnDirectory(true)
    leader.run(2_000)
    expect(leader.published).to.deep.equal(['db-0'])
    leader.silentHosts.delete(0)
    leader.run(3_000)
    expect(leader.calls.length).to.equal(0)
  })

  it('waits longer for an answer of a primary that is new to the leader, while its failure domain is live', () => {
    const leader = TestLeader.create()
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

  it('does not take a late report of a live owner for silence of the primary', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.statusAgeMs = 600
    leader.run(100)
    leader.silentHosts.add(0)
    leader.run(450)
    leader.silentHosts.delete(0)
    leader.run(100)
    expect(leader.calls.length).to.equal(0)
    leader.statusAgeMs = 700
    leader.run(100)
    expect(leader.calls.length).to.equal(1)
  })

  it('does not take a move of ownership for silence of the primary', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.unowned.add(0)
    leader.run(1_800)
    expect(leader.calls.length).to.equal(0)
    leader.unowned.delete(0)
    leader.run(3_000)
    expect(leader.calls.length).to.equal(0)
    leader.unowned.add(0)
    leader.run(2_200)
    expect(leader.calls.length).to.equal(1)
  })

  it('waits for the first answer of an announced primary while the fleet starts, but not for ever', () => {
    const leader = TestLeader.create()
    leader.unowned.add(0)
    leader.run(4_500)
    expect(leader.calls.length).to.equal(0)
    leader.run(1_000)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('keeps a departing primary published until its successor is promoted', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.announceDeparture(0)
    leader.run(100)
    expect(leader.calls.length).to.equal(1)
    expect(leader.published).to.deep.equal(['db-0'])
    leader.answer('done')
    expect(leader.published).to.deep.equal(['db-0', 'db-2'])
  })

  it('moves the primary out of an evacuated failure domain, and keeps it published until then', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.setEvacuated('a')
    leader.run(100)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
    expect(leader.published).to.deep.equal(['db-0'])
    leader.answer('done')
    expect(leader.published).to.deep.equal(['db-0', 'db-2'])
    leader.run(10_000, 2)
    expect(leader.calls.length).to.equal(1)
  })

  it('moves the primary out of an evacuated failure domain where writes are acknowledged by a replica\'s copy', () => {
    const leader = TestLeader.create()
    leader.requireCopies(1)
    leader.run(3_000)
    leader.setEvacuated('a')
    leader.run(500)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('appoints a database of an evacuated failure domain only while no other one can lead', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.setEvacuated('c')
    leader.silentDatabases.add(0)
    leader.run(1_000)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-1'])
    const alone = TestLeader.create()
    alone.run(3_000)
    alone.setEvacuated('c')
    alone.silentDatabases.add(1)
    alone.run(3_000)
    alone.silentDatabases.add(0)
    alone.run(1_000)
    expect(alone.calls[0]?.database).to.equal('db-2')
  })

  it('leaves the primary where it is while all databases of the group are evacuated, and takes the order back', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.setEvacuated('a', 'b', 'c')
    leader.run(3_000)
    expect(leader.calls).to.deep.equal([])
    leader.setEvacuated('a', 'c')
    leader.run(100)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-1'])
    const ended = TestLeader.create()
    ended.run(3_000)
    ended.setEvacuated('a')
    ended.setEvacuated()
    ended.run(3_000)
    expect(ended.calls).to.deep.equal([])
  })

  it('accounts for the transit time of a delayed report', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    leader.answer('done')
    leader.silentDatabases.clear()
    leader.run(6_000, 2)
    // The old primary's proof from before the change arrives long after it.
    leader.delayMs = 8_000
    leader.run(100, 0)
    leader.delayMs = 0
    leader.run(500, -1)
    expect(leader.published).to.deep.equal(['db-0', undefined, 'db-2'])
  })

  it('appoints the database with the latest position if the published one answers without proving to be primary', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.offsets[1] = 60
    leader.run(6_000, -1)
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-1'])
  })

  it('raises the fencing token with each appointment and each leader, and never retries a refused call', () => {
    const leader = TestLeader.create()
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

  it('fences all replicas before comparing them where writes are acknowledged by a replica\'s copy', () => {
    const leader = TestLeader.create()
    leader.requireCopies(1)
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_500)
    expect(leader.fences.slice(0, 2).map(({ database, term, receives }) => [database, term, receives])).to.deep.equal([['db-1', 2, false], ['db-2', 2, false]])
    expect(leader.calls.map(call => call.database)).to.deep.equal(['db-2'])
  })

  it('appoints none while a replica that may hold the last writes is silent, and unfences replicas when the primary answers again', () => {
    const leader = TestLeader.create()
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

  it('retries an unanswered call with the same fencing token', () => {
    const leader = TestLeader.create()
    leader.run(3_000)
    leader.silentDatabases.add(0)
    leader.run(1_000)
    leader.answer('unanswered')
    leader.run(400)
    expect(leader.calls.map(call => call.fence)).to.deep.equal([leader.calls[0]!.fence, leader.calls[0]!.fence])
  })
})

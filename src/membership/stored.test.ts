import { expect } from 'chai'
import type { Effect, Tell } from '../core/message.js'
import { decideMembership } from './decide.js'
import { listEntries, type DatabaseEntry, type HostEntry } from './directory.js'
import type { MembershipMessage } from './messages.js'
import { applyStoredDatabasesUpdate, type UpdateStoredDatabasesCommand, type StoredDatabaseTable } from './stored.js'
import { createMembershipState, type MembershipState } from './state.js'

const SELF: HostEntry = { kind: 'host', host: 'host-1', incarnation: '1', failureDomain: 'east', peers: '', draining: false }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '10.0.0.1:1', slots: 3, connectionLimit: 9, departing: false, leads: true }
/** Longer than a new leader waits for a stored database to announce itself. */
const ABSENT_MS = 10_000

/** A control host that leads, with the table of a log that commits at once. */
class TestLeader {
  state: MembershipState = createMembershipState()
  table: StoredDatabaseTable
  readonly messages: Array<Tell['message']> = []
  #proposalCount = 0

  private constructor (table: StoredDatabaseTable) {
    this.table = table
  }

  static create (table: StoredDatabaseTable): TestLeader {
    const leader = new TestLeader(table)
    leader.receive({ kind: 'membership/started', self: SELF, control: ['host-1'] }, 0)
    leader.receive({ kind: 'membership/remembered', databases: table }, 0)
    leader.receive({ kind: 'membership/leader-changed', leader: 'host-1', epoch: 4 }, 0)
    return leader
  }

  get proposalCount (): number {
    return this.#proposalCount
  }

  receive (message: MembershipMessage, nowMs: number): void {
    const step = decideMembership(this.state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
    this.state = step.state
    for (const effect of step.effects) this.#execute(effect, nowMs)
  }

  #execute (effect: Effect, nowMs: number): void {
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell
    this.messages.push(message)
    if (message.kind !== 'agreement/propose') return
    this.#proposalCount += 1
    this.table = applyStoredDatabasesUpdate(this.table, (message as unknown as { readonly command: UpdateStoredDatabasesCommand }).command)
    this.receive({ kind: 'membership/remembered', databases: this.table }, nowMs)
  }
}

describe('databases stored in the log', () => {
  it('are in the first leader\'s directory after a restart of all hosts, before they announce themselves', () => {
    const leader = TestLeader.create({ a1: ENTRY })
    expect(listEntries(leader.state.leaderState!.directory, 'database')).to.deep.equal([ENTRY])
    expect(leader.messages).to.deep.include({ kind: 'succession/reported', host: 'host-1', failureDomain: 'east', apart: true, statuses: [], databases: [ENTRY], remembered: true })
  })

  it('follow the directory, with one proposal for each change', () => {
    const leader = TestLeader.create({})
    const heartbeat: MembershipMessage = { kind: 'membership/beat', round: 1, self: SELF, revision: { epoch: 4, count: 0 }, databases: [ENTRY], statuses: [] }
    for (let nowMs = 100; nowMs <= 600; nowMs += 100) {
      leader.receive(heartbeat, nowMs)
      leader.receive({ kind: 'membership/sweep-due' }, nowMs)
    }
    expect(leader.table).to.deep.equal({ a1: ENTRY })
    expect(leader.proposalCount).to.equal(1)
  })

  it('are removed if they do not announce themselves again', () => {
    const leader = TestLeader.create({ a1: ENTRY })
    leader.receive({ kind: 'membership/sweep-due' }, ABSENT_MS)
    expect(leader.table).to.deep.equal({})
  })
})

import { expect } from 'chai'
import type { Effect, Tell } from '../core/message.js'
import { decideMembership } from './decide.js'
import { listEntries, type DatabaseEntry, type HostEntry } from './directory.js'
import type { MembershipMessage } from './messages.js'
import { applyRememberCommand, type RememberCommand, type RememberedTable } from './remembered.js'
import { createMembershipState, type MembershipState } from './state.js'

const SELF: HostEntry = { kind: 'host', host: 'host-1', incarnation: '1', failureDomain: 'east', peers: '', draining: false }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: 'x:1', slots: 3, connectionLimit: 9, departing: false, leads: true }
/** Longer than a new leader waits for a database that it knows from before. */
const FORGOTTEN_MS = 10_000

/** A control host that leads, with the log's own table beside it. */
class Leader {
  state: MembershipState = createMembershipState()
  table: RememberedTable
  readonly told: Array<Tell['message']> = []
  #proposed = 0

  private constructor (table: RememberedTable) {
    this.table = table
  }

  static create (table: RememberedTable): Leader {
    const leader = new Leader(table)
    leader.take({ kind: 'membership/started', self: SELF, control: ['host-1'] }, 0)
    leader.take({ kind: 'membership/remembered', databases: table }, 0)
    leader.take({ kind: 'membership/leader-changed', leader: 'host-1', epoch: 4 }, 0)
    return leader
  }

  get proposed (): number {
    return this.#proposed
  }

  take (message: MembershipMessage, nowMs: number): void {
    const step = decideMembership(this.state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
    this.state = step.state
    for (const effect of step.effects) this.#carryOut(effect, nowMs)
  }

  #carryOut (effect: Effect, nowMs: number): void {
    if (effect.kind !== 'loop/tell') return
    const { message } = effect as Tell
    this.told.push(message)
    if (message.kind !== 'agreement/propose') return
    this.#proposed += 1
    this.table = applyRememberCommand(this.table, (message as unknown as { readonly command: RememberCommand }).command)
    this.take({ kind: 'membership/remembered', databases: this.table }, nowMs)
  }
}

describe('remembered databases', () => {
  it('are in the directory of a leader that starts after all hosts were restarted, before they announce themselves', () => {
    const leader = Leader.create({ a1: ENTRY })
    expect(listEntries(leader.state.leading!.directory, 'database')).to.deep.equal([ENTRY])
    expect(leader.told).to.deep.include({ kind: 'succession/reported', host: 'host-1', failureDomain: 'east', apart: true, statuses: [], databases: [ENTRY], remembered: true })
  })

  it('follow the directory, with one proposal for each change', () => {
    const leader = Leader.create({})
    const beat: MembershipMessage = { kind: 'membership/beat', round: 1, self: SELF, revision: { epoch: 4, count: 0 }, databases: [ENTRY], statuses: [] }
    for (let nowMs = 100; nowMs <= 600; nowMs += 100) {
      leader.take(beat, nowMs)
      leader.take({ kind: 'membership/sweep-due' }, nowMs)
    }
    expect(leader.table).to.deep.equal({ a1: ENTRY })
    expect(leader.proposed).to.equal(1)
  })

  it('are forgotten when they do not come back', () => {
    const leader = Leader.create({ a1: ENTRY })
    leader.take({ kind: 'membership/sweep-due' }, FORGOTTEN_MS)
    expect(leader.table).to.deep.equal({})
  })
})

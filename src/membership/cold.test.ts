/** The way of a cold database's announcement to the owner of the database. */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import type { ServiceDocument } from '../documents/document.js'
import { decideMembership } from './decide.js'
import { listEntries, type DatabaseEntry, type HostEntry } from './directory.js'
import type { Heartbeat, MembershipMessage } from './messages.js'
import { createMembershipState, type MembershipState } from './state.js'

const createHost = (host: string): HostEntry => ({ kind: 'host', host, incarnation: '1', failureDomain: 'east', peers: '', draining: false })
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '10.0.0.1:1', slots: 3, connectionLimit: 9, departing: false }
const createDocument = (coldRate?: number): ServiceDocument => ({ service: 's', owners: ['o'], authorityLeaseMs: 2_000, groups: [{ name: 'a', databases: 1, coldRate }], workspaces: [], routes: [] })

class LeadingHost {
  state: MembershipState = createMembershipState({ ...createMembershipState().timing, announcementHoldsMs: 3_600 })
  readonly effects: Effect[] = []
  nowMs = 0

  private constructor () {
    this.post({ kind: 'membership/started', self: createHost('h1'), control: ['h1'] })
    this.post({ kind: 'membership/leader-changed', leader: 'h1', epoch: 1 })
    this.post({ kind: 'membership/lease-extended', untilMs: Infinity })
  }

  static create (): LeadingHost {
    return new LeadingHost()
  }

  publishDocument (coldRate?: number): void {
    this.post({ kind: 'membership/publish', entry: { kind: 'document', service: 's', version: 1, document: createDocument(coldRate) } })
  }

  get cold (): boolean | undefined {
    return listEntries(this.state.leaderState!.directory, 'database').find(({ database }) => database === 'a1')?.cold
  }

  post (message: MembershipMessage): void {
    const step = decideMembership(this.state, message, { monotonicMs: this.nowMs, wallMs: 0, random: 0 })
    this.state = step.state
    for (const effect of step.effects) {
      this.effects.push(effect)
      const { to, message: sent } = effect as SendPeer<MembershipMessage>
      if (effect.kind === 'peer/send' && to === 'h1') this.post({ ...sent, from: 'h1' } as MembershipMessage)
    }
  }

  /** Beats every 100 ms; another host goes on reporting the given entry. */
  run (ms: number, reported?: DatabaseEntry): void {
    for (let passedMs = 0; passedMs < ms; passedMs += 100) {
      this.nowMs += 100
      this.post({ kind: 'membership/beat-due' })
      const heartbeat: Heartbeat = { kind: 'membership/beat', round: 1, self: createHost('h2'), revision: { epoch: 0, count: 0 }, databases: reported === undefined ? [] : [reported], statuses: [] }
      this.post(heartbeat)
    }
  }

  listTold (kind: string): ReadonlyArray<Tell['message']> {
    return this.effects.flatMap(effect => (effect.kind === 'loop/tell' ? [(effect as Tell).message] : [])).filter(message => message.kind === kind)
  }
}

describe('a cold database in the directory', () => {
  it('is cold as long as it announced, though no other announcement comes', () => {
    const host = LeadingHost.create()
    host.publishDocument(20)
    host.post({ kind: 'membership/announced', term: 0, primary: false, entry: ENTRY, coldLeftMs: 1_000 })
    host.run(900)
    expect(host.cold).to.equal(true)
    host.run(2_300)
    expect(host.cold).to.equal(undefined)
    const events = host.effects.flatMap(effect => (effect.kind === 'timeline/record' ? [(effect as Effect & { event: string }).event] : []))
    expect(events).to.include.members(['database-cold', 'database-warm'])
  })

  it('is cold, though another host still reports that it was warm', () => {
    const host = LeadingHost.create()
    host.publishDocument(20)
    host.run(200, ENTRY)
    expect(host.cold).to.equal(undefined)
    host.post({ kind: 'membership/announced', term: 0, primary: false, entry: ENTRY, coldLeftMs: 60_000 })
    for (let beats = 0; beats < 20; beats += 1) {
      host.run(100, ENTRY)
      expect(host.cold).to.equal(true)
    }
  })

  it('changes nothing where no document names a rate, and in the control hosts\' log nowhere', () => {
    for (const rate of [undefined, 20]) {
      const host = LeadingHost.create()
      host.publishDocument(rate)
      host.run(200, ENTRY)
      host.post({ kind: 'membership/announced', term: 0, primary: false, entry: ENTRY, coldLeftMs: 1_000 })
      host.run(300, { ...ENTRY, cold: true })
      expect(host.cold).to.equal(rate === undefined ? undefined : true)
      host.post({ kind: 'membership/sweep-due' })
      expect(host.listTold('agreement/propose').at(-1)).to.have.deep.nested.property('command.present', [ENTRY])
    }
  })

  it('tells the owner of confirmations and of the rate only where a document names one', () => {
    for (const [rate, told] of [[20, true], [undefined, false]] as const) {
      const host = LeadingHost.create()
      host.post({ kind: 'membership/announced', term: 0, primary: false, entry: ENTRY })
      host.publishDocument(rate)
      host.run(2_000)
      expect(host.listTold('transactions/contact-confirmed').length > 0).to.equal(told)
      expect(host.listTold('transactions/owned-changed').at(-1)).to.deep.include({ coldRates: new Map([['a', rate ?? 0]]) })
    }
  })
})

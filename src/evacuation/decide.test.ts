import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { createEvacuationState, decideEvacuation } from './decide.js'
import type { EvacuationMessage } from './messages.js'
import type { EvacuationState } from './state.js'
import { applyOrder, NO_EVACUATIONS, type EvacuationTable, type OrderCommand } from './table.js'

const createEntry = (database: string, group: string, failureDomain: string): DatabaseEntry => ({ kind: 'database', database, group, failureDomain, address: '', slots: 1, connectionLimit: 1, departing: false })
const DATABASES = [createEntry('a1', 'a', 'east'), createEntry('a2', 'a', 'west'), createEntry('b1', 'b', 'east')]

/** A leader whose log commits at once. */
class TestLeader {
  readonly effects: Effect[] = []
  #state: EvacuationState
  #table: EvacuationTable = NO_EVACUATIONS
  #operations = 0
  nowMs = 0

  private constructor (domains: readonly string[], leads: boolean) {
    this.#state = createEvacuationState(domains)
    this.decide({ kind: 'evacuation/leadership', leads, table: this.#table })
  }

  static create (domains: readonly string[] = [], leads = true): TestLeader {
    return new TestLeader(domains, leads)
  }

  get told (): ReadonlyArray<Tell['message'] & Readonly<Record<string, unknown>>> {
    return this.effects.filter((effect): effect is Tell => effect.kind === 'loop/tell').map(({ message }) => message as Tell['message'] & Readonly<Record<string, unknown>>)
  }

  learn (databases: readonly DatabaseEntry[] = DATABASES, domains: readonly string[] = databases.map(({ failureDomain }) => failureDomain)): void {
    this.decide({ kind: 'evacuation/directory-changed', domains, databases })
  }

  /** Sends an order; returns its answer. */
  sendOrder (domain: string, evacuated: boolean): Readonly<Record<string, unknown>> {
    const operation = String(++this.#operations)
    this.decide({ kind: 'evacuation/ask', from: 'host-1', operation, requestId: operation, domain, evacuated, after: this.#table.domains[domain]?.version ?? 0 })
    const answer = this.effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ message }) => message as unknown as { readonly operation: string, readonly outcome: Readonly<Record<string, unknown>> }).find(message => message.operation === operation)
    return answer?.outcome ?? {}
  }

  decide (message: EvacuationMessage): void {
    const { state, effects } = decideEvacuation(this.#state, message, { monotonicMs: this.nowMs, wallMs: 0, random: 0 })
    this.#state = state
    this.effects.push(...effects)
    for (const effect of effects) if (effect.kind === 'loop/tell') this.#commit((effect as Tell).message)
  }

  #commit (message: Tell['message']): void {
    if (message.kind !== 'agreement/propose') return
    const { proposal, command } = message as unknown as { readonly proposal: string, readonly command: OrderCommand }
    const { state, outcome } = applyOrder(this.#table, command)
    this.#table = state
    this.decide({ kind: 'evacuation/applied', proposal, command, outcome, table: state })
  }
}

describe('an operators\' order on a failure domain', () => {
  it('is answered once it is in the log, published, and told to succession and primacy', () => {
    const leader = TestLeader.create()
    leader.learn()
    expect(leader.sendOrder('west', true)).to.deep.equal({ accepted: true, domain: 'west', evacuated: true, version: 1 })
    expect(leader.told.find(({ kind }) => kind === 'membership/publish')).to.deep.include({ entry: { kind: 'evacuation', failureDomain: 'west', evacuated: true, version: 1 } })
    expect(leader.told.filter(({ kind }) => kind === 'succession/evacuated').at(-1)).to.deep.include({ domains: new Set(['west']) })
    expect(leader.told.filter(({ kind }) => kind === 'primacy/evacuated').at(-1)).to.deep.include({ domains: new Set(['west']) })
    expect(leader.sendOrder('west', false)).to.include({ accepted: true, evacuated: false })
    expect(leader.told.filter(({ kind }) => kind === 'succession/evacuated').at(-1)).to.deep.include({ domains: new Set() })
  })

  it('is accepted for the last domain that holds a group, and names the group', () => {
    const leader = TestLeader.create()
    leader.learn()
    expect(leader.sendOrder('east', true)).to.deep.include({ accepted: true, stranded: ['b'] })
    expect(leader.sendOrder('west', true)).to.deep.include({ accepted: true, stranded: ['a', 'b'] })
  })

  it('is refused with its place for a domain that nothing names, once the leader had time to learn of all', () => {
    const leader = TestLeader.create()
    expect(leader.sendOrder('nowhere', true)).to.include({ error: 'not-ready' })
    leader.learn()
    leader.nowMs = 4_999
    expect(leader.sendOrder('nowhere', true)).to.include({ error: 'not-ready' })
    leader.nowMs = 5_000
    const refused = leader.sendOrder('nowhere', true)
    expect(refused).to.include({ error: 'unknown-domain' })
    expect(refused).to.have.nested.property('findings[0].path', 'domain')
    expect(leader.sendOrder('nowhere', false)).to.include({ accepted: true })
  })

  it('is accepted for a domain of the settings, of a host without databases, one that was cut off since, and one that had an order', () => {
    const leader = TestLeader.create(['planned'])
    expect(leader.sendOrder('planned', true)).to.include({ accepted: true })
    leader.learn(DATABASES, ['east', 'west', 'north'])
    leader.learn([createEntry('a2', 'a', 'west')])
    leader.nowMs = 60_000
    for (const domain of ['north', 'east']) expect(leader.sendOrder(domain, true)).to.include({ accepted: true })
    const next = TestLeader.create()
    next.nowMs = 60_000
    next.learn([])
    next.nowMs = 70_000
    next.decide({ kind: 'evacuation/leadership', leads: true, table: applyOrder(NO_EVACUATIONS, { kind: 'evacuation/order', requestId: 'r', domain: 'east', evacuated: true, after: 0 }).state })
    expect(next.sendOrder('east', true)).to.include({ accepted: true })
  })

  it('is published again by the next leader, and its caller is told that the outcome is unknown', () => {
    const leader = TestLeader.create()
    const { state: table } = applyOrder(NO_EVACUATIONS, { kind: 'evacuation/order', requestId: 'r', domain: 'east', evacuated: true, after: 0 })
    leader.decide({ kind: 'evacuation/leadership', leads: true, table })
    expect(leader.told.find(({ kind }) => kind === 'membership/publish')).to.deep.include({ entry: { kind: 'evacuation', failureDomain: 'east', evacuated: true, version: 1 } })
    expect(TestLeader.create([], false).sendOrder('east', true)).to.include({ error: 'not-leader' })
  })
})

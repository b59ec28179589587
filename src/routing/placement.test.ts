import { expect } from 'chai'
import type { Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { decideRouting } from './decide.js'
import { isUnresponsiveOwner, pickLeastLoaded } from './placement.js'
import { findProvenFloor } from './staleness.js'
import { createRoutingState, type RoutingState } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES = { group: 'g', action: 'read', maxStalenessMs: 1_500, idempotent: false } as const
const DOMAINS = ['a', 'b', 'c'] as const

function createState (loads: readonly number[], unanswered: ReadonlyMap<string, number> = new Map()): RoutingState {
  const entries = DOMAINS.map((failureDomain, index): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: 'g', failureDomain, address: '', slots: 3, connectionLimit: 10, departing: false }))
  return {
    ...createRoutingState('host-0', 'a', GUARANTEES),
    databases: new Map(entries.map((entry, index) => [entry.database, { entry, owner: `host-${index}` }])),
    grants: new Map([['g', { kind: 'grant', group: 'g', term: 1, primary: 'db-2', members: [] }]]),
    loads: new Map(loads.map((load, index) => [`db-${index}`, load])),
    unansweredPolls: unanswered
  }
}

const pick = (state: RoutingState, avoid: readonly string[] = []): string | undefined =>
  pickLeastLoaded(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules: RULES, seen: ORIGIN, avoid })?.entry.database

describe('the placement of reads', () => {
  it('prefers the replica in the local failure domain unless another one is less loaded', () => {
    expect(pick(createState([0, 0, 0]))).to.equal('db-0')
    expect(pick(createState([2, 0, 0]))).to.equal('db-1')
    expect(pick(createState([4, 4, 0]))).to.equal('db-2')
  })

  it('leaves a cold database to its few requests while others have room', () => {
    const state = createState([0, 0, 0])
    const local = state.databases.get('db-0')!
    const cold: RoutingState = { ...state, databases: new Map(state.databases).set('db-0', { ...local, entry: { ...local.entry, cold: true } }) }
    expect(pick(cold)).to.equal('db-1')
    expect(pick({ ...cold, loads: new Map([['db-1', 2], ['db-2', 2]]) })).to.equal('db-0')
  })

  it('prefers a replica over an equally loaded primary', () => {
    expect(pick(createState([0, 0, 0]), ['db-0'])).to.equal('db-1')
  })

  it('keeps the reads of a workspace at one of several equal databases', () => {
    const state: RoutingState = { ...createState([0, 0, 0]), failureDomain: 'elsewhere' }
    const pickFor = (workspace: string, roundRobinCounter: number): string | undefined =>
      pickLeastLoaded({ ...state, roundRobinCounter }, { kind: 'routing/choose', caller: 'c', attempt: 1, rules: RULES, workspace, seen: ORIGIN, avoid: [] })?.entry.database
    const picked = Array.from({ length: 40 }, (_, index) => [pickFor(`w${index}`, 0), pickFor(`w${index}`, 1)] as const)
    for (const [first, second] of picked) expect(first).to.equal(second)
    expect(new Set(picked.map(([first]) => first))).to.deep.equal(new Set(['db-0', 'db-1']))
  })

  it('avoids a host that left the last polls unanswered', () => {
    const unresponsive = createState([0, 0, 0], new Map([['host-0', 2]]))
    expect(isUnresponsiveOwner(unresponsive, 'host-0')).to.equal(true)
    expect(pick(unresponsive)).to.equal('db-1')
    expect(pick(createState([0, 0, 0], new Map([['host-0', 1]])))).to.equal('db-0')
  })
})

describe('a request without a primary', () => {
  const requestPrimary = (nowMs: number): unknown => {
    const state: RoutingState = { ...createState([0, 0, 0]), grants: new Map(), grantsConfirmedAtMs: 10_000 }
    const choose = { kind: 'routing/choose', caller: 'c', attempt: 1, rules: { ...RULES, action: 'write' }, seen: ORIGIN, avoid: [] } as const
    const [effect] = decideRouting(state, choose, { monotonicMs: nowMs, wallMs: 0, random: 0 }).effects
    return (effect as Tell).message
  }

  it('is retriable while the leader is in touch, and final otherwise', () => {
    expect(requestPrimary(11_000)).to.include({ kind: 'requests/failed', retriable: true })
    expect(requestPrimary(12_000)).to.include({ kind: 'requests/failed', retriable: false })
  })
})

describe('the floor of a read from proven samples', () => {
  const samples = [
    { database: 'db-0', askedAtMs: 100, position: { term: 1, offset: 40 } },
    { database: 'db-1', askedAtMs: 900, position: { term: 2, offset: 38 } }
  ]

  it('is the first sample that is fresh enough, and undefined if all are too old', () => {
    expect(findProvenFloor(samples.slice(0, 1), ORIGIN, 50)).to.deep.equal({ term: 1, offset: 40 })
    expect(findProvenFloor(samples, ORIGIN, 950)).to.equal(undefined)
  })

  it('replaces a position of an earlier term, which may have been rolled back', () => {
    expect(findProvenFloor(samples, ORIGIN, 50)).to.deep.equal({ term: 2, offset: 38 })
    expect(findProvenFloor(samples, { term: 1, offset: 45 }, 500)).to.deep.equal({ term: 2, offset: 38 })
    expect(findProvenFloor(samples, { term: 2, offset: 39 }, 500)).to.deep.equal({ term: 2, offset: 39 })
  })
})

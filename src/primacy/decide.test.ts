/** Single steps of the primacy slice that schedules reach too rarely to prove them. */
import { expect } from 'chai'
import type { Effect } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decidePrimacy } from './decide.js'
import { readDampedUntil } from './detect.js'
import type { PrimacyMessage } from './messages.js'
import { createPrimacyState, type PrimacyState } from './state.js'
import { applyPrimacyCommand, isChoiceSafe, type GroupsTable, type PrimacyCommand } from './table.js'

const GRANTED: GroupsTable = { g: { term: 4, primary: 'd1', members: ['d1', 'd2', 'd3'] } }
const LEADS: PrimacyMessage = { kind: 'primacy/leadership', leads: true, epoch: 7, table: GRANTED }

interface Fake {
  state: PrimacyState
  readonly proposed: PrimacyCommand[]
}

function createLeader (): Fake {
  const fake: Fake = { state: createPrimacyState(), proposed: [] }
  send(fake, LEADS, 0)
  send(fake, { kind: 'primacy/documents', groups: [{ name: 'g', databases: 3 }] }, 0)
  return fake
}

function send (fake: Fake, message: PrimacyMessage, nowMs: number): void {
  const step = decidePrimacy(fake.state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  fake.state = step.state
  fake.proposed.push(...step.effects.flatMap(readProposal))
}

function readProposal (effect: Effect): readonly PrimacyCommand[] {
  const { message } = effect as Effect & { readonly message?: { readonly kind: string, readonly command: PrimacyCommand } }
  return message?.kind === 'agreement/propose' ? [message.command] : []
}

function report (fake: Fake, host: string, domain: string, databases: ReadonlyArray<readonly [name: string, term: number, departing?: boolean]>, nowMs: number): void {
  send(fake, {
    kind: 'primacy/reported',
    host,
    failureDomain: domain,
    revision: { epoch: 7, count: 9 },
    databases: databases.map(([database, , departing = false]): DatabaseEntry => ({ kind: 'database', database, group: 'g', failureDomain: domain, address: database, slots: 1, connectionLimit: 1, departing })),
    statuses: databases.map(([database, term]): DatabaseStatus => ({ database, answering: true, primary: database === 'd1', position: { term, offset: 5 }, fencedTerm: 4, source: 'd1', ageMs: 0 }))
  }, nowMs)
}

function listKinds (fake: Fake): readonly string[] {
  return fake.proposed.map(command => command.kind)
}

describe('primacy', () => {
  it('replaces a silent primary only while a majority of the others answers', () => {
    const fake = createLeader()
    for (let nowMs = 0; nowMs <= 5_000; nowMs += 100) {
      report(fake, 'h2', 'east', [['d2', 4]], nowMs)
      if (nowMs > 3_000) report(fake, 'h3', 'south', [['d3', 4]], nowMs)
      if (nowMs <= 3_000) expect(listKinds(fake)).to.deep.equal([])
      send(fake, { kind: 'primacy/check-due' }, nowMs)
    }
    expect(listKinds(fake)).to.include('primacy/end')
  })

  it('waits for the next owner when the owner of a primary went silent', () => {
    const fake = createLeader()
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 100) {
      report(fake, 'h2', 'east', [['d2', 4]], nowMs)
      report(fake, 'h3', 'south', [['d3', 4]], nowMs)
      report(fake, nowMs <= 3_000 ? 'h1' : 'h4', 'north', nowMs <= 3_000 || nowMs > 4_500 ? [['d1', 4]] : [], nowMs)
      send(fake, { kind: 'primacy/check-due' }, nowMs)
    }
    expect(listKinds(fake)).to.deep.equal([])
  })

  it('gives the owner of a primary time to report to a new leader, and replaces one that nobody reports', () => {
    const look = (ownerReportsFromMs: number): readonly string[] => {
      const fake = createLeader()
      for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
        report(fake, 'h2', 'east', [['d2', 4]], nowMs)
        report(fake, 'h3', 'south', [['d3', 4]], nowMs)
        if (nowMs >= ownerReportsFromMs) report(fake, 'h4', 'north', [['d1', 4]], nowMs)
        send(fake, { kind: 'primacy/check-due' }, nowMs)
      }
      return listKinds(fake)
    }
    expect(look(1_900)).to.deep.equal([])
    expect(look(Infinity)).to.include('primacy/end')
  })

  it('makes changes of a flapping primary wait longer and longer, within a bound', () => {
    const changed = (...times: readonly number[]): PrimacyState => ({ ...createPrimacyState(), changedAtMs: new Map([['g', times]]) })
    const waits = [[], [0], [0, 0], [0, 0, 0], [0, 0, 0, 0, 0, 0]].map(times => readDampedUntil(changed(...times), 'g', 10))
    expect(waits).to.deep.equal([0, 1_000, 2_000, 4_000, 4_000])
  })

  it('replaces a departing member only once a majority holds an entry of the present term', () => {
    const fake = createLeader()
    const look = (nowMs: number, term: number): void => {
      report(fake, 'h1', 'north', [['d1', 4], ['d4', 4]], nowMs)
      report(fake, 'h2', 'east', [['d2', term]], nowMs)
      report(fake, 'h3', 'south', [['d3', 3, true]], nowMs)
      send(fake, { kind: 'primacy/check-due' }, nowMs)
    }
    look(2_000, 3)
    expect(listKinds(fake)).to.deep.equal([])
    look(2_100, 4)
    expect(fake.proposed).to.deep.equal([{ kind: 'primacy/close', group: 'g', term: 4, target: 'd1', members: ['d1', 'd2', 'd3', 'd4'] }])
  })

  it('chooses no database without a fenced majority, nor one that lacks entries', () => {
    const fenced = [{ database: 'd2', position: { term: 4, offset: 5 } }, { database: 'd3', position: { term: 4, offset: 6 } }]
    const { members } = GRANTED.g!
    expect([isChoiceSafe(members, 'd3', fenced), isChoiceSafe(members, 'd2', fenced), isChoiceSafe(members, 'd2', fenced.slice(0, 1))])
      .to.deep.equal([true, false, false])
  })

  it('applies no command of another term, phase or set of members twice changed', () => {
    const ended = applyPrimacyCommand(GRANTED, { kind: 'primacy/end', group: 'g', term: 4 })
    const unchanged: readonly PrimacyCommand[] = [
      { kind: 'primacy/end', group: 'g', term: 4 },
      { kind: 'primacy/ended', group: 'g', term: 4 },
      { kind: 'primacy/promoted', group: 'g', term: 5, primary: 'd2' },
      { kind: 'primacy/grant', group: 'g', term: 9, primary: 'd9', members: ['d9'] }
    ]
    for (const command of unchanged) expect(applyPrimacyCommand(ended, command)).to.equal(ended)
    const twice: PrimacyCommand = { kind: 'primacy/close', group: 'g', term: 4, target: 'd1', members: ['d1', 'd4', 'd5'] }
    expect(applyPrimacyCommand(GRANTED, twice)).to.equal(GRANTED)
  })
})

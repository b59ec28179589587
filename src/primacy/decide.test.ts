/** Decisions of the primacy slice that the random schedules reach too rarely. */
import { expect } from 'chai'
import type { Effect, RecordEvent } from '../core/message.js'
import type { DatabaseEntry, DatabaseStatus } from '../membership/directory.js'
import { decidePrimacy } from './decide.js'
import { calculateBackoffEnd } from './detect.js'
import type { PrimacyMessage } from './messages.js'
import { createPrimacyState, type PrimacyState } from './state.js'
import { applyPrimacyCommand, isSafeToPromote, type GroupsTable, type PrimacyCommand } from './table.js'

const GRANTED: GroupsTable = { g: { term: 4, primary: 'd1', members: ['d1', 'd2', 'd3'] } }
const LEADS: PrimacyMessage = { kind: 'primacy/leadership', leads: true, epoch: 7, table: GRANTED }

interface FakeLeader {
  state: PrimacyState
  readonly proposed: PrimacyCommand[]
  readonly events: string[]
}

function createLeader (): FakeLeader {
  const leader: FakeLeader = { state: createPrimacyState(), proposed: [], events: [] }
  send(leader, LEADS, 0)
  send(leader, { kind: 'primacy/documents', groups: [{ name: 'g', databases: 3 }] }, 0)
  return leader
}

function send (leader: FakeLeader, message: PrimacyMessage, nowMs: number): void {
  const step = decidePrimacy(leader.state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  leader.state = step.state
  leader.proposed.push(...step.effects.flatMap(readProposal))
  leader.events.push(...step.effects.flatMap(effect => (effect.kind === 'timeline/record' ? [(effect as RecordEvent).event] : [])))
}

function readProposal (effect: Effect): readonly PrimacyCommand[] {
  const { message } = effect as Effect & { readonly message?: { readonly kind: string, readonly command: PrimacyCommand } }
  return message?.kind === 'agreement/propose' ? [message.command] : []
}

function report (leader: FakeLeader, host: string, domain: string, databases: ReadonlyArray<readonly [name: string, term: number, departing?: boolean]>, nowMs: number, late: Pick<DatabaseStatus, 'ageMs' | 'silentMs'> = { ageMs: 0 }): void {
  send(leader, {
    kind: 'primacy/reported',
    host,
    failureDomain: domain,
    revision: { epoch: 7, count: 9 },
    databases: databases.map(([database, , departing = false]): DatabaseEntry => ({ kind: 'database', database, group: 'g', failureDomain: domain, address: database, slots: 1, connectionLimit: 1, departing })),
    statuses: databases.map(([database, term]): DatabaseStatus => ({ database, answering: true, primary: database === 'd1', position: { term, offset: 5 }, fencedTerm: 4, source: 'd1', ...late }))
  }, nowMs)
}

function listKinds (leader: FakeLeader): readonly string[] {
  return leader.proposed.map(command => command.kind)
}

describe('primacy', () => {
  it('replaces a silent primary only while the other members that answer are a majority', () => {
    const leader = createLeader()
    for (let nowMs = 0; nowMs <= 5_000; nowMs += 100) {
      report(leader, 'h2', 'east', [['d2', 4]], nowMs)
      if (nowMs > 3_000) report(leader, 'h3', 'south', [['d3', 4]], nowMs)
      if (nowMs <= 3_000) expect(listKinds(leader)).to.deep.equal([])
      send(leader, { kind: 'primacy/check-due' }, nowMs)
    }
    expect(listKinds(leader)).to.include('primacy/end')
  })

  it('names a primary that answers without its role apart from one that is silent', () => {
    const listEvents = (d1Answers: boolean): readonly string[] => {
      const leader = createLeader()
      for (let nowMs = 0; nowMs <= 5_000; nowMs += 100) {
        report(leader, 'h2', 'east', [['d2', 4]], nowMs)
        report(leader, 'h3', 'south', [['d3', 4]], nowMs)
        // A primary that restarted without its data answers in an earlier term.
        if (d1Answers) report(leader, 'h1', 'north', [['d1', 3]], nowMs)
        send(leader, { kind: 'primacy/check-due' }, nowMs)
      }
      return leader.events
    }
    expect(new Set(listEvents(true))).to.deep.equal(new Set(['primary-role-lost']))
    expect(new Set(listEvents(false))).to.deep.equal(new Set(['primary-silent']))
  })

  it('keeps a primary whose silent owner is replaced by another host in time', () => {
    const leader = createLeader()
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 100) {
      report(leader, 'h2', 'east', [['d2', 4]], nowMs)
      report(leader, 'h3', 'south', [['d3', 4]], nowMs)
      report(leader, nowMs <= 3_000 ? 'h1' : 'h4', 'north', nowMs <= 3_000 || nowMs > 4_500 ? [['d1', 4]] : [], nowMs)
      send(leader, { kind: 'primacy/check-due' }, nowMs)
    }
    expect(listKinds(leader)).to.deep.equal([])
  })

  it('keeps a primary whose owner is short of processor time, and replaces it once it is silent on that owner\'s clock', () => {
    const leader = createLeader()
    for (let nowMs = 0; nowMs <= 6_000; nowMs += 100) {
      report(leader, 'h2', 'east', [['d2', 4]], nowMs)
      report(leader, 'h3', 'south', [['d3', 4]], nowMs)
      // The reports of a late owner are far apart, and what they tell is old.
      if (nowMs % 600 === 0) report(leader, 'h1', 'north', [['d1', 4]], nowMs, { ageMs: 900, silentMs: nowMs < 4_800 ? 300 : 700 })
      send(leader, { kind: 'primacy/check-due' }, nowMs)
      if (nowMs < 4_800) expect(listKinds(leader)).to.deep.equal([])
    }
    expect(listKinds(leader)).to.include('primacy/end')
  })

  it('gives the owner of a primary time to report to a new leader, and replaces a primary without reports', () => {
    const runSchedule = (ownerReportsFromMs: number): readonly string[] => {
      const leader = createLeader()
      for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
        report(leader, 'h2', 'east', [['d2', 4]], nowMs)
        report(leader, 'h3', 'south', [['d3', 4]], nowMs)
        if (nowMs >= ownerReportsFromMs) report(leader, 'h4', 'north', [['d1', 4]], nowMs)
        send(leader, { kind: 'primacy/check-due' }, nowMs)
      }
      return listKinds(leader)
    }
    expect(runSchedule(1_900)).to.deep.equal([])
    expect(runSchedule(Infinity)).to.include('primacy/end')
  })

  it('delays changes of a flapping primary with a capped exponential backoff', () => {
    const changed = (...times: readonly number[]): PrimacyState => ({ ...createPrimacyState(), unplannedChangesAtMs: new Map([['g', times]]) })
    const waits = [[], [0], [0, 0], [0, 0, 0], [0, 0, 0, 0, 0, 0]].map(times => calculateBackoffEnd(changed(...times), 'g', 10))
    expect(waits).to.deep.equal([0, 1_000, 2_000, 4_000, 4_000])
  })

  it('moves a primary out of an evacuated failure domain, unless all others are evacuated, too', () => {
    const runWith = (...domains: readonly string[]): readonly PrimacyCommand[] => {
      const leader = createLeader()
      send(leader, { kind: 'primacy/evacuated', domains: new Set(domains) }, 0)
      for (let nowMs = 0; nowMs <= 4_000; nowMs += 100) {
        report(leader, 'h1', 'north', [['d1', 4]], nowMs)
        report(leader, 'h2', 'east', [['d2', 4]], nowMs)
        report(leader, 'h3', 'south', [['d3', 4]], nowMs)
        send(leader, { kind: 'primacy/check-due' }, nowMs)
      }
      return leader.proposed
    }
    expect(runWith()).to.deep.equal([])
    expect(runWith('north', 'east')[0]).to.deep.include({ kind: 'primacy/close', target: 'd3' })
    expect(runWith('north', 'east', 'south')).to.deep.equal([])
  })

  it('replaces a departing member only once a majority holds an entry of the current term', () => {
    const leader = createLeader()
    const runCheck = (nowMs: number, term: number): void => {
      report(leader, 'h1', 'north', [['d1', 4], ['d4', 4]], nowMs)
      report(leader, 'h2', 'east', [['d2', term]], nowMs)
      report(leader, 'h3', 'south', [['d3', 3, true]], nowMs)
      send(leader, { kind: 'primacy/check-due' }, nowMs)
    }
    runCheck(2_000, 3)
    expect(listKinds(leader)).to.deep.equal([])
    runCheck(2_100, 4)
    expect(leader.proposed).to.deep.equal([{ kind: 'primacy/close', group: 'g', term: 4, target: 'd1', members: ['d1', 'd2', 'd3', 'd4'] }])
  })

  it('chooses a database only in a fenced majority, and none that lacks entries', () => {
    const fenced = [{ database: 'd2', position: { term: 4, offset: 5 } }, { database: 'd3', position: { term: 4, offset: 6 } }]
    const { members } = GRANTED.g!
    expect([isSafeToPromote(members, 'd3', fenced), isSafeToPromote(members, 'd2', fenced), isSafeToPromote(members, 'd2', fenced.slice(0, 1))])
      .to.deep.equal([true, false, false])
  })

  it('ignores commands of another term or phase, and those that change two members at once', () => {
    const ended = applyPrimacyCommand(GRANTED, { kind: 'primacy/end', group: 'g', term: 4 })
    const unchanged: readonly PrimacyCommand[] = [
      { kind: 'primacy/end', group: 'g', term: 4 },
      { kind: 'primacy/ended', group: 'g', term: 4 },
      { kind: 'primacy/promoted', group: 'g', term: 5, primary: 'd2' },
      { kind: 'primacy/grant', group: 'g', term: 9, primary: 'd9', members: ['d9'] }
    ]
    for (const command of unchanged) expect(applyPrimacyCommand(ended, command)).to.equal(ended)
    const twoChanges: PrimacyCommand = { kind: 'primacy/close', group: 'g', term: 4, target: 'd1', members: ['d1', 'd4', 'd5'] }
    expect(applyPrimacyCommand(GRANTED, twoChanges)).to.equal(GRANTED)
  })
})

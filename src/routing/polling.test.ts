/** Which hosts exchange positions, and how that cost depends on the size of the fleet. */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import type { DatabaseEntry, GrantEntry, HostEntry } from '../membership/directory.js'
import { allocateOwners } from '../membership/owners.js'
import type { RunRequest } from '../transactions/messages.js'
import { decideRouting } from './decide.js'
import type { RoutingMessage } from './messages.js'
import { createRoutingState, type RoutingState } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const DOMAINS = ['a', 'b', 'c', 'd', 'e']
const GROUPS = 14
const COPIES = 3
const REQUESTS = 200
const RULES = { action: 'read', maxStalenessMs: 1_500, idempotent: false } as const

interface Fleet {
  readonly hosts: readonly HostEntry[]
  readonly databases: readonly DatabaseEntry[]
  readonly owners: ReadonlyMap<string, string>
  readonly grants: readonly GrantEntry[]
}

function createFleet (size: number): Fleet {
  const hosts = Array.from({ length: size }, (_, index): HostEntry => ({ kind: 'host', host: `host-${index}`, incarnation: '1', failureDomain: DOMAINS[index % DOMAINS.length]!, peers: '', draining: false }))
  const databases = Array.from({ length: GROUPS * COPIES }, (_, index): DatabaseEntry => ({ kind: 'database', database: `db-${index}`, group: `g${index % GROUPS}`, failureDomain: DOMAINS[index % COPIES]!, address: '', slots: 3, connectionLimit: 100, departing: false }))
  const grants = Array.from({ length: GROUPS }, (_, index): GrantEntry => ({ kind: 'grant', group: `g${index}`, term: 1, primary: `db-${index}`, members: [] }))
  return { hosts, databases, owners: allocateOwners(databases, hosts), grants }
}

function createState (fleet: Fleet, host: HostEntry): RoutingState {
  return decide(createRoutingState(host.host, host.failureDomain, GUARANTEES), { kind: 'routing/directory-changed', ...fleet }, 0).state
}

function decide (state: RoutingState, message: RoutingMessage, nowMs: number): { readonly state: RoutingState, readonly effects: readonly Effect[] } {
  return decideRouting(state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
}

// Sends reads of all groups within one second, each answered, and returns the polls of the next round.
function countPolls (size: number, owns: boolean): number {
  const fleet = createFleet(size)
  const owners = new Set(fleet.owners.values())
  const host = fleet.hosts.find(entry => owners.has(entry.host) === owns)!
  let state = createState(fleet, host)
  for (let number = 0; number < REQUESTS; number++) {
    const chosen = decide(state, { kind: 'routing/choose', caller: 'c', attempt: number, rules: { ...RULES, group: `g${number % GROUPS}` }, seen: ORIGIN, avoid: [] }, number)
    const { target } = (chosen.effects[0] as Tell).message as unknown as { readonly target: RunRequest['target'] }
    state = decide(chosen.state, { kind: 'routing/owner-answered', owner: target.owner, database: target.database, load: 0 }, number + 1).state
  }
  return decide(state, { kind: 'routing/ask-due' }, 1_000).effects.filter(effect => effect.kind === 'peer/send').length
}

const listPolled = (state: RoutingState, nowMs: number): readonly string[] =>
  decide(state, { kind: 'routing/ask-due' }, nowMs).effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(effect => effect.to)

describe('the exchange of positions', () => {
  for (const size of [60, 200, 2_000]) {
    it(`costs a host of ${size} one poll a round for the groups that it only reads`, () => {
      expect(countPolls(size, false)).to.be.at.most(1)
      expect(countPolls(size, true)).to.be.at.most(GROUPS)
    })
  }

  it('polls an owner that leaves a request unanswered until it answers, and avoids it meanwhile', () => {
    const fleet = createFleet(60)
    const owners = new Set(fleet.owners.values())
    let state = createState(fleet, fleet.hosts.find(entry => !owners.has(entry.host))!)
    const choose = (nowMs: number): string => {
      const step = decide(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules: { ...RULES, group: 'g0' }, seen: ORIGIN, avoid: [] }, nowMs)
      state = step.state
      return ((step.effects[0] as Tell).message as unknown as { readonly target: RunRequest['target'] }).target.owner
    }
    const silent = choose(0)
    for (const [nowMs, due] of [[400, true], [800, false], [1_200, true]] as const) {
      const polled = listPolled(state, nowMs)
      expect(polled.includes(silent)).to.equal(due)
      expect(polled).to.have.length.at.most(2)
      state = decide(state, { kind: 'routing/ask-due' }, nowMs).state
    }
    const other = choose(1_300)
    expect(other).to.not.equal(silent)
    state = decide(state, { kind: 'routing/owner-answered', owner: other, database: 'db-0' }, 1_310).state
    state = decide(state, { kind: 'routing/positions-told', from: silent, round: 3, positions: [] }, 1_320).state
    expect(listPolled(state, 1_600)).to.have.length.at.most(1)
    expect(choose(1_600)).to.equal(silent)
  })

  it('keeps polling an owner that stays silent, at most every 1.6 s once it is avoided', () => {
    const fleet = createFleet(60)
    const owners = new Set(fleet.owners.values())
    let state = createState(fleet, fleet.hosts.find(entry => !owners.has(entry.host))!)
    const step = decide(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules: { ...RULES, group: 'g0' }, seen: ORIGIN, avoid: [] }, 0)
    const silent = ((step.effects[0] as Tell).message as unknown as { readonly target: RunRequest['target'] }).target.owner
    state = step.state
    const polledAtMs: number[] = []
    for (let nowMs = 400; nowMs <= 10_000; nowMs += 400) {
      if (listPolled(state, nowMs).includes(silent)) polledAtMs.push(nowMs)
      state = decide(state, { kind: 'routing/ask-due' }, nowMs).state
    }
    const pausesMs = polledAtMs.slice(1).map((atMs, index) => atMs - polledAtMs[index]!)
    expect(polledAtMs).to.have.length.within(6, 8)
    expect(Math.max(...pausesMs)).to.equal(1_600)
  })

  it('spreads the polls of hosts that start together over the owners in each round', () => {
    const fleet = createFleet(200)
    const owners = new Set(fleet.owners.values())
    let states = fleet.hosts.map(host => createState(fleet, host))
    for (let nowMs = 400; nowMs <= 400 * GROUPS * COPIES; nowMs += 400) {
      const polled = states.flatMap(state => listPolled(state, nowMs))
      const counts = [...owners].map(owner => polled.filter(name => name === owner).length)
      expect(Math.max(...counts)).to.be.at.most(4 * fleet.hosts.length / owners.size)
      states = states.map(state => decide(state, { kind: 'routing/ask-due' }, nowMs).state)
    }
  })

  it('reaches every owner in turn, so that links are open before requests need them', () => {
    const fleet = createFleet(200)
    const owners = new Set(fleet.owners.values())
    let state = createState(fleet, fleet.hosts.find(entry => !owners.has(entry.host))!)
    const polled = new Set<string>()
    for (let round = 0; round < GROUPS * COPIES; round++) {
      for (const owner of listPolled(state, round * 400)) polled.add(owner)
      state = decide(state, { kind: 'routing/ask-due' }, round * 400).state
    }
    expect(polled).to.deep.equal(owners)
  })

  it('seldom polls owners that it has reached, and a new owner in the next round', () => {
    const fleet = createFleet(200)
    const owners = new Set(fleet.owners.values())
    const [host, successor] = fleet.hosts.filter(entry => !owners.has(entry.host))
    let state = createState(fleet, host!)
    let polls = 0
    const run = (rounds: number): void => {
      for (let round = 0; round < rounds; round++) {
        polls += listPolled(state, 0).length
        state = decide(state, { kind: 'routing/ask-due' }, 0).state
      }
    }
    run(GROUPS * COPIES)
    polls = 0
    run(80)
    expect(polls).to.be.within(8, 10)
    const changed = new Map(fleet.owners).set('db-7', successor!.host)
    state = decide(state, { kind: 'routing/directory-changed', ...fleet, owners: changed }, 0).state
    expect(listPolled(state, 0)).to.include(successor!.host)
  })

  it('leaves a database whose answers report a high load, and tries it again after a second', () => {
    const fleet = createFleet(60)
    let state = createState(fleet, fleet.hosts[3]!)
    const chooseDatabase = (nowMs: number): string => {
      const step = decide(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules: { ...RULES, group: 'g0' }, seen: ORIGIN, avoid: [] }, nowMs)
      return ((step.effects[0] as Tell).message as unknown as { readonly target: RunRequest['target'] }).target.database
    }
    const first = chooseDatabase(0)
    state = decide(state, { kind: 'routing/owner-answered', owner: 'host-9', database: first, load: 4 }, 10).state
    expect(chooseDatabase(20)).to.not.equal(first)
    state = decide(state, { kind: 'routing/ask-due' }, 1_100).state
    expect(chooseDatabase(1_110)).to.equal(first)
  })
})

/** Guards against a database that starts again under its identity and then never leaves (docs/incidents/restarted-databases.md). */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { decideMembership } from './decide.js'
import { listEntries, type DatabaseEntry, type HostEntry } from './directory.js'
import type { MembershipMessage } from './messages.js'
import { createMembershipState, type MembershipState } from './state.js'
import type { StoredDatabaseTable } from './stored.js'

const HOLDS_MS = 3_600
const REPORT_INTERVAL_MS = 100
/** Longer than any host reports a database after its last announcement, and the leader keeps it after that. */
const FORGOTTEN_MS = 10_000
const HOSTS = ['control-1', 'control-2', 'control-3'] as const

type HostName = typeof HOSTS[number]

const createHost = (host: string): HostEntry => ({ kind: 'host', host, incarnation: '1', failureDomain: 'east', peers: '', draining: false, control: true, apart: true })
const createEntry = (startedAtMs: number, instance = 'i-1'): DatabaseEntry => ({
  kind: 'database',
  database: `${instance}~${startedAtMs}`,
  incarnation: { instance, startedAtMs },
  group: 'g',
  failureDomain: 'east',
  address: '10.0.0.1:1',
  slots: 3,
  connectionLimit: 9,
  departing: false,
  leads: true
})

/** Control hosts, the first of which leads; the leader gets a report of each host every 100 ms. */
class ControlGroup {
  readonly messages: Array<Tell['message']> = []
  #leader: HostName = 'control-1'
  #nowMs = 0
  #sequence = 0
  #epoch = 1
  readonly #states = new Map<HostName, MembershipState>()
  /** Databases that answer their owner, by the name under which it asks. */
  readonly answering = new Set<string>()

  private constructor () {
    const timing = { ...createMembershipState().timing, announcementHoldsMs: HOLDS_MS }
    for (const host of HOSTS) {
      this.#states.set(host, createMembershipState(timing))
      this.post(host, { kind: 'membership/started', self: createHost(host), control: HOSTS })
    }
    this.#startLeader()
  }

  static create (): ControlGroup {
    return new ControlGroup()
  }

  get databases (): readonly string[] {
    return listEntries(this.#states.get(this.#leader)!.leaderState!.directory, 'database').map(({ database }) => database)
  }

  get departing (): readonly string[] {
    return listEntries(this.#states.get(this.#leader)!.leaderState!.directory, 'database').filter(({ departing }) => departing).map(({ database }) => database)
  }

  announce (host: HostName, entry: DatabaseEntry, sequence = ++this.#sequence): void {
    this.post(host, { kind: 'membership/announced', term: 0, primary: true, entry, order: { startedAtMs: entry.incarnation!.startedAtMs, sequence } })
  }

  withdraw (host: HostName, { database, incarnation }: DatabaseEntry): void {
    this.post(host, { kind: 'membership/withdrawn', database, incarnation })
  }

  /** Announces a database every second while time passes. */
  run (ms: number, announced?: readonly [host: HostName, entry: DatabaseEntry]): void {
    for (let passedMs = 0; passedMs < ms; passedMs += REPORT_INTERVAL_MS) {
      if (announced !== undefined && passedMs % 1_000 === 0) this.announce(...announced)
      this.#nowMs += REPORT_INTERVAL_MS
      const statuses = [...this.answering].map(database => ({ database, answering: true, primary: true, position: { term: 1, offset: 1 }, fencedTerm: 0 }))
      this.post(this.#leader, { kind: 'membership/beat', round: 1, self: { ...createHost('entry-1'), control: false, apart: false }, revision: { epoch: 0, count: 0 }, databases: [], statuses })
      for (const host of HOSTS) this.post(host, { kind: 'membership/beat-due' })
      this.post(this.#leader, { kind: 'membership/sweep-due' })
    }
  }

  /** Another control host leads, which knows of the databases from its copy of the directory or from the log. */
  lead (host: HostName, stored: StoredDatabaseTable = {}): void {
    this.#leader = host
    this.post(host, { kind: 'membership/remembered', databases: stored })
    this.#startLeader()
  }

  post (host: HostName, message: MembershipMessage): void {
    const step = decideMembership(this.#states.get(host)!, message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0 })
    this.#states.set(host, step.state)
    for (const effect of step.effects) this.#execute(host, effect)
  }

  #startLeader (): void {
    this.#epoch += 1
    for (const host of HOSTS) this.post(host, { kind: 'membership/leader-changed', leader: this.#leader, epoch: this.#epoch })
    this.post(this.#leader, { kind: 'membership/lease-extended', untilMs: Infinity })
  }

  #execute (from: HostName, effect: Effect): void {
    if (effect.kind === 'loop/tell') this.messages.push((effect as Tell).message)
    if (effect.kind !== 'peer/send') return
    const { to, message } = effect as SendPeer<MembershipMessage>
    if (HOSTS.includes(to as HostName) && message.kind.startsWith('membership/')) this.post(to as HostName, { ...message, from } as MembershipMessage)
  }
}

describe('a database that starts again under its identity', () => {
  let group: ControlGroup
  const first = createEntry(1_000)
  const second = createEntry(2_000)

  beforeEach(() => {
    group = ControlGroup.create()
    group.run(2_000, ['control-2', first])
    expect(group.databases).to.deep.equal([first.database])
  })

  it('takes the place of its former start, whose name answers no longer keep', () => {
    group.answering.add(first.database)
    group.run(5_000, ['control-2', second])
    expect(group.databases).to.deep.equal([second.database])
  })

  it('takes that place at another host, too, while the first still reports the former start', () => {
    group.run(1_000, ['control-3', second])
    expect(group.databases).to.deep.equal([second.database])
    expect(group.messages.filter(message => message.kind === 'succession/reported').at(-1)).to.not.deep.include({ databases: [first] })
  })

  it('departs and leaves like any other', () => {
    group.answering.add(first.database)
    group.run(1_000, ['control-2', second])
    group.run(1_000, ['control-2', { ...second, departing: true }])
    expect(group.departing).to.deep.equal([second.database])
    group.withdraw('control-2', second)
    expect(group.databases).to.deep.equal([])
  })

  it('is not removed by a late announcement of its former start, at any host', () => {
    for (const host of HOSTS) {
      group.run(1_000, ['control-2', second])
      group.announce(host, first, 99)
      group.run(1_000)
      expect(group.databases).to.deep.equal([second.database])
    }
  })

  it('is not removed by a late announcement while its own ones reach no host, as long as it answers', () => {
    group.run(1_000, ['control-2', second])
    group.answering.add(second.database)
    group.run(FORGOTTEN_MS)
    group.announce('control-3', first, 99)
    group.run(FORGOTTEN_MS)
    expect(group.databases).to.deep.equal([second.database])
  })

  it('stays gone after it withdrew itself, while other hosts still report it or its former start, and it answers', () => {
    group.run(1_000, ['control-3', second])
    group.answering.add(first.database).add(second.database)
    group.withdraw('control-2', second)
    for (let passed = 0; passed < FORGOTTEN_MS; passed += REPORT_INTERVAL_MS) {
      group.run(REPORT_INTERVAL_MS)
      expect(group.databases).to.deep.equal([])
    }
  })

  it('is gone when its withdrawal is the first that is heard of it', () => {
    group.answering.add(first.database)
    group.withdraw('control-1', second)
    group.run(FORGOTTEN_MS)
    expect(group.databases).to.deep.equal([])
  })

  it('stays gone under the next leader after it withdrew itself', () => {
    group.run(1_000, ['control-3', second])
    group.withdraw('control-2', second)
    group.lead('control-3', { [first.database]: first, [second.database]: second })
    group.answering.add(first.database).add(second.database)
    group.run(1_000)
    expect(group.databases).to.deep.equal([])
  })

  it('is the only start with which a leader begins that knows both, one from its directory and one from the log', () => {
    group.run(1_000, ['control-2', second])
    group.lead('control-3', { [first.database]: first, [second.database]: second })
    expect(group.databases).to.have.length(1)
    group.run(1_000, ['control-2', second])
    expect(group.databases).to.deep.equal([second.database])
  })

  it('counts although its clock says an earlier time, once the former start is silent for longer than hosts report it', () => {
    const behind = createEntry(500)
    group.answering.add(first.database)
    group.run(HOLDS_MS, ['control-2', behind])
    expect(group.databases).to.deep.equal([first.database])
    group.run(3_000, ['control-2', behind])
    expect(group.databases).to.deep.equal([behind.database])
    group.announce('control-3', first, 99)
    group.run(1_000, ['control-2', behind])
    expect(group.databases).to.deep.equal([behind.database])
  })

  it('counts although its clock says an earlier time, after the former start withdrew itself', () => {
    group.withdraw('control-2', first)
    const behind = createEntry(500)
    group.run(HOLDS_MS + 3_000, ['control-2', behind])
    expect(group.databases).to.deep.equal([behind.database])
  })

  it('is gone once it withdrew itself although its clock says an earlier time, so that the former start no longer counts', () => {
    const behind = createEntry(500)
    group.answering.add(first.database).add(behind.database)
    group.run(1_000, ['control-2', behind])
    group.withdraw('control-2', behind)
    group.run(HOLDS_MS + 2_000)
    expect(group.databases).to.deep.equal([])
    group.run(FORGOTTEN_MS)
    expect(group.databases).to.deep.equal([])
  })

  it('stays when a withdrawal of its former start arrives late', () => {
    group.run(1_000, ['control-2', second])
    group.withdraw('control-3', first)
    group.run(FORGOTTEN_MS, ['control-2', second])
    expect(group.databases).to.deep.equal([second.database])
  })

  it('leaves databases of other instances alone', () => {
    const other = createEntry(100, 'i-2')
    group.run(1_000, ['control-3', other])
    group.run(1_000, ['control-2', second])
    expect(group.databases).to.have.members([other.database, second.database])
  })
})

describe('a control host that knows of a withdrawal', () => {
  it('tells the next leader, which may have started again since', () => {
    const decide = (state: MembershipState, message: MembershipMessage): ReturnType<typeof decideMembership> => decideMembership(state, message, { monotonicMs: 1_000, wallMs: 0, random: 0 })
    const { database, incarnation } = createEntry(1_700)
    const started = decide(createMembershipState(), { kind: 'membership/started', self: createHost('control-1'), control: HOSTS }).state
    const withdrawn = decide(started, { kind: 'membership/withdrawn', from: 'control-2', database, incarnation }).state
    const { effects } = decide(withdrawn, { kind: 'membership/leader-changed', leader: 'control-3', epoch: 2 })
    expect(effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ to, message }) => [to, message])).to.deep.equal([['control-3', { kind: 'membership/withdrawn', database, incarnation }]])
  })
})

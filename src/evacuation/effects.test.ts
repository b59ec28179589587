/** What an evacuation does at routing, at the owner of a database, and in a host's view of its directory. */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import { decideMembership } from '../membership/decide.js'
import { createDirectory, putEntry, type DatabaseEntry, type DirectoryEntry, type GrantEntry, type HostEntry } from '../membership/directory.js'
import type { MembershipMessage } from '../membership/messages.js'
import { createMembershipState, DEFAULT_MEMBERSHIP_TIMING, type MembershipState } from '../membership/state.js'
import { decideRouting } from '../routing/decide.js'
import type { DirectoryChanged } from '../routing/messages.js'
import { createRoutingState, type RoutingState } from '../routing/state.js'
import { decideTransactions } from '../transactions/decide.js'
import { checkOwnedDatabase } from '../transactions/invariants.js'
import type { RunRequest, TransactionsMessage } from '../transactions/messages.js'
import { createTransactionsShared } from '../transactions/state.js'
import { TRANSACTION_GRACE_MS } from './owner.js'
import { hasOrders, listMarkedDatabases, ORDERS_NAME } from './view.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const createEntry = (index: number, more: Partial<DatabaseEntry> = {}): DatabaseEntry => ({ kind: 'database', database: `a${index}`, group: 'a', failureDomain: `domain-${index}`, address: 'x', slots: 1, connectionLimit: 10, departing: false, ...more })
const GRANT: GrantEntry = { kind: 'grant', group: 'a', term: 1, primary: 'a1', members: [] }
const listMessages = <M>(effects: readonly Effect[], kind: string): readonly M[] => effects.flatMap(effect => {
  const { message } = effect as SendPeer | Tell
  return (effect.kind === 'peer/send' || effect.kind === 'loop/tell') && message.kind === kind ? [message as unknown as M] : []
})

describe('routing with an evacuated failure domain', () => {
  const createState = (evacuated: readonly number[], selfFencing = true): RoutingState => {
    const entries = [1, 2, 3].map(index => createEntry(index, { evacuated: evacuated.includes(index) }))
    return {
      ...createRoutingState('host-3', 'domain-3', { ...GUARANTEES, selfFencing }),
      databases: new Map(entries.map((entry, index) => [entry.database, { entry, owner: `host-${index + 1}` }])),
      grants: new Map([['a', GRANT]]),
      grantsConfirmedAtMs: 1_000,
      samples: new Map([['a', [{ database: 'a1', askedAtMs: 900, position: { term: 1, offset: 5 } }]]]),
      latestPositions: new Map(['a1', 'a2', 'a3'].map(name => [name, { position: { term: 1, offset: 5 }, askedAtMs: 990 }]))
    }
  }
  const choose = (state: RoutingState, action: 'read' | 'write', avoid: readonly string[] = [], homes?: readonly string[]): Effect => {
    const rules = { group: 'a', action, maxStalenessMs: 1_500, idempotent: false, homes } as const
    return decideRouting(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules, seen: ORIGIN, avoid }, { monotonicMs: 1_000, wallMs: 0, random: 0 }).effects[0]!
  }

  for (const selfFencing of [true, false]) {
    it(`sends reads to replicas elsewhere alone (${selfFencing ? 'self-fencing databases' : 'databases with a floor'})`, () => {
      expect(choose(createState([], selfFencing), 'read')).to.have.nested.property('message.target.database', 'a3')
      expect(choose(createState([3], selfFencing), 'read')).to.have.nested.property('message.target.database', 'a2')
    })
  }

  it('refuses at once, as not run, what only an evacuated primary can run', () => {
    const refused = { code: 'evacuated', effect: 'not-run' }
    expect(choose(createState([1]), 'write')).to.deep.nested.include({ 'message.kind': 'requests/failed', 'message.retriable': false, 'message.failure.code': refused.code, 'message.failure.effect': refused.effect })
    expect(choose(createState([1, 2, 3]), 'read')).to.deep.nested.include({ 'message.failure.code': refused.code })
    expect(choose(createState([2, 3]), 'write')).to.have.nested.property('message.target.database', 'a1')
  })

  it('keeps a read for the next try while the replicas elsewhere are not eligible', () => {
    const withoutOwners = (state: RoutingState): RoutingState => ({ ...state, databases: new Map([...state.databases].map(([name, { entry }]) => [name, { entry, owner: undefined }])) })
    const state = withoutOwners(createState([1]))
    expect(choose(state, 'read')).to.deep.nested.include({ 'message.kind': 'requests/failed', 'message.retriable': true, 'message.failure.code': 'no-database' })
    expect(choose(state, 'write')).to.deep.nested.include({ 'message.retriable': false, 'message.failure.code': 'evacuated' })
    expect(choose(withoutOwners(createState([1, 2, 3])), 'read')).to.deep.nested.include({ 'message.retriable': false, 'message.failure.code': 'evacuated' })
    expect(choose(state, 'read', ['a2', 'a3'])).to.deep.nested.include({ 'message.retriable': false, 'message.failure.code': 'evacuated' })
  })

  it('keeps no read for a replica at home that is evacuated', () => {
    const state = createState([2])
    const regions = { a1: ['east'], a2: ['west'], a3: ['east'] }
    const homed: RoutingState = { ...state, databases: new Map([...state.databases].map(([name, database]) => [name, { ...database, regions: regions[name as keyof typeof regions] }])) }
    expect(choose(homed, 'read', [], ['west'])).to.deep.nested.include({ 'message.retriable': false, 'message.failure.code': 'no-home' })
    expect(choose(homed, 'read', [], ['north'])).to.deep.nested.include({ 'message.retriable': false, 'message.failure.code': 'no-home' })
  })
})

describe('the owner of an evacuated database', () => {
  let slice = createSlice()
  let order = 0
  let nowMs = 0

  function createSlice () {
    return StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 10_000, GUARANTEES), decide: decideTransactions, checkItem: checkOwnedDatabase })
  }
  const handle = (message: TransactionsMessage): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  const setOwned = (evacuated: readonly string[], databases: readonly DatabaseEntry[] = [createEntry(1)]): readonly Effect[] => handle({ kind: 'transactions/owned-changed', databases, grants: [GRANT], evacuated, confirmedAtMs: nowMs - 100 })
  const createRun = (caller: string, attempt: number, more: Partial<RunRequest> = {}): RunRequest => ({
    kind: 'transactions/run',
    from: 'entry',
    caller,
    attempt,
    ticket: { sender: 'p', order: ++order },
    service: 's',
    workspace: 'w',
    target: { database: 'a1', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN },
    intent: 'statement',
    remainingMs: 5_000,
    payload: Buffer.from(caller),
    ...more
  })
  const listSentToDatabase = (effects: readonly Effect[]): readonly Effect[] => effects.filter(({ kind }) => kind === 'database/execute' || kind === 'database/open')
  const begin = (caller: string): string => {
    const opened = handle(createRun(caller, 1, { intent: 'begin' })).find(({ kind }) => kind === 'database/open') as Effect & { readonly connection: string }
    handle({ kind: 'transactions/opened', connection: opened.connection })
    handle({ kind: 'transactions/finished', connection: opened.connection, status: 'open', refused: false, payload: Buffer.from('') })
    return opened.connection
  }

  beforeEach(() => {
    slice = createSlice()
    order = 0
    nowMs = 1_000
    setOwned([])
  })

  it('refuses first requests and those that are queued; a read may find another replica', () => {
    const opened = handle(createRun('c1', 1)).find(({ kind }) => kind === 'database/open') as Effect & { readonly connection: string }
    expect(listMessages(setOwned(['domain-1']), 'requests/failed')).to.have.length(1)
    const refused = handle(createRun('c2', 1))
    expect(listSentToDatabase(refused)).to.deep.equal([])
    expect(listMessages(refused, 'requests/failed')[0]).to.deep.include({ retriable: false }).and.to.have.nested.property('failure.code', 'evacuated')
    const read = handle(createRun('c3', 1, { target: { database: 'a1', owner: 'o', purpose: 'replica', term: 1, floor: ORIGIN, bound: { maxStalenessMs: 1_000, seen: ORIGIN } } }))
    expect(listMessages(read, 'requests/failed')[0]).to.deep.include({ retriable: true })
    expect(listSentToDatabase(handle({ kind: 'transactions/opened', connection: opened.connection }))).to.deep.equal([])
    setOwned([])
    expect(listSentToDatabase(handle(createRun('c4', 1)))).to.have.length(1)
  })

  it('lets a transaction go on for a while from the last confirmation without the order, then rolls it back', () => {
    const connection = begin('c1')
    setOwned(['domain-1'])
    nowMs = 900 + TRANSACTION_GRACE_MS - 1
    expect(listSentToDatabase(handle(createRun('c1', 2, { transaction: 1 })))).to.have.length(1)
    handle({ kind: 'transactions/finished', connection, status: 'open', refused: false, payload: Buffer.from('') })
    setOwned(['domain-1'])
    nowMs += 1
    const refused = handle(createRun('c1', 3, { transaction: 1, intent: 'commit' }))
    expect(listSentToDatabase(refused)).to.deep.equal([])
    expect(refused.map(({ kind }) => kind)).to.include('database/close')
    expect(listMessages(refused, 'requests/failed')[0]).to.have.nested.property('failure.code', 'transaction-evacuated')
  })

  it('sends no statement of a transaction that waited for a token of a cold database past that time', () => {
    const rates = { coldRates: new Map([['a', 0.5]]) }
    const shared = createTransactionsShared(10, 10_000, GUARANTEES, { excess: 1, slack: 2, unheardMs: 1_000 })
    slice = StoreSlice.create({ name: 'transactions', shared, decide: decideTransactions, checkItem: checkOwnedDatabase })
    const own = (evacuated: readonly string[]): readonly Effect[] => handle({ kind: 'transactions/owned-changed', databases: [createEntry(1, { cold: true })], grants: [GRANT], evacuated, confirmedAtMs: nowMs, ...rates })
    const pass = (ms: number): void => {
      for (const endsAtMs = nowMs + ms; nowMs < endsAtMs;) {
        nowMs += 100
        handle({ kind: 'transactions/contact-confirmed', askedAtMs: nowMs })
      }
    }
    pass(100)
    own([])
    pass(5_500)
    begin('c1')
    pass(3_800)
    expect(listSentToDatabase(handle(createRun('c1', 2, { transaction: 1 })))).to.deep.equal([])
    own(['domain-1'])
    pass(TRANSACTION_GRACE_MS)
    const refused = handle({ kind: 'transactions/refill-due', database: 'a1' })
    expect(listSentToDatabase(refused)).to.deep.equal([])
    expect(listMessages(refused, 'requests/failed')[0]).to.have.nested.property('failure.code', 'transaction-evacuated')
  })

  it('refuses the transactions of a database that it releases as well', () => {
    begin('c1')
    setOwned(['domain-1'], [])
    nowMs += TRANSACTION_GRACE_MS
    const refused = handle(createRun('c1', 2, { transaction: 1 }))
    expect(listSentToDatabase(refused)).to.deep.equal([])
    expect(listMessages(refused, 'requests/failed')[0]).to.have.nested.property('failure.code', 'transaction-evacuated')
  })

  it('refuses what waits once it may have missed an order', () => {
    handle(createRun('c1', 1))
    expect(handle({ kind: 'transactions/confirmed', untilMs: nowMs })).to.deep.equal([])
    nowMs += 1
    expect(listMessages(handle({ kind: 'transactions/confirmed', untilMs: nowMs - 1 }), 'requests/failed')).to.have.length(1)
  })

  it('refuses all work while it may have missed an order', () => {
    handle({ kind: 'transactions/confirmed', untilMs: 1_500 })
    nowMs = 1_501
    const refused = handle(createRun('c1', 1))
    expect(listSentToDatabase(refused)).to.deep.equal([])
    expect(listMessages(refused, 'requests/failed')[0]).to.have.nested.property('failure.effect', 'not-run')
    handle({ kind: 'transactions/confirmed', untilMs: Infinity })
    expect(listSentToDatabase(handle(createRun('c2', 1)))).to.have.length(1)
  })
})

describe('a host\'s directory with orders', () => {
  const SELF: HostEntry = { kind: 'host', host: 'host-1', incarnation: 'i', failureDomain: 'domain-1', peers: 'x', draining: false }
  const ORDER = { kind: 'evacuation', failureDomain: 'domain-1', evacuated: true, version: 3 } as const
  const ENTRIES: readonly DirectoryEntry[] = [SELF, createEntry(1), createEntry(2), GRANT]
  let state: MembershipState
  let effects: Effect[]

  const decide = (message: MembershipMessage, monotonicMs: number): void => {
    const step = decideMembership(state, message, { monotonicMs, wallMs: 0, random: 0.5 })
    state = step.state
    effects.push(...step.effects)
  }
  const beat = (atMs: number, entries: readonly DirectoryEntry[]): void => {
    decide({ kind: 'membership/beat-due' }, atMs)
    const directory = entries.reduce(putEntry, createDirectory(1))
    decide({ kind: 'membership/beat-answered', from: 'control-1', round: state.heartbeatRound, leaderMs: 0, revision: directory.revision, changes: [...directory.changes.values()] }, atMs + 5)
  }
  const start = (evacuateMs?: number): void => {
    state = createMembershipState({ ...DEFAULT_MEMBERSHIP_TIMING, evacuateMs })
    effects = []
    decide({ kind: 'membership/started', self: SELF, control: ['control-1', 'control-2', 'control-3'] }, 0)
    decide({ kind: 'membership/leader-changed', leader: 'control-1', epoch: 1 }, 0)
  }
  const listLeases = (): readonly number[] => listMessages<{ readonly untilMs: number }>(effects, 'transactions/confirmed').map(({ untilMs }) => untilMs)

  it('marks the databases of an evacuated domain for routing and the owner, and takes the marks back', () => {
    start()
    beat(1_000, [...ENTRIES, ORDER])
    const [routed] = listMessages<DirectoryChanged>(effects, 'routing/directory-changed')
    expect(routed!.databases.map(({ database, evacuated = false }) => [database, evacuated])).to.deep.equal([['a1', true], ['a2', false]])
    expect(listMessages(effects, 'transactions/owned-changed')[0]).to.deep.include({ evacuated: ['domain-1'] })
    effects = []
    beat(1_100, [...ENTRIES, ORDER, { ...ORDER, evacuated: false, version: 4 }])
    expect(listMarkedDatabases(state.directory).some(({ evacuated }) => evacuated)).to.equal(false)
    expect(listMessages(effects, 'transactions/owned-changed')[0]).to.deep.include({ evacuated: [], confirmedAtMs: 1_000 })
    expect(listLeases()).to.deep.equal([])
  })

  it('bounds how long an unconfirmed owner goes on, unless it is isolated', () => {
    start(5_000)
    beat(1_000, ENTRIES)
    expect(listLeases().at(-1)).to.equal(5_500)
    for (let atMs = 1_100; atMs <= 5_500; atMs += 100) decide({ kind: 'membership/beat-due' }, atMs)
    expect(listLeases().at(-1)).to.equal(Infinity)
    beat(5_600, ENTRIES)
    expect(listLeases().at(-1)).to.equal(10_100)
  })

  it('tells the end of its lease to the owner, which refuses what waits', () => {
    start(1_000)
    beat(1_000, ENTRIES)
    effects = []
    for (let atMs = 1_100; atMs <= 2_500; atMs += 100) decide({ kind: 'membership/beat-due' }, atMs)
    expect(listLeases()).to.deep.equal([1_900])
  })

  it('is confirmed by a majority only if it holds all orders that the majority may hold', () => {
    start(5_000)
    beat(1_000, [...ENTRIES, ORDER])
    expect([3, 4].map(version => hasOrders(state.directory, [{ service: ORDERS_NAME, version }]))).to.deep.equal([true, false])
    for (let atMs = 1_100; atMs <= 2_100; atMs += 100) decide({ kind: 'membership/beat-due' }, atMs)
    const { round } = state.contact
    effects = []
    decide({ kind: 'membership/versions-held', from: 'control-2', round, versions: [{ service: 's', version: 1 }, { service: ORDERS_NAME, version: 4 }] }, 2_150)
    expect(listLeases()).to.deep.equal([])
    expect(listMessages<{ readonly versions: unknown }>(effects, 'admission/versions-held')[0]!.versions).to.deep.equal([{ service: 's', version: 1 }])
    decide({ kind: 'membership/versions-held', from: 'control-2', round, versions: [{ service: ORDERS_NAME, version: 3 }] }, 2_160)
    expect(listLeases().at(-1)).to.be.within(5_501, 6_700)
  })
})

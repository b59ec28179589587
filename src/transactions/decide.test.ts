/** An owned database: slots, connections, release to another owner, and how units of work end. */
import { expect } from 'chai'
import type { Effect, Message, SendPeer, SetTimer } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { HostMessage } from '../messages.js'
import type { AttemptFailed } from '../requests/messages.js'
import { checkOwnedDatabase } from './invariants.js'
import { decideTransactions } from './decide.js'
import type { RunRequest, TransactionsMessage } from './messages.js'
import { createTransactionsShared, type OwnedDatabase } from './state.js'

const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'f', address: 'x', slots: 2, connectionLimit: 2, departing: false }
const GRANT: GrantEntry = { kind: 'grant', group: 'a', term: 1, primary: 'a1', members: ['a1'] }
const IDLE_MS = 700

describe('an owned database', () => {
  let slice = createSlice()
  let order = 0
  let nowMs = 0

  function createSlice () {
    return StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, IDLE_MS), decide: decideTransactions, checkItem: checkOwnedDatabase })
  }
  const handle = (message: TransactionsMessage): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  const replaceOwned = (...databases: readonly DatabaseEntry[]): readonly Effect[] => handle({ kind: 'transactions/owned-changed', databases, grants: [GRANT] })
  const createRun = (caller: string, attempt: number, more: Partial<RunRequest> = {}): RunRequest => ({
    kind: 'transactions/run',
    from: 'entry',
    caller,
    attempt,
    ticket: { sender: 'p', order: ++order },
    service: 's',
    target: { database: 'a1', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN },
    intent: 'statement',
    remainingMs: 500,
    payload: Buffer.from(caller),
    ...more
  })
  const listOpened = (effects: readonly Effect[]): readonly string[] => effects.flatMap(effect => (effect.kind === 'database/open' ? [(effect as Effect & { connection: string }).connection] : []))
  const listSent = (effects: readonly Effect[]): readonly Message[] => effects.flatMap(effect => (effect.kind === 'peer/send' ? [(effect as SendPeer).message] : []))
  const listKinds = (effects: readonly Effect[]): readonly string[] => effects.map(effect => effect.kind)
  const readDatabase = (): OwnedDatabase => slice.store.items.get('a1')!
  const start = (run: RunRequest): string => {
    const [connection] = listOpened(handle(run))
    handle({ kind: 'transactions/opened', connection: connection! })
    return connection!
  }
  const expectNotRun = (effects: readonly Effect[], callers: readonly string[]): void => {
    const failed = listSent(effects) as readonly AttemptFailed[]
    expect(failed.map(message => message.caller)).to.have.members(callers)
    for (const message of failed) expect(message).to.deep.include({ kind: 'requests/failed', retriable: true }).and.to.have.nested.property('failure.effect', 'not-run')
  }

  beforeEach(() => {
    slice = createSlice()
    order = 0
    nowMs = 0
    replaceOwned(ENTRY)
  })

  it('releases a database: queued requests are refused, running ones finish, and then the record is removed', () => {
    const first = start(createRun('c1', 1))
    start(createRun('c2', 1))
    handle(createRun('c3', 1))
    const released = replaceOwned()
    expectNotRun(released, ['c3'])
    expectNotRun(handle(createRun('c4', 1)), ['c4'])
    expect(listKinds(handle({ kind: 'transactions/broken', connection: first }))).to.include('peer/send')
    expect(readDatabase().releasing).to.equal(true)
    const [connection] = [...readDatabase().connections.keys()]
    const ended = handle({ kind: 'transactions/finished', connection: connection!, status: 'idle', refused: false, payload: Buffer.alloc(0) })
    expect(listKinds(ended)).to.include('database/close')
    expect(slice.store.items.size).to.equal(0)
    replaceOwned(ENTRY)
    expect(listOpened(handle(createRun('c5', 1)))).to.not.include(first)
  })

  it('serves again when it regains a database before the last unit has finished', () => {
    const connection = start(createRun('c1', 1))
    replaceOwned()
    replaceOwned(ENTRY)
    handle(createRun('c2', 1))
    const ended = handle({ kind: 'transactions/finished', connection, status: 'idle', refused: false, payload: Buffer.alloc(0) })
    expect(listKinds(ended)).to.include('database/execute')
  })

  it('starts no new work on a departing database', () => {
    start(createRun('c1', 1))
    start(createRun('c2', 1))
    handle(createRun('c3', 1))
    expectNotRun(replaceOwned({ ...ENTRY, departing: true }), ['c3'])
    expectNotRun(handle(createRun('c4', 1)), ['c4'])
    expect(readDatabase().units.size).to.equal(2)
  })

  it('refuses all requests at once when the database is unreachable, and retries after a backoff', () => {
    const [connection] = listOpened(handle(createRun('c1', 1)))
    const [second] = listOpened(handle(createRun('c2', 1)))
    handle(createRun('c3', 1))
    handle({ kind: 'transactions/open-failed', connection: connection!, text: 'refused' })
    expectNotRun(handle({ kind: 'transactions/open-failed', connection: second!, text: 'refused' }), ['c1', 'c2', 'c3'])
    expectNotRun(handle(createRun('c4', 1)), ['c4'])
    handle({ kind: 'transactions/cooled', database: 'a1' })
    expect(listOpened(handle(createRun('c5', 1)))).to.have.length(1)
  })

  it('logs why a connection could not be opened', () => {
    const [connection] = listOpened(handle(createRun('c1', 1)))
    const line = handle({ kind: 'transactions/open-failed', connection: connection!, text: 'too many connections' }).find(effect => effect.kind === 'log/write')
    expect(line).to.deep.include({ level: 'warn', fields: { database: 'a1', connection, reason: 'too many connections', left: 0 } })
  })

  it('keeps its connections when its limit is lowered, and opens no other', () => {
    start(createRun('c1', 1))
    start(createRun('c2', 1))
    replaceOwned({ ...ENTRY, connectionLimit: 1 })
    expect(readDatabase().connections.size).to.equal(2)
    expect(listOpened(handle(createRun('c3', 1)))).to.have.length(0)
  })

  it('counts a caller once in a stop, also when it has a transaction and a queued statement, and says which callers are its own', () => {
    start(createRun('c1', 1))
    start(createRun('c2', 1, { from: 'o' }))
    handle(createRun('c3', 1))
    handle(createRun('c1', 2))
    expect(handle({ kind: 'transactions/count-asked', host: 'o' })).to.deep.equal([{ kind: 'loop/tell', message: { kind: 'stopping/counted', part: 'transactions', busy: 3, local: 1 } }])
  })

  it('runs a duplicate request once, and ignores a request that arrives after its cancel', () => {
    const run = createRun('c1', 1)
    const connection = start(run)
    expect(handle(run)).to.deep.equal([])
    handle({ kind: 'transactions/finished', connection, status: 'idle', refused: false, payload: Buffer.alloc(0) })
    expect(handle(run)).to.deep.equal([])
    const late = createRun('c2', 1)
    handle({ kind: 'transactions/cancel', from: 'entry', database: 'a1', caller: 'c2', attempt: 1, ticket: late.ticket })
    expect(handle(late)).to.deep.equal([])
    expect(readDatabase().units.size).to.equal(0)
  })

  it('cancels only the attempts that a late cancel names', () => {
    start(createRun('c1', 4))
    handle({ kind: 'transactions/cancel', from: 'entry', database: 'a1', caller: 'c1', attempt: 3, ticket: { sender: 'p', order: 0 } })
    expect([...readDatabase().units.keys()]).to.deep.equal(['c1'])
  })

  it('keeps a transaction when the time to start of its first request passes while the answer of the database waits to be handled', () => {
    const run = createRun('c1', 1, { intent: 'begin', waitMs: 250 })
    const [connection] = listOpened(handle(run))
    handle({ kind: 'transactions/opened', connection: connection! })
    nowMs = 250
    handle({ kind: 'transactions/finished', connection: connection!, status: 'open', refused: false, payload: Buffer.alloc(0) })
    expect(listKinds(handle({ kind: 'transactions/time-over', database: 'a1', caller: 'c1', attempt: 1 }))).to.not.include('database/close')
    expect(readDatabase().units.size).to.equal(1)
  })

  it('ends a transaction that exceeds its idle limit', () => {
    const connection = start(createRun('c1', 1, { intent: 'begin' }))
    const idle = handle({ kind: 'transactions/finished', connection, status: 'open', refused: false, payload: Buffer.alloc(0) })
    const timer = idle.find((effect): effect is SetTimer => effect.kind === 'timer/set')!
    expect(timer.afterMs).to.equal(IDLE_MS)
    expect(listKinds(handle(timer.message as HostMessage as TransactionsMessage))).to.include('database/close')
    const [answer] = listSent(handle(createRun('c1', 2, { transaction: 1 })))
    expect(answer).to.have.nested.property('failure.code', 'transaction-lost')
  })

  it('cancels all work of a lost host', () => {
    start(createRun('c1', 1))
    start(createRun('c2', 1, { from: 'other' }))
    handle(createRun('c3', 1))
    handle({ kind: 'transactions/host-lost', host: 'entry' })
    expect([...readDatabase().units.keys()]).to.deep.equal(['c2'])
    expect([...readDatabase().connections.values()].filter(connection => connection.phase === 'bound')).to.have.length(1)
  })

  // Guards against a stop that cuts statements of callers of other hosts, whose outcome they would not know.
  it('refuses what can not end before its owner stops: a transaction is rolled back, other requests may run elsewhere', () => {
    const connection = start(createRun('c1', 1, { intent: 'begin' }))
    handle({ kind: 'transactions/finished', connection, status: 'open', refused: false, payload: Buffer.alloc(0) })
    handle({ kind: 'transactions/stop-asked', endsAtMs: 1_000 })
    nowMs = 900
    const late = handle(createRun('c1', 2, { transaction: 1, intent: 'commit', expectedMs: 100 }))
    expect(listSent(late)).to.have.length(1)
    expect(listSent(late)[0]).to.include({ kind: 'requests/failed', retriable: false }).and.to.have.nested.property('failure.effect', 'not-run')
    expect(late).to.deep.include({ kind: 'database/close', connection })
    expectNotRun(handle(createRun('c2', 1, { expectedMs: 100 })), ['c2'])
    expect(listOpened(handle(createRun('c3', 1, { expectedMs: 99 })))).to.have.length(1)
  })
})

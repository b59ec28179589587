/** Guards against commits that are acknowledged after replicas were compared (docs/incidents/commits-during-a-change-of-primary.md). */
import { expect } from 'chai'
import type { Effect, Message, SendPeer, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry, GrantEntry } from '../membership/directory.js'
import type { AttemptFailed } from '../requests/messages.js'
import { COMMIT_LEASE_MS } from './commits.js'
import { decideTransactions } from './decide.js'
import { checkOwnedDatabase } from './invariants.js'
import type { RunRequest, TransactionsMessage } from './messages.js'
import { createTransactionsShared } from './state.js'

const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'f', address: 'x', slots: 2, connectionLimit: 8, departing: false }
const GRANT: GrantEntry = { kind: 'grant', group: 'a', term: 1, primary: 'a1', members: [], leased: true }
const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: false }

describe('commits where a replica\'s copy acknowledges a write', () => {
  let slice = createSlice()
  let order = 0
  let nowMs = 0

  function createSlice () {
    return StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 5_000, GUARANTEES), decide: decideTransactions, checkItem: checkOwnedDatabase })
  }
  const handle = (message: TransactionsMessage): readonly Effect[] => {
    nowMs += 1
    return slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  }
  const own = (grant: GrantEntry, databases: readonly DatabaseEntry[] = [ENTRY]): readonly Effect[] => handle({ kind: 'transactions/owned-changed', databases, grants: [grant] })
  const confirm = (askedAtMs = nowMs + 0.5): void => { handle({ kind: 'transactions/contact-confirmed', askedAtMs }) }
  const run = (intent: RunRequest['intent'], attempt: number, more: Partial<RunRequest> = {}): readonly Effect[] => handle({
    kind: 'transactions/run',
    from: 'entry',
    caller: 'c1',
    attempt,
    ticket: { sender: 'p', order: ++order },
    service: 's',
    target: { database: 'a1', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN },
    intent,
    writes: true,
    ...(attempt > 1 ? { transaction: 1 } : {}),
    remainingMs: 500,
    payload: Buffer.from('x'),
    ...more
  })
  const listSent = (effects: readonly Effect[]): readonly Message[] => effects.flatMap(effect => (effect.kind === 'peer/send' ? [(effect as SendPeer).message] : []))
  const listReports = (effects: readonly Effect[]): readonly Message[] => effects.flatMap(effect => (effect.kind === 'loop/tell' && (effect as Tell).message.kind === 'membership/writes-changed' ? [(effect as Tell).message] : []))
  const isExecuted = (effects: readonly Effect[]): boolean => effects.some(({ kind }) => kind === 'database/execute')
  const finish = (status: 'idle' | 'open', offset?: number): readonly Effect[] => handle({ kind: 'transactions/finished', connection: 'a1#1.1', status, refused: false, position: offset === undefined ? undefined : { term: 1, offset }, payload: Buffer.alloc(0) })
  const begin = (): void => {
    run('begin', 1)
    handle({ kind: 'transactions/opened', connection: 'a1#1.1' })
    finish('open')
  }
  const write = (): void => {
    expect(isExecuted(run('statement', 2))).to.equal(true)
    finish('open')
  }
  const expectRefused = (effects: readonly Effect[], code: string): void => {
    expect(isExecuted(effects)).to.equal(false)
    expect((listSent(effects)[0] as AttemptFailed).failure).to.include({ code, effect: 'not-run' })
  }

  beforeEach(() => {
    slice = createSlice()
    order = 0
    nowMs = 0
    own(GRANT)
    confirm()
  })

  it('are sent only once the log names this process, so that the next leader waits for it', () => {
    const ownAs = (writers: readonly string[]): readonly Effect[] => handle({ kind: 'transactions/owned-changed', databases: [ENTRY], grants: [{ ...GRANT, writers }], process: 'host-1/1f' })
    ownAs(['host-1/1e'])
    confirm()
    expectRefused(run('statement', 1), 'no-primary')
    ownAs(['host-1/1e', 'host-1/1f'])
    expect(run('statement', 1).some(({ kind }) => kind === 'database/open')).to.equal(true)
  })

  it('are refused once the primary is closed, and what was written is rolled back', () => {
    begin()
    write()
    expect(listReports(own({ ...GRANT, closing: true }))).to.deep.equal([{ kind: 'membership/writes-changed', group: 'a', phase: 'closed', acknowledged: undefined }])
    const refused = run('commit', 3)
    expectRefused(refused, 'transaction-closed')
    expect(refused.map(({ kind }) => kind)).to.include('database/close')
  })

  it('that were sent before are answered, and only then the host says that it has stopped', () => {
    begin()
    write()
    expect(isExecuted(run('commit', 3))).to.equal(true)
    expect(listReports(own({ ...GRANT, closing: true }))).to.deep.include.members([{ kind: 'membership/writes-changed', group: 'a', phase: 'closing', acknowledged: undefined }])
    const finished = finish('idle', 7)
    expect(listSent(finished)[0]).to.deep.include({ kind: 'requests/finished', wrote: true })
    expect(listReports(finished)).to.deep.equal([{ kind: 'membership/writes-changed', group: 'a', phase: 'closed', acknowledged: { term: 1, offset: 7 } }])
  })

  it('tell up to which position replicas hold all of them: what had been answered as a later one was sent', () => {
    begin()
    write()
    run('commit', 3)
    finish('idle', 7)
    run('statement', 4, { transaction: undefined })
    finish('idle', 12)
    expect(listReports(own({ ...GRANT, closing: true }))).to.deep.equal([{ kind: 'membership/writes-changed', group: 'a', phase: 'closed', acknowledged: { term: 1, offset: 12 }, copied: { term: 1, offset: 7 } }])
  })

  it('need a confirmed heartbeat that names the group', () => {
    slice = createSlice()
    own(GRANT)
    begin()
    write()
    confirm(0)
    expectRefused(run('commit', 3), 'transaction-closed')
  })

  it('are neither sent nor acknowledged once the leader has confirmed nothing for the lease', () => {
    begin()
    write()
    run('commit', 3)
    nowMs += COMMIT_LEASE_MS
    expect((listSent(finish('idle', 7))[0] as AttemptFailed).failure.code).to.equal('outcome-unknown')
    expectRefused(run('statement', 1), 'no-primary')
    confirm()
    expect(isExecuted(run('statement', 1))).to.equal(true)
  })

  it('go on at a former owner until the primary is closed', () => {
    begin()
    write()
    own(GRANT, [])
    expect(isExecuted(run('statement', 3))).to.equal(true)
    finish('open')
    own({ ...GRANT, closing: true }, [])
    expectRefused(run('commit', 4), 'transaction-closed')
  })

  it('of single writes are refused as not run while the primary is closed, also those in the queue, and reads are not', () => {
    begin()
    run('statement', 1, { caller: 'c2' })
    expectRefused(own({ ...GRANT, closing: true }), 'no-primary')
    expectRefused(run('statement', 1, { caller: 'c3' }), 'no-primary')
    expect(listSent(run('statement', 1, { caller: 'c4', writes: undefined }))).to.deep.equal([])
  })

  it('need no lease where the primary alone acknowledges them', () => {
    own({ ...GRANT, leased: undefined })
    nowMs += 10 * COMMIT_LEASE_MS
    run('statement', 1)
    expect(isExecuted(handle({ kind: 'transactions/opened', connection: 'a1#1.1' }))).to.equal(true)
  })
})

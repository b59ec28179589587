/** Reads at a replica that has not reached the required position yet. */
import { expect } from 'chai'
import type { Effect } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { checkOwnedDatabase } from './invariants.js'
import { decideTransactions } from './decide.js'
import type { RunRequest, TransactionsMessage } from './messages.js'
import { createTransactionsShared } from './state.js'

const ENTRY: DatabaseEntry = { kind: 'database', database: 'a2', group: 'a', failureDomain: 'east', address: '127.0.0.1:1', slots: 1, connectionLimit: 5, departing: false }

describe('a read at a replica that lags behind', () => {
  const createSlice = () => StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000), decide: decideTransactions, checkItem: checkOwnedDatabase })
  let slice = createSlice()
  let nowMs = 0
  const handle = (message: TransactionsMessage): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
  const listKinds = (effects: readonly Effect[]): readonly string[] => effects.map(effect => effect.kind)
  const read: RunRequest = {
    kind: 'transactions/run',
    from: 'host-1',
    caller: 'c',
    attempt: 1,
    ticket: { sender: 's', order: 1 },
    service: 'rota',
    target: { database: 'a2', owner: 'host-2', purpose: 'replica', term: 1, floor: { term: 1, offset: 5 } },
    intent: 'statement',
    remainingMs: 1_000,
    payload: new Uint8Array(0)
  }

  beforeEach(() => {
    slice = createSlice()
    nowMs = 0
    handle({ kind: 'transactions/owned-changed', databases: [ENTRY], grants: [] })
    handle({ kind: 'transactions/position-read', database: 'a2', position: { term: 1, offset: 4 } })
  })

  it('waits without a slot or a connection, and runs as soon as the replica has caught up', () => {
    expect(listKinds(handle(read))).to.deep.equal(['database/probe', 'timer/set'])
    expect(slice.store.items.get('a2')?.units.size).to.equal(0)
    const effects = handle({ kind: 'transactions/position-read', database: 'a2', position: { term: 1, offset: 5 } })
    expect(listKinds(effects)).to.include('database/open')
  })

  it('is refused as not run when the replica does not catch up in time', () => {
    handle(read)
    nowMs = 1_000
    const [answer] = handle({ kind: 'transactions/look-due', database: 'a2' })
    expect(answer).to.deep.include({ kind: 'peer/send', to: 'host-1' })
    expect(slice.store.items.get('a2')?.catchUpReads).to.deep.equal([])
  })

  it('is removed when its caller leaves', () => {
    handle(read)
    handle({ kind: 'transactions/cancel', from: 'host-1', database: 'a2', caller: 'c', attempt: 1, ticket: { sender: 's', order: 2 } })
    expect(slice.store.items.get('a2')?.catchUpReads).to.deep.equal([])
  })
})

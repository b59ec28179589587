/** The line of an answered request tells where its time went: at its host, on the way, at the owner, and in its database. */
import { expect } from 'chai'
import type { Effect, SendPeer } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry } from '../membership/directory.js'
import type { HostMessage } from '../messages.js'
import { decideTransactions } from '../transactions/decide.js'
import { createTransactionsShared } from '../transactions/state.js'
import { decideRequests } from './decide.js'
import type { Target } from './messages.js'
import { createRequestsShared } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a2', group: 'a', failureDomain: 'east', address: '', slots: 1, connectionLimit: 4, departing: false }
const TARGET: Target = { database: 'a2', owner: 'o', purpose: 'replica', term: 1, floor: ORIGIN }

describe('the line of an answered request', () => {
  it('names when it was admitted and sent, how long it waited at the owner, and how long its database took', () => {
    const entry = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000, GUARANTEES), decide: decideRequests })
    const owner = StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000, GUARANTEES), decide: decideTransactions })
    const takeAtEntry = (message: HostMessage, monotonicMs: number): readonly Effect[] => entry.handle(message, { monotonicMs, wallMs: 0, random: 0.5 })
    const takeAtOwner = (message: HostMessage, monotonicMs: number): readonly Effect[] => owner.handle(message, { monotonicMs, wallMs: 0, random: 0.5 })
    const findSent = (effects: readonly Effect[]): HostMessage => (effects.find(effect => effect.kind === 'peer/send') as SendPeer).message as HostMessage

    takeAtOwner({ kind: 'transactions/owned-changed', databases: [ENTRY], grants: [] }, 0)
    takeAtEntry({ kind: 'requests/open', caller: 'c', service: 's', keyHash: 'h' }, 0)
    takeAtEntry({ kind: 'requests/open-checked', caller: 'c', workspace: 'w' }, 0)
    takeAtEntry({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement', action: 'read', route: 'r' }, payload: new Uint8Array() }, 100)
    takeAtEntry({ kind: 'requests/admitted', caller: 'c', attempt: 1, rules: { group: 'a', action: 'read', maxStalenessMs: 1_500, idempotent: false } }, 130)
    const run = findSent(takeAtEntry({ kind: 'requests/routed', caller: 'c', attempt: 1, target: TARGET }, 135))

    const opened = takeAtOwner({ ...run, from: 'e' } as HostMessage, 9_000).find(effect => effect.kind === 'database/open') as unknown as { readonly connection: string }
    takeAtOwner({ kind: 'transactions/opened', connection: opened.connection }, 9_020)
    const answer = findSent(takeAtOwner({ kind: 'transactions/finished', connection: opened.connection, status: 'idle', refused: false, observed: { position: ORIGIN, askedAtMs: 9_020, proven: false }, payload: new Uint8Array() }, 9_050))

    const line = takeAtEntry({ ...answer, from: 'o' } as HostMessage, 200).find(effect => effect.kind === 'log/write') as unknown as { readonly fields: object }
    expect(line.fields).to.include({ elapsedMs: 100, admittedMs: 30, sentMs: 35, waitedMs: 20, ranMs: 30 })
  })
})

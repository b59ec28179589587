import { expect } from 'chai'
import type { Effect, SendPeer, SetTimer } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { decideTransactions } from './decide.js'
import { checkOwnedDatabase } from './invariants.js'
import type { RunRequest, TransactionsMessage } from './messages.js'
import { createTransactionsShared } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a2', group: 'a', failureDomain: 'east', address: '', slots: 1, connectionLimit: 4, departing: false }
const LATENCY_MS = 250

describe('a read that a replica does not answer', () => {
  let handle: (message: TransactionsMessage) => readonly Effect[]
  let order = 0

  const createRead = (caller: string, more: Partial<RunRequest> = {}): RunRequest => ({
    kind: 'transactions/run',
    from: 'entry',
    caller,
    attempt: 1,
    ticket: { sender: 'p', order: ++order },
    service: 's',
    workspace: 'parish',
    target: { database: 'a2', owner: 'o', purpose: 'replica', term: 1, floor: ORIGIN },
    intent: 'statement',
    remainingMs: 800,
    latencyMs: LATENCY_MS,
    payload: new Uint8Array(0),
    ...more
  })
  const start = (run: RunRequest): { readonly connection: string, readonly effects: readonly Effect[] } => {
    const { connection } = handle(run).find(effect => effect.kind === 'database/open') as unknown as { readonly connection: string }
    return { connection, effects: handle({ kind: 'transactions/opened', connection }) }
  }
  const findWatch = (effects: readonly Effect[]): SetTimer | undefined => effects.find((effect): effect is SetTimer => effect.kind === 'timer/set' && (effect as SetTimer).message.kind === 'transactions/read-slow')

  beforeEach(() => {
    const slice = StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000, GUARANTEES), decide: decideTransactions, checkItem: checkOwnedDatabase })
    handle = message => slice.handle(message, { monotonicMs: 0, wallMs: 0, random: 0.5 })
    order = 0
    handle({ kind: 'transactions/owned-changed', databases: [ENTRY], grants: [] })
  })

  it('is reported to its caller\'s host after a fraction of the latency target', () => {
    const watch = findWatch(start(createRead('c1')).effects)!
    expect(watch.afterMs).to.equal(150)
    const confirmation = findWatch(handle(watch.message as TransactionsMessage))!
    expect(confirmation.afterMs).to.be.at.most(LATENCY_MS / 10)
    expect(handle(confirmation.message as TransactionsMessage).map(effect => (effect as SendPeer).message)).to.deep.equal([{ kind: 'requests/late', caller: 'c1', attempt: 1 }])
  })

  it('is not reported once it was answered, and not while it waits in the queue', () => {
    const { connection, effects } = start(createRead('c1'))
    const queued = handle(createRead('c2'))
    expect(findWatch(queued)).to.equal(undefined)
    const watch = findWatch(effects)!
    const ended = handle({ kind: 'transactions/finished', connection, status: 'idle', refused: false, payload: new Uint8Array(0) })
    expect(ended.some(effect => effect.kind === 'timer/clear' && (effect as Effect & { readonly name: string }).name === watch.name)).to.equal(true)
    expect(handle(watch.message as TransactionsMessage)).to.deep.equal([])
  })

  it('is not reported when its answer came while the host was busy with its timers', () => {
    const { connection, effects } = start(createRead('c1'))
    const confirmation = findWatch(handle(findWatch(effects)!.message as TransactionsMessage))!
    handle({ kind: 'transactions/finished', connection, status: 'idle', refused: false, payload: new Uint8Array(0) })
    expect(handle(confirmation.message as TransactionsMessage)).to.deep.equal([])
  })

  it('is not watched at the primary, nor inside a transaction', () => {
    expect(findWatch(start(createRead('c1', { target: { database: 'a2', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN } })).effects)).to.equal(undefined)
    expect(findWatch(start(createRead('c2', { intent: 'begin-read-only', workspace: 'school' })).effects)).to.equal(undefined)
  })
})

/** Reads whose floor the owner of the database determines. */
import { expect } from 'chai'
import type { Effect, SendPeer } from '../core/message.js'
import { ORIGIN, type LogPosition } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry } from '../membership/directory.js'
import type { PrimarySample } from '../routing/state.js'
import { decideTransactions } from './decide.js'
import { checkOwnedDatabase } from './invariants.js'
import type { RunRequest, TransactionsMessage } from './messages.js'
import { createTransactionsShared } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a2', group: 'a', failureDomain: 'east', address: '', slots: 3, connectionLimit: 10, departing: false }
const SAMPLES: readonly PrimarySample[] = [
  { database: 'a1', askedAtMs: 1_000, position: { term: 2, offset: 10 } },
  { database: 'a1', askedAtMs: 2_000, position: { term: 2, offset: 20 } }
]

// Runs a read on an owned replica at a time, and returns the effects of the messages after it became an owner.
function runRead (nowMs: number, seen: LogPosition, samples: readonly PrimarySample[]): readonly Effect[] {
  const slice = StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000, GUARANTEES), decide: decideTransactions, checkItem: checkOwnedDatabase })
  const handle = (message: TransactionsMessage, atMs: number): readonly Effect[] => slice.handle(message, { monotonicMs: atMs, wallMs: 0, random: 0 })
  handle({ kind: 'transactions/owned-changed', databases: [ENTRY], grants: [] }, 0)
  if (samples.length > 0) handle({ kind: 'transactions/primary-sampled', group: 'a', samples }, 0)
  const run: RunRequest = {
    kind: 'transactions/run',
    from: 'host-7',
    caller: 'c1',
    attempt: 1,
    ticket: { sender: 's', order: 1 },
    service: 'rota',
    workspace: 'parish',
    target: { database: 'a2', owner: 'host-2', purpose: 'replica', term: 2, floor: ORIGIN, bound: { maxStalenessMs: 1_500, seen } },
    intent: 'statement',
    remainingMs: 500,
    payload: new Uint8Array(0)
  }
  const opened = handle(run, nowMs)
  const open = opened.find(effect => effect.kind === 'database/open') as { readonly connection: string } | undefined
  return open === undefined ? opened : [...opened, ...handle({ kind: 'transactions/opened', connection: open.connection }, nowMs + 12)]
}

const findFloor = (effects: readonly Effect[]): unknown => (effects.find(effect => effect.kind === 'database/execute') as { readonly floor?: LogPosition } | undefined)?.floor
const findFailure = (effects: readonly Effect[]): unknown => (effects.find((effect): effect is SendPeer => effect.kind === 'peer/send')?.message as { readonly failure?: unknown } | undefined)?.failure

describe('a bounded read at an owner', () => {
  it('gets the first position that the primary proved within the bound', () => {
    expect(findFloor(runRead(2_400, ORIGIN, SAMPLES))).to.deep.equal({ term: 2, offset: 10 })
    expect(findFloor(runRead(2_600, ORIGIN, SAMPLES))).to.deep.equal({ term: 2, offset: 20 })
  })

  it('gets at least the position that the session has seen', () => {
    expect(findFloor(runRead(2_400, { term: 2, offset: 15 }, SAMPLES))).to.deep.equal({ term: 2, offset: 15 })
  })

  it('is refused as not run, with the age of the last proof, when the primary proved nothing within the bound', () => {
    const failure = findFailure(runRead(3_600, ORIGIN, SAMPLES))
    expect(failure).to.deep.include({ code: 'no-primary', effect: 'not-run', inputs: { proofAgeMs: 1_600 } })
    expect(findFailure(runRead(3_600, ORIGIN, []))).to.deep.include({ code: 'no-primary', effect: 'not-run' })
  })
})

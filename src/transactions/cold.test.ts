/** A database that comes back while its callers wait: the same load with and without a rate for cold databases. */
import { expect } from 'chai'
import { StoreSlice } from '../core/store.js'
import type { DatabaseEntry } from '../membership/directory.js'
import { decideTransactions } from './decide.js'
import type { TransactionsMessage } from './messages.js'
import { createTransactionsShared } from './state.js'
import { runDatabaseLoad, COLD_LIMITS, type DatabaseLoad, type DatabaseLoadResult } from './support/databaseload.js'

const RATE = 20
const LIMIT = RATE * COLD_LIMITS.excess + COLD_LIMITS.slack
const LOAD: DatabaseLoad = { seed: 3, slots: 3, connectionLimit: 40, workspaces: 6, requestsPerSecond: 200, durationMs: 6_000, openMs: 12, statementMs: 9, remainingMs: 1_200, latencyMs: 200 }

const findBusiestSecond = ({ sentAtMs }: DatabaseLoadResult): number =>
  sentAtMs.reduce((most, startMs) => Math.max(most, sentAtMs.filter(atMs => atMs >= startMs && atMs < startMs + 1_000).length), 0)
const findLongestRefusalMs = ({ outcomes }: DatabaseLoadResult): number =>
  outcomes.filter(({ outcome }) => outcome === 'refused').reduce((longest, { elapsedMs }) => Math.max(longest, elapsedMs), 0)
const countOutcomes = ({ outcomes }: DatabaseLoadResult, outcome: string): number => outcomes.filter(other => other.outcome === outcome).length

describe('a cold database', () => {
  it('gets all requests without a rate, and half of the limit of all hosts with one', () => {
    const free = runDatabaseLoad(LOAD)
    const limited = runDatabaseLoad({ ...LOAD, coldRate: RATE })
    expect(findBusiestSecond(free)).to.be.greaterThan(150)
    expect(findBusiestSecond(limited)).to.be.within(LIMIT / 2 - 3, LIMIT / 2)
    expect(countOutcomes(limited, 'finished')).to.be.greaterThan(4 * (LIMIT / 2 - 3))
  })

  it('holds no request to its deadline, and refuses what gets no token within half of its latency target', () => {
    const limited = runDatabaseLoad({ ...LOAD, coldRate: RATE })
    expect(countOutcomes(limited, 'expired')).to.equal(0)
    expect(findLongestRefusalMs(limited)).to.be.at.most(LOAD.latencyMs! / 2 + 10)
    const untargeted = runDatabaseLoad({ ...LOAD, coldRate: RATE, latencyMs: undefined })
    expect(countOutcomes(untargeted, 'expired')).to.equal(0)
    expect(findLongestRefusalMs(untargeted)).to.be.at.most(260)
  })

  it('counts each statement of a transaction, and lets most that began end', () => {
    const limited = runDatabaseLoad({ ...LOAD, coldRate: RATE, transactionPart: 0.5 })
    expect(findBusiestSecond(limited)).to.be.within(LIMIT / 2 - 3, LIMIT / 2)
    expect(countOutcomes(limited, 'expired')).to.equal(0)
    expect(countOutcomes(limited, 'finished')).to.be.greaterThan(30)
  })

  it('gets a quarter of the limit from an owner that hears nothing', () => {
    const cut = runDatabaseLoad({ ...LOAD, coldRate: RATE, cutAtMs: 2_000 })
    const late = { ...cut, sentAtMs: cut.sentAtMs.filter(atMs => atMs > 3_100) }
    expect(findBusiestSecond(late)).to.be.within(LIMIT / 4 - 2, LIMIT / 4)
    expect(countOutcomes(cut, 'expired')).to.equal(0)
  })

  it('gets nothing where the rate and the slack leave no part for one host', () => {
    const limited = runDatabaseLoad({ ...LOAD, coldRate: 0.1, durationMs: 2_000 })
    expect(countOutcomes(limited, 'finished')).to.be.at.most(3 * LIMIT / 4)
    expect(countOutcomes(limited, 'expired')).to.equal(0)
  })

  it('keeps its rate while a new leader names databases but no documents yet', () => {
    const entry: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '', slots: 3, connectionLimit: 9, departing: false, cold: true }
    const slice = StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000, undefined, COLD_LIMITS), decide: decideTransactions })
    const own = (coldRates: ReadonlyMap<string, number>): ReadonlyMap<string, number> => {
      const message: TransactionsMessage = { kind: 'transactions/owned-changed', databases: [entry], grants: [], coldRates }
      slice.handle(message, { monotonicMs: 0, wallMs: 0, random: 0 })
      return slice.store.shared.coldRates
    }
    expect(own(new Map([['a', RATE]])).get('a')).to.equal(RATE)
    expect(own(new Map()).get('a')).to.equal(RATE)
    expect(own(new Map([['a', 0]])).size).to.equal(0)
  })

  it('waits for the last owner from when this one became owner, not from its first request', () => {
    const entry: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '', slots: 3, connectionLimit: 9, departing: false }
    const slice = StoreSlice.create({ name: 'transactions', shared: createTransactionsShared(10, 1_000, undefined, COLD_LIMITS), decide: decideTransactions })
    const message: TransactionsMessage = { kind: 'transactions/owned-changed', databases: [entry], grants: [], coldRates: new Map([['a', RATE]]) }
    slice.handle(message, { monotonicMs: 0, wallMs: 0, random: 0 })
    expect(slice.store.items.get('a1')!.refill).to.deep.include({ tokens: 0, refilledAtMs: 1_000 })
  })
})

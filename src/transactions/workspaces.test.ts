/** A database whose connections each serve one workspace, under requests of more workspaces than it has connections. */
import { expect } from 'chai'
import { runDatabaseLoad, type DatabaseLoad, type RequestOutcome } from './support/databaseload.js'

const SEEDS = [1, 2, 3, 4, 5]
/** Requests of 72 workspaces at the rate of half of the slots, if no connection had to be opened. */
const MANY_WORKSPACES: Omit<DatabaseLoad, 'seed'> = { slots: 3, connectionLimit: 20, workspaces: 72, requestsPerSecond: 75, durationMs: 20_000, openMs: 12, statementMs: 20, remainingMs: 800 }
/** The tightest latency target of the routes that such databases serve, in milliseconds. */
const LATENCY_TARGET_MS = 150

/** Twice the requests that the slots can serve, from eight workspaces. */
const OVERLOAD: Omit<DatabaseLoad, 'seed'> = { slots: 3, connectionLimit: 48, workspaces: 8, requestsPerSecond: 300, durationMs: 20_000, openMs: 12, statementMs: 20, remainingMs: 800, latencyMs: LATENCY_TARGET_MS }

/** A host that is short of processor time needs 10 ms for each answer. */
const SLOW_OWNER: Omit<DatabaseLoad, 'seed'> = { slots: 3, connectionLimit: 48, workspaces: 8, requestsPerSecond: 100, durationMs: 20_000, openMs: 12, statementMs: 20, remainingMs: 800, lagMs: 10 }

/** A host that is late by 100 ms, as one that uses all of its processor time, beside slots that are needed for a third. */
const LATE_OWNER: Omit<DatabaseLoad, 'seed'> = { slots: 3, connectionLimit: 48, workspaces: 8, requestsPerSecond: 60, durationMs: 20_000, openMs: 12, statementMs: 18, remainingMs: 800, latencyMs: 250, lagMs: 100 }

/** A host that is late by 400 ms with everything, and callers that leave after 1,000 ms. */
const VERY_LATE_OWNER: Omit<DatabaseLoad, 'seed'> = { ...LATE_OWNER, workspaces: 1, requestsPerSecond: 150, remainingMs: 1_000, latencyMs: 1_000, lagMs: 400, inboxMs: 400 }

const runAll = (load: Omit<DatabaseLoad, 'seed'>) => SEEDS.map(seed => runDatabaseLoad({ ...load, seed }))
const countIn = (outcomes: readonly RequestOutcome[], limitMs: number): number => outcomes.filter(({ outcome, elapsedMs }) => outcome === 'finished' && elapsedMs <= limitMs).length / outcomes.length

describe('a database under requests of many workspaces', () => {
  it('serves them within the latency target: a connection that opens holds up only its own workspace', () => {
    for (const { outcomes } of runAll(MANY_WORKSPACES)) expect(countIn(outcomes, LATENCY_TARGET_MS)).to.be.at.least(0.98)
  })

  it('answers what the slots can serve within the latency target while twice as much arrives, and refuses the rest at once', () => {
    const served = OVERLOAD.slots * 1_000 / OVERLOAD.statementMs / OVERLOAD.requestsPerSecond
    for (const { outcomes } of runAll(OVERLOAD)) {
      expect(countIn(outcomes, LATENCY_TARGET_MS)).to.be.at.least(0.8 * served)
      expect(outcomes.filter(({ outcome }) => outcome === 'expired')).to.have.length(0)
      const refused = outcomes.filter(({ outcome }) => outcome === 'refused')
      expect(Math.max(...refused.map(({ elapsedMs }) => elapsedMs))).to.equal(0)
    }
  })

  it('keeps its slots busy while its owner processes answers slowly', () => {
    for (const { outcomes } of runAll(SLOW_OWNER)) expect(countIn(outcomes, LATENCY_TARGET_MS)).to.be.at.least(0.95)
  })

  it('serves them in time while its owner is late and the slots have room', () => {
    for (const { outcomes } of runAll(LATE_OWNER)) expect(countIn(outcomes, LATE_OWNER.latencyMs!)).to.be.at.least(0.9)
  })

  it('refuses what its late owner could only answer after callers have left, in place of starting it', () => {
    for (const { outcomes } of runAll(VERY_LATE_OWNER)) {
      const finished = outcomes.filter(({ outcome }) => outcome === 'finished')
      expect(countIn(finished, VERY_LATE_OWNER.remainingMs)).to.be.at.least(0.3)
    }
  })
})

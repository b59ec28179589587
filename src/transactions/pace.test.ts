import { expect } from 'chai'
import { ORIGIN } from '../core/position.js'
import { createQueue, enqueueEntry, type FairQueue } from '../fairness/queue.js'
import type { RunRequest } from './messages.js'
import { findOverload } from './pace.js'
import type { OwnedDatabase } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const NOW = { monotonicMs: 1_000, wallMs: 0, random: 0 }
const LIMITS = { length: 200, flowLength: 100 }

function createRun (workspace: string, caller: string): RunRequest {
  const target = { database: 'a1', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN } as const
  return { kind: 'transactions/run', from: 'entry', caller, attempt: 1, ticket: { sender: 'p', order: 1 }, service: 's', workspace, target, intent: 'statement', remainingMs: 800, latencyMs: 200, payload: new Uint8Array(0) }
}

function createFilledQueue (lengths: Readonly<Record<string, number>>): FairQueue<RunRequest> {
  return Object.entries(lengths).reduce((queue, [workspace, length]) => Array.from({ length }, (_, index) => createRun(workspace, `${workspace}-${index}`))
    .reduce((next, item) => enqueueEntry(next, { flow: `s/${workspace}`, key: item.caller, item }, LIMITS).queue, queue), createQueue<RunRequest>())
}

function createDatabase (lengths: Readonly<Record<string, number>>, saturatedSinceMs: number): OwnedDatabase {
  return {
    entry: { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '', slots: 3, connectionLimit: 10, departing: false },
    guarantees: GUARANTEES,
    releasing: false,
    backingOff: false,
    members: [],
    position: ORIGIN,
    connections: new Map(),
    generation: 1,
    connectionsOpened: 0,
    units: new Map(),
    queue: createFilledQueue(lengths),
    started: 0,
    pace: { startIntervalMs: 10, saturatedSinceMs },
    extraStatements: 1,
    catchUpReads: [],
    pendingWrites: [],
    durablePosition: ORIGIN
  }
}

describe('the estimate of a queue', () => {
  it('refuses requests of the workspace that fills it, and accepts those of the others', () => {
    const database = createDatabase({ large: 20, small: 1 }, 995)
    expect(findOverload(database, createRun('large', 'c1'), 0, NOW)).to.deep.include({ code: 'overloaded', effect: 'not-run', retryAfterMs: 140 })
    expect(findOverload(database, createRun('small', 'c2'), 0, NOW)).to.equal(undefined)
  })

  it('lets a request without a latency target wait while its deadline leaves the time, and refuses it at once otherwise', () => {
    const untargeted: RunRequest = { ...createRun('large', 'c1'), latencyMs: undefined }
    expect(findOverload(createDatabase({ large: 70 }, 995), untargeted, 0, NOW)).to.equal(undefined)
    expect(findOverload(createDatabase({ large: 90 }, 995), untargeted, 0, NOW)).to.deep.include({ code: 'overloaded', effect: 'not-run', retryAfterMs: 130 })
  })

  it('refuses requests of every workspace when there are too many workspaces, or no entry starts', () => {
    const crowded = createDatabase(Object.fromEntries(Array.from({ length: 12 }, (_, index) => [`w${index}`, 1])), 995)
    expect(findOverload(crowded, createRun('other', 'c1'), 0, NOW)?.inputs).to.include({ ahead: 12, answerMs: 150 })
    expect(findOverload(createDatabase({ small: 1 }, 600), createRun('other', 'c1'), 0, NOW)?.inputs).to.include({ ahead: 1, answerMs: 430 })
  })
})

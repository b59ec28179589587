import { expect } from 'chai'
import { chooseReplaced, decideMemory, hasRoom, isAccepted, isReadAhead, isStateAdmitted, ORDINARY_BYTES } from './decide.js'
import type { ConnectionUse, UseMeasured } from './messages.js'
import { createMemoryState, NO_COUNTS, type MemoryLimits } from './state.js'

const LIMITS: MemoryLimits = { heldBytes: 10_000_000, connections: 100, peerMessageBytes: 1, startMs: 10_000, messageMs: 30_000, unreadMs: 20_000 }
const STATE = createMemoryState(LIMITS)
const NOW_MS = 100_000
const MOMENT = { monotonicMs: NOW_MS, wallMs: 0, random: 0 }

const createUse = (connection: number, change: Partial<ConnectionUse> = {}): ConnectionUse => ({ connection, kind: 'caller', stage: 'receiving', sinceMs: NOW_MS, bytes: 1_000_000, ...change })
const createMeasured = (waiting: readonly ConnectionUse[], change: Partial<UseMeasured> = {}): UseMeasured => {
  const bytes = waiting.reduce((sum, use) => sum + use.bytes, 0)
  return { kind: 'memory/measured', atMs: NOW_MS, bytes, connections: waiting.length, waiting, counts: NO_COUNTS, ...change }
}
const listClosed = (measured: UseMeasured): ReadonlyArray<readonly [number, string]> =>
  decideMemory(STATE, measured, MOMENT).effects.flatMap(effect => effect.kind === 'connection/close' ? [[effect.connection, effect.reason] as const] : [])

describe('the limits on memory', () => {
  it('keep room for messages of ordinary size that large ones do not get', () => {
    expect(hasRoom(LIMITS, 10_000_000, 1_000_000)).to.equal(true)
    expect(hasRoom(LIMITS, 10_000_001, 1_000_000)).to.equal(false)
    expect(hasRoom(LIMITS, 12_000_000, ORDINARY_BYTES)).to.equal(true)
    expect(hasRoom(LIMITS, 13_000_000, ORDINARY_BYTES)).to.equal(false)
  })

  it('leave room for small states of sessions that large ones do not get', () => {
    expect([isStateAdmitted(LIMITS, 5_000_000, 900_000), isStateAdmitted(LIMITS, 5_000_001, 900_000), isStateAdmitted(LIMITS, 9_000_000, 4_096)]).to.deep.equal([true, false, true])
  })

  it('leave what is sent ahead of a running request with its sender', () => {
    expect(isReadAhead(LIMITS, 0, ORDINARY_BYTES)).to.equal(true)
    expect(isReadAhead(LIMITS, 0, ORDINARY_BYTES + 1)).to.equal(false)
    expect(isReadAhead(LIMITS, 10_000_001, 0)).to.equal(false)
  })

  it('close the largest half-sent messages and unread answers until there is room, and nothing below the limit', () => {
    const waiting = Array.from({ length: 11 }, (_, index) => createUse(index, { bytes: 900_000 + index * 10_000, stage: index % 2 === 0 ? 'receiving' : 'unread' }))
    expect(listClosed(createMeasured(waiting))).to.deep.equal([[10, 'memory-full'], [9, 'memory-full'], [8, 'memory-full']])
    expect(listClosed(createMeasured(waiting.slice(0, 10)))).to.deep.equal([])
  })

  // Guards against a host that refuses everybody because of connections that hold little each.
  it('close many half-sent messages of ordinary size once they take the room of ordinary requests', () => {
    const limits = { ...LIMITS, connections: 3_000 }
    const countClosed = (count: number): number => {
      const waiting = Array.from({ length: count }, (_, index) => createUse(index, { bytes: 30_000, stage: index % 2 === 0 ? 'receiving' : 'unread' }))
      return decideMemory(createMemoryState(limits), createMeasured([...waiting, createUse(-1, { bytes: 2_000 })]), MOMENT).effects.filter(({ kind }) => kind === 'connection/close').length
    }
    expect([countClosed(400), countClosed(900)]).to.deep.equal([0, 651])
  })

  it('close no connection whose request runs, and none of ordinary size', () => {
    const waiting = [createUse(1, { stage: 'idle', bytes: 20_000_000 }), createUse(2, { bytes: ORDINARY_BYTES })]
    expect(listClosed(createMeasured(waiting))).to.deep.equal([])
  })
})

describe('the limits on time', () => {
  it('close what starts, sends, reads or ends too slowly, and no idle connection', () => {
    const late = (stage: ConnectionUse['stage'], limitMs: number): ConnectionUse => createUse(limitMs, { stage, sinceMs: NOW_MS - limitMs - 1, bytes: 0 })
    const inTime = (stage: ConnectionUse['stage'], limitMs: number): ConnectionUse => createUse(-limitMs, { stage, sinceMs: NOW_MS - limitMs, bytes: 0 })
    const waiting = [late('starting', 10_000), inTime('starting', 10_000), late('receiving', 30_000), inTime('receiving', 30_000), late('unread', 20_000), inTime('unread', 20_000), late('idle', 99_000)]
    expect(listClosed(createMeasured(waiting))).to.deep.equal([[10_000, 'start-too-slow'], [30_000, 'message-too-slow'], [20_000, 'answer-unread']])
  })
})

describe('the limits on connections', () => {
  it('leave some for operators and databases, and some of those for peers', () => {
    expect([74, 75].map(open => isAccepted(LIMITS, open, 'caller'))).to.deep.equal([true, false])
    expect([87, 88].map(open => isAccepted(LIMITS, open, 'operator'))).to.deep.equal([true, false])
    expect([99, 100].map(open => isAccepted(LIMITS, open, 'peer'))).to.deep.equal([true, false])
  })

  it('replace the connection that nobody misses first, and never an idle one', () => {
    const uses = [createUse(1, { stage: 'unread', sinceMs: 1 }), createUse(2, { stage: 'receiving', sinceMs: 2 }), createUse(3, { stage: 'starting', sinceMs: 9 }), createUse(4, { stage: 'starting', sinceMs: 8 }), createUse(5, { stage: 'idle', sinceMs: 0 })]
    expect(chooseReplaced(uses)?.connection).to.equal(4)
    expect(chooseReplaced(uses.slice(0, 2))?.connection).to.equal(2)
    expect(chooseReplaced(uses.slice(4))).to.equal(undefined)
  })
})

describe('the log of the limits', () => {
  it('tells at most once a second of all that acted', () => {
    const counts = { ...NO_COUNTS, refusedRequests: 3 }
    const first = decideMemory(STATE, createMeasured([], { counts }), MOMENT)
    const second = decideMemory(first.state, createMeasured([], { counts }), { ...MOMENT, monotonicMs: NOW_MS + 500 })
    const third = decideMemory(second.state, createMeasured([], { counts }), { ...MOMENT, monotonicMs: NOW_MS + 1_000 })
    const texts = [first, second, third].map(({ effects }) => effects.map(effect => effect.kind === 'timeline/record' ? effect.text : effect.kind))
    expect(texts.map(lines => lines.length)).to.deep.equal([1, 0, 1])
    expect(texts[2]![0]).to.include('refusedRequests 6')
  })

  it('says nothing while nothing acts', () => {
    expect(decideMemory(STATE, createMeasured([createUse(1)]), MOMENT).effects).to.deep.equal([])
  })
})

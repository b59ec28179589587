import { expect } from 'chai'
import fc from 'fast-check'
import { countWaiting, createQueue, dropWaiting, enqueueEntry, findWaiting, listWaiting, takeNext, type FairQueue } from './queue.js'

const LIMITS = { length: 40, flowLength: 20 }
const SEED = 20_261_204
const RUNS = 5_000

/** How far two flows may drift apart while both have a backlog. */
const MAX_DRIFT = 2

function putAll (queue: FairQueue<number>, flow: string, count: number, limits = LIMITS): FairQueue<number> {
  return Array.from({ length: count }, (_, index) => index)
    .reduce((filled, index) => enqueueEntry(filled, { flow, key: `${flow}#${index}`, item: index }, limits).queue, queue)
}

function takeAll (queue: FairQueue<number>): readonly string[] {
  const taken = takeNext(queue)
  return taken === undefined ? [] : [taken.entry.flow, ...takeAll(taken.queue)]
}

describe('the fair queue', () => {
  it('alternates between backlogged flows', () => {
    expect(takeAll(putAll(putAll(createQueue(), 'large', 4), 'small', 2)).join(' ')).to.equal('large small large small large large')
  })

  it('gives an idle flow no saved turns, and one that empties its queue no gain', () => {
    const ahead = takeNext(takeNext(putAll(createQueue<number>(), 'busy', 3))!.queue)!.queue
    const joined = putAll(putAll(ahead, 'idle', 3), 'busy', 3)
    expect(takeAll(joined).slice(0, 4).filter(flow => flow === 'idle')).to.have.length(2)
    const emptied = takeNext(putAll(putAll(createQueue<number>(), 'quick', 1), 'slow', 2))!.queue
    expect(takeAll(putAll(emptied, 'quick', 1))[0]).to.equal('slow')
  })

  it('keeps one flow from filling the queue, and makes room at the cost of the longest', () => {
    const large = putAll(createQueue<number>(), 'large', 100)
    expect(countWaiting(large)).to.equal(LIMITS.flowLength)
    const full = putAll(large, 'other', 100)
    expect(countWaiting(full)).to.equal(LIMITS.length)
    const outcome = enqueueEntry(full, { flow: 'small', key: 'small#0', item: 0 }, LIMITS)
    expect(outcome.refused?.flow).to.not.equal('small')
    expect(findWaiting(outcome.queue, 'small#0')?.item).to.equal(0)
  })

  it(`never lets two backlogged flows drift apart, and keeps its books (seed ${SEED}, ${RUNS} runs)`, () => {
    const flow = fc.constantFrom('a', 'b', 'c', 'd')
    const action = fc.oneof(
      { weight: 5, arbitrary: fc.record({ kind: fc.constant('add' as const), flow, key: fc.nat(60) }) },
      { weight: 4, arbitrary: fc.record({ kind: fc.constant('take' as const), flow, key: fc.constant(0) }) },
      { weight: 1, arbitrary: fc.record({ kind: fc.constant('drop' as const), flow, key: fc.nat(60) }) }
    )
    fc.assert(fc.property(fc.array(action, { maxLength: 200 }), actions => {
      let queue = createQueue<number>()
      const waiting = new Map<string, string>()
      const leads = new Map<string, number>()
      for (const { kind, flow: name, key } of actions) {
        if (kind === 'add') {
          const entry = { flow: name, key: String(key), item: key }
          const outcome = enqueueEntry(queue, entry, LIMITS)
          queue = outcome.queue
          waiting.set(entry.key, name)
          if (outcome.refused !== undefined) waiting.delete(outcome.refused.key)
        } else if (kind === 'drop') {
          queue = dropWaiting(queue, String(key))
          waiting.delete(String(key))
        } else {
          const taken = takeNext(queue)
          expect(taken === undefined).to.equal(waiting.size === 0)
          if (taken === undefined) continue
          queue = taken.queue
          const backlogged = new Set(waiting.values())
          waiting.delete(taken.entry.key)
          countLeads(leads, taken.entry.flow, backlogged)
        }
        keepBacklogged(leads, new Set(waiting.values()))
        expect(countWaiting(queue)).to.equal(waiting.size)
        for (const lead of leads.values()) expect(lead).to.be.at.most(MAX_DRIFT)
      }
      expect(listWaiting(queue).map(entry => entry.key)).to.have.members([...waiting.keys()])
    }), { seed: SEED, numRuns: RUNS })
  })

  for (const times of [5, 10]) {
    it(`serves the worst-served of 8 flows its share with one at ${times} times, against first come first served`, () => {
      const fair = runOverload(times, true)
      const fifo = runOverload(times, false)
      expect(fair, `fair ${fair.toFixed(3)}, first come first served ${fifo.toFixed(3)}`).to.be.at.least(0.99)
      expect(fifo).to.be.below(fair)
    })
  }
})

// The lead of one flow over another, counted while both have a backlog and reset when either has none.
function countLeads (leads: Map<string, number>, served: string, backlogged: ReadonlySet<string>): void {
  for (const other of backlogged) {
    if (other === served) continue
    leads.set(`${served}>${other}`, Math.max(0, leads.get(`${served}>${other}`) ?? 0) + 1)
    leads.set(`${other}>${served}`, Math.max(0, (leads.get(`${other}>${served}`) ?? 0) - 1))
  }
}

function keepBacklogged (leads: Map<string, number>, backlogged: ReadonlySet<string>): void {
  for (const pair of [...leads.keys()]) {
    if (pair.split('>').some(flow => !backlogged.has(flow))) leads.delete(pair)
  }
}

// Slots serve 8 requests a tick; seven flows ask for 0.9 of a tick's equal share, the eighth for a multiple.
function runOverload (times: number, fair: boolean): number {
  const flows = Array.from({ length: 8 }, (_, index) => `flow-${index}`)
  const limits = { length: 200, flowLength: 100 }
  const asked = new Map<string, number>()
  const served = new Map<string, number>()
  let queue = createQueue<string>()
  let sequence = 0
  for (let tick = 0; tick < 2_000; tick++) {
    for (const [index, flow] of flows.entries()) {
      const wanted = Math.floor((tick + 1) * 0.9 * (index === 0 ? times : 1)) - Math.floor(tick * 0.9 * (index === 0 ? times : 1))
      for (let count = 0; count < wanted; count++) {
        asked.set(flow, (asked.get(flow) ?? 0) + 1)
        const entry = { flow: fair ? flow : 'all', key: String(sequence++), item: flow }
        queue = enqueueEntry(queue, entry, fair ? limits : { length: limits.length, flowLength: limits.length }).queue
      }
    }
    for (let slot = 0; slot < 8; slot++) {
      const taken = takeNext(queue)
      if (taken === undefined) break
      queue = taken.queue
      served.set(taken.entry.item, (served.get(taken.entry.item) ?? 0) + 1)
    }
  }
  return Math.min(...flows.slice(1).map(flow => (served.get(flow) ?? 0) / asked.get(flow)!))
}

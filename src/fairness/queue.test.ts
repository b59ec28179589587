import { expect } from 'chai'
import fc from 'fast-check'
import { countEntries, countEntriesAhead, createQueue, removeEntry, enqueueEntry, findEntry, findFirstEntry, listEntries, dequeueEntry, type FairQueue } from './queue.js'

const LIMITS = { length: 40, flowLength: 20 }
const SEED = 20_261_204
const RUNS = 5_000

/** Largest lead of one flow over another, in dequeued entries, while both are backlogged. */
const MAX_LEAD = 2

function enqueueAll (queue: FairQueue<number>, flow: string, count: number, limits = LIMITS): FairQueue<number> {
  return Array.from({ length: count }, (_, index) => index)
    .reduce((filled, index) => enqueueEntry(filled, { flow, key: `${flow}#${index}`, item: index }, limits).queue, queue)
}

function dequeueAll (queue: FairQueue<number>): readonly string[] {
  const dequeued = dequeueEntry(queue)
  return dequeued === undefined ? [] : [dequeued.entry.flow, ...dequeueAll(dequeued.queue)]
}

function dequeueKeys (queue: FairQueue<number>): readonly string[] {
  const dequeued = dequeueEntry(queue)
  return dequeued === undefined ? [] : [dequeued.entry.key, ...dequeueKeys(dequeued.queue)]
}

describe('the fair queue', () => {
  it('alternates between backlogged flows', () => {
    expect(dequeueAll(enqueueAll(enqueueAll(createQueue(), 'large', 4), 'small', 2)).join(' ')).to.equal('large small large small large large')
  })

  it('gives an idle flow no credit for past turns, and no advantage to a flow that empties its queue', () => {
    const started = dequeueEntry(dequeueEntry(enqueueAll(createQueue<number>(), 'busy', 3))!.queue)!.queue
    const joined = enqueueAll(enqueueAll(started, 'idle', 3), 'busy', 3)
    expect(dequeueAll(joined).slice(0, 4).filter(flow => flow === 'idle')).to.have.length(2)
    const emptied = dequeueEntry(enqueueAll(enqueueAll(createQueue<number>(), 'quick', 1), 'slow', 2))!.queue
    expect(dequeueAll(enqueueAll(emptied, 'quick', 1))[0]).to.equal('slow')
  })

  it('serves a flow out of turn, and keeps the turn of the flows that were passed over', () => {
    const queue = enqueueAll(enqueueAll(enqueueAll(createQueue<number>(), 'blocked', 2), 'ready', 3), 'other', 1)
    const accepted = findFirstEntry(queue, ({ flow }, flowLength) => flow !== 'blocked' && flowLength > 1)
    expect(accepted?.key).to.equal('ready#0')
    expect(findFirstEntry(queue, () => false)).to.equal(undefined)
    const advanced = dequeueEntry(dequeueEntry(queue, 'ready')!.queue, 'ready')!
    expect(advanced.entry.key).to.equal('ready#1')
    expect(dequeueAll(advanced.queue).join(' ')).to.equal('blocked other blocked ready')
    expect(dequeueEntry(queue, 'absent')).to.equal(undefined)
  })

  it('counts the entries that take turns before a new one of a flow', () => {
    const queue = enqueueAll(enqueueAll(createQueue<number>(), 'large', 10), 'small', 1)
    expect(countEntriesAhead(queue, 'new')).to.equal(2)
    expect(countEntriesAhead(queue, 'small')).to.equal(3)
    expect(countEntriesAhead(queue, 'large')).to.equal(11)
  })

  it('serves the most urgent entry first within a flow and among flows whose turns are close', () => {
    const entries = [['a', 'late', 1, 5], ['a', 'soon', 1, 3], ['b', 'first', 0, 9], ['c', 'last', 2, 1]] as const
    const queue = entries.reduce((filled, [flow, key, rank, dueAtMs]) => enqueueEntry(filled, { flow, key, item: 0, urgency: { rank, dueAtMs } }, LIMITS).queue, createQueue<number>())
    expect(dequeueKeys(queue)).to.deep.equal(['first', 'soon', 'late', 'last'])
    expect(countEntriesAhead(queue, 'd', { rank: 0, dueAtMs: 9 })).to.equal(1)
    expect(countEntriesAhead(queue, 'd', { rank: 2, dueAtMs: 0 })).to.equal(2)
  })

  it('does not let urgent entries starve another one, nor their flow take more than its share', () => {
    const enqueueUrgent = (queue: FairQueue<number>, flow: string, turn: number): FairQueue<number> => enqueueEntry(queue, { flow, key: `${flow}${turn}`, item: 0, urgency: { rank: 0, dueAtMs: turn } }, LIMITS).queue
    let queue = enqueueEntry(createQueue<number>(), { flow: 'patient', key: 'patient', item: 0, urgency: { rank: 9, dueAtMs: 0 } }, LIMITS).queue
    const served: string[] = []
    for (let turn = 0; turn < 20; turn++) {
      const next = dequeueEntry(enqueueUrgent(queue, `urgent${turn}`, turn))!
      served.push(next.entry.key)
      queue = next.queue
    }
    expect(served.indexOf('patient')).to.be.within(1, 7)
    let shared = enqueueAll(createQueue<number>(), 'usual', 10)
    shared = Array.from({ length: 10 }, (_, turn) => turn).reduce((filled, turn) => enqueueEntry(filled, { flow: 'greedy', key: `greedy${turn}`, item: 0, urgency: { rank: -1, dueAtMs: turn } }, LIMITS).queue, shared)
    const greedy = dequeueAll(shared).slice(0, 10).filter(flow => flow === 'greedy')
    expect(greedy).to.have.length.within(5, 7)
  })

  it('gives a flow whose entries take several turns that fraction of the others', () => {
    const heavy = Array.from({ length: 10 }, (_, index) => index).reduce((filled, index) => enqueueEntry(filled, { flow: 'heavy', key: `heavy${index}`, item: 0, turns: 4 }, LIMITS).queue, createQueue<number>())
    const first = dequeueAll(enqueueAll(heavy, 'light', 20)).slice(0, 20)
    expect(first.filter(flow => flow === 'heavy')).to.have.length.within(4, 5)
  })

  it('limits the entries of one flow, and evicts from the longest flow when the queue is full', () => {
    const large = enqueueAll(createQueue<number>(), 'large', 100)
    expect(countEntries(large)).to.equal(LIMITS.flowLength)
    const full = enqueueAll(large, 'other', 100)
    expect(countEntries(full)).to.equal(LIMITS.length)
    const outcome = enqueueEntry(full, { flow: 'small', key: 'small#0', item: 0 }, LIMITS)
    expect(outcome.refused?.flow).to.not.equal('small')
    expect(findEntry(outcome.queue, 'small#0')?.item).to.equal(0)
  })

  it(`bounds the lead of one backlogged flow over another, and keeps its entries consistent (seed ${SEED}, ${RUNS} runs)`, () => {
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
          queue = removeEntry(queue, String(key))
          waiting.delete(String(key))
        } else {
          const dequeued = dequeueEntry(queue)
          expect(dequeued === undefined).to.equal(waiting.size === 0)
          if (dequeued === undefined) continue
          queue = dequeued.queue
          const backlogged = new Set(waiting.values())
          waiting.delete(dequeued.entry.key)
          updateLeads(leads, dequeued.entry.flow, backlogged)
        }
        pruneLeads(leads, new Set(waiting.values()))
        expect(countEntries(queue)).to.equal(waiting.size)
        for (const lead of leads.values()) expect(lead).to.be.at.most(MAX_LEAD)
      }
      expect(listEntries(queue).map(entry => entry.key)).to.have.members([...waiting.keys()])
    }), { seed: SEED, numRuns: RUNS })
  })

  for (const times of [5, 10]) {
    it(`serves the worst-served of 8 flows its fair share while one sends ${times} times as much, unlike first in, first out`, () => {
      const fair = runOverload(times, true)
      const fifo = runOverload(times, false)
      expect(fair, `fair ${fair.toFixed(3)}, first in, first out ${fifo.toFixed(3)}`).to.be.at.least(0.99)
      expect(fifo).to.be.below(fair)
    })
  }
})

// Updates the lead of each flow over another, counted while both are backlogged and reset otherwise.
function updateLeads (leads: Map<string, number>, served: string, backlogged: ReadonlySet<string>): void {
  for (const other of backlogged) {
    if (other === served) continue
    leads.set(`${served}>${other}`, Math.max(0, leads.get(`${served}>${other}`) ?? 0) + 1)
    leads.set(`${other}>${served}`, Math.max(0, (leads.get(`${other}>${served}`) ?? 0) - 1))
  }
}

function pruneLeads (leads: Map<string, number>, backlogged: ReadonlySet<string>): void {
  for (const pair of [...leads.keys()]) {
    if (pair.split('>').some(flow => !backlogged.has(flow))) leads.delete(pair)
  }
}

// Slots serve 8 requests per tick. Seven flows send 0.9 requests per tick each, and one sends a multiple of that.
function runOverload (times: number, fair: boolean): number {
  const flows = Array.from({ length: 8 }, (_, index) => `flow-${index}`)
  const limits = { length: 200, flowLength: 100 }
  const arrived = new Map<string, number>()
  const served = new Map<string, number>()
  let queue = createQueue<string>()
  let sequence = 0
  for (let tick = 0; tick < 2_000; tick++) {
    for (const [index, flow] of flows.entries()) {
      const wanted = Math.floor((tick + 1) * 0.9 * (index === 0 ? times : 1)) - Math.floor(tick * 0.9 * (index === 0 ? times : 1))
      for (let count = 0; count < wanted; count++) {
        arrived.set(flow, (arrived.get(flow) ?? 0) + 1)
        const entry = { flow: fair ? flow : 'all', key: String(sequence++), item: flow }
        queue = enqueueEntry(queue, entry, fair ? limits : { length: limits.length, flowLength: limits.length }).queue
      }
    }
    for (let slot = 0; slot < 8; slot++) {
      const dequeued = dequeueEntry(queue)
      if (dequeued === undefined) break
      queue = dequeued.queue
      served.set(dequeued.entry.item, (served.get(dequeued.entry.item) ?? 0) + 1)
    }
  }
  return Math.min(...flows.slice(1).map(flow => (served.get(flow) ?? 0) / arrived.get(flow)!))
}

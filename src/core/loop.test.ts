/** The loop delivers one message at a time and executes no effect after its deadline. */
import { expect } from 'chai'
import { pollUntil } from '../../test/support/poll.js'
import { Adapter } from './adapter.js'
import { Clock } from './clock.js'
import { Loop } from './loop.js'
import { tell, type Effect, type Message, type Moment } from './message.js'
import { DecidingSlice } from './slice.js'

const BACKLOG = 100
const HANDLING_MS = 5
/** What 10 ms of a turn hold, and the message that exceeds them. */
const MAX_HANDLED_BEFORE = 3

class FakeClock extends Clock {
  nowMs = 0
  read (): Moment {
    return { monotonicMs: this.nowMs, wallMs: 0, random: 0 }
  }
}

class Outbox extends Adapter {
  readonly name = 'out'
  readonly sent: Effect[] = []
  execute (effect: Effect): void {
    this.sent.push(effect)
  }
}

describe('the loop', () => {
  const create = (decide: (message: Message) => readonly Effect[]) => {
    const clock = new FakeClock()
    const outbox = new Outbox()
    const seen: string[] = []
    const faults: unknown[] = []
    const slice = DecidingSlice.create<undefined, Message, Effect>({
      name: 'a',
      initial: undefined,
      decide: (state, message) => {
        seen.push(message.kind)
        return { state, effects: decide(message) }
      }
    })
    const loop = Loop.create({ clock, slices: [slice], onFault: fault => faults.push(fault) })
    loop.addAdapter(outbox)
    return { clock, outbox, seen, faults, loop }
  }

  it('delivers messages in order, those from a slice after those posted before', async () => {
    const { loop, seen } = create(message => (message.kind === 'a/first' ? [tell({ kind: 'a/told' })] : []))
    loop.post({ kind: 'a/first' })
    loop.post({ kind: 'a/second' })
    await pollUntil('three messages', async () => seen.length === 3)
    expect(seen).to.deep.equal(['a/first', 'a/second', 'a/told'])
  })

  it('handles what an urgent slice gets before a backlog of the others, which waits for the next turn once a turn takes too long', async () => {
    const clock = new FakeClock()
    const seen: string[] = []
    const createSlice = (name: string) => DecidingSlice.create<undefined, Message, Effect>({
      name,
      initial: undefined,
      decide: (state, message) => {
        // As a heartbeat that arrives while the host works on its backlog.
        if (seen.length === 0) loop.post({ kind: 'urgent/heartbeat' })
        seen.push(message.kind)
        clock.nowMs += HANDLING_MS
        return { state, effects: [] }
      }
    })
    const loop: Loop = Loop.create({ clock, slices: [createSlice('a'), createSlice('urgent')], priorities: [new Set(['urgent'])], onFault: fault => { throw fault } })
    for (let number = 0; number < BACKLOG; number++) loop.post({ kind: `a/${number}` })
    await pollUntil('all messages', async () => seen.length === BACKLOG + 1)
    expect(seen.indexOf('urgent/heartbeat')).to.be.at.most(MAX_HANDLED_BEFORE)
    expect(seen.filter(kind => kind !== 'urgent/heartbeat')).to.deep.equal(Array.from({ length: BACKLOG }, (_, number) => `a/${number}`))
  })

  it('waits for a timer that is longer than timers of the runtime, instead of firing it at once', async () => {
    const { loop, seen } = create(message => (message.kind === 'a/first'
      ? [9_999_999_999, 1e300].map((afterMs, index) => ({ kind: 'timer/set', name: `t${index}`, afterMs, message: { kind: 'a/fired' } }) as Effect)
      : []))
    loop.post({ kind: 'a/first' })
    await pollUntil('the first message', async () => seen.length === 1)
    await new Promise(resolve => setTimeout(resolve, 20))
    expect(seen).to.deep.equal(['a/first'])
    await loop[Symbol.asyncDispose]()
  })

  it('replaces an effect whose lease expired between the decision and its execution', async () => {
    const { loop, clock, outbox, seen } = create(message => {
      if (message.kind !== 'a/answer') return []
      const effect: Effect = { kind: 'out/acknowledge', notAfterMs: 1_000, otherwise: { kind: 'a/overdue' } }
      clock.nowMs += 900
      return [effect]
    })
    loop.post({ kind: 'a/answer' })
    loop.post({ kind: 'a/answer' })
    await pollUntil('both answers', async () => seen.includes('a/overdue'))
    expect(outbox.sent).to.have.length(1)
  })

  it('stops when a decision throws, and delivers nothing after it', async () => {
    const { loop, seen, faults } = create(() => { throw new Error('broken') })
    loop.post({ kind: 'a/first' })
    loop.post({ kind: 'a/second' })
    await pollUntil('the fault', async () => faults.length === 1)
    expect(seen).to.deep.equal(['a/first'])
  })
})

/** A graceful stop accepts no new work, drains what is in flight, and then ends the process. */
import { expect } from 'chai'
import type { Effect, SetTimer, Tell } from '../core/message.js'
import { createStoppingState, decideStopping, END_MARGIN_MS, HANDOVER_PERIOD_MS, REFUSAL_PERIOD_MS, type StoppingState } from './decide.js'
import type { StoppingMessage } from './messages.js'

describe('a graceful stop', () => {
  let state: StoppingState
  let nowMs = 0
  const decide = (message: StoppingMessage): readonly string[] => {
    const step = decideStopping(state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
    state = step.state
    return step.effects.map(effect => effect.kind)
  }
  const countAll = (busy: number): readonly string[] => [
    ...decide({ kind: 'stopping/counted', part: 'requests', busy }),
    ...decide({ kind: 'stopping/counted', part: 'transactions', busy: 0 }),
    ...decide({ kind: 'stopping/counted', part: 'answers', busy: 0 })
  ]

  beforeEach(() => {
    state = createStoppingState('host-1')
    nowMs = 0
    decide({ kind: 'stopping/asked', limitMs: 30_000 })
  })

  it('ends only when no work is in flight, after all hosts could learn of it', () => {
    countAll(0)
    expect(state.phase).to.equal('draining')
    nowMs = HANDOVER_PERIOD_MS
    countAll(1)
    expect(state.phase).to.equal('draining')
    countAll(0)
    expect(state.phase).to.equal('refusing')
    nowMs += REFUSAL_PERIOD_MS
    expect(countAll(0)).to.include('process/exit')
  })

  // Guards against an exit that drops the rest of an answer which its caller still reads (review/3).
  it('does not end while a caller has not been sent the whole of its answer', () => {
    nowMs = HANDOVER_PERIOD_MS
    decide({ kind: 'stopping/counted', part: 'answers', busy: 1 })
    decide({ kind: 'stopping/counted', part: 'requests', busy: 0 })
    decide({ kind: 'stopping/counted', part: 'transactions', busy: 0 })
    expect(state.phase).to.equal('draining')
    countAll(0)
    expect(state.phase).to.equal('refusing')
  })

  it('is not restarted by a second request', () => {
    nowMs = 500
    expect(decide({ kind: 'stopping/asked', limitMs: 1 })).to.deep.equal([])
  })

  it('counts the transaction of its own caller once', () => {
    decide({ kind: 'stopping/counted', part: 'requests', busy: 2 })
    decide({ kind: 'stopping/counted', part: 'transactions', busy: 3, local: 2 })
    const step = decideStopping(state, { kind: 'stopping/limit-passed' }, { monotonicMs: 30_000, wallMs: 0, random: 0 })
    expect(step.effects.at(-1)).to.deep.equal({ kind: 'process/exit', abortedRequests: 3 })
  })

  // Guards against statements that are cut without an answer at the time limit.
  it('has requests answered before its time limit, and ends once that is done', () => {
    const asked = decideStopping(createStoppingState('host-1', 2_200), { kind: 'stopping/asked', limitMs: 5_700 }, { monotonicMs: 1_000, wallMs: 0, random: 0 })
    const told = asked.effects.flatMap((effect: Effect) => (effect.kind === 'loop/tell' ? [(effect as Tell).message] : []))
    for (const kind of ['requests/stop-asked', 'transactions/stop-asked']) expect(told).to.deep.include({ kind, endsAtMs: 6_700 - END_MARGIN_MS })
    const timers = asked.effects.filter((effect: Effect): effect is SetTimer => effect.kind === 'timer/set')
    const delays = ['stopping/end', 'stopping/limit'].map(name => timers.find(timer => timer.name === name)!.afterMs)
    expect(delays[0]).to.be.within(5_700 - END_MARGIN_MS, delays[1]! - 1)
    state = asked.state
    countAll(3)
    const ended = decideStopping(state, { kind: 'stopping/end-due' }, { monotonicMs: 6_650, wallMs: 0, random: 0 })
    expect(ended.effects).to.deep.equal([{ kind: 'caller/stop-accepting' }, { kind: 'loop/tell', message: { kind: 'requests/end-asked' } }])
    state = ended.state
    countAll(0)
    expect(state).to.include({ phase: 'gone', aborted: 3 })
  })

  it('ends at its time limit, and reports the aborted requests', () => {
    countAll(3)
    const step = decideStopping(state, { kind: 'stopping/limit-passed' }, { monotonicMs: 30_000, wallMs: 0, random: 0 })
    expect(step.effects.at(-1)).to.deep.equal({ kind: 'process/exit', abortedRequests: 3 })
  })
})

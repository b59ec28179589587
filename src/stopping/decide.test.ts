/** Stopping: nothing new, then nothing running, then the end. */
import { expect } from 'chai'
import { createStoppingState, decideStopping, HANDOVER_MS, REFUSE_MS, type StoppingState } from './decide.js'
import type { StoppingMessage } from './messages.js'

describe('a graceful stop', () => {
  let state: StoppingState
  let nowMs = 0
  const take = (message: StoppingMessage): readonly string[] => {
    const step = decideStopping(state, message, { monotonicMs: nowMs, wallMs: 0, random: 0 })
    state = step.state
    return step.effects.map(effect => effect.kind)
  }
  const countAll = (busy: number): readonly string[] => [
    ...take({ kind: 'stopping/counted', part: 'requests', busy }),
    ...take({ kind: 'stopping/counted', part: 'transactions', busy: 0 })
  ]

  beforeEach(() => {
    state = createStoppingState('host-1')
    nowMs = 0
    take({ kind: 'stopping/asked', limitMs: 30_000 })
  })

  it('ends only when nothing is under way, after all hosts heard of it', () => {
    countAll(0)
    expect(state.phase).to.equal('draining')
    nowMs = HANDOVER_MS
    countAll(1)
    expect(state.phase).to.equal('draining')
    countAll(0)
    expect(state.phase).to.equal('refusing')
    nowMs += REFUSE_MS
    expect(countAll(0)).to.include('process/exit')
  })

  it('is not begun again by a second request', () => {
    nowMs = 500
    expect(take({ kind: 'stopping/asked', limitMs: 1 })).to.deep.equal([])
  })

  it('ends at its limit, and says what it cut', () => {
    countAll(3)
    const step = decideStopping(state, { kind: 'stopping/limit-passed' }, { monotonicMs: 30_000, wallMs: 0, random: 0 })
    expect(step.effects.at(-1)).to.deep.equal({ kind: 'process/exit', cut: 3 })
  })
})

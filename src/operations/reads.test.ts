import { expect } from 'chai'
import type { Effect, SendPeer } from '../core/message.js'
import { createOperationsState, decideOperations, type OperationsState } from './decide.js'
import type { OperationsMessage } from './messages.js'

const CONTROL = ['c1', 'c2', 'c3']
const READ = { kind: 'operations/asked', operation: 'o1', requestId: 'r1', command: { name: 'configuration/read', service: 'rota' } } as const

/** A host that an operator called, and what it sent. */
class TestHost {
  state: OperationsState = createOperationsState()
  readonly effects: Effect[] = []

  static create (): TestHost {
    return new TestHost()
  }

  get asked (): readonly string[] {
    return this.effects.filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ to }) => to)
  }

  handle (message: OperationsMessage, monotonicMs: number): void {
    const { state, effects } = decideOperations(this.state, message, { monotonicMs, wallMs: 0, random: 0 })
    this.state = state
    this.effects.push(...effects)
  }
}

describe('the read of a configuration', () => {
  it('asks the control hosts one after the other until one answers, whether they have a leader or not', () => {
    const host = TestHost.create()
    host.handle({ kind: 'operations/control-known', control: CONTROL }, 0)
    host.handle(READ, 0)
    for (const atMs of [100, 200, 300, 600]) host.handle({ kind: 'operations/retry-due' }, atMs)
    expect([...host.asked].sort()).to.deep.equal(CONTROL)
    host.handle({ kind: 'operations/answered', operation: 'o1', outcome: { version: 4 } }, 610)
    expect(host.effects.at(-1)).to.deep.equal({ kind: 'operator/answer', operation: 'o1', outcome: { version: 4 } })
  })

  it('is not sent again when the leader changes', () => {
    const host = TestHost.create()
    host.handle({ kind: 'operations/control-known', control: CONTROL }, 0)
    host.handle(READ, 0)
    host.handle({ kind: 'operations/leader-known', leader: 'c2' }, 10)
    expect(host.asked).to.have.length(1)
  })

  it('waits for a control host to be known', () => {
    const host = TestHost.create()
    host.handle(READ, 0)
    expect(host.asked).to.deep.equal([])
    host.handle({ kind: 'operations/control-known', control: CONTROL }, 50)
    expect(host.asked).to.have.length(1)
  })
})

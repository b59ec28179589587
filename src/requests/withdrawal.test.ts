import { expect } from 'chai'
import { createFailure } from '../core/errors.js'
import type { Effect } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import { decideRequests } from './decide.js'
import type { Intent, RequestsMessage, Target } from './messages.js'
import { createRequestsShared } from './state.js'

const RULES = { group: 'a', action: 'write' as const, maxStalenessMs: 0, idempotent: false }
const TARGET: Target = { database: 'a1', owner: 'host-1', purpose: 'primary', term: 1, floor: ORIGIN }
const GRANT = { kind: 'grant' as const, group: 'a', term: 1, primary: 'a1', members: ['a1'] }
const WITHDRAWN: RequestsMessage = { kind: 'requests/key-withdrawn', caller: 'c', failure: createFailure('wrong-key', 'parish') }

class FakeRequests {
  readonly #slice = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000), decide: decideRequests })

  static create (): FakeRequests {
    const requests = new FakeRequests()
    requests.take({ kind: 'requests/grants-confirmed', grants: [GRANT], askedAtMs: 0 })
    requests.take({ kind: 'requests/open', caller: 'c', service: 'rota', workspace: 'parish', keyHash: 'ab' })
    requests.take({ kind: 'requests/open-checked', caller: 'c' })
    return requests
  }

  take (message: RequestsMessage): readonly Effect[] {
    return this.#slice.handle(message, { monotonicMs: 1, wallMs: 1, random: 0.5 })
  }

  list (message: RequestsMessage): readonly string[] {
    return this.take(message).map(effect => (effect.kind === 'peer/send' ? (effect as unknown as { message: Effect }).message.kind : effect.kind))
  }

  arrive (intent: Intent): readonly Effect[] {
    return this.take({ kind: 'requests/arrived', caller: 'c', input: { intent }, payload: new Uint8Array(0) })
  }

  run (intent: Intent): void {
    this.arrive(intent)
    this.take({ kind: 'requests/admitted', caller: 'c', attempt: 1, rules: RULES })
    this.take({ kind: 'requests/routed', caller: 'c', attempt: 1, target: TARGET })
  }

  finish (status: 'idle' | 'open'): readonly string[] {
    return this.list({ kind: 'requests/finished', caller: 'c', attempt: 1, status, wrote: true, position: ORIGIN, parts: 0, payload: new Uint8Array(0) })
  }
}

describe('a revoked key', () => {
  it('lets a running request finish, answers it, and then closes the connection', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    expect(requests.list(WITHDRAWN)).to.deep.equal([])
    expect(requests.finish('idle')).to.deep.equal(['timer/clear', 'caller/finished', 'timer/set', 'log/write'])
    expect(requests.list(WITHDRAWN)).to.include('caller/refused')
    expect(requests.list(WITHDRAWN)).to.deep.equal([])
  })

  it('never reports a write as not run when its acknowledgement came too late', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    requests.take(WITHDRAWN)
    requests.finish('idle')
    const failed = requests.take({ kind: 'requests/overdue', caller: 'c' }).find(effect => effect.kind === 'caller/failed')
    expect(failed).to.have.nested.property('failure.effect', 'unknown')
  })

  it('rolls an open transaction back', () => {
    const requests = FakeRequests.create()
    requests.run('begin')
    requests.finish('open')
    expect(requests.list(WITHDRAWN)).to.include.members(['transactions/cancel', 'caller/refused'])
  })

  // Guards against a transaction whose caller is cut off between two of its statements.
  it('answers the next statement of an open transaction before it ends the connection', () => {
    const requests = FakeRequests.create()
    requests.run('begin')
    requests.finish('open')
    expect(requests.list(WITHDRAWN)).to.include('transactions/cancel').and.not.include('caller/refused')
    const refused = requests.arrive('statement').find(effect => effect.kind === 'caller/refused')
    expect(refused).to.deep.include({ kind: 'caller/refused', caller: 'c' }).and.to.have.nested.property('failure.effect', 'not-run')
  })

  it('refuses a request that was not yet sent to a database', () => {
    const requests = FakeRequests.create()
    requests.arrive('statement')
    const failed = requests.take(WITHDRAWN).find(effect => effect.kind === 'caller/failed')
    expect(failed).to.have.nested.property('failure.effect', 'not-run')
    expect(requests.list(WITHDRAWN)).to.include('caller/refused')
  })
})

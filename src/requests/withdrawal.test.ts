import { expect } from 'chai'
import { createFailure, type Failure } from '../core/errors.js'
import type { Effect, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { CallerFailed, CallerRefused } from '../frontends/frontend.js'
import { decideRequests } from './decide.js'
import type { WorkCounted } from '../stopping/messages.js'
import type { Intent, RequestsMessage, Target } from './messages.js'
import { createRequestsShared } from './state.js'

const IDLE_TRANSACTION_MS = 8_000
const RULES = { group: 'a', action: 'write' as const, maxStalenessMs: 0, idempotent: false, idleTransactionMs: IDLE_TRANSACTION_MS }
const TARGET: Target = { database: 'a1', owner: 'host-1', purpose: 'primary', term: 1, floor: ORIGIN }
const GRANT = { kind: 'grant' as const, group: 'a', term: 1, primary: 'a1', members: ['a1'] }
const WITHDRAWN: RequestsMessage = { kind: 'requests/key-withdrawn', caller: 'c', failure: createFailure('wrong-key', 'parish') }
const SILENCE: RequestsMessage = { kind: 'requests/silence-passed', caller: 'c' }

class FakeRequests {
  #attempts = 0
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
    this.#attempts += 1
    return this.take({ kind: 'requests/arrived', caller: 'c', input: { intent }, payload: new Uint8Array(0) })
  }

  run (intent: Intent): void {
    this.arrive(intent)
    this.take({ kind: 'requests/admitted', caller: 'c', attempt: this.#attempts, rules: RULES })
    this.take({ kind: 'requests/routed', caller: 'c', attempt: this.#attempts, target: TARGET })
  }

  openTransaction (): void {
    this.run('begin')
    this.finish('open')
  }

  /** Lets admission refuse the request that arrived last. */
  refuseKey (): readonly Effect[] {
    return this.take({ kind: 'requests/failed', caller: 'c', attempt: this.#attempts, failure: createFailure('wrong-key', 'parish') })
  }

  countBusy (): number {
    const [counted] = this.take({ kind: 'requests/count-asked' }) as readonly Tell[]
    return (counted!.message as WorkCounted).busy
  }

  finish (status: 'idle' | 'open'): readonly string[] {
    return this.list({ kind: 'requests/finished', caller: 'c', attempt: this.#attempts, status, wrote: true, position: ORIGIN, parts: 0, payload: new Uint8Array(0) })
  }
}

function findAnswer (effects: readonly Effect[]): CallerFailed | undefined {
  return effects.find((effect): effect is CallerFailed => effect.kind === 'caller/failed')
}

function findRefusal (effects: readonly Effect[]): Failure | undefined {
  return effects.find((effect): effect is CallerRefused => effect.kind === 'caller/refused')?.failure
}

describe('a revoked key', () => {
  it('lets a running request finish, and leaves later ones to the check of the key', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    expect(requests.list(WITHDRAWN)).to.deep.equal([])
    expect(requests.finish('idle')).to.deep.equal(['timer/clear', 'caller/finished', 'timer/set', 'log/write'])
    expect(requests.list(WITHDRAWN)).to.deep.equal([])
    expect(requests.arrive('statement').map(({ kind }) => kind)).to.deep.equal(['loop/tell', 'timer/set'])
    const effects = requests.refuseKey()
    expect(findAnswer(effects)).to.deep.include({ status: 'idle' }).and.to.have.nested.property('failure.code', 'wrong-key')
    expect(effects.map(({ kind }) => kind)).to.include('timer/set').and.not.include('caller/refused')
  })

  it('ends the connection of a caller that sends nothing more', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    requests.take(WITHDRAWN)
    requests.finish('idle')
    const effects = requests.take(SILENCE)
    expect(findRefusal(effects)).to.include({ code: 'wrong-key', effect: 'not-run' })
    expect(effects.map(({ kind }) => kind)).to.include('loop/tell')
    expect(requests.take(SILENCE)).to.deep.equal([])
  })

  it('never reports a write as not run when its acknowledgement came too late', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    requests.take(WITHDRAWN)
    requests.finish('idle')
    const failed = requests.take({ kind: 'requests/overdue', caller: 'c' }).find(effect => effect.kind === 'caller/failed')
    expect(failed).to.have.nested.property('failure.effect', 'unknown')
  })

  it('rolls an open transaction back at once, and ends its connection only once it was idle for as long as it may be', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    const effects = requests.take(WITHDRAWN)
    expect(effects.map(({ kind }) => kind)).to.deep.equal(['peer/send', 'timer/set'])
    expect(effects[0]).to.have.nested.property('message.kind', 'transactions/cancel')
    expect(effects[1]).to.deep.include({ afterMs: IDLE_TRANSACTION_MS, message: SILENCE })
    expect(findRefusal(requests.take(SILENCE))).to.include({ code: 'transaction-revoked', effect: 'not-run' })
    expect(requests.take(SILENCE)).to.deep.equal([])
  })

  // Guards against an end of the connection right behind an answer, which crosses the next request.
  it('answers the end of its transaction, and does not end the connection with that answer', () => {
    for (const [intent, kind] of [['rollback', 'caller/rolled-back'], ['commit', 'caller/failed'], ['statement', 'caller/failed']] as const) {
      const requests = FakeRequests.create()
      requests.openTransaction()
      requests.take(WITHDRAWN)
      const effects = requests.arrive(intent)
      expect(effects.filter(effect => effect.kind.startsWith('caller/')).map(effect => effect.kind)).to.deep.equal([kind])
      expect(effects[effects.length - 1]).to.deep.include({ kind: 'timer/set', message: SILENCE })
      expect(requests.arrive('statement').map(effect => effect.kind)).to.include('loop/tell')
      expect(findAnswer(requests.refuseKey())).to.have.nested.property('failure.code', 'wrong-key')
    }
  })

  it('rolls a transaction back once its running statement was answered', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    requests.run('statement')
    expect(requests.list(WITHDRAWN)).to.deep.equal([])
    expect(requests.finish('open')).to.deep.equal(['timer/clear', 'caller/finished', 'transactions/cancel', 'timer/set', 'log/write'])
    expect(findAnswer(requests.arrive('commit'))!.failure).to.include({ code: 'transaction-revoked', effect: 'not-run' })
  })

  // Guards against a promise that nothing is kept of a transaction of which nobody knows.
  it('promises nothing about a transaction that was lost before', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    requests.run('statement')
    requests.take({ kind: 'requests/failed', caller: 'c', attempt: 2, failure: createFailure('outcome-unknown', 'test') })
    requests.take(WITHDRAWN)
    expect(findAnswer(requests.arrive('statement'))!.failure.code).to.equal('transaction-aborted')
  })

  it('refuses a statement that was not yet sent to a database, with its transaction rolled back', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    requests.arrive('statement')
    expect(findAnswer(requests.take(WITHDRAWN))).to.deep.include({ status: 'idle' }).and.to.have.nested.property('failure.code', 'transaction-revoked')
  })

  // Guards against a transaction whose caller is cut off between two of its statements.
  it('answers the next statement of an open transaction before it ends the connection', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    expect(requests.list(WITHDRAWN)).to.include('transactions/cancel').and.not.include('caller/refused')
    const answer = findAnswer(requests.arrive('statement'))
    expect(answer).to.deep.include({ status: 'idle' })
    expect(answer!.failure).to.include({ code: 'transaction-revoked', effect: 'not-run' })
  })

  // Guards against a stop that ends the process before a caller was told of its rolled-back transaction.
  it('keeps a stop waiting until its caller was told that its transaction was rolled back', () => {
    const requests = FakeRequests.create()
    requests.openTransaction()
    requests.take(WITHDRAWN)
    expect(requests.countBusy()).to.equal(1)
    requests.arrive('statement')
    expect(requests.countBusy()).to.equal(0)
  })

  // Guards against refusals of a key that a later version has given back.
  it('serves a caller again whose key was given back', () => {
    const requests = FakeRequests.create()
    requests.take(WITHDRAWN)
    requests.run('statement')
    expect(requests.finish('idle')).to.include('caller/finished').and.not.include('timer/set')
    expect(requests.take(SILENCE)).to.deep.equal([])
  })

  // Guards against a withdrawn key whose request is sent to a database once more.
  it('does not try a running request again', () => {
    const requests = FakeRequests.create()
    requests.run('statement')
    requests.take(WITHDRAWN)
    const effects = requests.take({ kind: 'requests/failed', caller: 'c', attempt: 1, failure: createFailure('queue-full', 'a1'), retriable: true })
    expect(findAnswer(effects)).to.have.nested.property('failure.effect', 'not-run')
  })

  it('refuses a request that was not yet sent to a database', () => {
    const requests = FakeRequests.create()
    requests.arrive('statement')
    expect(findAnswer(requests.take(WITHDRAWN))).to.have.nested.property('failure.effect', 'not-run')
    expect(findRefusal(requests.take(SILENCE))).to.include({ code: 'wrong-key', effect: 'not-run' })
  })
})

import { expect } from 'chai'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { Effect, SendPeer, SetTimer } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import type { RunRequest } from '../transactions/messages.js'
import { decideRequests } from './decide.js'
import type { RouteRules, Target } from './messages.js'
import { createRequestsShared, type RequestsShared } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES: RouteRules = { group: 'g', action: 'read', maxStalenessMs: 1_500, idempotent: false, latencyMs: 100, timeoutMs: 800 }
const PRIMARY: Target = { database: 'a1', owner: 'h2', purpose: 'primary', term: 1, floor: ORIGIN }
const REPLICA: Target = { ...PRIMARY, database: 'a2', purpose: 'replica' }

interface Failed extends Effect { readonly failure: { readonly code: string, readonly effect: string, readonly retryAfterMs?: number } }

/** An entry host with one caller. */
class FakeHost {
  readonly #slice = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000, GUARANTEES), decide: decideRequests })
  nowMs = 1_000

  static create (): FakeHost {
    const host = new FakeHost()
    host.connect()
    return host
  }

  get shared (): RequestsShared {
    return this.#slice.store.shared
  }

  connect (): void {
    this.take({ kind: 'requests/open', caller: 'c', service: 's', keyHash: 'h' })
    this.take({ kind: 'requests/open-checked', caller: 'c', workspace: 'w' })
  }

  get attempt (): number {
    return this.#slice.store.items.get('c')!.attempts
  }

  arrive (): readonly Effect[] {
    return this.take({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement', action: 'read', route: 'r' }, payload: new Uint8Array() })
  }

  admit (rules = RULES): readonly Effect[] {
    return this.take({ kind: 'requests/admitted', caller: 'c', attempt: this.attempt, rules })
  }

  dispatch (target: Target): readonly Effect[] {
    return this.take({ kind: 'requests/routed', caller: 'c', attempt: this.attempt, target })
  }

  /** Runs a request whose answer is on its way for some time beyond the owner's own. */
  run (target: Target, delayMs: number): void {
    this.arrive()
    this.admit()
    this.dispatch(target)
    this.nowMs += delayMs
    this.take({ kind: 'requests/finished', from: target.owner, caller: 'c', attempt: this.attempt, status: 'idle', wrote: false, position: ORIGIN, parts: 0, payload: new Uint8Array(), waitedMs: 0, ranMs: 0 })
  }

  take (message: HostMessage): readonly Effect[] {
    return this.#slice.handle(message, { monotonicMs: this.nowMs, wallMs: 0, random: 0.5 })
  }
}

const findFailure = (effects: readonly Effect[]): Failed['failure'] | undefined => (effects.find(effect => effect.kind === 'caller/failed') as Failed | undefined)?.failure
const findRun = (effects: readonly Effect[]): RunRequest | undefined => (effects.find(effect => effect.kind === 'peer/send' && (effect as SendPeer).message.kind === 'transactions/run') as SendPeer | undefined)?.message as RunRequest | undefined
const findTimer = (effects: readonly Effect[], name: string): SetTimer | undefined => effects.find(effect => effect.kind === 'timer/set' && (effect as SetTimer).name.startsWith(name)) as SetTimer | undefined

describe('the budget of waiting', () => {
  it('ends a request that was not sent within half of its time, as not run and with a time to come back', () => {
    const host = FakeHost.create()
    host.arrive()
    const timer = findTimer(host.admit(), 'requests/deadline')!
    expect(timer.afterMs).to.equal(400)
    host.nowMs += 400
    const failure = findFailure(host.take(timer.message as HostMessage))!
    expect(failure).to.include({ code: 'not-in-time', effect: 'not-run' })
    expect(failure.retryAfterMs).to.be.above(0)
  })

  it('leaves one that was sent all of its time, and does not say then that it did not run', () => {
    const host = FakeHost.create()
    host.arrive()
    const timer = findTimer(host.admit(), 'requests/deadline')!
    expect(findRun(host.dispatch(PRIMARY))).to.include({ waitMs: 400, remainingMs: 800, targetLeftMs: 100 })
    host.nowMs += 400
    const later = findTimer(host.take(timer.message as HostMessage), 'requests/deadline')!
    expect(later.afterMs).to.equal(700)
    host.nowMs += later.afterMs
    expect(findFailure(host.take(later.message as HostMessage))).to.include({ code: 'outcome-unknown', effect: 'unknown' })
  })

  it('tries a read that may have run again also after that time', () => {
    const host = FakeHost.create()
    host.arrive()
    host.admit({ ...RULES, latencyMs: 450 })
    host.dispatch(REPLICA)
    host.nowMs += 450
    const effects = host.take({ kind: 'requests/late', caller: 'c', attempt: host.attempt })
    expect(findFailure(effects)).to.equal(undefined)
    host.take({ kind: 'requests/retry-due', caller: 'c', attempt: host.attempt })
    expect(findRun(host.dispatch({ ...REPLICA, database: 'a3', owner: 'h3' }))?.waitMs).to.equal(undefined)
  })

  it('does not end a read that may have run while it waits for its next try', () => {
    const host = FakeHost.create()
    host.arrive()
    const timer = findTimer(host.admit({ ...RULES, latencyMs: 350 }), 'requests/deadline')!
    host.dispatch(REPLICA)
    host.nowMs += 400
    host.take({ kind: 'requests/late', caller: 'c', attempt: host.attempt })
    const effects = host.take(timer.message as HostMessage)
    expect(findFailure(effects)).to.equal(undefined)
    expect(findTimer(effects, 'requests/deadline')?.afterMs).to.equal(400)
    host.take({ kind: 'requests/retry-due', caller: 'c', attempt: host.attempt })
    expect(findRun(host.dispatch({ ...REPLICA, database: 'a3', owner: 'h3' }))).to.not.equal(undefined)
  })

  it('lets a request without a latency target wait until its deadline', () => {
    const host = FakeHost.create()
    host.arrive()
    host.admit({ ...RULES, latencyMs: undefined })
    expect(findRun(host.dispatch(PRIMARY))?.waitMs).to.equal(undefined)
  })

  it('refuses what only a late owner can run before it is sent, and tries it again after a second', () => {
    const host = FakeHost.create()
    host.run(PRIMARY, 500)
    host.arrive()
    host.admit()
    const refused = host.dispatch(PRIMARY)
    expect(findRun(refused)).to.equal(undefined)
    expect(findFailure(refused)).to.include({ code: 'not-in-time', effect: 'not-run', retryAfterMs: 750 })
    host.nowMs += 1_000
    host.arrive()
    host.admit()
    expect(findRun(host.dispatch(PRIMARY))).to.not.equal(undefined)
  })

  it('names a time to come back also when it is this host that became late before it sent the request', () => {
    const host = FakeHost.create()
    host.arrive()
    host.admit()
    host.take({ kind: 'requests/lag-due', dueAtMs: host.nowMs - 1_000 })
    const failure = findFailure(host.dispatch(PRIMARY))!
    expect(failure).to.include({ code: 'not-in-time', effect: 'not-run' })
    expect(failure.retryAfterMs).to.be.above(0)
  })

  it('places a read elsewhere at once when the owner of its replica is late', () => {
    const host = FakeHost.create()
    host.run(REPLICA, 500)
    host.arrive()
    host.admit()
    const effects = host.dispatch(REPLICA)
    expect(findRun(effects)).to.equal(undefined)
    expect(findTimer(effects, 'requests/retry')?.afterMs).to.equal(0)
    host.take({ kind: 'requests/retry-due', caller: 'c', attempt: host.attempt })
    expect(findRun(host.dispatch({ ...REPLICA, database: 'a3', owner: 'h3' }))).to.not.equal(undefined)
  })

  it('forgets the delay of an owner that answers in time again', () => {
    const host = FakeHost.create()
    host.run(PRIMARY, 60)
    expect(host.shared.ownerDelays.get('h2')?.delayMs).to.equal(60)
    host.run(PRIMARY, 0)
    expect(host.shared.ownerDelays.size).to.equal(0)
  })

  it('measures how late this host is while requests arrive, and again when they come back', () => {
    const host = FakeHost.create()
    host.arrive()
    const first = findTimer(host.admit(), 'requests/lag')!
    host.dispatch(PRIMARY)
    host.take({ kind: 'requests/closed', caller: 'c' })
    const second = findTimer(host.take(first.message as HostMessage), 'requests/lag')!
    expect(findTimer(host.take(second.message as HostMessage), 'requests/lag')).to.equal(undefined)
    host.connect()
    host.arrive()
    expect(findTimer(host.admit(), 'requests/lag')).to.not.equal(undefined)
  })

  it('refuses a request at its arrival while this host is late by more than it may wait', () => {
    const host = FakeHost.create()
    host.run(PRIMARY, 0)
    for (let late = 0; late < 5; late++) {
      host.arrive()
      host.admit()
      host.take({ kind: 'requests/lag-due', dueAtMs: host.nowMs - 500 })
    }
    expect(findFailure(host.arrive())).to.include({ code: 'not-in-time', effect: 'not-run' })
  })
})

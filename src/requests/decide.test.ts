/** How requests end at their entry host: retries, deadlines, and the effect that is reported to the caller. */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { createFailure } from '../core/errors.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { CallerFailed } from '../frontends/frontend.js'
import { decideRequests } from './decide.js'
import type { Intent, RequestsMessage, RouteRules, Target } from './messages.js'
import { createRequestsShared, MAX_RETRY_BUDGET, RETRY_BUDGET_PER_SUCCESS } from './state.js'

const RULES: RouteRules = { group: 'a', action: 'write', maxStalenessMs: 0, idempotent: true }
const TARGET: Target = { database: 'a1', owner: 'o', purpose: 'primary', term: 1, floor: ORIGIN }
const GRANTS = [{ kind: 'grant' as const, group: 'a', term: 1, primary: 'a1', members: ['a1'] }]
const UNKNOWN = createFailure('outcome-unknown', 'the connection was closed')

describe('a request at its entry host', () => {
  let slice = createSlice()
  let nowMs = 0

  function createSlice () {
    return StoreSlice.create({ name: 'requests', shared: createRequestsShared(500), decide: decideRequests })
  }
  const take = (message: RequestsMessage): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })
  const readAttempt = (caller: string): number => slice.store.items.get(caller)!.attempts
  const open = (caller: string): void => {
    take({ kind: 'requests/open', caller, service: 's' })
    take({ kind: 'requests/open-checked', caller })
  }
  const route = (caller: string): readonly Effect[] => take({ kind: 'requests/routed', caller, attempt: readAttempt(caller), target: TARGET })
  const start = (caller: string, rules: RouteRules = RULES, intent: Intent = 'statement'): readonly Effect[] => {
    take({ kind: 'requests/arrived', caller, input: { intent }, payload: Buffer.alloc(0) })
    const admitted = take({ kind: 'requests/admitted', caller, attempt: readAttempt(caller), rules })
    const routed = admitted.find((effect): effect is Tell => effect.kind === 'loop/tell')!.message
    return routed.kind === 'requests/routed' ? take(routed as RequestsMessage) : route(caller)
  }
  const finish = (caller: string, status: 'idle' | 'open' | 'failed' = 'idle'): readonly Effect[] =>
    take({ kind: 'requests/finished', caller, attempt: readAttempt(caller), status, wrote: false, position: ORIGIN, parts: 0, payload: Buffer.alloc(0) })
  const lose = (caller: string): readonly Effect[] => take({ kind: 'requests/failed', caller, attempt: readAttempt(caller), failure: UNKNOWN, retriable: true })
  const findFailure = (effects: readonly Effect[]): CallerFailed | undefined => effects.find((effect): effect is CallerFailed => effect.kind === 'caller/failed')

  beforeEach(() => {
    slice = createSlice()
    nowMs = 0
    open('c')
    take({ kind: 'requests/grants-confirmed', grants: GRANTS, askedAtMs: 0 })
  })

  it('charges retries of requests that may have run to a budget that successes refill', () => {
    for (let count = 0; count < MAX_RETRY_BUDGET; count++) {
      open(`c${count}`)
      start(`c${count}`)
      expect(findFailure(lose(`c${count}`))).to.equal(undefined)
    }
    start('c')
    expect(findFailure(lose('c'))?.failure.effect).to.equal('unknown')
    for (let count = 0; count < 1 / RETRY_BUDGET_PER_SUCCESS + 1; count++) {
      start('c')
      finish('c')
    }
    start('c')
    expect(findFailure(lose('c'))).to.equal(undefined)
  })

  it('does not retry a request that is not idempotent once it may have run', () => {
    start('c', { ...RULES, idempotent: false })
    expect(findFailure(lose('c'))).to.deep.include({ failure: UNKNOWN, status: 'idle' })
  })

  it('does not report a request as not run when an earlier attempt may have run', () => {
    start('c')
    lose('c')
    nowMs = 600
    const effects = take({ kind: 'requests/deadline-passed', caller: 'c', request: 1 })
    expect(findFailure(effects)?.failure).to.include({ code: 'outcome-unknown', sqlState: '40003' })
  })

  it('returns a jittered retry-after time when the group has no primary', () => {
    take({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement' }, payload: Buffer.alloc(0) })
    take({ kind: 'requests/admitted', caller: 'c', attempt: readAttempt('c'), rules: RULES })
    const failure = createFailure('no-primary', 'a')
    const effects = take({ kind: 'requests/failed', caller: 'c', attempt: readAttempt('c'), failure, retriable: false })
    expect(findFailure(effects)?.failure).to.include({ code: 'no-primary', effect: 'not-run', retryAfterMs: 1_000 })
  })

  it('sends the remaining time with each attempt', () => {
    start('c')
    nowMs = 200
    lose('c')
    take({ kind: 'requests/retry-due', caller: 'c', attempt: 2 })
    const [dispatched] = route('c') as readonly SendPeer[]
    expect(dispatched!.message).to.include({ kind: 'transactions/run', remainingMs: 300, attempt: 2 })
  })

  it('asks for the primary once an owner could not determine the floor of a read, and reports each owner that answers', () => {
    const bounded: Target = { ...TARGET, database: 'a2', purpose: 'replica', bound: { maxStalenessMs: 1_500, seen: ORIGIN } }
    take({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement', action: 'read' }, payload: Buffer.alloc(0) })
    take({ kind: 'requests/admitted', caller: 'c', attempt: 1, rules: { ...RULES, action: 'read', maxStalenessMs: 1_500 } })
    take({ kind: 'requests/routed', caller: 'c', attempt: 1, target: bounded })
    const refused = take({ kind: 'requests/failed', from: 'o', caller: 'c', attempt: 1, failure: createFailure('no-primary', 'a'), retriable: true, load: 0.5 })
    expect(refused).to.deep.include({ kind: 'loop/tell', message: { kind: 'routing/owner-answered', owner: 'o', database: 'a2', load: 0.5 } })
    const [choose] = take({ kind: 'requests/retry-due', caller: 'c', attempt: 2 }) as readonly Tell[]
    expect(choose!.message).to.include({ kind: 'routing/choose', primaryOnly: true })
  })

  it('leaves the owner 300 ms after the deadline to say whether the request ran', () => {
    const arrived = take({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement' }, payload: Buffer.alloc(0) })
    expect(arrived).to.deep.include({ kind: 'timer/set', name: 'requests/deadline/c', afterMs: 800, message: { kind: 'requests/deadline-passed', caller: 'c', request: 1 } })
  })

  it('closes the transaction after a commit even when its outcome is unknown', () => {
    start('c', RULES, 'begin')
    finish('c', 'open')
    start('c', RULES, 'commit')
    expect(findFailure(lose('c'))).to.deep.include({ failure: UNKNOWN, status: 'idle' })
  })

  it('does not acknowledge after the lease has expired, and aborts the transaction', () => {
    start('c', RULES, 'begin')
    const guarded = finish('c', 'open').find(effect => effect.kind === 'caller/finished')!
    expect(guarded.notAfterMs).to.equal(1_000)
    const expired = take(guarded.otherwise as RequestsMessage)
    expect(findFailure(expired)).to.deep.include({ status: 'failed' })
    expect(expired.some(effect => effect.kind === 'peer/send')).to.equal(true)
  })

  it('delays an acknowledgement while the lease has expired, and sends it once the same primary is confirmed', () => {
    start('c')
    nowMs = 1_200
    expect(finish('c')).to.deep.equal([])
    const [redelivered] = take({ kind: 'requests/grants-confirmed', grants: GRANTS, askedAtMs: 1_150 }) as readonly Tell[]
    expect(take(redelivered!.message as RequestsMessage).some(effect => effect.kind === 'caller/finished')).to.equal(true)
  })

  it('never sends a delayed acknowledgement once its primary has been replaced', () => {
    start('c', { ...RULES, idempotent: false })
    nowMs = 1_200
    finish('c')
    const effects = take({ kind: 'requests/grants-confirmed', grants: [{ ...GRANTS[0]!, term: 2, primary: 'a2' }], askedAtMs: 1_150 })
    expect(findFailure(effects)?.failure.effect).to.equal('unknown')
    const redelivered = effects.filter((effect): effect is Tell => effect.kind === 'loop/tell').flatMap(({ message }) => take(message as RequestsMessage))
    expect(redelivered).to.deep.equal([])
  })
})

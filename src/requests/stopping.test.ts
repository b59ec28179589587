/** Guards against a stop that cuts statements of open transactions without an answer (docs/incidents/open-transactions-at-a-stop.md). */
import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { CallerEffect, CallerFailed } from '../frontends/frontend.js'
import { decideRequests } from './decide.js'
import type { Intent, RequestsMessage, RouteRules, Target } from './messages.js'
import { createRequestsShared } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES: RouteRules = { group: 'a', action: 'read', maxStalenessMs: 1_500, idempotent: false, latencyMs: 500 }
const TARGET: Target = { database: 'a1', owner: 'o', purpose: 'replica', term: 1, floor: ORIGIN }
const ENDS_AT_MS = 5_000
const STATEMENT_MS = 150

describe('requests of a host that stops', () => {
  let slice = createSlice()
  let nowMs = 0

  function createSlice () {
    return StoreSlice.create({ name: 'requests', shared: createRequestsShared(10_000, GUARANTEES), decide: decideRequests })
  }
  const take = (message: RequestsMessage): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })
  const readAttempt = (): number => slice.store.items.get('c')!.attempts
  const arrive = (intent: Intent): readonly Effect[] => take({ kind: 'requests/arrived', caller: 'c', input: { intent }, payload: Buffer.alloc(0) })
  // Returns the effects of whichever decision ended or sent the request.
  const start = (intent: Intent): readonly Effect[] => {
    const arrived = arrive(intent)
    if (slice.store.items.get('c')!.running === undefined) return arrived
    const admitted = take({ kind: 'requests/admitted', caller: 'c', attempt: readAttempt(), rules: RULES })
    const routed = admitted.find((effect): effect is Tell => effect.kind === 'loop/tell')?.message
    return take(routed?.kind === 'requests/routed' ? routed as RequestsMessage : { kind: 'requests/routed', caller: 'c', attempt: readAttempt(), target: TARGET })
  }
  const finish = (status: 'idle' | 'open'): readonly Effect[] =>
    take({ kind: 'requests/finished', caller: 'c', attempt: readAttempt(), status, wrote: false, position: ORIGIN, parts: 0, payload: Buffer.alloc(0) })
  const openTransaction = (): void => {
    for (const intent of ['begin-read-only', 'statement'] as const) {
      start(intent)
      nowMs += STATEMENT_MS
      finish('open')
    }
  }
  const listAnswers = (effects: readonly Effect[]): readonly CallerEffect[] => effects.filter((effect): effect is CallerEffect => effect.kind.startsWith('caller/'))
  const listSent = (effects: readonly Effect[]): readonly string[] => effects.flatMap(effect => (effect.kind === 'peer/send' ? [(effect as SendPeer).message.kind] : []))
  const findFailure = (effects: readonly Effect[]): CallerFailed | undefined => effects.find((effect): effect is CallerFailed => effect.kind === 'caller/failed')

  beforeEach(() => {
    slice = createSlice()
    nowMs = 0
    take({ kind: 'requests/open', caller: 'c', service: 's' })
    take({ kind: 'requests/open-checked', caller: 'c' })
    openTransaction()
    take({ kind: 'requests/stop-asked', endsAtMs: ENDS_AT_MS })
  })

  it('run while they can end in time', () => {
    nowMs = ENDS_AT_MS - STATEMENT_MS - 1
    expect(listSent(start('commit'))).to.deep.equal(['transactions/run'])
    nowMs += STATEMENT_MS
    expect(listAnswers(finish('idle')).map(({ kind }) => kind)).to.deep.equal(['caller/finished'])
  })

  it('are refused as not run once they can not end in time, and their transaction is rolled back', () => {
    nowMs = ENDS_AT_MS - STATEMENT_MS
    const effects = start('commit')
    expect(findFailure(effects)).to.deep.include({ status: 'idle' })
    expect(findFailure(effects)!.failure).to.include({ code: 'transaction-stopped', effect: 'not-run' })
    expect(listSent(effects)).to.deep.equal(['transactions/cancel'])
  })

  it('may end their transaction by a rollback at any time', () => {
    nowMs = ENDS_AT_MS
    const effects = start('rollback')
    expect(listAnswers(effects).map(({ kind }) => kind)).to.deep.equal(['caller/rolled-back'])
    expect(listSent(effects)).to.deep.equal(['transactions/cancel'])
  })

  it('begin nothing within the latency target of the route before the end', () => {
    start('rollback')
    finish('idle')
    nowMs = ENDS_AT_MS - RULES.latencyMs!
    expect(findFailure(start('begin-read-only'))!.failure).to.include({ code: 'host-stopping', effect: 'not-run' })
  })

  it('have to end at their owner before the stop does', () => {
    nowMs = ENDS_AT_MS - STATEMENT_MS - 50
    const sent = start('statement').find((effect): effect is SendPeer => effect.kind === 'peer/send')
    expect(sent!.message).to.include({ remainingMs: STATEMENT_MS + 50, expectedMs: STATEMENT_MS })
  })

  it('are answered as unknown when they still run at the end', () => {
    start('commit')
    nowMs = ENDS_AT_MS
    const effects = take({ kind: 'requests/end-asked' })
    expect(findFailure(effects)).to.deep.include({ status: 'idle' }).and.to.have.nested.property('failure.effect', 'unknown')
    expect(listSent(effects)).to.deep.equal(['transactions/cancel'])
  })

  it('are answered as not run when they were not sent by the end', () => {
    arrive('commit')
    const effects = take({ kind: 'requests/end-asked' })
    expect(findFailure(effects)!.failure).to.include({ code: 'transaction-stopped', effect: 'not-run' })
  })

  it('end the connection and the transaction of a caller that sends nothing until the end', () => {
    const effects = take({ kind: 'requests/end-asked' })
    expect(listAnswers(effects).map(({ kind }) => kind)).to.deep.equal(['caller/refused'])
    expect(listSent(effects)).to.deep.equal(['transactions/cancel'])
    expect(effects.some(effect => effect.kind === 'log/write')).to.equal(true)
  })
})

import { expect } from 'chai'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import type { Effect, SetTimer } from '../core/message.js'
import type { HostMessage } from '../messages.js'
import { decideRequests } from './decide.js'
import type { RouteRules, Target } from './messages.js'
import { createRequestsShared, MAX_RETRY_BUDGET } from './state.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const RULES: RouteRules = { group: 'g', action: 'read', maxStalenessMs: 1_500, idempotent: false, latencyMs: 250, timeoutMs: 800 }

/** One caller with a read in flight at a database. */
class FakeRequest {
  readonly #slice = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000, GUARANTEES), decide: decideRequests })
  #nowMs = 1_000

  static create (): FakeRequest {
    const request = new FakeRequest()
    request.take({ kind: 'requests/open', caller: 'c', service: 's', keyHash: 'h' })
    request.take({ kind: 'requests/open-checked', caller: 'c', workspace: 'w' })
    return request
  }

  run (purpose: Target['purpose']): readonly Effect[] {
    const attempt = (this.#slice.store.items.get('c')?.attempts ?? 0) + 1
    this.take({ kind: 'requests/arrived', caller: 'c', input: { intent: 'statement', action: 'read', route: 'r' }, payload: new Uint8Array() })
    this.take({ kind: 'requests/admitted', caller: 'c', attempt, rules: RULES })
    return this.take({ kind: 'requests/routed', caller: 'c', attempt, target: { database: 'db-1', owner: 'h2', purpose, term: 1, floor: ORIGIN } })
  }

  take (message: HostMessage): readonly Effect[] {
    this.#nowMs += 1
    return this.#slice.handle(message, { monotonicMs: this.#nowMs, wallMs: 0, random: 0.5 })
  }
}

function findLate (effects: readonly Effect[]): SetTimer | undefined {
  return effects.find(effect => effect.kind === 'timer/set' && (effect as SetTimer).name.startsWith('requests/late')) as SetTimer | undefined
}

describe('a read that a replica does not answer in time', () => {
  it('is cancelled there and retried elsewhere once its owner reports that it still runs', () => {
    const request = FakeRequest.create()
    request.run('replica')
    const kinds = request.take({ kind: 'requests/late', caller: 'c', attempt: 1 }).map(effect => effect.kind)
    expect(kinds.slice(0, 2)).to.deep.equal(['peer/send', 'timer/set'])
  })

  it('is retried when its owner reports nothing within the latency target', () => {
    const request = FakeRequest.create()
    const timer = findLate(request.run('replica'))!
    expect(timer.afterMs).to.equal(250)
    const kinds = request.take(timer.message as HostMessage).map(effect => effect.kind)
    expect(kinds.slice(0, 2)).to.deep.equal(['peer/send', 'timer/set'])
  })

  it('is not retried at the primary', () => {
    expect(findLate(FakeRequest.create().run('primary'))).to.equal(undefined)
  })

  it('is not retried once the retry budget is exhausted', () => {
    const request = FakeRequest.create()
    for (let spent = 0; spent < MAX_RETRY_BUDGET; spent++) {
      request.take(findLate(request.run('replica'))!.message as HostMessage)
      request.take({ kind: 'requests/deadline-passed', caller: 'c', request: spent * 2 + 1 })
    }
    expect(request.take(findLate(request.run('replica'))!.message as HostMessage)).to.deep.equal([])
  })
})

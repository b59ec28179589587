import { expect } from 'chai'
import type { Effect, SendPeer } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import { parseDocument } from '../documents/document.js'
import { decideAdmission } from './decide.js'
import type { AdmissionMessage } from './messages.js'
import { checkAllowance, createAdmissionShared } from './state.js'

const createKeyHash = (index: number): string => String(index).padStart(2, '0').repeat(32)
const NAMES = Array.from({ length: 20 }, (_, index) => `w${index}`)
const DOCUMENT = parseDocument(JSON.stringify({
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: NAMES.map((name, index) => ({ name, rate: 20, burst: 20, group: 'a', keys: [{ id: 'k1', sha256: createKeyHash(index) }] })),
  routes: [{ name: 'slots', access: 'keyed', action: 'read', maxStalenessMs: 0, idempotent: true, latencyMs: 5_000 }]
})).unwrapOr(undefined as never)

/** A lender of all workspaces whose leader answers nothing, and what it sends to the leader. */
class TestLender {
  readonly #slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1' }), decide: decideAdmission, checkItem: checkAllowance })
  readonly #timers = new Map<string, { readonly atMs: number, readonly message: AdmissionMessage }>()
  readonly sent: Array<{ readonly kind: string, readonly atMs: number }> = []

  static create (): TestLender {
    const lender = new TestLender()
    lender.handle({ kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document: DOCUMENT }], askedAtMs: 0 }, 0)
    lender.handle({ kind: 'admission/lenders-changed', lenders: ['h1'] }, 0)
    lender.handle({ kind: 'admission/leader-changed', leader: 'leader', epoch: 1 }, 0)
    return lender
  }

  handle (message: AdmissionMessage, nowMs: number): void {
    for (const effect of this.#slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })) this.#execute(effect, nowMs)
  }

  /** Runs timers until a time; each workspace has a request in each tenth of a second. */
  run (untilMs: number): void {
    for (let nowMs = 10; nowMs < untilMs; nowMs += 10) {
      if (nowMs % 1_000 === 0) this.handle({ kind: 'admission/documents-confirmed', askedAtMs: nowMs }, nowMs)
      if (nowMs % 100 === 0) for (const [index, workspace] of NAMES.entries()) this.handle({ kind: 'admission/check-request', caller: `${nowMs}/${index}`, attempt: 1, service: 'rota', workspace, keyHash: createKeyHash(index), route: 'slots', action: 'read', inTransaction: false }, nowMs)
      for (const [name, { atMs, message }] of [...this.#timers]) {
        if (atMs > nowMs || !this.#timers.delete(name)) continue
        this.handle(message, nowMs)
      }
    }
  }

  #execute (effect: Effect, nowMs: number): void {
    if (effect.kind === 'peer/send') this.sent.push({ kind: (effect as SendPeer).message.kind, atMs: nowMs })
    if (effect.kind === 'timer/clear') this.#timers.delete((effect as unknown as { readonly name: string }).name)
    if (effect.kind !== 'timer/set') return
    const { name, afterMs, message } = effect as unknown as { readonly name: string, readonly afterMs: number, readonly message: AdmissionMessage }
    this.#timers.set(name, { atMs: nowMs + afterMs, message })
  }
}

describe('a lender whose leader is late', () => {
  const lender = TestLender.create()
  lender.run(10_000)
  const countSent = (kind: string, fromMs: number): number => lender.sent.filter(sent => sent.kind === kind && sent.atMs >= fromMs).length

  it('sends no renewal while the last one may still be answered', () => {
    expect(countSent('shares/asked', 0)).to.be.within(9, 11)
  })

  it('asks for one loan at a time, for whichever workspace', () => {
    expect(countSent('shares/wanted', 0)).to.be.at.least(NAMES.length)
    // Loans are answered within 250 ms or not at all.
    expect(countSent('shares/wanted', 5_000)).to.be.within(2, 5_000 / 250)
  })
})

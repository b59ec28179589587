import { expect } from 'chai'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import { parseDocument } from '../documents/document.js'
import type { HostMessage } from '../messages.js'
import { LOAN_MS, MAX_LOAN_MS, TOTAL_PARTS } from '../shares/state.js'
import { decideAdmission } from './decide.js'
import type { AdmissionMessage, LoanWanted } from './messages.js'
import { checkAllowance, createAdmissionShared } from './state.js'
import { STOCK_MS } from './stock.js'

const KEY_HASH = 'ab'.repeat(32)
const LATENCY_MS = 500
const TERM_MS = 800
/** Half of the burst. */
const SHARE_TOKENS = 10
const DOCUMENT = parseDocument(JSON.stringify({
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 20, burst: 20, group: 'a', keys: [{ id: 'k1', sha256: KEY_HASH }] }],
  routes: [{ name: 'slots', access: 'keyed', action: 'read', maxStalenessMs: 0, idempotent: true, latencyMs: LATENCY_MS }]
})).unwrapOr(undefined as never)

/** A host that borrows from one lender, and what it sends and tells. */
class Borrower {
  readonly #slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1' }), decide: decideAdmission, checkItem: checkAllowance })
  readonly asked: LoanWanted[] = []
  readonly decided: HostMessage[] = []

  static create (): Borrower {
    const borrower = new Borrower()
    borrower.handle({ kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document: DOCUMENT }], askedAtMs: Number.MAX_SAFE_INTEGER }, 0)
    borrower.handle({ kind: 'admission/lenders-changed', lenders: ['lender'] }, 0)
    borrower.handle({ kind: 'admission/leader-changed', leader: 'leader', epoch: 1 }, 0)
    return borrower
  }

  handle (message: AdmissionMessage, nowMs: number): void {
    for (const effect of this.#slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })) this.#execute(effect)
  }

  request (caller: string, nowMs: number): void {
    this.handle({ kind: 'admission/check-request', caller, attempt: 1, service: 'rota', workspace: 'parish', keyHash: KEY_HASH, route: 'slots', action: 'read', inTransaction: false }, nowMs)
  }

  expire ({ holder, loan, workspace }: LoanWanted, nowMs: number): void {
    this.handle({ kind: 'admission/loan-overdue', holder, loan, workspace }, nowMs)
  }

  answer ({ holder, loan, workspace, termMs }: LoanWanted, nowMs: number, extra?: number): void {
    this.handle({ kind: 'admission/lent', holder, loan, workspace, tokens: 1, extra, nextMs: 0, termMs }, nowMs)
  }

  #execute (effect: Effect): void {
    if (effect.kind === 'peer/send' && (effect as SendPeer).message.kind === 'admission/loan-wanted') this.asked.push((effect as SendPeer).message as LoanWanted)
    if (effect.kind === 'loop/tell') this.decided.push((effect as Tell<HostMessage>).message)
  }
}

describe('a host whose loans are answered late', () => {
  it('asks for no further loan for a request that has waited too long, and refuses it', () => {
    const borrower = Borrower.create()
    borrower.request('c1', 0)
    borrower.expire(borrower.asked[0]!, LATENCY_MS)
    expect(borrower.asked).to.have.length(1)
    expect(borrower.decided.at(-1)).to.include({ kind: 'requests/failed', caller: 'c1' })
  })

  it('asks again of a lender that answered after the term, for a longer one', () => {
    const borrower = Borrower.create()
    borrower.request('c1', 0)
    borrower.expire(borrower.asked[0]!, LOAN_MS)
    borrower.answer(borrower.asked[0]!, LOAN_MS + 100)
    borrower.request('c2', LOAN_MS + 110)
    expect(borrower.asked.map(({ termMs }) => termMs)).to.deep.equal([undefined, 2 * (LOAN_MS + 100)])
  })

  it('uses an answer that comes within the longer term', () => {
    const borrower = Borrower.create()
    borrower.request('c1', 0)
    borrower.expire(borrower.asked[0]!, LATENCY_MS)
    borrower.request('c2', LATENCY_MS)
    borrower.answer(borrower.asked[1]!, LATENCY_MS + LOAN_MS + 100)
    expect(borrower.decided.at(-1)).to.include({ kind: 'requests/admitted', caller: 'c2' })
  })

  it('uses no answer of a lender that granted no longer term after the shortest one', () => {
    const borrower = Borrower.create()
    borrower.request('c1', 0)
    borrower.expire(borrower.asked[0]!, LATENCY_MS)
    borrower.request('c2', LATENCY_MS)
    borrower.answer({ ...borrower.asked[1]!, termMs: undefined }, LATENCY_MS + LOAN_MS + 100)
    expect(borrower.decided.map(({ kind }) => kind)).not.to.include('requests/admitted')
  })

  it('asks for the shortest term again once answers are fast', () => {
    const borrower = Borrower.create()
    borrower.request('late', 0)
    borrower.answer(borrower.asked[0]!, MAX_LOAN_MS)
    for (let index = 1; index <= 50; index++) {
      borrower.request(`c${index}`, MAX_LOAN_MS + index * 50)
      borrower.answer(borrower.asked.at(-1)!, MAX_LOAN_MS + index * 50 + 5)
    }
    expect(borrower.asked[1]!.termMs).to.equal(MAX_LOAN_MS)
    expect(borrower.asked.at(-1)!.termMs).to.equal(undefined)
  })
})

describe('a lender whose borrowers are short of processor time', () => {
  it('lends no token again while a borrower may still use one of its longer term', () => {
    const slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1' }), decide: decideAdmission, checkItem: checkAllowance })
    const handle = (message: AdmissionMessage, nowMs: number): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })
    const lend = (loan: number, tokens: number, nowMs: number): number => {
      const effects = handle({ kind: 'admission/loan-wanted', from: 'borrower', holder: `holder-${loan}`, loan, workspace: 'rota/parish', tokens, termMs: TERM_MS }, nowMs)
      const answer = effects.map(effect => (effect as SendPeer).message as HostMessage | undefined).find(message => message?.kind === 'admission/lent')
      return answer?.kind === 'admission/lent' ? answer.tokens : 0
    }
    handle({ kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document: DOCUMENT }], askedAtMs: 0 }, 0)
    handle({ kind: 'admission/lenders-changed', lenders: ['h1'] }, 0)
    const asked = [...handle({ kind: 'admission/leader-changed', leader: 'leader', epoch: 1 }, 0), ...handle({ kind: 'admission/ask-due' }, 0)]
    const renewal = asked.map(effect => (effect as SendPeer).message as HostMessage | undefined).find(message => message?.kind === 'shares/asked')
    if (renewal?.kind !== 'shares/asked') throw new Error('no renewal was sent')
    handle({ kind: 'admission/shares-answered', holder: renewal.holder, epoch: 1, round: renewal.round, shares: [{ workspace: 'rota/parish', parts: TOTAL_PARTS / 2, tokens: SHARE_TOKENS }] }, 0)
    expect(lend(1, SHARE_TOKENS, 10)).to.equal(SHARE_TOKENS)
    expect(lend(2, 1, 10 + TERM_MS - 10)).to.equal(0)
    expect(lend(3, 1, 10 + TERM_MS + 500)).to.equal(1)
  })
})

describe('a host whose loan brings tokens for the next requests', () => {
  const listAdmitted = ({ decided }: Borrower): readonly string[] => decided.flatMap(message => (message.kind === 'requests/admitted' ? [message.caller] : []))

  it('gives them first to the requests that came while it was on its way', () => {
    const borrower = Borrower.create()
    for (const caller of ['c1', 'c2', 'c3']) borrower.request(caller, 0)
    borrower.answer(borrower.asked[0]!, 20, 3)
    expect(listAdmitted(borrower)).to.deep.equal(['c1', 'c2', 'c3'])
    expect(borrower.asked).to.have.length(1)
    for (const caller of ['c4', 'c5']) borrower.request(caller, 30)
    expect(listAdmitted(borrower)).to.deep.equal(['c1', 'c2', 'c3', 'c4'])
  })

  it('uses none of them once their time has passed', () => {
    const borrower = Borrower.create()
    borrower.request('c1', 0)
    borrower.expire(borrower.asked[0]!, LOAN_MS)
    borrower.answer(borrower.asked[0]!, 350)
    for (const caller of ['c2', 'c3']) borrower.request(caller, 400)
    borrower.answer(borrower.asked.at(-1)!, 400 + STOCK_MS + 1, 3)
    expect(listAdmitted(borrower)).to.deep.equal(['c2'])
  })
})

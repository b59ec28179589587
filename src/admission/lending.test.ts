import { expect } from 'chai'
import { parseDocument } from '../documents/document.js'
import { LOAN_MS } from '../shares/state.js'
import { createIndex } from './documentindex.js'
import { findLender, findSilence, recordAnswer, recordSilence, updateLends } from './lending.js'
import { createAdmissionShared, type AdmissionShared } from './state.js'

const LENDERS = Array.from({ length: 10 }, (_, index) => `lender-${index}`)
const BORROWERS = Array.from({ length: 40 }, (_, index) => `host-${index}`)
const DOCUMENT = parseDocument(JSON.stringify({
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [['small', 10, 'ab'], ['large', 200, 'cd']].map(([name, rate, digits]) => ({ name, rate, burst: rate, group: 'a', keys: [{ id: 'k1', sha256: String(digits).repeat(32) }] }))
})).unwrapOr(undefined as never)
const at = (monotonicMs: number): { readonly monotonicMs: number, readonly wallMs: number, readonly random: number } => ({ monotonicMs, wallMs: 0, random: 0.5 })

const createShared = (self: string): AdmissionShared => updateLends({ ...createAdmissionShared({ self }), lenders: LENDERS, indexes: new Map([['rota', createIndex(DOCUMENT)]]) })
const find = (self: string, workspace: string): string | undefined => findLender(createShared(self), workspace, at(0))

describe('the lender of a workspace', () => {
  it('is the same for all hosts, unless one lender is too few for its rate', () => {
    const countLenders = (workspace: string): number => new Set(BORROWERS.map(host => find(host, workspace))).size
    expect(countLenders('rota/small')).to.equal(1)
    expect(countLenders('rota/large')).to.equal(4)
  })

  it('is no other host on a lender of the workspace', () => {
    const lenders = LENDERS.filter(host => find(host, 'rota/large') === undefined)
    expect(lenders).to.have.length(4)
    for (const host of lenders) expect(createShared(host).lends.has('rota/large')).to.equal(true)
  })

  it('is the next one while it does not answer, and never the leader', () => {
    const lender = find('host-1', 'rota/small')
    const silent = recordSilence(createShared('host-1'), { holder: 'h', loan: 1, lender, sentAtMs: 0 }, at(LOAN_MS))
    const next = findLender(silent, 'rota/small', at(LOAN_MS))
    expect(LENDERS).to.include(next)
    expect(next).not.to.equal(lender)
    expect(findLender(silent, 'rota/small', at(LOAN_MS + 500))).to.equal(lender)
    expect(findLender(recordAnswer(silent, { holder: 'h', loan: 2, lender, sentAtMs: 0 }), 'rota/small', at(LOAN_MS))).to.equal(lender)
  })

  it('is asked ever more rarely while it does not answer', () => {
    let shared = createShared('host-1')
    const pauses = [1, 2, 3, 4, 5, 6].map(count => {
      shared = recordSilence(shared, { holder: 'h', loan: count, lender: 'lender-1', sentAtMs: 0 }, at(LOAN_MS))
      return findSilence(shared, 'lender-1')!.untilMs - LOAN_MS
    })
    expect(pauses).to.deep.equal([375, 750, 1_500, 3_000, 3_000, 3_000])
  })

  it('is not passed over when the host itself was late, so that its answer may wait', () => {
    const lender = find('host-1', 'rota/small')
    const shared = recordSilence(createShared('host-1'), { holder: 'h', loan: 1, lender, sentAtMs: 0 }, at(4 * LOAN_MS))
    expect(findLender(shared, 'rota/small', at(4 * LOAN_MS))).to.equal(lender)
  })

  it('is one of all while none answers', () => {
    const shared = LENDERS.reduce((known, lender) => recordSilence(known, { holder: 'h', loan: 1, lender, sentAtMs: 0 }, at(LOAN_MS)), createShared('host-1'))
    expect(findLender(shared, 'rota/small', at(LOAN_MS))).to.equal(find('host-1', 'rota/small'))
  })
})

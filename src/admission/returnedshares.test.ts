import { expect } from 'chai'
import type { Effect, SendPeer } from '../core/message.js'
import { StoreSlice } from '../core/store.js'
import { parseDocument } from '../documents/document.js'
import { TOTAL_PARTS } from '../shares/state.js'
import { decideAdmission } from './decide.js'
import type { AdmissionMessage } from './messages.js'
import { checkAllowance, createAdmissionShared } from './state.js'

const WORKSPACE = 'rota/parish'
const DOCUMENT = parseDocument(JSON.stringify({
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 20, burst: 20, group: 'a', keys: [{ id: 'k1', sha256: 'ab'.repeat(32) }] }]
})).unwrapOr(undefined as never)

describe('a host that ceases to lend', () => {
  it('confirms that it holds nothing once what it lent can no longer be used', () => {
    const slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1' }), decide: decideAdmission, checkItem: checkAllowance })
    const take = (message: AdmissionMessage, nowMs: number): readonly Effect[] => slice.handle(message, { monotonicMs: nowMs, wallMs: 0, random: 0.5 })
    // Returns what the host sends to the leader.
    const renew = (nowMs: number): ReadonlyArray<{ readonly holder: string, readonly round: number, readonly applied: number }> => take({ kind: 'admission/ask-due' }, nowMs)
      .filter((effect): effect is SendPeer => effect.kind === 'peer/send').map(({ message }) => message as unknown as { readonly holder: string, readonly round: number, readonly applied: number })
    take({ kind: 'admission/documents-confirmed', documents: [{ kind: 'document', service: 'rota', version: 1, document: DOCUMENT }], askedAtMs: 1_000 }, 1_000)
    take({ kind: 'admission/lenders-changed', lenders: ['h1'] }, 1_000)
    take({ kind: 'admission/leader-changed', leader: 'leader', epoch: 1 }, 1_000)
    const [first] = renew(1_010)
    take({ kind: 'admission/shares-answered', holder: first!.holder, epoch: 1, round: first!.round, shares: [{ workspace: WORKSPACE, parts: TOTAL_PARTS / 2, tokens: 10 }] }, 1_020)
    take({ kind: 'admission/loan-wanted', from: 'h2', holder: 'b', loan: 1, workspace: WORKSPACE, tokens: 6 }, 1_500)
    take({ kind: 'admission/lenders-changed', lenders: ['h3'] }, 1_510)
    const [second] = renew(1_520)
    take({ kind: 'admission/shares-answered', holder: first!.holder, epoch: 1, round: second!.round, shares: [{ workspace: WORKSPACE, parts: 0 }] }, 1_530)
    expect(renew(1_600)).to.deep.equal([])
    expect(renew(1_800)).to.have.length(1)
  })
})

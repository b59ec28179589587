import { expect } from 'chai'
import type { RecordEvent } from '../core/message.js'
import { createAgreementState, decideAgreement, describeMemberChange, type AgreementState } from './decide.js'

const SELF = { host: 'h1', incarnation: 'a' }
const TICKED_AT_MS = 10_000

// A leader whose followers last answered a message of 100 ms before its last tick.
function createLeader (): AgreementState {
  const progress = new Map(['h2', 'h3'].map(host => [`${host}/b`, { host, incarnation: 'b', matched: 1, nextIndex: 2, contactAtMs: TICKED_AT_MS - 100, leaseUntilMs: TICKED_AT_MS + 300 }]))
  const state = createAgreementState()
  return {
    ...state,
    self: SELF.host,
    incarnation: SELF.incarnation,
    role: 'leader',
    leader: SELF.host,
    hardState: { group: SELF.incarnation, term: 3 },
    log: { ...state.log, configuration: { members: { h1: 'a', h2: 'b', h3: 'b' } } },
    leaderState: { progress, firstIndex: 1, established: true, proposals: new Map(), electedAtMs: 0, heartbeatAtMs: TICKED_AT_MS, heartbeatCommitted: 1 },
    tickedAtMs: TICKED_AT_MS
  }
}

describe('the event of a changed control group', () => {
  it('says that a host lost its disk only when its incarnation changed', () => {
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'c', h2: 'b' })).to.equal('Control host h1 counts again under a new incarnation: it had lost its disk.')
  })

  it('names both hosts of a replacement, and hosts that were added or removed alone', () => {
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'a', h3: 'c' })).to.equal('Control host h2 is replaced by h3.')
    expect(describeMemberChange({ h1: 'a' }, { h1: 'a', h3: 'c' })).to.equal('Control host h3 is added.')
    expect(describeMemberChange({ h1: 'a', h2: 'b' }, { h1: 'a' })).to.equal('Control host h2 is removed.')
  })
})

describe('the event of a leader that ends', () => {
  it('says when its lease ended, and how late its loop was', () => {
    const { effects } = decideAgreement(createLeader(), { kind: 'agreement/tick' }, { monotonicMs: TICKED_AT_MS + 1_050, wallMs: 0, random: 0.5 })
    const event = effects.find((effect): effect is RecordEvent => effect.kind === 'timeline/record' && effect.event === 'leader-ended')
    expect(event?.text).to.equal('Host h1 no longer leads the control hosts: its lease ended 750 ms ago without answers of a majority; its loop was 1000 ms late.')
  })
})

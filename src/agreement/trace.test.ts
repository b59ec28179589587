import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import { DecidingSlice } from '../core/slice.js'
import type { Effect, SendPeer, Tell } from '../core/message.js'
import { decodeTrace, hashEffects, replayTrace } from '../core/trace.js'
import { createAgreementState, decideAgreement } from './decide.js'
import type { VoteRequest } from './replica.js'

const EXPECTED = {
  digest: '2cd692c589979d1ef60ca4e8420cf787d515bd90f430aea957e5ffc58c2dd2ca',
  services: ['before', 'after'],
  log: { term: 3, committed: 6 }
}

// The trace was recorded before these four messages and the vote requests of a cold start existed. All other
// effects must be the same.
const ADDED_AFTER_RECORDING = ['succession/leadership', 'shares/registered', 'membership/remembered', 'evacuation/leadership']
const isInRecording = (effect: Effect): boolean => {
  if (effect.kind === 'peer/send') return (effect as SendPeer<VoteRequest>).message.cold !== true
  return effect.kind !== 'loop/tell' || !ADDED_AFTER_RECORDING.includes((effect as Tell).message.kind)
}

describe('a recorded trace of the agreement slice', () => {
  it('replays a restart, a kill of the leader and two documents to the same effects, twice', () => {
    const steps = decodeTrace(readFileSync(new URL('testdata/failover.trace', import.meta.url), 'utf8'))
    const replay = (): { readonly digest: string, readonly state: ReturnType<typeof createAgreementState> } => {
      const slice = DecidingSlice.create({ name: 'agreement', initial: createAgreementState(), decide: decideAgreement })
      return { digest: hashEffects(replayTrace(slice, steps).filter(isInRecording)), state: slice.state }
    }
    const first = replay()
    expect(replay().digest).to.equal(first.digest)
    expect(first.digest).to.equal(EXPECTED.digest)
    expect(Object.keys(first.state.applied.documents.services)).to.deep.equal(EXPECTED.services)
    expect({ term: first.state.hardState.term, committed: first.state.committed }).to.deep.equal(EXPECTED.log)
  })
})

/** Guards against replicas that stay paused, so that no write is acknowledged any more (docs/incidents/replicas-that-stay-paused.md). */
import { expect } from 'chai'
import { TestLeader } from './support/testleader.js'

const MAX_TRIES = 4

describe('replicas that were paused for an appointment', () => {
  let leader: TestLeader

  const failAppointment = (): void => {
    leader.silent.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(1_500)
    expect(leader.calls).to.have.length(1)
    leader.silent.clear()
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      leader.answer('unanswered')
      leader.run(500)
    }
  }
  const expectReceiving = (): void => { expect(leader.heldTerms).to.deep.equal([0, 0, 0]) }

  beforeEach(() => {
    leader = TestLeader.create()
  })

  it('receive again once it has failed and the primary is back', () => {
    failAppointment()
    leader.run(3_000)
    expectReceiving()
  })

  it('receive again under a leader that did not pause them', () => {
    failAppointment()
    leader.lead()
    leader.run(5_000)
    expectReceiving()
  })

  it('are told again when the order to receive is lost', () => {
    leader.lostResumes = 4
    failAppointment()
    leader.run(10_000)
    expectReceiving()
  })
})

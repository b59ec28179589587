/** Guards against commits under a primary that an earlier call to the platform still replaces (docs/incidents/late-promotion-calls.md). */
import { expect } from 'chai'
import type { GrantEntry } from '../membership/directory.js'
import { TestLeader } from './support/testleader.js'

const MAX_TRIES = 4
const SETTLES_MS = 2_500

describe('a primary that is back after another database was appointed, where a replica\'s copy acknowledges a write', () => {
  let leader: TestLeader

  const isOpen = ({ primary, closing }: GrantEntry): boolean => primary === 'db-0' && closing !== true

  beforeEach(() => {
    leader = TestLeader.create()
    leader.silent.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(1_500)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
    leader.silent.clear()
    leader.grants.length = 0
  })

  it('stays closed after calls without an answer, until the platform has taken a later call for it', () => {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      leader.answer('unanswered')
      leader.run(500)
    }
    const [last] = leader.calls.slice(-1)
    expect(last).to.include({ database: 'db-0', appointment: 2 })
    expect(last!.fence).to.be.greaterThan(leader.calls[0]!.fence)
    leader.answer('done')
    leader.run(SETTLES_MS - 100)
    expect(leader.grants.some(isOpen)).to.equal(false)
    leader.run(200)
    expect(leader.grants.at(-1)).to.satisfy(isOpen)
    expect(leader.calls.filter(({ database }) => database === 'db-0')).to.have.length(1)
  })

  it('is not opened again while its successor was accepted late and does not lead yet', () => {
    leader.answer('unanswered')
    leader.run(4_000)
    leader.answer('done')
    leader.run(1_000)
    expect(leader.grants.some(isOpen)).to.equal(false)
  })

  it('stays closed under the next leader as well', () => {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      leader.answer('unanswered')
      leader.run(tries === MAX_TRIES - 1 ? 0 : 500)
    }
    leader.lead()
    leader.run(3_000)
    expect(leader.grants.some(isOpen)).to.equal(false)
    expect(leader.calls.at(-1)).to.include({ database: 'db-0' })
  })

  it('is opened again in time although it departs, while none can take over', () => {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      leader.answer('unanswered')
      leader.run(500)
    }
    leader.answer('done')
    leader.departing.add(0)
    leader.offsets.fill(40, 1)
    leader.unreached.add(1).add(2)
    leader.run(10_000)
    expect(leader.grants.some(isOpen)).to.equal(true)
  })

  it('is not confirmed if another database has led since, which has ended after an appointment that failed', () => {
    leader.silent.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(2_000)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
    leader.answer('done')
    leader.primary = 1
    leader.silent.delete(0)
    leader.terms.fill(2)
    leader.offsets.splice(1, 2, 60, 60)
    leader.writes = { group: 'g', phase: 'open' }
    leader.run(5_000)
    leader.departing.add(1)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 2, offset: 60 } }
    leader.run(300)
    leader.answer('refused')
    leader.withdraw(1)
    leader.run(3_000)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1', 'db-2', 'db-2'])
  })
})

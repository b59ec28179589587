/** Guards against a database that is promoted while hosts commit at the former primary (docs/incidents/commits-during-a-change-of-primary.md). */
import { expect } from 'chai'
import type { WriteReport } from '../membership/directory.js'
import { TestLeader } from './support/testleader.js'
import { COMMIT_LEASE_EXPIRY_MS } from './writers.js'

const CLOSED: WriteReport = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }

describe('the replacement of a primary whose writes a replica\'s copy acknowledges', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = TestLeader.create()
    leader.departing.add(0)
  })

  it('closes it for writes, and appoints none before the last host has stopped committing', () => {
    leader.run(1_000)
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0', closing: true, leased: true })
    leader.writes = { ...CLOSED, phase: 'closing' }
    leader.run(1_000)
    expect(leader.calls).to.deep.equal([])
    leader.writes = CLOSED
    leader.run(200)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })

  it('waits until the commit lease of a silent host has ended', () => {
    leader.writes = undefined
    leader.run(COMMIT_LEASE_EXPIRY_MS - 50)
    expect(leader.calls).to.deep.equal([])
    leader.run(500)
    expect(leader.calls).to.have.length(1)
  })

  it('goes by the last heartbeat of a host, whichever arrives last', () => {
    leader.run(100)
    leader.writes = undefined
    leader.report(CLOSED, 1)
    leader.run(500)
    expect(leader.calls).to.deep.equal([])
  })

  it('goes on once its appointment is proposed, even if the primary stays after all', () => {
    leader.commitsProposals = false
    leader.writes = CLOSED
    leader.run(500)
    leader.departing.clear()
    leader.run(500)
    expect(leader.grants.at(-1)).to.deep.include({ closing: true })
    leader.commitsProposals = true
    leader.run(1_500)
    leader.answer('done')
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-1' }).and.not.to.have.property('closing')
  })

  it('opens it again where no other database can take over', () => {
    leader.offsets.fill(40, 1)
    leader.report(leader.writes)
    leader.silent.add(1).add(2)
    leader.writes = CLOSED
    leader.run(3_500)
    expect(leader.grants.at(-1)).to.not.have.property('closing')
    expect(leader.calls).to.deep.equal([])
  })
})

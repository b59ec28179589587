/** Guards against a replica that is taken for down, since this system does not reach it (docs/incidents/replicas-cut-off-from-the-system.md). */
import { expect } from 'chai'
import { TestLeader } from './support/testleader.js'

const SILENT_MS = 5_000

describe('a replica that the system does not reach, and that may hold what was acknowledged', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = TestLeader.create()
    leader.silent.add(2)
  })

  it('is awaited, however long it has been silent, while no other one covers the last acknowledged commit', () => {
    leader.run(SILENT_MS)
    leader.offsets.splice(0, 2, 49, 49)
    leader.run(100)
    leader.silent.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(10_000)
    expect(leader.calls).to.deep.equal([])
    expect(leader.events).to.include('replacement-waits')
    leader.silent.delete(2)
    leader.run(1_000)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-2'])
  })

  it('does not hold up a change of primary in which another one covers all that was acknowledged', () => {
    leader.departing.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(200)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })

  it('is awaited although another one knows a later term, whose log it has not received', () => {
    leader.run(SILENT_MS)
    leader.offsets[1] = 40
    leader.terms[1] = 2
    leader.departing.add(0)
    leader.writes = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
    leader.run(2_000)
    expect(leader.calls).to.deep.equal([])
  })

  it('is awaited once it is not known what was acknowledged, since the owner is lost with the primary', () => {
    leader.run(SILENT_MS)
    leader.silent.add(0)
    leader.writes = undefined
    leader.run(10_000)
    expect(leader.calls).to.deep.equal([])
  })

  it('is not awaited if the primary was read after the lease of a lost owner had ended', () => {
    leader.writes = undefined
    leader.run(SILENT_MS)
    leader.silent.add(0)
    leader.run(1_500)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })

  it('is not awaited for ever where the appointed primary answers and never led, so that it tells what it holds', () => {
    leader.run(SILENT_MS)
    leader.lead()
    leader.proves = false
    leader.writes = undefined
    leader.run(10_000)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })
})

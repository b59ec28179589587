/** Guards against a replica that has left with the only copy of what was acknowledged (docs/incidents/departed-replicas.md). */
import { expect } from 'chai'
import type { WriteReport } from '../membership/directory.js'
import { TestLeader } from './support/testleader.js'

const CLOSED: WriteReport = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
/** Longer than a primary without a successor stays closed, and shorter than the pause until the next try. */
const REOPENED_MS = 4_000

describe('a group whose replica has left with the only copy of what was acknowledged', () => {
  let leader: TestLeader

  beforeEach(() => {
    leader = TestLeader.create()
    leader.offsets[1] = 40
    leader.run(100)
    leader.departing.add(2)
    leader.run(100)
    leader.withdraw(2)
  })

  it('keeps its departing primary, which is open again, until a replica has caught up', () => {
    leader.departing.add(0)
    leader.writes = CLOSED
    leader.run(REOPENED_MS)
    expect(leader.calls).to.deep.equal([])
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0' }).and.not.to.have.property('closing')
    leader.offsets[1] = 50
    leader.run(3_000)
    expect(leader.calls.map(({ database }) => database)).to.deep.equal(['db-1'])
  })

  it('waits for its primary that is down, and names what it waits for', () => {
    leader.silent.add(0)
    leader.writes = CLOSED
    leader.run(10_000)
    expect(leader.calls).to.deep.equal([])
    expect(leader.events).to.include('replacement-waits')
    leader.silent.delete(0)
    leader.run(500)
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0' }).and.not.to.have.property('closing')
  })

  it('closes a primary that has withdrawn itself, since hosts may not have heard of it', () => {
    leader.withdraw(0)
    leader.run(200)
    expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0', closing: true })
    expect(leader.calls).to.deep.equal([])
  })

  it('is not held up by a commit that was under way as the last one was acknowledged, which its lost primary alone holds', () => {
    leader = TestLeader.create()
    leader.offsets.splice(1, 2, 49, 49)
    leader.run(100)
    leader.lose(0)
    leader.writes = { ...CLOSED, copied: { term: 1, offset: 48 } }
    leader.run(3_000)
    expect(leader.calls).to.have.length(1)
  })

  it('waits where replicas hold less than what was copied to one of them', () => {
    leader = TestLeader.create()
    leader.offsets.splice(1, 2, 47, 47)
    leader.run(100)
    leader.lose(0)
    leader.writes = { ...CLOSED, copied: { term: 1, offset: 48 } }
    leader.run(10_000)
    expect(leader.calls).to.deep.equal([])
  })
})

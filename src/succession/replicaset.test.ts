/** Guards against a leader that does not know of a database that may hold what was acknowledged (docs/incidents/forgotten-replicas.md). */
import { expect } from 'chai'
import type { WriteReport } from '../membership/directory.js'
import { TestLeader } from './support/testleader.js'
import { COMMIT_LEASE_EXPIRY_MS } from './writers.js'

const CLOSED: WriteReport = { group: 'g', phase: 'closed', acknowledged: { term: 1, offset: 50 } }
/** Longer than hosts need to report to a new leader. */
const REPORTED_MS = 300
/** The time that the platform allows for recovery. */
const RECOVERY_MS = 12_000
/** Longer than a replica that has left may still receive, and the next probes. */
const COVERED_MS = 4_000

describe('the replica set of a group whose writes a replica\'s copy acknowledges', () => {
  let leader: TestLeader
  const listCalls = (): readonly string[] => leader.calls.map(({ database }) => database)

  // Nothing is known of what was acknowledged: the owner is lost with the primary.
  const losePrimary = (): void => {
    leader.lose(0)
    leader.writes = undefined
  }

  beforeEach(() => {
    leader = TestLeader.create()
  })

  describe('while the only other copy is out of reach', () => {
    beforeEach(() => {
      leader.offsets[1] = 40
      leader.run(100)
    })

    it('names a lost replica to a leader that begins seconds later, which waits', () => {
      leader.lose(2)
      leader.run(3_000)
      leader.lead()
      losePrimary()
      leader.run(RECOVERY_MS)
      expect(listCalls()).to.deep.equal([])
      expect(leader.awaited.at(-1)).to.include('db-0').and.to.include('db-2')
      leader.lost.delete(2)
      leader.silent.delete(2)
      leader.run(1_000)
      expect(listCalls()).to.deep.equal(['db-2'])
    })

    it('names it as well if the primary is back, which goes on', () => {
      leader.lose(2)
      leader.run(3_000)
      leader.lead()
      losePrimary()
      leader.run(5_000)
      leader.lost.delete(0)
      leader.silent.delete(0)
      leader.writes = { group: 'g', phase: 'open' }
      leader.run(500)
      expect(listCalls()).to.deep.equal([])
      expect(leader.grants.at(-1)).to.deep.include({ primary: 'db-0' }).and.not.to.have.property('closing')
    })

    for (const leads of ['the same leader', 'a leader that begins afterwards']) {
      it(`keeps a replica that has left, for ${leads}, until the next database at its address has its log`, () => {
        leader.withdraw(2)
        leader.run(100)
        if (leads !== 'the same leader') leader.lead()
        losePrimary()
        leader.run(RECOVERY_MS)
        expect(listCalls()).to.deep.equal([])
        expect(leader.awaited.at(-1)).to.include('the database that takes over the log of db-2 at 10.0.0.2')
        leader.replace(2)
        leader.run(1_000)
        expect(listCalls()).to.deep.equal(['db-3'])
      })
    }

    it('is given up once no replica\'s copy is required, by which an operator accepts the loss', () => {
      leader.lose(2)
      leader.run(3_000)
      losePrimary()
      leader.run(RECOVERY_MS)
      expect(listCalls()).to.deep.equal([])
      leader.requireCopies(0)
      leader.run(500)
      expect(listCalls()).to.deep.equal(['db-1'])
    })
  })

  it('drops a replica that has left and is covered, so that the loss of the primary ends within the time for recovery', () => {
    leader.withdraw(2)
    leader.run(COVERED_MS)
    leader.lead()
    losePrimary()
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal(['db-1'])
  })

  it('drops it under steady writes, although a replica is always a little behind', () => {
    leader.withdraw(2)
    for (let offset = 51; offset < 91; offset++) {
      leader.offsets[0] = offset
      leader.offsets[1] = offset - 1
      leader.run(100)
    }
    leader.lead()
    losePrimary()
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal(['db-1'])
  })

  it('does not hold a group up whose replica is gone for good, once the new leader has read the primary', () => {
    leader.lose(2)
    leader.run(3_000)
    leader.lead()
    leader.run(COMMIT_LEASE_EXPIRY_MS + 1_000)
    leader.lose(0)
    leader.writes = CLOSED
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal(['db-1'])
  })

  it('does not hold it up either if the primary is lost as the leader changes, since the hosts say what they acknowledged', () => {
    leader.lose(2)
    leader.run(3_000)
    leader.lead()
    leader.lose(0)
    leader.writes = CLOSED
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal(['db-1'])
  })

  it('lets the database lead that has the log of a primary which left, although what others held is unknown', () => {
    leader.lose(1)
    leader.lose(2)
    leader.run(100)
    leader.departing.add(0)
    leader.run(100)
    leader.withdraw(0)
    leader.writes = undefined
    leader.run(500)
    leader.lead()
    leader.run(8_000)
    expect(listCalls()).to.deep.equal([])
    leader.replace(0)
    leader.run(1_000)
    expect(listCalls()).to.deep.equal(['db-3'])
  })

  it('takes no database for one with a transferred log that holds less, since it started again before it was heard of', () => {
    leader.lose(1)
    leader.lose(2)
    leader.run(100)
    leader.withdraw(0)
    leader.writes = undefined
    leader.replace(0)
    leader.offsets[3] = 0
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal([])
  })

  it('names the processes that may commit to hosts once the log does, and one that was silent anew', () => {
    expect(leader.grants.at(-1)?.writers).to.include('owner/p1')
    leader.writes = undefined
    leader.run(COMMIT_LEASE_EXPIRY_MS + 1_000)
    expect(leader.grants.at(-1)?.writers).to.not.include('owner/p1')
    leader.commitsProposals = false
    leader.writes = { group: 'g', phase: 'open' }
    leader.run(500)
    expect(leader.grants.at(-1)?.writers).to.not.include('owner/p1')
    leader.commitsProposals = true
    leader.run(1_500)
    expect(leader.grants.at(-1)?.writers).to.include('owner/p1')
  })

  it('holds up neither of two planned departures in turn', () => {
    leader.withdraw(2)
    leader.run(REPORTED_MS)
    leader.departing.add(0)
    leader.writes = CLOSED
    leader.run(200)
    expect(listCalls()).to.deep.equal(['db-1'])
  })

  it('lets a database lead that was appointed, and started again before it led, if it alone holds what was acknowledged', () => {
    leader.offsets[1] = 40
    leader.run(100)
    leader.withdraw(2)
    leader.proves = false
    leader.writes = CLOSED
    leader.run(RECOVERY_MS)
    expect(listCalls()).to.deep.equal(['db-0'])
  })
})

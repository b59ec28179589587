import { expect } from 'chai'
import type { WriteLog } from '../core/message.js'
import { decideMembership } from './decide.js'
import { listEntries, type DatabaseEntry, type HostEntry } from './directory.js'
import { findEntryErrors } from './entry.js'
import type { MembershipMessage } from './messages.js'
import { createMembershipState, type MembershipState } from './state.js'

const MOMENT = { monotonicMs: 0, wallMs: 0, random: 0 }
const HOST: HostEntry = { kind: 'host', host: 'host-1', incarnation: '1', failureDomain: 'east', peers: '', draining: false }
const ENTRY: DatabaseEntry = { kind: 'database', database: 'a1', group: 'a', failureDomain: 'east', address: '10.0.0.1:5432', slots: 3, connectionLimit: 9, departing: false }
const UNREACHABLE: DatabaseEntry = { ...ENTRY, database: 'a2', address: '10.0.0.1:99999' }

const run = (messages: readonly MembershipMessage[]): MembershipState => messages.reduce((state, message) => decideMembership(state, message, MOMENT).state, createMembershipState())

describe('an announced database', () => {
  it('is invalid with each value that a driver, a line or an object cannot hold', () => {
    expect(findEntryErrors(ENTRY)).to.deep.equal([])
    expect(findEntryErrors(UNREACHABLE)).to.deep.equal(['address: Expected an IP address and a port from 1 to 65535'])
    for (const change of [{ address: 'a1:5432' }, { address: '10.0.0.1:1.5' }, { slots: 0 }, { slots: 1e300 }, { connectionLimit: -1 }, { group: 'constructor' }, { group: 'a b' }, { database: 'a\r\n' }, { failureDomain: '' }]) {
      expect(findEntryErrors({ ...ENTRY, ...change }), JSON.stringify(change)).to.have.length(1)
    }
  })

  it('is ignored with a log line if it is invalid', () => {
    const { state, effects } = decideMembership(createMembershipState(), { kind: 'membership/announced', entry: UNREACHABLE, term: 0, primary: false }, MOMENT)
    expect(state.announcements.size).to.equal(0)
    expect((effects[0] as WriteLog).fields).to.deep.equal({ errors: ['address: Expected an IP address and a port from 1 to 65535'] })
  })

  it('enters no directory from the log or from another host if it is invalid', () => {
    const leading: readonly MembershipMessage[] = [
      { kind: 'membership/started', self: HOST, control: ['host-1'] },
      { kind: 'membership/remembered', databases: { a1: ENTRY, a2: UNREACHABLE } },
      { kind: 'membership/leader-changed', leader: 'host-1', epoch: 4 }
    ]
    expect(listEntries(run(leading).leaderState!.directory, 'database')).to.deep.equal([ENTRY])
    const reported = run([...leading, { kind: 'membership/beat', round: 1, self: HOST, revision: { epoch: 4, count: 0 }, databases: [{ ...UNREACHABLE, database: 'a3' }], statuses: [] }])
    expect(listEntries(reported.leaderState!.directory, 'database')).to.deep.equal([ENTRY])
  })
})

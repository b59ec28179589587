/** Guards against a paused replica whose status is never read, since it answers requests (docs/incidents/replicas-that-stay-paused.md). */
import { expect } from 'chai'
import { decideMembership } from './decide.js'
import { createDirectory, putEntry, type DatabaseEntry, type GrantEntry } from './directory.js'
import { createMembershipState, DEFAULT_MEMBERSHIP_TIMING, type MembershipState } from './state.js'

const ENTRY: DatabaseEntry = { kind: 'database', database: 'a2', group: 'a', failureDomain: 'f', address: 'x', slots: 2, connectionLimit: 2, departing: false }
const GRANT: GrantEntry = { kind: 'grant', group: 'a', term: 1, primary: 'a1', members: [] }
const NOW_MS = 10_000

describe('a replica that answers requests', () => {
  const probe = (grant: GrantEntry, readAtMs: number): readonly string[] => {
    const status = { database: 'a2', answering: true, primary: false, position: { term: 1, offset: 4 }, fencedTerm: 0 }
    const state: MembershipState = {
      ...createMembershipState({ ...DEFAULT_MEMBERSHIP_TIMING, replicaQuietMs: 5_000 }),
      directory: putEntry(createDirectory(1), grant),
      ownedDatabases: new Map([['a2', ENTRY]]),
      statuses: new Map([['a2', { status, askedAtMs: NOW_MS, readAtMs, silentMs: 0 }]])
    }
    return decideMembership(state, { kind: 'membership/probe-due' }, { monotonicMs: NOW_MS, wallMs: 0, random: 0 }).effects.map(({ kind }) => kind)
  }

  it('is asked for its status each second where hosts need a lease to commit, and otherwise not at all', () => {
    expect(probe({ ...GRANT, leased: true }, NOW_MS - 1_000)).to.include('database/probe')
    expect(probe({ ...GRANT, leased: true }, NOW_MS - 900)).to.not.include('database/probe')
    expect(probe(GRANT, NOW_MS - 60_000)).to.not.include('database/probe')
  })
})

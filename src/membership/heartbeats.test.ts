/** Heartbeats: how a host applies the leader's answers. */
import { expect } from 'chai'
import type { Effect, Moment, SetTimer } from '../core/message.js'
import { decideMembership } from './decide.js'
import { getEntryKey, type DirectoryEntry, type GrantEntry, type HostEntry } from './directory.js'
import type { MembershipMessage } from './messages.js'
import { createMembershipState, type MembershipState } from './state.js'

const SELF: HostEntry = { kind: 'host', host: 'host-2', incarnation: '1', failureDomain: 'east', peers: '', draining: false }
const createMoment = (monotonicMs: number): Moment => ({ monotonicMs, wallMs: 0, random: 0 })
const createGrant = (term: number): GrantEntry => ({ kind: 'grant', group: 'g', term, primary: 'db-1', members: ['db-1'] })

const run = (messages: readonly MembershipMessage[]): MembershipState =>
  messages.reduce((state, message, index) => decideMembership(state, message, createMoment(index * 10)).state, createMembershipState())

const createAnswer = (round: number, epoch: number, count: number): MembershipMessage => ({
  kind: 'membership/beat-answered',
  from: 'host-1',
  round,
  revision: { epoch, count },
  changes: [{ key: 'grant/g', count, entry: createGrant(count) }]
})

describe('heartbeats', () => {
  const start: MembershipMessage = { kind: 'membership/started', self: SELF, control: ['host-1'] }
  const heartbeat: MembershipMessage = { kind: 'membership/beat-due' }

  it('reveal the leader by its answer when no other control host knows it', () => {
    const state = run([start, heartbeat, createAnswer(1, 3, 1)])
    expect(state).to.include({ leader: 'host-1', epoch: 3 })
    expect(state.directory.revision).to.deep.equal({ epoch: 3, count: 1 })
  })

  it('keep the connection limit of an owned database while a new leader has not named its document', () => {
    const database = { kind: 'database', database: 'db-1', group: 'g', failureDomain: 'east', address: '', slots: 3, connectionLimit: 0, departing: false } as const
    const document = { kind: 'document', service: 's', version: 1, document: { service: 's', owners: ['ana'], authorityLeaseMs: 2_000, groups: [{ name: 'g', databases: 1, connections: 40 }], workspaces: [], routes: [] } } as const
    const createDirectoryAnswer = (round: number, epoch: number, entries: readonly DirectoryEntry[]): MembershipMessage =>
      ({ kind: 'membership/beat-answered', from: 'host-1', round, revision: { epoch, count: entries.length }, changes: entries.map((entry, index) => ({ key: getEntryKey(entry), count: index + 1, entry })) })
    const first = createDirectoryAnswer(1, 3, [SELF, database, document])
    expect(run([start, heartbeat, first]).ownedDatabases.get('db-1')?.connectionLimit).to.equal(40)
    expect(run([start, heartbeat, first, heartbeat, createDirectoryAnswer(2, 4, [SELF, database])]).ownedDatabases.get('db-1')?.connectionLimit).to.equal(40)
  })

  it('follow soon after a host of a large fleet became an owner, since the leader waits for its first report', () => {
    const createHost = (index: number): HostEntry => ({ ...SELF, host: `host-${index}`, failureDomain: 'west', control: index < 3, apart: index < 3 })
    const hosts = [SELF, ...Array.from({ length: 120 }, (_, index) => createHost(index + 10)), ...[0, 1].map(createHost)]
    const database = { kind: 'database', database: 'db-1', group: 'g', failureDomain: 'east', address: '', slots: 3, connectionLimit: 9, departing: false } as const
    const createDirectoryAnswer = (round: number, entries: readonly DirectoryEntry[]): MembershipMessage =>
      ({ kind: 'membership/beat-answered', from: 'host-1', round, revision: { epoch: 3, count: round }, changes: entries.map(entry => ({ key: getEntryKey(entry), count: round, entry })) })
    const readTimer = (effects: readonly Effect[]): number | undefined => effects.find((effect): effect is SetTimer => effect.kind === 'timer/set' && (effect as SetTimer).name === 'membership/beat')?.afterMs
    const quiet = run([start, heartbeat, createDirectoryAnswer(1, hosts)])
    const sent = decideMembership(quiet, heartbeat, createMoment(40))
    expect(readTimer(sent.effects)).to.equal(300)
    expect(readTimer(decideMembership(sent.state, createDirectoryAnswer(2, [database]), createMoment(50)).effects)).to.equal(100)
  })

  it('keep the newer directory when an earlier answer arrives late', () => {
    const state = run([start, heartbeat, heartbeat, createAnswer(2, 3, 5), createAnswer(1, 3, 4)])
    expect(state.directory.revision.count).to.equal(5)
    expect(state.directory.changes.get('grant/g')?.entry).to.deep.equal(createGrant(5))
  })
})

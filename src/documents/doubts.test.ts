import { expect } from 'chai'
import { compareDocuments } from './compare.js'
import { parseDocument, type ServiceDocument } from './document.js'
import { findDoubts } from './doubts.js'

const hash = (digits: string): string => digits.repeat(32)
const GROUP = { name: 'a', databases: 3 }
const WORKSPACE = { name: 'parish', rate: 10, burst: 10, group: 'a', keys: [{ id: 'k1', sha256: hash('ab') }] }
const ROUTE = { name: 'views', action: 'read', maxStalenessMs: 1_500, latencyMs: 500, timeoutMs: 2_000 }
const create = (change: object = {}): ServiceDocument =>
  parseDocument(JSON.stringify({ service: 'rota', owners: ['ana'], groups: [GROUP], workspaces: [WORKSPACE], routes: [ROUTE], ...change })).unwrapOr(undefined as never)
const listDoubts = (change: object): readonly string[] => findDoubts(create(change)).map(({ path, text }) => `${path.join('.')}: ${text}`)

describe('doubts about a document', () => {
  it('are none about one whose entries all match', () => {
    expect(listDoubts({})).to.deep.equal([])
  })

  it('name entries that no request can match, with their place', () => {
    expect(listDoubts({ groups: [GROUP, { name: 'b', databases: 1 }] })).to.deep.equal(['groups.1: No route leads to group b: add one, or remove the group.'])
    expect(listDoubts({ workspaces: [WORKSPACE, { ...WORKSPACE, name: 'school', keys: [] }] })[0]).to.include('workspaces.1: Workspace school has no key')
    expect(listDoubts({ workspaces: [{ ...WORKSPACE, keys: [] }] }).join()).to.include('Route views requires a key, and no workspace has one')
    expect(listDoubts({ routes: [{ ...ROUTE, access: 'open', group: 'a' }] })[0]).to.include('No route requires a key')
    expect(listDoubts({ workspaces: [{ ...WORKSPACE, homes: ['east'] }], routes: [{ ...ROUTE, homes: ['west'] }] })[0]).to.include('no home in common')
  })

  it('name limits that contradict each other, with their place', () => {
    expect(listDoubts({ routes: [{ ...ROUTE, timeoutMs: 400 }] })).to.deep.equal(['routes.0.timeoutMs: A statement of route views ends after 400 ms, before its latency target of 500 ms.'])
    expect(listDoubts({ routes: [{ ...ROUTE, action: 'write' }] })[0]).to.include('routes.0.maxStalenessMs')
    expect(listDoubts({ routes: [{ ...ROUTE, idleTransactionMs: 100 }] })[0]).to.include('routes.0.idleTransactionMs')
    expect(listDoubts({ groups: [{ ...GROUP, copies: 3 }] })[0]).to.include('groups.0.copies')
    expect(listDoubts({ groups: [{ ...GROUP, connections: 1 }] })[0]).to.include('groups.0.connections')
    expect(listDoubts({ workspaces: [{ ...WORKSPACE, rate: 1_001 }] })[0]).to.include('workspaces.0.burst')
  })
})

describe('the differences between two versions', () => {
  it('are told by name and in words, without the hash of a key', () => {
    const after = create({
      authorityLeaseMs: 1_000,
      groups: [{ ...GROUP, connections: 20 }],
      workspaces: [{ ...WORKSPACE, keys: [{ id: 'k2', sha256: hash('cd') }] }, { ...WORKSPACE, name: 'school', keys: [] }],
      routes: [{ ...ROUTE, name: 'orders' }]
    })
    expect(compareDocuments(create(), after)).to.deep.equal([
      'The service: authorityLeaseMs is 1000, was 2000.',
      'Group a: connections is 20, was not set.',
      'Workspace parish: key k2 is granted.',
      'Workspace parish: key k1 is withdrawn.',
      'Workspace school is new.',
      'Route orders is new.',
      'Route views is removed.'
    ])
    expect(compareDocuments(after, after)).to.deep.equal([])
  })
})

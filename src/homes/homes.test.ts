import { expect } from 'chai'
import type { Effect, Tell } from '../core/message.js'
import { ORIGIN } from '../core/position.js'
import { StoreSlice } from '../core/store.js'
import { parseDocument } from '../documents/document.js'
import type { DatabaseEntry, HostEntry } from '../membership/directory.js'
import { decideRequests } from '../requests/decide.js'
import type { RequestsMessage, RouteRules } from '../requests/messages.js'
import { createRequestsShared } from '../requests/state.js'
import { decideRouting } from '../routing/decide.js'
import { createRoutingState, type RoutingState } from '../routing/state.js'
import { createRegions, isAtHome, mergeHomes } from './homes.js'

const GUARANTEES = { selfFencing: true, slotPerStatement: true, connectionPerWorkspace: true }
const REGIONS = createRegions([{ name: 'e1', region: 'east' }, { name: 'e2', region: 'east' }, { name: 'w1', region: 'west' }, { name: 'n1' }])
const MOMENT = { monotonicMs: 1_000, wallMs: 0, random: 0 }
const createRules = (action: 'read' | 'write', homes?: readonly string[]): RouteRules => ({ group: 'g', action, maxStalenessMs: 1_500, idempotent: false, homes })

describe('homes', () => {
  it('of a route and a workspace both bind', () => {
    expect(mergeHomes(undefined, undefined)).to.equal(undefined)
    expect(mergeHomes(['east'], undefined)).to.deep.equal(['east'])
    expect(mergeHomes(['east', 'west'], ['west', 'north'])).to.deep.equal(['west'])
    expect(mergeHomes(['east'], ['west'])).to.deep.equal([])
  })

  it('are no region that is not known', () => {
    expect(isAtHome(undefined, ['east'])).to.equal(true)
    expect(isAtHome(['east'], ['east', 'east'])).to.equal(true)
    for (const regions of [['east', 'west'], ['east', ''], undefined]) expect(isAtHome(['east'], regions)).to.equal(false)
    expect(isAtHome([], ['east'])).to.equal(false)
  })

  it('are findings with their place where no failure domain has the region', () => {
    const text = '{ "service": "s", "owners": ["a"], "groups": [{ "name": "g", "databases": 1 }],\n"workspaces": [{ "name": "w", "rate": 1, "burst": 1, "group": "g", "homes": ["east", "north"] }],\n"routes": [{ "name": "r", "action": "read", "homes": ["south"] }] }'
    expect(parseDocument(text).isOk).to.equal(true)
    const findings = parseDocument(text, REGIONS)
    expect(findings.isErr && findings.error.map(({ line, path }) => [line, path])).to.deep.equal([[2, 'workspaces[0].homes[1]'], [3, 'routes[0].homes[0]']])
    expect(parseDocument(text.replace('["south"]', '[]')).isErr).to.equal(true)
  })
})

describe('routing with homes', () => {
  const createHost = (host: string, failureDomain: string): HostEntry => ({ kind: 'host', host, incarnation: 'i', failureDomain, peers: '', draining: false })
  const createEntry = (database: string, failureDomain: string): DatabaseEntry => ({ kind: 'database', database, group: 'g', failureDomain, address: '', slots: 1, connectionLimit: 1, departing: false })
  const HOSTS = [createHost('h-e1', 'e1'), createHost('h-e2', 'e2'), createHost('h-w1', 'w1'), createHost('h-n1', 'n1')]
  const createState = (self: string, owners: Readonly<Record<string, string>>, regions = REGIONS): RoutingState => {
    const databases = [createEntry('d-e1', 'e1'), createEntry('d-w1', 'w1'), createEntry('d-n1', 'n1')]
    const message = { kind: 'routing/directory-changed', hosts: HOSTS, databases, owners: new Map(Object.entries(owners)), grants: [{ kind: 'grant', group: 'g', term: 1, primary: 'd-e1', members: [] }] } as const
    return decideRouting(createRoutingState(self, 'w1', GUARANTEES, 100, regions), message, MOMENT).state
  }
  const USUAL = { 'd-e1': 'h-e1', 'd-w1': 'h-w1', 'd-n1': 'h-n1' }
  const choose = (state: RoutingState, rules: RouteRules): string => {
    const [effect] = decideRouting(state, { kind: 'routing/choose', caller: 'c', attempt: 1, rules, seen: ORIGIN, avoid: [] }, MOMENT).effects as readonly Tell[]
    const message = effect!.message as unknown as { readonly target?: { readonly database: string }, readonly failure?: { readonly code: string, readonly effect: string }, readonly retriable?: boolean }
    return message.target?.database ?? `${message.failure!.code} ${message.failure!.effect} ${String(message.retriable)}`
  }

  it('sends requests to databases at home alone', () => {
    const state = createState('h-w1', USUAL)
    expect(choose(state, createRules('read'))).to.equal('d-w1')
    expect(choose(state, createRules('read', ['east']))).to.equal('d-e1')
    expect(choose(state, createRules('write', ['east']))).to.equal('d-e1')
    expect(choose(state, createRules('write', ['west']))).to.equal('no-home not-run false')
    for (const homes of [['north'], []]) expect(choose(state, createRules('read', homes))).to.equal('no-home not-run false')
  })

  it('keeps a read for the next try while the replicas at home are not eligible', () => {
    const state = createState('h-w1', { ...USUAL, 'd-n1': 'h-w1' })
    const homeless: RoutingState = { ...state, grantsConfirmedAtMs: 900, unansweredPolls: new Map([['h-w1', 2]]) }
    expect(choose(homeless, createRules('read', ['west']))).to.equal('no-database not-run true')
    expect(choose(homeless, createRules('write', ['west']))).to.equal('no-home not-run false')
  })

  it('passes no body through an owner elsewhere, unless it is the caller\'s own host', () => {
    const owners = { ...USUAL, 'd-w1': 'h-e2' }
    expect(choose(createState('h-w1', owners), createRules('read', ['west']))).to.equal('no-home not-run false')
    expect(choose(createState('h-e2', owners), createRules('read', ['west']))).to.equal('d-w1')
    expect(choose(createState('h-w1', { ...USUAL, 'd-w1': 'h-unknown' }), createRules('read', ['west']))).to.equal('no-home not-run false')
  })

  it('has nothing at home where the settings name no regions, and compares nothing without homes', () => {
    const state = createState('h-w1', USUAL, createRegions([]))
    expect(choose(state, createRules('read', ['west']))).to.equal('no-home not-run false')
    expect(choose(state, createRules('read'))).to.equal('d-w1')
    expect([...state.databases.values()].every(({ regions }) => regions === undefined)).to.equal(true)
  })
})

describe('an open transaction whose next request has homes', () => {
  const TARGET = { database: 'd-e1', owner: 'h-e1', purpose: 'primary', term: 1, floor: ORIGIN } as const
  const PAYLOAD = new Uint8Array(0)

  function continueWith (homes: readonly string[] | undefined, intent: 'statement' | 'rollback' = 'statement'): readonly Effect[] {
    const slice = StoreSlice.create({ name: 'requests', shared: createRequestsShared(5_000, GUARANTEES), decide: decideRequests })
    const handle = (message: RequestsMessage): readonly Effect[] => slice.handle(message, MOMENT)
    handle({ kind: 'requests/open', caller: 'c', service: 's', workspace: 'w' })
    handle({ kind: 'requests/open-checked', caller: 'c', workspace: 'w' })
    handle({ kind: 'requests/arrived', caller: 'c', input: { intent: 'begin' }, payload: PAYLOAD } as RequestsMessage)
    handle({ kind: 'requests/admitted', caller: 'c', attempt: 1, rules: createRules('write') })
    handle({ kind: 'requests/routed', caller: 'c', attempt: 1, target: TARGET, regions: ['east', 'east'] })
    handle({ kind: 'requests/finished', from: 'h-e1', caller: 'c', attempt: 1, status: 'open', wrote: false, position: ORIGIN, parts: 0, payload: PAYLOAD } as RequestsMessage)
    handle({ kind: 'requests/arrived', caller: 'c', input: { intent }, payload: PAYLOAD } as RequestsMessage)
    return handle({ kind: 'requests/admitted', caller: 'c', attempt: 2, rules: createRules('write', homes) })
  }

  it('goes on where it is at home', () => {
    for (const homes of [undefined, ['east'], ['west', 'east']]) expect(continueWith(homes).some(effect => effect.kind === 'loop/tell' && (effect as Tell).message.kind === 'requests/routed')).to.equal(true)
  })

  it('is rolled back where it is not', () => {
    const effects = continueWith(['west'])
    expect(effects.some(effect => effect.kind === 'loop/tell')).to.equal(false)
    expect(effects.find(({ kind }) => kind === 'caller/failed')).to.have.nested.property('failure.code', 'transaction-homeless')
    expect(effects.some(effect => effect.kind === 'peer/send')).to.equal(true)
    expect(continueWith(['west'], 'rollback').some(({ kind }) => kind === 'caller/rolled-back')).to.equal(true)
  })
})

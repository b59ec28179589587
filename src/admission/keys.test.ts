import { expect } from 'chai'
import { StoreSlice } from '../core/store.js'
import { parseDocument, type ServiceDocument } from '../documents/document.js'
import { decideAdmission } from './decide.js'
import { createKey } from './keys.js'
import { checkAllowance, createAdmissionShared } from './state.js'
import type { AdmissionMessage } from './messages.js'

const LEASE_MS = 2_000
const FIRST = createKey()
const SECOND = createKey()

function createDocument (service: string, hashes: readonly string[]): ServiceDocument {
  const text = JSON.stringify({
    service,
    owners: ['ana'],
    authorityLeaseMs: LEASE_MS,
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', rate: 10, burst: 10, group: 'a', keys: hashes.map((sha256, index) => ({ id: `k${index}`, sha256 })) }],
    routes: [{ name: 'view', access: 'open', action: 'read', group: 'a' }]
  })
  return parseDocument(text).unwrapOr(undefined as never)
}

class FakeHost {
  readonly #slice

  private constructor (servesWhenIsolated: boolean) {
    this.#slice = StoreSlice.create({ name: 'admission', shared: createAdmissionShared({ self: 'h1', servesWhenIsolated }), decide: decideAdmission, checkItem: checkAllowance })
  }

  static create (servesWhenIsolated = false): FakeHost {
    return new FakeHost(servesWhenIsolated)
  }

  /** Delivers a message and returns the messages to the requests slice. */
  take (message: AdmissionMessage, atMs = 0): ReadonlyArray<{ readonly kind: string, readonly caller?: string, readonly failure?: { readonly code: string, readonly effect: string } }> {
    const effects = this.#slice.handle(message, { monotonicMs: atMs, wallMs: atMs, random: 0.5 })
    return effects.map(effect => (effect as unknown as { message: { kind: string } }).message).filter(message => message?.kind.startsWith('requests/'))
  }

  publish (version: number, hashes: readonly string[], atMs = 0): ReturnType<FakeHost['take']> {
    const documents = ['rota', 'other'].map(service => ({ kind: 'document' as const, service, version: service === 'rota' ? version : 1, document: createDocument(service, service === 'rota' ? hashes : [FIRST.sha256]) }))
    return this.take({ kind: 'admission/documents-confirmed', documents, askedAtMs: atMs }, atMs)
  }

  open (caller: string, service: string, keyHash: string, atMs = 0): string | undefined {
    return this.take({ kind: 'admission/check-open', caller, service, workspace: 'parish', keyHash }, atMs)[0]!.failure?.code
  }

  ask (keyHash: string, route: string | undefined, atMs: number, inTransaction = route === undefined): string | undefined {
    const [answer] = this.take({ kind: 'admission/check-request', caller: 'c', attempt: 1, service: 'rota', workspace: 'parish', keyHash, route, action: 'read', inTransaction }, atMs)
    return answer!.failure?.code
  }
}

describe('keys', () => {
  it('notifies only the callers of the changed document whose key was revoked', () => {
    const host = FakeHost.create()
    host.publish(1, [FIRST.sha256, SECOND.sha256])
    host.open('first', 'rota', FIRST.sha256)
    host.open('second', 'rota', SECOND.sha256)
    host.open('elsewhere', 'other', FIRST.sha256)
    host.open('gone', 'rota', FIRST.sha256)
    host.take({ kind: 'admission/caller-closed', caller: 'gone', service: 'rota' })
    const revoked = host.publish(2, [SECOND.sha256])
    expect(revoked.map(({ kind, caller }) => [kind, caller])).to.deep.equal([['requests/key-withdrawn', 'first']])
    expect(revoked[0]!.failure).to.include({ code: 'wrong-key', effect: 'not-run' })
    expect(host.ask(FIRST.sha256, undefined, 1)).to.equal('wrong-key')
    expect(host.ask(SECOND.sha256, undefined, 1)).to.equal(undefined)
  })

  it('never applies an earlier document version, and accepts no confirmation from a leader that lacks one', () => {
    const host = FakeHost.create()
    host.publish(2, [SECOND.sha256])
    host.publish(1, [FIRST.sha256], LEASE_MS)
    host.take({ kind: 'admission/documents-confirmed', askedAtMs: LEASE_MS }, LEASE_MS)
    expect(host.ask(FIRST.sha256, undefined, LEASE_MS)).to.equal('wrong-key')
    expect(host.ask(SECOND.sha256, undefined, LEASE_MS + 1)).to.equal('no-authority')
    host.publish(3, [SECOND.sha256], LEASE_MS)
    expect(host.ask(SECOND.sha256, undefined, LEASE_MS + 1)).to.equal(undefined)
  })

  it('refuses requests that need a key and serves open routes once its authority lease has expired', () => {
    const host = FakeHost.create()
    host.publish(1, [FIRST.sha256])
    expect(host.ask(FIRST.sha256, undefined, LEASE_MS)).to.equal(undefined)
    expect(host.ask(FIRST.sha256, undefined, LEASE_MS + 1)).to.equal('no-authority')
    expect(host.open('late', 'rota', FIRST.sha256, LEASE_MS + 1)).to.equal('no-authority')
    expect(host.ask(FIRST.sha256, 'view', LEASE_MS + 1)).to.equal(undefined)
    expect(host.ask(FIRST.sha256, 'view', LEASE_MS + 1, true)).to.equal('no-authority')
  })
})

describe('a host whose authority is leased', () => {
  it('is confirmed by the leader alone, whose answer on a rollout counts the lease from its own last confirmation', () => {
    const host = FakeHost.create()
    host.publish(4, [FIRST.sha256])
    host.take({ kind: 'admission/versions-held', versions: [{ service: 'rota', version: 4 }], askedAtMs: LEASE_MS }, LEASE_MS)
    expect(host.ask(FIRST.sha256, undefined, LEASE_MS + 1)).to.equal('no-authority')
  })
})

describe('a host that keeps serving while it is isolated', () => {
  const LATE_MS = LEASE_MS + 1
  const create = (): FakeHost => {
    const host = FakeHost.create(true)
    host.publish(4, [FIRST.sha256])
    return host
  }

  it('serves by its last documents for as long as it is isolated', () => {
    const host = create()
    host.take({ kind: 'admission/contact-changed', isolated: true }, LATE_MS)
    expect(host.ask(FIRST.sha256, undefined, 20 * LEASE_MS)).to.equal(undefined)
    host.take({ kind: 'admission/contact-changed', isolated: false }, 20 * LEASE_MS)
    expect(host.ask(FIRST.sha256, undefined, 20 * LEASE_MS)).to.equal('no-authority')
  })

  it('says nothing by its last documents while the control hosts answer, but confirm nothing', () => {
    const host = create()
    expect(host.ask(FIRST.sha256, undefined, LATE_MS)).to.equal('no-authority')
    expect(host.ask(SECOND.sha256, undefined, LATE_MS)).to.equal('no-authority')
    expect(host.ask(FIRST.sha256, 'view', LATE_MS, false)).to.equal('no-authority')
    expect(host.ask(FIRST.sha256, 'unknown', LATE_MS, false)).to.equal('no-authority')
    expect(host.open('late', 'rota', SECOND.sha256, LATE_MS)).to.equal('no-authority')
  })

  it('goes on while a majority of the control hosts holds no newer version', () => {
    const host = create()
    host.take({ kind: 'admission/versions-held', versions: [{ service: 'rota', version: 4 }, { service: 'other', version: 1 }], askedAtMs: LEASE_MS }, LATE_MS)
    expect(host.ask(FIRST.sha256, undefined, 2 * LEASE_MS)).to.equal(undefined)
    host.take({ kind: 'admission/versions-held', versions: [{ service: 'rota', version: 6 }], askedAtMs: 2 * LEASE_MS }, 2 * LEASE_MS)
    expect(host.ask(FIRST.sha256, undefined, 2 * LEASE_MS + 1)).to.equal('no-authority')
  })
})

import { expect } from 'chai'
import type { SendPeer } from '../core/message.js'
import type { ServiceDocument } from '../documents/document.js'
import { CatalogMachine, type CatalogCommand } from './catalog.js'
import { createAgreementState, decideAgreement, type AgreementState } from './decide.js'
import { createEntry } from './log.js'
import type { VersionsTold } from './messages.js'

const MOMENT = { monotonicMs: 0, wallMs: 0, random: 0 }
const MEMBERS = { c1: 'i1', c2: 'i2', c3: 'i3' }

function createReplace (version: number): CatalogCommand {
  return { kind: 'documents/replace', version, text: '', document: { service: 'rota' } as ServiceDocument }
}

/** A control host that restarted with a log in which nothing is known to be committed. */
function restart (versions: readonly number[]): AgreementState {
  const entries = [createEntry<CatalogCommand>(1, 1, { kind: 'agreement/form', members: MEMBERS }), ...versions.map((version, index) => createEntry(index + 2, 2, createReplace(version)))]
  const recovered = { incarnation: 'i1', mark: { group: 'i1', term: 2 }, entries, snapshot: { index: 0, term: 0, state: CatalogMachine.create().initial } }
  return decideAgreement(createAgreementState(), { kind: 'agreement/started', self: 'c1', control: ['c1', 'c2', 'c3'], recovered }, MOMENT).state
}

function ask (state: AgreementState): VersionsTold | undefined {
  const [effect] = decideAgreement(state, { kind: 'agreement/versions-asked', from: 'h9', round: 7 }, MOMENT).effects
  return (effect as SendPeer | undefined)?.message as VersionsTold | undefined
}

describe('the versions that a control host holds', () => {
  it('include those that are not known to be committed, since another host may have acknowledged them', () => {
    const told = ask(restart([4, 6]))
    expect(told).to.include({ kind: 'agreement/versions-told', round: 7, incarnation: 'i1', configurationTerm: 1, configurationIndex: 1 })
    expect(told?.configuration).to.deep.equal({ members: MEMBERS })
    expect(told?.versions).to.deep.equal([{ service: 'rota', version: 6 }])
  })

  it('are told by no host without a log', () => {
    expect(ask(createAgreementState())).to.equal(undefined)
  })
})

describe('the text of a document', () => {
  const ASKED = { kind: 'agreement/text-asked', host: 'h9', operation: 'o1', service: 'rota' } as const
  const tell = (from: string, version: number): VersionsTold => ({ kind: 'agreement/versions-told', from, round: 1, incarnation: `i${from.slice(1)}`, configuration: { members: MEMBERS }, configurationTerm: 1, configurationIndex: 1, versions: [{ service: 'rota', version }] })

  // A control host whose state machine has applied version 4, and what it answers once two members have told their versions.
  function readText (version: number): readonly unknown[] {
    const state = restart([4])
    const services = { rota: { version: 4, text: 'the text', document: { service: 'rota' } as ServiceDocument } }
    const applied: AgreementState = { ...state, applied: { ...state.applied, documents: { ...state.applied.documents, services } } }
    const asked = decideAgreement(applied, ASKED, MOMENT).state
    const first = decideAgreement(asked, tell('c1', 4), MOMENT)
    const second = decideAgreement(first.state, tell('c2', version), MOMENT)
    return [...first.effects, ...second.effects].filter(effect => (effect as SendPeer).message?.kind === 'operations/answered').map(effect => (effect as SendPeer).message)
  }

  it('is answered by any control host once a majority holds nothing newer', () => {
    expect(readText(4)).to.deep.equal([{ kind: 'operations/answered', operation: 'o1', outcome: { service: 'rota', version: 4, text: 'the text' } }])
  })

  it('is not answered by a control host that lacks a version which another one holds', () => {
    expect(readText(6)).to.deep.equal([])
  })
})

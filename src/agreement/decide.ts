/** Decisions of the agreement slice. */
import type { CoreEffect, Moment, Step } from '../core/message.js'
import { tell } from '../messages.js'
import { CatalogMachine, type Catalog } from './catalog.js'
import type { AgreementMessage, Propose, Started } from './messages.js'

/** State of the agreement slice. */
export interface AgreementState {
  readonly self: string
  readonly leader?: string
  readonly epoch: number
  readonly index: number
  readonly catalog: Catalog
}

type AgreementStep = Step<AgreementState, CoreEffect>

const MACHINE = CatalogMachine.create()

/**
 * Creates the state before the start.
 * @example createAgreementState().index // 0
 */
export function createAgreementState (): AgreementState {
  return { self: '', epoch: 0, index: 0, catalog: MACHINE.initial }
}

/**
 * Decides on one message of the agreement slice.
 * @example decideAgreement(state, { kind: 'agreement/started', self: 'h1', control: ['h1'] }, moment)
 */
export function decideAgreement (state: AgreementState, message: AgreementMessage, _moment: Moment): AgreementStep {
  switch (message.kind) {
    case 'agreement/started': return start(state, message)
    case 'agreement/propose': return state.leader === state.self ? apply(state, message) : { state, effects: [] }
  }
}

function start (state: AgreementState, message: Started): AgreementStep {
  const leader = message.control[0]
  const epoch = 1
  const next: AgreementState = { ...state, self: message.self, leader, epoch }
  const leads = leader === message.self
  return {
    state: next,
    effects: [
      tell({ kind: 'membership/leader-changed', leader, epoch }),
      tell({ kind: 'operations/leader-known', leader }),
      tell({ kind: 'documents/leadership', leads, epoch, table: next.catalog.documents }),
      tell({ kind: 'primacy/leadership', leads, epoch, table: next.catalog.groups })
    ]
  }
}

function apply (state: AgreementState, message: Propose): AgreementStep {
  const applied = MACHINE.apply(state.catalog, message.command)
  const next: AgreementState = { ...state, index: state.index + 1, catalog: applied.state }
  const { proposal, command } = message
  const told = command.kind === 'documents/put'
    ? tell({ kind: 'documents/applied', proposal, command, outcome: applied.outcome!, table: next.catalog.documents })
    : tell({ kind: 'primacy/applied', proposal, command, table: next.catalog.groups })
  return { state: next, effects: [told] }
}

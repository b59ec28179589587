/** Decisions of the agreement slice: a replica of the log over the catalog, and what other slices learn of it. */
import { recordEvent, type CoreEffect, type Moment, type Step } from '../core/message.js'
import { tell } from '../messages.js'
import { CatalogMachine, type Catalog, type CatalogCommand, type CatalogOutcome } from './catalog.js'
import { decideReplica } from './decidereplica.js'
import { readLast } from './log.js'
import type { AgreementMessage, ControlStatus, Started } from './messages.js'
import { createReplicaState, type AppendRecords, type ReplicaApplied, type ReplicaEffect, type ReplicaLeader, type ReplicaState, type StoreSnapshot } from './replica.js'

/** State of the agreement slice. */
export type AgreementState = ReplicaState<Catalog, CatalogCommand>

/** The effects of the agreement slice. */
export type AgreementEffect = CoreEffect | AppendRecords<CatalogCommand> | StoreSnapshot<Catalog, CatalogCommand>

const MACHINE = CatalogMachine.create()

/**
 * Creates the state before the start.
 * @example createAgreementState().committed // 0
 */
export function createAgreementState (): AgreementState {
  return createReplicaState<Catalog, CatalogCommand>(MACHINE.initial)
}

/**
 * Decides on one message of the agreement slice.
 * @example decideAgreement(state, { kind: 'agreement/tick' }, moment)
 */
export function decideAgreement (state: AgreementState, message: AgreementMessage, moment: Moment): Step<AgreementState, AgreementEffect> {
  if (message.kind === 'agreement/status-asked') {
    return { state, effects: [tell({ kind: 'operations/answered', operation: message.operation, outcome: createStatus(state, moment) })] }
  }
  const step = decideReplica(MACHINE, state, message, moment)
  const effects = step.effects.flatMap(effect => tellEffect(step.state, effect))
  return { state: step.state, effects: [...effects, ...recordChanges(state, step.state, message)] }
}

function createStatus (state: AgreementState, moment: Moment): ControlStatus {
  const { self, incarnation, mark, role, leader, committed, log, leading } = state
  const replicas = [...leading?.progress.values() ?? []].map(({ host, incarnation, matched, contactAtMs }) =>
    ({ host, incarnation, matched, silentMs: Number.isFinite(contactAtMs) ? moment.monotonicMs - contactAtMs : undefined }))
  return {
    host: self,
    incarnation,
    group: mark.group,
    role,
    leader,
    term: mark.term,
    committed,
    last: readLast(log).index,
    members: log.configuration?.members ?? {},
    oldMembers: log.configuration?.old,
    replicas
  }
}

function tellEffect (state: AgreementState, effect: ReplicaEffect<Catalog, CatalogCommand, CatalogOutcome>): readonly AgreementEffect[] {
  switch (effect.kind) {
    case 'replica/applied': return [tellApplied(effect)]
    case 'replica/leader': return tellLeader(state, effect)
    case 'replica/lease': return [tell({ kind: 'membership/lease-extended', untilMs: effect.untilMs })]
    default: return [effect]
  }
}

function tellApplied ({ proposal, command, outcome, state }: ReplicaApplied<Catalog, CatalogCommand, CatalogOutcome>): AgreementEffect {
  switch (command.kind) {
    case 'documents/put':
    case 'documents/replace':
    case 'documents/confirm': return tell({ kind: 'documents/applied', proposal, command, outcome: outcome!, table: state.documents })
    case 'succession/appoint':
    case 'succession/settle': return tell({ kind: 'succession/applied', command, table: state.successions })
    case 'shares/register': return tell({ kind: 'shares/registered', holders: state.holders })
    case 'membership/remember': return tell({ kind: 'membership/remembered', databases: state.databases ?? {} })
    default: return tell({ kind: 'primacy/applied', proposal, command, table: state.groups })
  }
}

function tellLeader ({ self }: AgreementState, { leader, term: epoch, state }: ReplicaLeader<Catalog>): readonly AgreementEffect[] {
  const leads = leader === self
  return [
    tell({ kind: 'shares/registered', holders: state.holders }),
    tell({ kind: 'membership/remembered', databases: state.databases ?? {} }),
    tell({ kind: 'membership/leader-changed', leader, epoch }),
    tell({ kind: 'operations/leader-known', leader }),
    tell({ kind: 'documents/leadership', leads, epoch, table: state.documents }),
    tell({ kind: 'primacy/leadership', leads, epoch, table: state.groups }),
    tell({ kind: 'succession/leadership', leads, epoch, table: state.successions })
  ]
}

function recordChanges (before: AgreementState, after: AgreementState, message: AgreementMessage): readonly CoreEffect[] {
  const events: CoreEffect[] = []
  const { self } = after
  const damage = message.kind === 'agreement/started' ? (message as Started).damage : undefined
  if (damage !== undefined) events.push(recordEvent('journal-damaged', `Host ${self} starts anew: ${damage}.`))
  if (message.kind !== 'agreement/started' && before.mark.group === undefined && after.mark.group === after.incarnation && after.log.configuredAt === 1) events.push(recordEvent('group-formed', `Host ${self} formed the control group.`))
  if (after.leading?.established === true && before.leading?.established !== true) events.push(recordEvent('leader-elected', `Host ${self} leads the control hosts in term ${after.mark.term}.`))
  if (before.leading !== undefined && after.leading === undefined) events.push(recordEvent('leader-ended', `Host ${self} no longer leads the control hosts.`))
  if (after.leading !== undefined && before.log.configuration?.old !== undefined && after.log.configuration?.old === undefined) events.push(recordEvent('control-replaced', 'A control host that lost its disk is replaced.'))
  return events
}

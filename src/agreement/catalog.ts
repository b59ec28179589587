/** The catalog: the replicated state of the control hosts. */
import { applyDocumentsCommand, NO_DOCUMENTS, type DocumentOutcome, type DocumentsCommand, type DocumentsTable } from '../documents/table.js'
import { applyOrder, NO_EVACUATIONS, type EvacuationTable, type OrderCommand, type OrderOutcome } from '../evacuation/table.js'
import { applyStoredDatabasesUpdate, type UpdateStoredDatabasesCommand, type StoredDatabaseTable } from '../membership/stored.js'
import { applyPrimacyCommand, type GroupsTable, type PrimacyCommand } from '../primacy/table.js'
import { applyRegisterCommand, type HoldersTable, type RegisterCommand } from '../shares/holders.js'
import { applyReplicaSetUpdate, type ReplicaSetTable, type UpdateReplicaSetCommand } from '../succession/replicaset.js'
import { applySuccessionCommand, type SuccessionCommand, type AppointmentTable } from '../succession/table.js'
import { StateMachine, type ApplyResult } from './statemachine.js'

/** Replicated state, as plain JSON. */
export interface Catalog {
  readonly documents: DocumentsTable
  readonly groups: GroupsTable
  /** Primaries of groups whose databases enforce fencing themselves. */
  readonly successions: AppointmentTable
  /** Hosts that may hold shares of rate limits. */
  readonly holders: HoldersTable
  /** The databases in the leader's directory; absent in snapshots written before this field existed. */
  readonly databases?: StoredDatabaseTable
  /** Databases that may hold what replicas' copies acknowledged; absent in snapshots written before this field existed. */
  readonly replicaSets?: ReplicaSetTable
  /** Operators' orders on failure domains; absent in snapshots written before this field existed. */
  readonly evacuations?: EvacuationTable
}

/** Any command of the log. */
export type CatalogCommand = DocumentsCommand | PrimacyCommand | RegisterCommand | UpdateStoredDatabasesCommand | SuccessionCommand | UpdateReplicaSetCommand | OrderCommand

/** The outcome of a command; undefined if no caller waits for it. */
export type CatalogOutcome = DocumentOutcome | OrderOutcome | undefined

/** The state machine that applies log commands to the catalog. */
export class CatalogMachine extends StateMachine<Catalog, CatalogCommand, CatalogOutcome> {
  readonly initial: Catalog = { documents: NO_DOCUMENTS, groups: {}, successions: {}, holders: {} }

  /**
   * Creates the state machine.
   * @example CatalogMachine.create().initial
   */
  static create (): CatalogMachine {
    return new CatalogMachine()
  }

  apply (state: Catalog, command: CatalogCommand): ApplyResult<Catalog, CatalogOutcome> {
    switch (command.kind) {
      case 'documents/put':
      case 'documents/replace':
      case 'documents/confirm': {
        const applied = applyDocumentsCommand(state.documents, command)
        return { state: { ...state, documents: applied.state }, outcome: applied.outcome }
      }
      case 'succession/appoint':
      case 'succession/settle': return { state: { ...state, successions: applySuccessionCommand(state.successions, command) }, outcome: undefined }
      case 'succession/replicas': return { state: { ...state, replicaSets: applyReplicaSetUpdate(state.replicaSets ?? {}, command) }, outcome: undefined }
      case 'shares/register': return { state: { ...state, holders: applyRegisterCommand(state.holders, command) }, outcome: undefined }
      case 'membership/remember': return { state: { ...state, databases: applyStoredDatabasesUpdate(state.databases ?? {}, command) }, outcome: undefined }
      case 'evacuation/order': {
        const applied = applyOrder(state.evacuations ?? NO_EVACUATIONS, command)
        return { state: { ...state, evacuations: applied.state }, outcome: applied.outcome }
      }
      default: return { state: { ...state, groups: applyPrimacyCommand(state.groups, command) }, outcome: undefined }
    }
  }
}

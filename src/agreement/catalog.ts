/** The catalog: the state that the control hosts agree on. */
import { applyDocumentsCommand, NO_DOCUMENTS, type DocumentOutcome, type DocumentsCommand, type DocumentsTable } from '../documents/table.js'
import { applyRememberCommand, type RememberCommand, type RememberedTable } from '../membership/remembered.js'
import { applyPrimacyCommand, type GroupsTable, type PrimacyCommand } from '../primacy/table.js'
import { applyRegisterCommand, type HoldersTable, type RegisterCommand } from '../shares/holders.js'
import { applySuccessionCommand, type SuccessionCommand, type SuccessionTable } from '../succession/table.js'
import { StateMachine, type Applied } from './machine.js'

/** Documents and groups, as plain JSON. */
export interface Catalog {
  readonly documents: DocumentsTable
  readonly groups: GroupsTable
  /** Primaries of groups whose databases fence themselves. */
  readonly successions: SuccessionTable
  /** Hosts that may hold shares of rates. */
  readonly holders: HoldersTable
  /** The databases of the leader's directory; absent in a snapshot that is older than it. */
  readonly databases?: RememberedTable
}

/** Any command of the log. */
export type CatalogCommand = DocumentsCommand | PrimacyCommand | RegisterCommand | RememberCommand | SuccessionCommand

/** The outcome of a command; undefined where nobody waits for it. */
export type CatalogOutcome = DocumentOutcome | undefined

/** Applies commands to the catalog. */
export class CatalogMachine extends StateMachine<Catalog, CatalogCommand, CatalogOutcome> {
  readonly initial: Catalog = { documents: NO_DOCUMENTS, groups: {}, successions: {}, holders: {} }

  /**
   * Creates the machine.
   * @example CatalogMachine.create().initial
   */
  static create (): CatalogMachine {
    return new CatalogMachine()
  }

  apply (state: Catalog, command: CatalogCommand): Applied<Catalog, CatalogOutcome> {
    switch (command.kind) {
      case 'documents/put':
      case 'documents/replace':
      case 'documents/confirm': {
        const applied = applyDocumentsCommand(state.documents, command)
        return { state: { ...state, documents: applied.state }, outcome: applied.outcome }
      }
      case 'succession/appoint':
      case 'succession/settle': return { state: { ...state, successions: applySuccessionCommand(state.successions, command) }, outcome: undefined }
      case 'shares/register': return { state: { ...state, holders: applyRegisterCommand(state.holders, command) }, outcome: undefined }
      case 'membership/remember': return { state: { ...state, databases: applyRememberCommand(state.databases ?? {}, command) }, outcome: undefined }
      default: return { state: { ...state, groups: applyPrimacyCommand(state.groups, command) }, outcome: undefined }
    }
  }
}

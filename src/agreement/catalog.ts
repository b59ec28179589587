/** The catalog: the state that the control hosts agree on. */
import { applyDocumentCommand, NO_DOCUMENTS, type DocumentCommand, type DocumentOutcome, type DocumentsTable } from '../documents/table.js'
import { applyPrimacyCommand, type GroupsTable, type PrimacyCommand } from '../primacy/table.js'
import { StateMachine, type Applied } from './machine.js'

/** Documents and groups, as plain JSON. */
export interface Catalog {
  readonly documents: DocumentsTable
  readonly groups: GroupsTable
}

/** Any command of the log. */
export type CatalogCommand = DocumentCommand | PrimacyCommand

/** The outcome of a command; undefined where nobody waits for it. */
export type CatalogOutcome = DocumentOutcome | undefined

/** Applies commands to the catalog. */
export class CatalogMachine extends StateMachine<Catalog, CatalogCommand, CatalogOutcome> {
  readonly initial: Catalog = { documents: NO_DOCUMENTS, groups: {} }

  /**
   * Creates the machine.
   * @example CatalogMachine.create().initial
   */
  static create (): CatalogMachine {
    return new CatalogMachine()
  }

  apply (state: Catalog, command: CatalogCommand): Applied<Catalog, CatalogOutcome> {
    if (command.kind === 'documents/put') {
      const applied = applyDocumentCommand(state.documents, command)
      return { state: { ...state, documents: applied.state }, outcome: applied.outcome }
    }
    return { state: { ...state, groups: applyPrimacyCommand(state.groups, command) }, outcome: undefined }
  }
}

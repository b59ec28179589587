/** A document's routes and keys by name, so that a check costs the same however long the document is. */
import type { Route, ServiceDocument, Workspace } from '../documents/document.js'

/** A document, ready to be looked up in. */
export interface DocumentIndex {
  readonly document: ServiceDocument
  readonly routes: ReadonlyMap<string, Route>
  readonly workspaces: ReadonlyMap<string, Workspace>
  /** Workspaces by the SHA-256 of their keys. */
  readonly holders: ReadonlyMap<string, Workspace>
}

/**
 * Creates the index of a document.
 * @example createIndex(document).routes.get('slots.view')
 */
export function createIndex (document: ServiceDocument): DocumentIndex {
  return {
    document,
    routes: new Map(document.routes.map(route => [route.name, route])),
    workspaces: new Map(document.workspaces.map(workspace => [workspace.name, workspace])),
    holders: new Map(document.workspaces.flatMap(workspace => workspace.keys.map(key => [key.sha256, workspace] as const)))
  }
}

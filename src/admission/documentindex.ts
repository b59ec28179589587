/** Index of a document's routes and keys, so that lookups take constant time. */
import type { Route, ServiceDocument, Workspace } from '../documents/document.js'

/** A document with lookup tables. */
export interface DocumentIndex {
  readonly document: ServiceDocument
  readonly routes: ReadonlyMap<string, Route>
  readonly workspaces: ReadonlyMap<string, Workspace>
  /** Workspaces by the SHA-256 hash of their keys. */
  readonly workspacesByKeyHash: ReadonlyMap<string, Workspace>
}

/**
 * Creates the lookup tables of a document.
 * @example createIndex(document).routes.get('slots.view')
 */
export function createIndex (document: ServiceDocument): DocumentIndex {
  return {
    document,
    routes: new Map(document.routes.map(route => [route.name, route])),
    workspaces: new Map(document.workspaces.map(workspace => [workspace.name, workspace])),
    workspacesByKeyHash: new Map(document.workspaces.flatMap(workspace => workspace.keys.map(key => [key.sha256, workspace] as const)))
  }
}

/** Edits of a document's text that keep its comments and its layout. */
import { applyEdits, findNodeAtLocation, getNodeValue, modify, parseTree, type Node } from 'jsonc-parser'
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'

const FORMATTING = { formattingOptions: { insertSpaces: true, tabSize: 2 } }

interface Named {
  readonly name?: unknown
  readonly id?: unknown
}

interface WorkspacePlace {
  readonly path: ReadonlyArray<string | number>
  /** Absent when the workspace has no list of keys. */
  readonly keys?: readonly Named[]
}

/**
 * Grants a key: puts its hash into a workspace; a key of the same id is replaced.
 * @example grantKey(text, 'parish', 'k2', hashKey(key))
 * @returns the new text, or why there is none.
 */
export function grantKey (text: string, workspace: string, id: string, sha256: string): Result<string, Failure> {
  const place = findWorkspace(text, workspace)
  if (place === undefined) return Result.err(createFailure('unknown-workspace', workspace))
  const key = { id, sha256 }
  if (place.keys === undefined) return Result.ok(applyEdits(text, modify(text, [...place.path, 'keys'], [key], FORMATTING)))
  const known = findIndex(place.keys, entry => entry.id === id)
  const index = known < 0 ? place.keys.length : known
  return Result.ok(applyEdits(text, modify(text, [...place.path, 'keys', index], key, FORMATTING)))
}

/**
 * Withdraws a key from a workspace.
 * @example withdrawKey(text, 'parish', 'k1')
 * @returns the new text, or why there is none.
 */
export function withdrawKey (text: string, workspace: string, id: string): Result<string, Failure> {
  const place = findWorkspace(text, workspace)
  if (place === undefined) return Result.err(createFailure('unknown-workspace', workspace))
  const index = findIndex(place.keys ?? [], entry => entry.id === id)
  if (index < 0) return Result.err(createFailure('unknown-key', id))
  return Result.ok(applyEdits(text, modify(text, [...place.path, 'keys', index], undefined, FORMATTING)))
}

function findWorkspace (text: string, workspace: string): WorkspacePlace | undefined {
  const tree = parseTree(text, [], { allowTrailingComma: true })
  const workspaces = tree === undefined ? [] : readList(tree, ['workspaces'])
  const index = findIndex(workspaces, entry => entry.name === workspace)
  if (tree === undefined || index < 0) return undefined
  const path = ['workspaces', index]
  const found = findNodeAtLocation(tree, [...path, 'keys']) !== undefined
  return { path, keys: found ? readList(tree, [...path, 'keys']) : undefined }
}

function readList (tree: Node, path: Array<string | number>): readonly Named[] {
  const node = findNodeAtLocation(tree, path)
  const value: unknown = node === undefined ? [] : getNodeValue(node)
  return Array.isArray(value) ? value as readonly Named[] : []
}

function findIndex (list: readonly Named[], matches: (entry: Named) => boolean): number {
  return list.findIndex(entry => entry !== null && typeof entry === 'object' && matches(entry))
}

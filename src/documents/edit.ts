/** Edits of a document's text that preserve its comments and formatting. */
import { applyEdits, findNodeAtLocation, getNodeValue, modify, parseTree, type Node } from 'jsonc-parser'
import { Result } from 'true-myth'
import { createFailure, type Failure } from '../core/errors.js'

const JSON_FORMATTING = { formattingOptions: { insertSpaces: true, tabSize: 2 } }

interface ListItem {
  readonly name?: unknown
  readonly id?: unknown
}

interface WorkspaceLocation {
  readonly path: ReadonlyArray<string | number>
  /** Absent if the workspace has no list of keys. */
  readonly keys?: readonly ListItem[]
}

/**
 * Grants a key: adds its hash to a workspace. A key with the same id is replaced.
 * @example grantKey(text, 'parish', 'k2', hashKey(key))
 * @returns the new text, or the failure `unknown-workspace`.
 */
export function grantKey (text: string, workspace: string, id: string, sha256: string): Result<string, Failure> {
  const location = findWorkspace(text, workspace)
  if (location === undefined) return Result.err(createFailure('unknown-workspace', workspace))
  const key = { id, sha256 }
  if (location.keys === undefined) return Result.ok(applyEdits(text, modify(text, [...location.path, 'keys'], [key], JSON_FORMATTING)))
  const existing = findIndex(location.keys, entry => entry.id === id)
  const index = existing < 0 ? location.keys.length : existing
  return Result.ok(applyEdits(text, modify(text, [...location.path, 'keys', index], key, JSON_FORMATTING)))
}

/**
 * Withdraws a key: removes its hash from a workspace.
 * @example withdrawKey(text, 'parish', 'k1')
 * @returns the new text, or the failure `unknown-workspace` or `unknown-key`.
 */
export function withdrawKey (text: string, workspace: string, id: string): Result<string, Failure> {
  const location = findWorkspace(text, workspace)
  if (location === undefined) return Result.err(createFailure('unknown-workspace', workspace))
  const index = findIndex(location.keys ?? [], entry => entry.id === id)
  if (index < 0) return Result.err(createFailure('unknown-key', id))
  return Result.ok(applyEdits(text, modify(text, [...location.path, 'keys', index], undefined, JSON_FORMATTING)))
}

function findWorkspace (text: string, workspace: string): WorkspaceLocation | undefined {
  const tree = parseTree(text, [], { allowTrailingComma: true })
  const workspaces = tree === undefined ? [] : readList(tree, ['workspaces'])
  const index = findIndex(workspaces, entry => entry.name === workspace)
  if (tree === undefined || index < 0) return undefined
  const path = ['workspaces', index]
  const hasKeys = findNodeAtLocation(tree, [...path, 'keys']) !== undefined
  return { path, keys: hasKeys ? readList(tree, [...path, 'keys']) : undefined }
}

function readList (tree: Node, path: Array<string | number>): readonly ListItem[] {
  const node = findNodeAtLocation(tree, path)
  const value: unknown = node === undefined ? [] : getNodeValue(node)
  return Array.isArray(value) ? value as readonly ListItem[] : []
}

function findIndex (list: readonly ListItem[], matches: (entry: ListItem) => boolean): number {
  return list.findIndex(entry => entry !== null && typeof entry === 'object' && matches(entry))
}

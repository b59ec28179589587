/** JSON with comments, checked by a schema; all findings at once, each with its place. */
import { findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import { Result } from 'true-myth'
import * as v from 'valibot'
import type { Finding } from './findings.js'

type Path = ReadonlyArray<string | number>

/**
 * Parses a text of JSON with comments and checks it against a schema.
 * @example parseChecked('{ "host": "a" }', v.strictObject({ host: v.string() }))
 * @returns the checked value, or every finding with line and column.
 */
export function parseChecked<T> (text: string, schema: v.GenericSchema<unknown, T>): Result<T, readonly Finding[]> {
  const errors: ParseError[] = []
  const tree = parseTree(text, errors, { allowTrailingComma: true })
  const broken = errors.map(error => createFinding(text, error.offset, [], `${printParseErrorCode(error.error)}.`))
  if (tree === undefined || broken.length > 0) {
    return Result.err(broken.length > 0 ? broken : [createFinding(text, 0, [], 'The text is empty.')])
  }
  const outcome = v.safeParse(schema, getNodeValue(tree))
  const doubled = findDoubledNames(text, tree, [])
  if (outcome.success && doubled.length === 0) return Result.ok(outcome.output)
  const issues = outcome.success ? [] : outcome.issues.map(issue => createIssueFinding(text, tree, issue))
  return Result.err([...issues, ...doubled])
}

/**
 * Creates a finding at the place of a value, given the text and the value's path.
 * @example locateFinding(text, ['routes', 0, 'group'], 'Group "x" is not known.')
 */
export function locateFinding (text: string, path: Path, description: string): Finding {
  const tree = parseTree(text, [], { allowTrailingComma: true })
  return createFinding(text, tree === undefined ? 0 : findOffset(tree, path), path, description)
}

function createIssueFinding (text: string, tree: Node, issue: v.BaseIssue<unknown>): Finding {
  const path = (issue.path ?? []).map(item => item.key as string | number)
  const unknown = issue.type === 'strict_object' && issue.expected === 'never'
  const missing = issue.received === 'undefined'
  const description = unknown ? 'The name is not known.' : missing ? `Is missing: expected ${issue.expected ?? 'a value'}.` : `${issue.message}.`
  return createFinding(text, findOffset(tree, path), path, description)
}

function findOffset (tree: Node, path: Path): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length))
    if (node !== undefined) return node.offset
  }
  return 0
}

function findDoubledNames (text: string, node: Node, path: Path): readonly Finding[] {
  if (node.type === 'array') return (node.children ?? []).flatMap((child, index) => findDoubledNames(text, child, [...path, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  return (node.children ?? []).flatMap(property => {
    const [name, value] = property.children ?? []
    if (name === undefined) return []
    const key = String(name.value)
    const doubled = seen.has(key) ? [createFinding(text, name.offset, [...path, key], 'The name stands twice.')] : []
    seen.add(key)
    return value === undefined ? doubled : [...doubled, ...findDoubledNames(text, value, [...path, key])]
  })
}

function createFinding (text: string, offset: number, path: Path, description: string): Finding {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1]!.length + 1, path: formatPath(path), text: description }
}

function formatPath (path: Path): string {
  return path.map((part, index) => (typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`)).join('')
}

/** JSON with comments, checked by a schema; all findings at once, each with its place. */
import { createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import { Result } from 'true-myth'
import * as v from 'valibot'
import type { Finding } from './findings.js'
import type { LocatedText } from './loose.js'

type Path = ReadonlyArray<string | number>

/** How deep lists and objects may stand in each other; the parser is recursive. */
const MAX_DEPTH = 64
const MAX_TEXT_LENGTH = 262_144
/** Findings of one kind that are reported; a text with more is not what it was meant to be. */
const MAX_FINDINGS = 500

/** Checks rules between values, on a value whose shape may still be wrong. */
export type CheckRules = (value: unknown) => readonly LocatedText[]

/**
 * Parses a text of JSON with comments and checks it against a schema, and against rules between its values.
 * @example parseChecked('{ "host": "a" }', v.strictObject({ host: v.string() }))
 * @returns the checked value, or every finding with line and column.
 */
export function parseChecked<T> (text: string, schema: v.GenericSchema<unknown, T>, checkRules: CheckRules = () => []): Result<T, readonly Finding[]> {
  if (text.length > MAX_TEXT_LENGTH) return Result.err([createFinding('', 0, [], `The text is longer than ${MAX_TEXT_LENGTH} characters.`)])
  const deep = findDeepOffset(text)
  if (deep !== undefined) return Result.err([createFinding(text, deep, [], `Lists and objects stand in each other more than ${MAX_DEPTH} deep.`)])
  const errors: ParseError[] = []
  const tree = parseTree(text, errors, { allowTrailingComma: true })
  const broken = errors.slice(0, MAX_FINDINGS).map(error => createFinding(text, error.offset, [], `${printParseErrorCode(error.error)}.`))
  if (tree === undefined || broken.length > 0) {
    return Result.err(broken.length > 0 ? broken : [createFinding(text, 0, [], 'The text is empty.')])
  }
  return checkTree(text, tree, schema, checkRules)
}

function checkTree<T> (text: string, tree: Node, schema: v.GenericSchema<unknown, T>, checkRules: CheckRules): Result<T, readonly Finding[]> {
  const value: unknown = getNodeValue(tree)
  const outcome = v.safeParse(schema, value)
  const issues = outcome.success ? [] : keepFirst(outcome.issues.slice(0, MAX_FINDINGS).map(issue => createIssueFinding(text, tree, issue)))
  const broken = checkRules(value).slice(0, MAX_FINDINGS).map(rule => createFinding(text, findOffset(tree, rule.path), rule.path, rule.text))
  const doubled = findDoubledNames(tree, []).slice(0, MAX_FINDINGS).map(name => createFinding(text, name.offset, name.path, 'The name stands twice.'))
  const findings = [...issues, ...doubled, ...broken]
  if (outcome.success && findings.length === 0) return Result.ok(outcome.output)
  return Result.err(findings.sort((a, b) => a.line - b.line || a.column - b.column))
}

function findDeepOffset (text: string): number | undefined {
  const scanner = createScanner(text, true)
  let depth = 0
  for (scanner.scan(); scanner.getTokenOffset() < text.length; scanner.scan()) {
    const first = text[scanner.getTokenOffset()]!
    if (first === '{' || first === '[') depth += 1
    if (first === '}' || first === ']') depth -= 1
    if (depth > MAX_DEPTH) return scanner.getTokenOffset()
  }
  return undefined
}

function createIssueFinding (text: string, tree: Node, issue: v.BaseIssue<unknown>): Finding {
  const path = (issue.path ?? []).map(item => item.key as string | number)
  const unknown = issue.type === 'strict_object' && issue.expected === 'never'
  const missing = issue.received === 'undefined'
  const description = unknown ? 'The name is not known.' : missing ? `Is missing: expected ${issue.expected ?? 'a value'}.` : `${issue.message}.`
  return createFinding(text, unknown ? findNameOffset(tree, path) : findOffset(tree, path), path, description)
}

// A value that fails one check often fails the next for the same reason.
function keepFirst (findings: readonly Finding[]): readonly Finding[] {
  return [...new Map(findings.toReversed().map(finding => [finding.path, finding])).values()]
}

function findNameOffset (tree: Node, path: Path): number {
  return findNodeAtLocation(tree, [...path])?.parent?.offset ?? findOffset(tree, path)
}

function findOffset (tree: Node, path: Path): number {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length))
    if (node !== undefined) return node.offset
  }
  return 0
}

interface DoubledName {
  readonly offset: number
  readonly path: Path
}

function findDoubledNames (node: Node, path: Path): readonly DoubledName[] {
  if (node.type === 'array') return (node.children ?? []).flatMap((child, index) => findDoubledNames(child, [...path, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  return (node.children ?? []).flatMap(property => {
    const [name, value] = property.children ?? []
    if (name === undefined) return []
    const key = String(name.value)
    const doubled = seen.has(key) ? [{ offset: name.offset, path: [...path, key] }] : []
    seen.add(key)
    return value === undefined ? doubled : [...doubled, ...findDoubledNames(value, [...path, key])]
  })
}

function createFinding (text: string, offset: number, path: Path, description: string): Finding {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1]!.length + 1, path: formatPath(path), text: description }
}

function formatPath (path: Path): string {
  return path.map((part, index) => (typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`)).join('')
}

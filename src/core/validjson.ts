/** Parses JSON with comments and validates it against a schema; reports all findings at once, each with its line and column. */
import { createScanner, findNodeAtLocation, getNodeValue, parseTree, printParseErrorCode, type Node, type ParseError } from 'jsonc-parser'
import { Result } from 'true-myth'
import * as v from 'valibot'
import type { Finding } from './findings.js'
import type { RuleViolation } from './unchecked.js'

type Path = ReadonlyArray<string | number>

/** The deepest nesting of arrays and objects; the parser is recursive and would overflow the stack. */
const MAX_DEPTH = 64
const MAX_TEXT_LENGTH = 262_144
/** The most findings of one kind that are reported; a text with more is most likely not the expected kind of file. */
const MAX_FINDINGS = 500

/** Checks rules that span several values. The value may not match the schema. */
export type CheckRules = (value: unknown) => readonly RuleViolation[]

/**
 * Parses JSON with comments and validates it against a schema and against rules that span several values.
 * @example parseValidJson('{ "host": "a" }', v.strictObject({ host: v.string() }))
 * @returns the validated value, or every finding with line and column.
 */
export function parseValidJson<T> (text: string, schema: v.GenericSchema<unknown, T>, checkRules: CheckRules = () => [], maxLength = MAX_TEXT_LENGTH): Result<T, readonly Finding[]> {
  if (text.length > maxLength) return Result.err([createFinding('', 0, [], `The text is longer than ${maxLength} characters: shorten it.`)])
  const overflow = findNestingOverflow(text)
  if (overflow !== undefined) return Result.err([createFinding(text, overflow, [], `Arrays and objects are nested more than ${MAX_DEPTH} levels deep: flatten them.`)])
  const errors: ParseError[] = []
  const tree = parseTree(text, errors, { allowTrailingComma: true })
  const syntaxErrors = errors.slice(0, MAX_FINDINGS).map(error => createFinding(text, error.offset, [], `${printParseErrorCode(error.error)}.`))
  if (tree === undefined || syntaxErrors.length > 0) {
    return Result.err(syntaxErrors.length > 0 ? syntaxErrors : [createFinding(text, 0, [], 'The text is empty: expected a JSON object.')])
  }
  return checkTree(text, tree, schema, checkRules)
}

function checkTree<T> (text: string, tree: Node, schema: v.GenericSchema<unknown, T>, checkRules: CheckRules): Result<T, readonly Finding[]> {
  const value: unknown = getNodeValue(tree)
  const outcome = v.safeParse(schema, value)
  const issues = outcome.success ? [] : keepFirstPerPath(outcome.issues.slice(0, MAX_FINDINGS).map(issue => createIssueFinding(text, tree, issue)))
  const violations = checkRules(value).slice(0, MAX_FINDINGS).map(rule => createFinding(text, findOffset(tree, rule.path), rule.path, rule.text))
  const duplicates = findDuplicateNames(tree, []).slice(0, MAX_FINDINGS).map(name => createFinding(text, name.offset, name.path, 'The name occurs twice in the same object: remove one.'))
  const findings = [...issues, ...duplicates, ...violations]
  if (outcome.success && findings.length === 0) return Result.ok(outcome.output)
  return Result.err(findings.sort((a, b) => a.line - b.line || a.column - b.column))
}

function findNestingOverflow (text: string): number | undefined {
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
  const description = unknown ? 'Unknown name: check its spelling or remove it.' : missing ? `Missing value: expected ${issue.expected ?? 'a value'}.` : `${issue.message}.`
  return createFinding(text, unknown ? findNameOffset(tree, path) : findOffset(tree, path), path, description)
}

// Reports one finding for each path: a value that fails one check often fails the next for the same reason.
function keepFirstPerPath (findings: readonly Finding[]): readonly Finding[] {
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

interface DuplicateName {
  readonly offset: number
  readonly path: Path
}

function findDuplicateNames (node: Node, path: Path): readonly DuplicateName[] {
  if (node.type === 'array') return (node.children ?? []).flatMap((child, index) => findDuplicateNames(child, [...path, index]))
  if (node.type !== 'object') return []
  const seen = new Set<string>()
  return (node.children ?? []).flatMap(property => {
    const [name, value] = property.children ?? []
    if (name === undefined) return []
    const key = String(name.value)
    const duplicates = seen.has(key) ? [{ offset: name.offset, path: [...path, key] }] : []
    seen.add(key)
    return value === undefined ? duplicates : [...duplicates, ...findDuplicateNames(value, [...path, key])]
  })
}

function createFinding (text: string, offset: number, path: Path, description: string): Finding {
  const before = text.slice(0, offset).split('\n')
  return { line: before.length, column: before[before.length - 1]!.length + 1, path: formatPath(path), text: description }
}

function formatPath (path: Path): string {
  return path.map((part, index) => (typeof part === 'number' ? `[${part}]` : index === 0 ? part : `.${part}`)).join('')
}

/** The document of a service: who may call, at what rate, and how stale each route's reads may be. */
import type { Result } from 'true-myth'
import * as v from 'valibot'
import { parseValidJson } from '../core/checkedtext.js'
import type { Finding } from '../core/findings.js'
import { findDuplicates, readArray, readProperty, type RuleViolation } from '../core/loose.js'
import { Name } from '../core/names.js'

const MAX_AUTHORITY_LEASE_MS = 5_000
const DEFAULT_AUTHORITY_LEASE_MS = 2_000
const MAX_STALENESS_MS = 3_600_000

const Hash = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'Expected a SHA-256 in hexadecimal'))
const PositiveNumber = v.pipe(v.number(), v.gtValue(0, 'Expected a number over 0'))
const PositiveCount = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected a number of at least 1'))
const Staleness = v.pipe(v.number(), v.minValue(0, 'Expected milliseconds from 0'), v.maxValue(MAX_STALENESS_MS, `Expected at most ${MAX_STALENESS_MS} ms`))

/** A database group and how many databases it has. */
export const GroupSchema = v.pipe(v.strictObject({
  name: Name,
  databases: PositiveCount,
  connections: v.optional(v.pipe(PositiveCount, v.description('How many connections each database allows, where it does not say so itself.'))),
  copies: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.description('How many replicas hold a write before the primary acknowledges it.')))
}), v.readonly())

/** A key of a workspace; the key itself is nowhere stored. */
export const KeySchema = v.pipe(v.strictObject({ id: Name, sha256: Hash }), v.readonly())

/** A workspace: its rate in requests a second, its burst in requests, its group and its keys. */
export const WorkspaceSchema = v.pipe(v.strictObject({
  name: Name,
  rate: PositiveNumber,
  burst: PositiveCount,
  group: Name,
  keys: v.pipe(v.optional(v.array(KeySchema), []), v.readonly())
}), v.readonly())

/** A route: what a request may do, and how stale its answer may be. */
export const RouteSchema = v.pipe(v.strictObject({
  name: Name,
  access: v.optional(v.picklist(['keyed', 'open']), 'keyed'),
  action: v.pipe(v.picklist(['read', 'write', 'either']), v.description('What requests do; with either, each statement says so itself.')),
  maxStalenessMs: v.optional(Staleness, 0),
  idempotent: v.optional(v.boolean(), false),
  timeoutMs: v.optional(v.pipe(PositiveCount, v.description('How long one statement may take.'))),
  latencyMs: v.optional(v.pipe(PositiveCount, v.description('Within which time callers want their answer.'))),
  priority: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.description('Who goes first; 0 before all others.'))),
  idleTransactionMs: v.optional(v.pipe(PositiveCount, v.description('How long a transaction may wait for its caller.'))),
  group: v.optional(Name)
}), v.readonly())

/** The schema of a service's document. */
export const ServiceDocumentSchema = v.pipe(v.strictObject({
  $schema: v.optional(v.pipe(v.string(), v.description('The JSON Schema, for editors.'))),
  service: Name,
  owners: v.pipe(v.array(Name), v.minLength(1, 'Expected at least one owner'), v.readonly()),
  authorityLeaseMs: v.optional(v.pipe(v.number(), v.minValue(500, 'Expected at least 500 ms'), v.maxValue(MAX_AUTHORITY_LEASE_MS, `Expected at most ${MAX_AUTHORITY_LEASE_MS} ms`)), DEFAULT_AUTHORITY_LEASE_MS),
  groups: v.pipe(v.array(GroupSchema), v.minLength(1, 'Expected at least one group'), v.readonly()),
  workspaces: v.pipe(v.optional(v.array(WorkspaceSchema), []), v.readonly()),
  routes: v.pipe(v.optional(v.array(RouteSchema), []), v.readonly())
}), v.readonly())

/** A checked document of a service. */
export type ServiceDocument = v.InferOutput<typeof ServiceDocumentSchema>
/** A checked workspace. */
export type Workspace = v.InferOutput<typeof WorkspaceSchema>
/** A checked route. */
export type Route = v.InferOutput<typeof RouteSchema>

/**
 * Parses and checks a document.
 * @example parseDocument('{ "service": "rota", "owners": ["ana"], "groups": [{ "name": "g", "databases": 3 }] }')
 * @returns the document, or all findings with line and column.
 */
export function parseDocument (text: string): Result<ServiceDocument, readonly Finding[]> {
  return parseValidJson(text, ServiceDocumentSchema, checkReferences)
}

/**
 * Checks a document's references and names, whatever its shape.
 * @example checkReferences(document).map(finding => finding.text)
 */
export function checkReferences (value: unknown): readonly RuleViolation[] {
  const groups = new Set(readArray(value, 'groups').map(group => readProperty(group, 'name')))
  const workspaces = readArray(value, 'workspaces')
  const routes = readArray(value, 'routes')
  return [
    ...['groups', 'workspaces', 'routes'].flatMap(list => findDuplicates(readArray(value, list), [list], 'name')),
    ...workspaces.flatMap((workspace, index) => findDuplicates(readArray(workspace, 'keys'), ['workspaces', index, 'keys'], 'id')),
    ...checkSharedKeys(workspaces),
    ...workspaces.flatMap((workspace, index) => checkGroup(groups, workspace, ['workspaces', index])),
    ...routes.flatMap((route, index) => [...checkGroup(groups, route, ['routes', index]), ...checkOpenRoute(route, index)])
  ]
}

// A key tells its workspace, so two workspaces never share one.
function checkSharedKeys (workspaces: readonly unknown[]): readonly RuleViolation[] {
  const holders = new Map<unknown, number>()
  return workspaces.flatMap((workspace, index) => readArray(workspace, 'keys').flatMap((key, place) => {
    const sha256 = readProperty(key, 'sha256')
    const holder = holders.get(sha256) ?? index
    holders.set(sha256, holder)
    return holder === index ? [] : [{ path: ['workspaces', index, 'keys', place], text: `The key is that of workspace ${String(readProperty(workspaces[holder], 'name'))}, too.` }]
  }))
}

function checkOpenRoute (route: unknown, index: number): readonly RuleViolation[] {
  const named = readProperty(route, 'group') !== undefined
  if (readProperty(route, 'access') !== 'open' || named) return []
  return [{ path: ['routes', index], text: 'An open route names its group.' }]
}

function checkGroup (groups: ReadonlySet<unknown>, item: unknown, path: RuleViolation['path']): readonly RuleViolation[] {
  const group = readProperty(item, 'group')
  if (typeof group !== 'string' || groups.has(group)) return []
  return [{ path: [...path, 'group'], text: `Group "${group}" is not known.` }]
}

/** The document of a service: its database groups, workspaces with rate limits and keys, and routes with staleness bounds. */
import type { Result } from 'true-myth'
import * as v from 'valibot'
import { parseValidJson } from '../core/validjson.js'
import type { Finding } from '../core/findings.js'
import { findDuplicates, readArray, readProperty, type RuleViolation } from '../core/unchecked.js'
import { Name } from '../core/names.js'
import { findUnknownHomes, type Regions } from '../homes/homes.js'

const MAX_AUTHORITY_LEASE_MS = 5_000
const DEFAULT_AUTHORITY_LEASE_MS = 2_000
const MAX_STALENESS_MS = 3_600_000

const Sha256 = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'Expected a SHA-256 in hexadecimal'))
const PositiveNumber = v.pipe(v.number(), v.gtValue(0, 'Expected a number greater than 0'))
const PositiveCount = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected a number of at least 1'))
const StalenessMs = v.pipe(v.number(), v.minValue(0, 'Expected milliseconds from 0'), v.maxValue(MAX_STALENESS_MS, `Expected at most ${MAX_STALENESS_MS} ms`))

const Homes = v.pipe(v.array(Name), v.minLength(1, 'Expected at least one region'), v.readonly(), v.description('The regions in which the requests may run; those of a route and of a workspace both bind.'))

/** A database group and its number of databases. */
export const GroupSchema = v.pipe(v.strictObject({
  name: Name,
  databases: PositiveCount,
  connections: v.optional(v.pipe(PositiveCount, v.description('Maximum number of connections to each database, unless the database reports its own limit.'))),
  coldRate: v.optional(v.pipe(PositiveNumber, v.description('Requests per second to a database that has just come back and is cold, summed over all hosts; without a limit when absent.'))),
  copies: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.description('Number of replicas that must hold a write before the primary acknowledges it.')))
}), v.readonly())

/** A key of a workspace. Only the hash of the key is stored. */
export const KeySchema = v.pipe(v.strictObject({ id: Name, sha256: Sha256 }), v.readonly())

/** A workspace: its rate limit in requests per second, its burst in requests, its group and its keys. */
export const WorkspaceSchema = v.pipe(v.strictObject({
  name: Name,
  rate: PositiveNumber,
  burst: PositiveCount,
  group: Name,
  keys: v.pipe(v.optional(v.array(KeySchema), []), v.readonly()),
  homes: v.optional(Homes)
}), v.readonly())

/** A route: the access and action of its requests, and how stale their answers may be. */
export const RouteSchema = v.pipe(v.strictObject({
  name: Name,
  access: v.optional(v.picklist(['keyed', 'open']), 'keyed'),
  action: v.pipe(v.picklist(['read', 'write', 'either']), v.description('What requests do; with "either", each statement declares whether it reads or writes.')),
  maxStalenessMs: v.optional(StalenessMs, 0),
  idempotent: v.optional(v.boolean(), false),
  timeoutMs: v.optional(v.pipe(PositiveCount, v.description('Timeout of one statement, in milliseconds.'))),
  latencyMs: v.optional(v.pipe(PositiveCount, v.description('Latency target of a request, in milliseconds.'))),
  priority: v.optional(v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(0, 'Expected a number from 0'), v.description('Scheduling priority; 0 is the highest.'))),
  idleTransactionMs: v.optional(v.pipe(PositiveCount, v.description('Idle timeout of an open transaction, in milliseconds.'))),
  group: v.optional(Name),
  homes: v.optional(Homes)
}), v.readonly())

/** The schema of a service's document. */
export const ServiceDocumentSchema = v.pipe(v.strictObject({
  $schema: v.optional(v.pipe(v.string(), v.description('The JSON Schema of the document, for editors.'))),
  service: Name,
  owners: v.pipe(v.array(Name), v.minLength(1, 'Expected at least one owner'), v.readonly()),
  authorityLeaseMs: v.optional(v.pipe(v.number(), v.minValue(500, 'Expected at least 500 ms'), v.maxValue(MAX_AUTHORITY_LEASE_MS, `Expected at most ${MAX_AUTHORITY_LEASE_MS} ms`)), DEFAULT_AUTHORITY_LEASE_MS),
  groups: v.pipe(v.array(GroupSchema), v.minLength(1, 'Expected at least one group'), v.readonly()),
  workspaces: v.pipe(v.optional(v.array(WorkspaceSchema), []), v.readonly()),
  routes: v.pipe(v.optional(v.array(RouteSchema), []), v.readonly())
}), v.readonly())

/** A validated document of a service. */
export type ServiceDocument = v.InferOutput<typeof ServiceDocumentSchema>
/** A validated workspace. */
export type Workspace = v.InferOutput<typeof WorkspaceSchema>
/** A validated route. */
export type Route = v.InferOutput<typeof RouteSchema>

/**
 * Parses and validates a document.
 * @example parseDocument('{ "service": "rota", "owners": ["ana"], "groups": [{ "name": "g", "databases": 3 }] }')
 * @param regions the regions of the failure domains; homes in others are findings, too. Absent if they are not known.
 * @returns the document, or all findings with line and column.
 */
export function parseDocument (text: string, regions?: Regions): Result<ServiceDocument, readonly Finding[]> {
  const check = (value: unknown): readonly RuleViolation[] => [...checkReferences(value), ...(regions === undefined ? [] : findUnknownHomes(value, regions))]
  return parseValidJson(text, ServiceDocumentSchema, check)
}

/**
 * Checks a document's references and names. Tolerates values that don't match the schema.
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

// A key identifies its workspace, so two workspaces can't share one.
function checkSharedKeys (workspaces: readonly unknown[]): readonly RuleViolation[] {
  const owners = new Map<unknown, number>()
  return workspaces.flatMap((workspace, index) => readArray(workspace, 'keys').flatMap((key, position) => {
    const sha256 = readProperty(key, 'sha256')
    const owner = owners.get(sha256) ?? index
    owners.set(sha256, owner)
    return owner === index ? [] : [{ path: ['workspaces', index, 'keys', position], text: `The key is already used by workspace ${String(readProperty(workspaces[owner], 'name'))}.` }]
  }))
}

function checkOpenRoute (route: unknown, index: number): readonly RuleViolation[] {
  const hasGroup = readProperty(route, 'group') !== undefined
  if (readProperty(route, 'access') !== 'open' || hasGroup) return []
  return [{ path: ['routes', index], text: 'An open route must name its group.' }]
}

function checkGroup (groups: ReadonlySet<unknown>, item: unknown, path: RuleViolation['path']): readonly RuleViolation[] {
  const group = readProperty(item, 'group')
  if (typeof group !== 'string' || groups.has(group)) return []
  return [{ path: [...path, 'group'], text: `Group "${group}" is unknown: declare it, or use one that is declared.` }]
}

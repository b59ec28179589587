/** The document of a service: who may call, at what rate, and how stale each route's reads may be. */
import { Result } from 'true-myth'
import * as v from 'valibot'
import { locateFinding, parseChecked } from '../core/checkedtext.js'
import type { Finding } from '../core/findings.js'

const MAX_AUTHORITY_LEASE_MS = 5_000
const DEFAULT_AUTHORITY_LEASE_MS = 2_000
const MAX_STALENESS_MS = 3_600_000

const Name = v.pipe(v.string(), v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'Expected 1 to 63 letters, digits, dots, hyphens or underscores'))
const Hash = v.pipe(v.string(), v.regex(/^[0-9a-f]{64}$/, 'Expected a SHA-256 in hexadecimal'))
const PositiveNumber = v.pipe(v.number(), v.gtValue(0, 'Expected a number over 0'))
const PositiveCount = v.pipe(v.number(), v.integer('Expected a whole number'), v.minValue(1, 'Expected a number of at least 1'))
const Staleness = v.pipe(v.number(), v.minValue(0, 'Expected milliseconds from 0'), v.maxValue(MAX_STALENESS_MS, `Expected at most ${MAX_STALENESS_MS} ms`))

/** A database group and how many databases it has. */
export const GroupSchema = v.pipe(v.strictObject({ name: Name, databases: PositiveCount }), v.readonly())

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
  action: v.picklist(['read', 'write']),
  maxStalenessMs: v.optional(Staleness, 0),
  idempotent: v.optional(v.boolean(), false),
  group: v.optional(Name)
}), v.readonly())

/** The schema of a service's document. */
export const ServiceDocumentSchema = v.pipe(v.strictObject({
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
  const parsed = parseChecked(text, ServiceDocumentSchema)
  if (parsed.isErr) return parsed
  const findings = checkReferences(text, parsed.value)
  return findings.length === 0 ? parsed : Result.err(findings)
}

function checkReferences (text: string, document: ServiceDocument): readonly Finding[] {
  const groups = new Set(document.groups.map(group => group.name))
  return [
    ...checkDoubledNames(text, 'groups', document.groups),
    ...checkDoubledNames(text, 'workspaces', document.workspaces),
    ...checkDoubledNames(text, 'routes', document.routes),
    ...document.workspaces.flatMap((workspace, index) => checkGroup(text, groups, workspace.group, ['workspaces', index, 'group'])),
    ...document.routes.flatMap((route, index) => checkRoute(text, groups, route, index))
  ]
}

function checkRoute (text: string, groups: ReadonlySet<string>, route: Route, index: number): readonly Finding[] {
  if (route.group !== undefined) return checkGroup(text, groups, route.group, ['routes', index, 'group'])
  if (route.access !== 'open') return []
  return [locateFinding(text, ['routes', index], 'An open route names its group.')]
}

function checkGroup (text: string, groups: ReadonlySet<string>, group: string, path: ReadonlyArray<string | number>): readonly Finding[] {
  return groups.has(group) ? [] : [locateFinding(text, path, `Group "${group}" is not known.`)]
}

function checkDoubledNames (text: string, list: string, items: ReadonlyArray<{ readonly name: string }>): readonly Finding[] {
  const seen = new Set<string>()
  return items.flatMap((item, index) => {
    const doubled = seen.has(item.name)
    seen.add(item.name)
    return doubled ? [locateFinding(text, [list, index, 'name'], `The name "${item.name}" stands twice.`)] : []
  })
}

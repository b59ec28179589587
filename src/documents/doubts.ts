/** Doubts about a valid document: entries that no request can ever match, and limits that contradict each other. */
import type { Finding } from '../core/findings.js'
import type { RuleViolation } from '../core/unchecked.js'
import { parseValidJson } from '../core/validjson.js'
import { mergeHomes } from '../homes/homes.js'
import { ServiceDocumentSchema, type Route, type ServiceDocument, type Workspace } from './document.js'

/**
 * Lists the doubts about the text of a valid document, with line and column.
 * @example listDoubts(text, document)[0]?.line
 */
export function listDoubts (text: string, document: ServiceDocument): readonly Finding[] {
  const located = parseValidJson(text, ServiceDocumentSchema, () => findDoubts(document))
  return located.isErr ? located.error : []
}

/**
 * Lists the doubts about a valid document, each with its path. Such a document is accepted; some of it has no effect.
 * @example findDoubts(document).map(({ text }) => text)
 */
export function findDoubts (document: ServiceDocument): readonly RuleViolation[] {
  return [...findUnreachable(document), ...findContradictions(document)]
}

function findUnreachable (document: ServiceDocument): readonly RuleViolation[] {
  const { groups, workspaces, routes } = document
  const hasKeys = workspaces.some(({ keys }) => keys.length > 0)
  const usedGroups = new Set(routes.flatMap(route => (route.group !== undefined ? [route.group] : workspaces.map(({ group }) => group))))
  return [
    ...groups.flatMap(({ name }, index) => (usedGroups.has(name) ? [] : [{ path: ['groups', index], text: `No route leads to group ${name}: add one, or remove the group.` }])),
    ...workspaces.flatMap((workspace, index) => findUnreachableWorkspace(document, workspace).map(text => ({ path: ['workspaces', index], text }))),
    ...routes.flatMap((route, index) => (route.access === 'keyed' && !hasKeys ? [{ path: ['routes', index], text: `Route ${route.name} requires a key, and no workspace has one: grant one, or open the route.` }] : []))
  ]
}

function findUnreachableWorkspace ({ routes }: ServiceDocument, { name, keys, homes }: Workspace): readonly string[] {
  if (keys.length === 0) return [`Workspace ${name} has no key, so no request runs for it: grant one, or remove the workspace.`]
  const keyed = routes.filter(({ access }) => access === 'keyed')
  if (keyed.length === 0) return [`No route requires a key, so no request runs for workspace ${name}: add one, or remove the workspace.`]
  const isHomeless = keyed.every(route => mergeHomes(route.homes, homes)?.length === 0)
  return isHomeless ? [`Workspace ${name} has no home in common with any route, so all its requests are refused: change one of the lists.`] : []
}

function findContradictions ({ groups, workspaces, routes }: ServiceDocument): readonly RuleViolation[] {
  return [
    ...groups.flatMap(({ name, databases, copies = 0, connections }, index) => [
      ...(databases > 1 && copies >= databases ? [{ path: ['groups', index, 'copies'], text: `Group ${name} has ${databases - 1} replicas, and ${copies} have to hold each write: no write is ever acknowledged.` }] : []),
      ...findFewConnections(connections, workspaces.filter(({ group }) => group === name).length).map(text => ({ path: ['groups', index, 'connections'], text }))
    ]),
    ...workspaces.flatMap(({ name, rate, burst }, index) => (burst * 100 < rate ? [{ path: ['workspaces', index, 'burst'], text: `The burst of workspace ${name} is used up in less than 10 ms at its rate: requests within the rate are refused.` }] : [])),
    ...routes.flatMap((route, index) => findRouteContradictions(route).map(([field, text]) => ({ path: ['routes', index, field], text })))
  ]
}

// Half of the connections are left to the next owner.
function findFewConnections (connections: number | undefined, workspaces: number): readonly string[] {
  if (connections === undefined || workspaces <= connections / 2) return []
  return [`${workspaces} workspaces share ${Math.max(1, Math.floor(connections / 2))} connections to each database: where a connection belongs to a workspace, most requests wait for an opening.`]
}

function findRouteContradictions ({ name, action, maxStalenessMs, timeoutMs = Infinity, latencyMs = 0, idleTransactionMs = Infinity }: Route): ReadonlyArray<readonly [keyof Route, string]> {
  return [
    ...(timeoutMs < latencyMs ? [['timeoutMs', `A statement of route ${name} ends after ${timeoutMs} ms, before its latency target of ${latencyMs} ms.`] as const] : []),
    ...(action === 'write' && maxStalenessMs > 0 ? [['maxStalenessMs', `Route ${name} only writes, so its staleness has no effect.`] as const] : []),
    ...(idleTransactionMs < latencyMs ? [['idleTransactionMs', `A transaction of route ${name} may be idle for ${idleTransactionMs} ms, less than its latency target of ${latencyMs} ms.`] as const] : [])
  ]
}

/** The demo's two deployments: hosts, databases, document and API keys. */
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { parse } from 'jsonc-parser'
import { createKey } from '../src/admission/keys.js'
import type { ServiceDocument, Workspace } from '../src/documents/document.js'
import type { DatabasePlan, HostPlan } from './processes.js'

const ROOT = fileURLToPath(new URL(import.meta.url.includes('/dist/') ? '../..' : '..', import.meta.url))
const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3']
const HOSTS_PER_DOMAIN = 3

/** The name of a deployment. */
export type DeploymentName = 'atelier' | 'ramillete'

/** A workspace with its plaintext API key, for the demo's callers. */
export interface KeyedWorkspace {
  readonly name: string
  readonly key: string
  readonly rate: number
  readonly burst: number
  readonly group: string
}

/** The configuration of a deployment, from which it is started. */
export interface Deployment {
  readonly service: DeploymentName
  readonly hosts: readonly HostPlan[]
  readonly databases: readonly DatabasePlan[]
  readonly workspaces: readonly KeyedWorkspace[]
  /** The route on which sessions read their own writes. */
  readonly readRoute: string
  readonly writeRoute: string
  readonly documentText: string
}

interface DeploymentProfile {
  readonly connections: number
  readonly connectMs: number
  readonly readRoute: string
  readonly writeRoute: string
}

const DEPLOYMENT_PROFILES: Readonly<Record<DeploymentName, DeploymentProfile>> = {
  atelier: { connections: 20, connectMs: 10, readRoute: 'orders.list', writeRoute: 'orders.place' },
  ramillete: { connections: 50, connectMs: 30, readRoute: 'swaps.list', writeRoute: 'swaps.confirm' }
}

/**
 * Reads a deployment's document and creates an API key for each of its workspaces.
 * @example await readDeployment('atelier')
 * @throws Error when the document cannot be read.
 */
export async function readDeployment (service: DeploymentName): Promise<Deployment> {
  const text = await readFile(join(ROOT, 'examples/deployments', `${service}.document.jsonc`), 'utf8')
  const document = parse(text) as ServiceDocument
  const keyed = document.workspaces.map(workspace => ({ workspace, key: createKey() }))
  const workspaces = keyed.map(({ workspace, key }) => ({ ...workspace, keys: [{ id: 'demo', sha256: key.sha256 }] }))
  const { connections, connectMs, readRoute, writeRoute } = DEPLOYMENT_PROFILES[service]
  return {
    service,
    hosts: planHosts(),
    databases: document.groups.flatMap((group, index) => planGroupDatabases(group.name, index, connections, connectMs)),
    workspaces: keyed.map(({ workspace, key }) => createKeyedWorkspace(workspace, key.key)),
    readRoute,
    writeRoute,
    documentText: JSON.stringify({ ...document, workspaces }, undefined, 2)
  }
}

// The first host of each failure domain is a control host.
function planHosts (): readonly HostPlan[] {
  return FAILURE_DOMAINS.flatMap((failureDomain, domain) =>
    Array.from({ length: HOSTS_PER_DOMAIN }, (_, index) => ({ name: `host-${domain * HOSTS_PER_DOMAIN + index + 1}`, failureDomain, control: index === 0 })))
}

// Each group has one database per failure domain. The primaries rotate over the failure domains.
function planGroupDatabases (group: string, index: number, connections: number, connectMs: number): readonly DatabasePlan[] {
  return FAILURE_DOMAINS.map((failureDomain, domain) => ({
    name: `${group}-${domain + 1}`,
    group,
    failureDomain,
    primary: domain === index % FAILURE_DOMAINS.length,
    slots: 3,
    connections,
    connectMs,
    statementMs: 2
  }))
}

function createKeyedWorkspace ({ name, rate, burst, group }: Workspace, key: string): KeyedWorkspace {
  return { name, key, rate, burst, group }
}

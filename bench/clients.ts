/** Client connections of the benchmarks. */
import pg from 'pg'
import type { Deployment, KeyedWorkspace } from '../demo/deployment.js'
import type { StartedHost } from '../demo/processes.js'

/** Opens connections of a workspace, distributed evenly over hosts. */
export async function openClients (deployment: Deployment, workspace: KeyedWorkspace, hosts: readonly StartedHost[], count: number): Promise<readonly pg.Client[]> {
  return await Promise.all(Array.from({ length: count }, async (_, index) => await openClient(createHostConfig(deployment, workspace, hosts[index % hosts.length]!))))
}

/** Opens one connection. Errors on it while it is idle are ignored; the next query fails with them. */
export async function openClient (config: pg.ClientConfig): Promise<pg.Client> {
  const client = new pg.Client(config)
  client.on('error', () => undefined)
  await client.connect()
  return client
}

/** Creates the client settings for a connection through a host. */
export function createHostConfig (deployment: Deployment, workspace: KeyedWorkspace, host: StartedHost): pg.ClientConfig {
  const [ip, port] = host.addresses.callers.split(':')
  return { host: ip, port: Number(port), user: workspace.name, password: workspace.key, database: deployment.service }
}

/** Creates the client settings for a direct connection to a database. */
export function createDirectConfig (address: string): pg.ClientConfig {
  const [host, port] = address.split(':')
  return { host, port: Number(port), user: 'bench', database: 'postgres' }
}

export async function closeClients (clients: readonly pg.Client[]): Promise<void> {
  await Promise.all(clients.map(async client => await client.end().catch(() => undefined)))
}

/** Returns the deployment with changed rate limits and, with `statementMs`, a changed duration of each statement in milliseconds. */
export function changeRates (deployment: Deployment, change: (workspace: KeyedWorkspace) => { readonly rate: number, readonly burst: number }, statementMs?: number): Deployment {
  const document = JSON.parse(deployment.documentText) as { readonly workspaces: ReadonlyArray<Record<string, unknown>> }
  const workspaces = deployment.workspaces.map(workspace => ({ ...workspace, ...change(workspace) }))
  const documentWorkspaces = document.workspaces.map((workspace, index) => ({ ...workspace, rate: workspaces[index]!.rate, burst: workspaces[index]!.burst }))
  return {
    ...deployment,
    workspaces,
    databases: deployment.databases.map(database => ({ ...database, statementMs: statementMs ?? database.statementMs })),
    documentText: JSON.stringify({ ...document, workspaces: documentWorkspaces })
  }
}

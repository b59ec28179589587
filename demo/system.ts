/** Starts a deployment: its processes, its document and its tables. */
import pg from 'pg'
import { sendCommand } from '../src/operations/client.js'
import type { Deployment } from './deployment.js'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from './processes.js'

const READY_TIMEOUT_MS = 30_000
const RETRY_INTERVAL_MS = 50

/** The running processes of a deployment; disposal stops them. */
export interface RunningSystem extends AsyncDisposable {
  readonly hosts: readonly StartedHost[]
  readonly databases: readonly StartedDatabase[]
}

/**
 * Starts a deployment and waits until each group accepts writes.
 * @example await using system = await startSystem(deployment, directory)
 * @throws Error when a process, the document or a group is not ready in time.
 */
export async function startSystem (deployment: Deployment, directory: string): Promise<RunningSystem> {
  const hosts = await startHosts(deployment.hosts, directory)
  const databases = await startDatabases(deployment.databases, hosts, deployment.workspaces.map(workspace => workspace.key), directory)
  const system: RunningSystem = { hosts, databases, [Symbol.asyncDispose]: async () => await stopSystem(hosts, databases) }
  await retryUntilReady('the document', async () => await applyDocument(hosts, deployment))
  for (const group of new Set(deployment.workspaces.map(workspace => workspace.group))) {
    await retryUntilReady(`group ${group}`, async () => await createTable(hosts, deployment, group))
  }
  return system
}

async function stopSystem (hosts: readonly StartedHost[], databases: readonly StartedDatabase[]): Promise<void> {
  await endProcesses([...hosts, ...databases].map(started => started.process))
  await Promise.all(databases.map(database => database.relay[Symbol.asyncDispose]()))
}

async function applyDocument (hosts: readonly StartedHost[], deployment: Deployment): Promise<void> {
  const outcome = await sendCommand<{ accepted?: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text: deployment.documentText, version: 0 }, 'demo')
  if (outcome.accepted !== true) throw new Error(`document was rejected: ${JSON.stringify(outcome)}`)
}

async function createTable (hosts: readonly StartedHost[], deployment: Deployment, group: string): Promise<void> {
  const workspace = deployment.workspaces.find(candidate => candidate.group === group)!
  for (const { addresses } of hosts) {
    const [host, port] = addresses.callers.split(':')
    const client = new pg.Client({ host, port: Number(port), database: deployment.service, user: workspace.name, password: workspace.key })
    client.on('error', () => undefined)
    try {
      await client.connect()
      await client.query('CREATE TABLE IF NOT EXISTS orders (id text, session text)')
    } finally {
      await client.end().catch(() => undefined)
    }
  }
}

async function retryUntilReady (name: string, step: () => Promise<void>): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS
  while (true) {
    try {
      return await step()
    } catch (error) {
      if (performance.now() > deadlineMs) throw new Error(`${name} was not ready in time`, { cause: error })
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS))
    }
  }
}

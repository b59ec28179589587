/** A running deployment: its processes, its document in force, its tables. */
import pg from 'pg'
import { sendCommand } from '../src/operations/client.js'
import type { Deployment } from './deployment.js'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from './processes.js'

const READY_WITHIN_MS = 30_000
const TRY_AGAIN_MS = 50

/** The processes of a deployment. */
export interface RunningSystem extends AsyncDisposable {
  readonly hosts: readonly StartedHost[]
  readonly databases: readonly StartedDatabase[]
}

/**
 * Starts a deployment and waits until each group takes writes.
 * @example await using system = await startSystem(deployment, directory)
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
  if (outcome.accepted !== true) throw new Error(`the document was not accepted: ${JSON.stringify(outcome)}`)
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

async function retryUntilReady (what: string, step: () => Promise<void>): Promise<void> {
  const endsAtMs = performance.now() + READY_WITHIN_MS
  while (true) {
    try {
      return await step()
    } catch (error) {
      if (performance.now() > endsAtMs) throw new Error(`${what} is not ready`, { cause: error })
      await new Promise(resolve => setTimeout(resolve, TRY_AGAIN_MS))
    }
  }
}

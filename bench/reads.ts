/** Reads: the fraction served by replicas, and whether any answer exceeds the staleness bound of its route. */
import type pg from 'pg'
import { readDeployment, type Deployment } from '../demo/deployment.js'
import { startSystem } from '../demo/system.js'
import { changeRates, closeClients, createHostConfig, createDirectConfig, openClient } from './clients.js'
import { runLoad } from './openloop.js'
import type { Row } from './report.js'

const RATE = 100
const SECONDS = 6
const READERS = 6
const WRITE_INTERVAL_MS = 20
const MAX_STALENESS_MS = 1_000
const REPLICATION_LAG_MS = 100
const UNLIMITED = 1_000_000

interface ReadResults {
  replicas: number
  reads: number
  worstMs: number
  overBound: number
}

/**
 * Reads a continuously updated row in three ways. At the primary, the row is already up to the duration of
 * a write old, twice the replication lag; the check against the staleness bound allows for this.
 */
export async function runReads (directory: string): Promise<readonly Row[]> {
  const unlimited = changeRates(await readDeployment('atelier'), () => ({ rate: UNLIMITED, burst: UNLIMITED }))
  const deployment: Deployment = { ...unlimited, databases: unlimited.databases.map(database => ({ ...database, lagMs: REPLICATION_LAG_MS })) }
  await using system = await startSystem(deployment, directory)
  const workspace = deployment.workspaces[0]!
  const writer = await openClient(createHostConfig(deployment, workspace, system.hosts[0]!))
  await writer.query("INSERT INTO orders (id, session) VALUES ('beat', '0')")
  let stopped = false
  const writing = writeTimestamps(writer, () => stopped)
  await new Promise(resolve => setTimeout(resolve, MAX_STALENESS_MS))
  const hostConfigs = system.hosts.slice(0, READERS).map(host => createHostConfig(deployment, workspace, host))
  const databases = system.databases.filter(database => database.plan.group === workspace.group).map(database => createDirectConfig(database.address))
  const rows = [
    await observeReads('route that allows 1 s', hostConfigs, "/*route='orders.list'*/ "),
    await observeReads('primary only', hostConfigs, ''),
    await observeReads('round robin over all databases', databases, '')
  ]
  stopped = true
  await writing
  await closeClients([writer])
  return rows
}

// A write takes longer than the pause after it, because the replicas lag.
async function writeTimestamps (writer: pg.Client, stopped: () => boolean): Promise<void> {
  while (!stopped()) {
    await writer.query(`UPDATE orders SET session = '${Date.now()}' WHERE id = 'beat'`)
    await new Promise(resolve => setTimeout(resolve, WRITE_INTERVAL_MS))
  }
}

async function observeReads (way: string, configs: readonly pg.ClientConfig[], prefix: string): Promise<Row> {
  const clients = await Promise.all(Array.from({ length: READERS }, async (_, index) => await openClient(configs[index % configs.length]!)))
  const results: ReadResults = { replicas: 0, reads: 0, worstMs: 0, overBound: 0 }
  const load = await runLoad({ rate: RATE, seconds: SECONDS, send: async index => await readOnce(clients[index % READERS]!, prefix, results) })
  await closeClients(clients)
  return {
    way,
    reads: results.reads,
    failed: load.failed,
    fromReplicasPercent: Math.round(100 * results.replicas / Math.max(1, results.reads)),
    worstAgeMs: results.worstMs,
    overBound: results.overBound,
    p50Ms: load.p50Ms,
    p99Ms: load.p99Ms
  }
}

// The age counts from before the read, so that a slow answer does not count as a stale one.
async function readOnce (client: pg.Client, prefix: string, results: ReadResults): Promise<void> {
  const startedAtMs = Date.now()
  const result = await client.query<{ session: string, role: string }>(`${prefix}SELECT session, fulmartally_role() AS role FROM orders WHERE id = 'beat'`)
  const row = result.rows[0]
  if (row === undefined) throw new Error('the row is missing')
  const ageMs = startedAtMs - Number(row.session)
  results.reads += 1
  results.worstMs = Math.max(results.worstMs, ageMs)
  if (row.role === 'replica') results.replicas += 1
  if (ageMs > MAX_STALENESS_MS + 2 * REPLICATION_LAG_MS + WRITE_INTERVAL_MS) results.overBound += 1
}

/** Path: the overhead of a hop through fulmartally compared with a direct connection to the same database. */
import type pg from 'pg'
import { readDeployment } from '../demo/deployment.js'
import { startSystem } from '../demo/system.js'
import { changeRates, closeClients, createHostConfig, createDirectConfig, openClient } from './clients.js'
import { findThroughput, runLoad } from './openloop.js'
import type { Row } from './report.js'

const CLIENTS = 3
const RATE = 150
const SECONDS = 5
const WARM_UP_SECONDS = 3
const UNLIMITED = 1_000_000
const READ = "/*route='orders.list'*/ SELECT id FROM orders WHERE id = 'none'"

/** Measures the latency at a fixed rate, and the maximum throughput of three connections. */
export async function runPath (directory: string): Promise<readonly Row[]> {
  const deployment = changeRates(await readDeployment('atelier'), () => ({ rate: UNLIMITED, burst: UNLIMITED }), 0)
  await using system = await startSystem(deployment, directory)
  const workspace = deployment.workspaces[0]!
  const primary = system.databases.find(database => database.plan.group === workspace.group && database.plan.primary)!
  const localHost = system.hosts.find(host => host.plan.failureDomain === primary.plan.failureDomain)!
  const remoteHost = system.hosts.find(host => host.plan.failureDomain !== primary.plan.failureDomain)!
  const ways: ReadonlyArray<readonly [way: string, config: pg.ClientConfig]> = [
    ['direct to the database', createDirectConfig(primary.address)],
    ['host in the primary\'s domain', createHostConfig(deployment, workspace, localHost)],
    ['host in another domain', createHostConfig(deployment, workspace, remoteHost)],
    ['direct to the database, again', createDirectConfig(primary.address)]
  ]
  const rows: Row[] = []
  for (const [way, config] of ways) rows.push(await observeWay(way, config))
  return rows
}

async function observeWay (way: string, config: pg.ClientConfig): Promise<Row> {
  const clients = await Promise.all(Array.from({ length: CLIENTS }, async () => await openClient(config)))
  await findThroughput(CLIENTS, WARM_UP_SECONDS, async sender => await clients[sender]!.query(READ))
  const load = await runLoad({ rate: RATE, seconds: SECONDS, send: async index => await clients[index % CLIENTS]!.query(READ) })
  const statementsPerSecond = await findThroughput(CLIENTS, SECONDS, async sender => await clients[sender]!.query(READ))
  await closeClients(clients)
  const { p50Ms, p99Ms, failed } = load
  return { way, rate: RATE, p50Ms, p99Ms, failed, statementsPerSecond }
}

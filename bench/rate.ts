/** Rate limits: requests refused although the workspace stays within its rate, when its load is concentrated on few hosts. */
import { readDeployment } from '../demo/deployment.js'
import { startSystem } from '../demo/system.js'
import { changeRates, closeClients, openClients } from './clients.js'
import { roundFigure, runLoad } from './openloop.js'
import type { Row } from './report.js'

const SECONDS = 8
const CLIENTS = 9
const LOAD_WITHIN_RATE = 0.8
const SETTLE_MS = 1_500

/** Sends 80% of a workspace's rate through 9, 3 and 1 of the hosts; the baseline is computed for a static share of the rate on each host. */
export async function runRate (directory: string): Promise<readonly Row[]> {
  const deployment = changeRates(await readDeployment('ramillete'), workspace => workspace, 0)
  await using system = await startSystem(deployment, directory)
  const workspace = deployment.workspaces[0]!
  const rows: Row[] = []
  for (const count of [9, 3, 1]) {
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    const clients = await openClients(deployment, workspace, system.hosts.slice(0, count), CLIENTS)
    const rate = workspace.rate * LOAD_WITHIN_RATE
    const load = await runLoad({ rate, seconds: SECONDS, send: async index => await clients[index % CLIENTS]!.query('SELECT id FROM orders WHERE id = $1', ['none']) })
    await closeClients(clients)
    const admittedByFixedShares = Math.min(1, workspace.rate * count / system.hosts.length / rate)
    rows.push({
      hosts: count,
      asked: load.asked,
      refusedPercent: roundFigure(100 * load.failed / load.asked),
      refusedPercentWithFixedShares: roundFigure(100 * (1 - admittedByFixedShares)),
      p50Ms: load.p50Ms,
      p99Ms: load.p99Ms
    })
  }
  return rows
}

/** Fairness and rate limits: the throughput of each workspace while one sends several times its rate. */
import { mkdir } from 'node:fs/promises'
import { join } from 'node:path'
import { readDeployment, type Deployment, type DeploymentName, type KeyedWorkspace } from '../demo/deployment.js'
import { startSystem, type RunningSystem } from '../demo/system.js'
import { changeRates, closeClients, openClients } from './clients.js'
import { runLoad, roundFigure } from './openloop.js'
import type { Row } from './report.js'

const SECONDS = 5
const CLIENTS = 12
const LOAD_WITHIN_RATE = 0.9
const UNLIMITED = 1_000_000
const RATE_EXCEEDED = '53400'

interface WorkspaceLoad {
  readonly workspace: KeyedWorkspace
  readonly asked: number
  readonly answered: number
  readonly refused: number
  readonly seconds: number
}

/** Sends 5 and 10 times the rate of the first workspace, and 0.9 times that of the others; the baseline has no rate limits. */
export async function runFairness (directory: string): Promise<readonly Row[]> {
  const rows: Row[] = []
  for (const service of ['atelier', 'ramillete'] as const) {
    for (const times of [5, 10]) {
      rows.push(await observeOverload(service, times, 'rates and fair queue', join(directory, `${service}-${times}`)))
    }
    rows.push(await observeOverload(service, 10, 'no rates, fair queue alone', join(directory, `${service}-no-rates`)))
  }
  return rows
}

async function observeOverload (service: DeploymentName, times: number, way: string, directory: string): Promise<Row> {
  await mkdir(directory, { recursive: true })
  const configured = await readDeployment(service)
  const limited = way.startsWith('rates')
  const deployment = limited ? configured : changeRates(configured, () => ({ rate: UNLIMITED, burst: UNLIMITED }))
  await using system = await startSystem(deployment, directory)
  await new Promise(resolve => setTimeout(resolve, 1_000))
  const served = await Promise.all(configured.workspaces.map(async (workspace, index) =>
    await runWorkspace(deployment, system, workspace, index === 0 ? times : LOAD_WITHIN_RATE)))
  const others = served.slice(1)
  const greedy = served[0]!
  return {
    service,
    way,
    times,
    worstSharePercent: roundFigure(100 * Math.min(...others.map(one => one.answered / one.asked))),
    refusedWithinRatePercent: roundFigure(100 * addAll(others, one => one.refused) / addAll(others, one => one.asked)),
    greedyAnsweredPerSecond: roundFigure(greedy.answered / greedy.seconds),
    greedyRate: greedy.workspace.rate,
    greedyOverBound: Math.max(0, Math.round(greedy.answered - greedy.workspace.burst - greedy.workspace.rate * greedy.seconds))
  }
}

async function runWorkspace (deployment: Deployment, system: RunningSystem, configured: KeyedWorkspace, times: number): Promise<WorkspaceLoad> {
  const workspace = deployment.workspaces.find(candidate => candidate.name === configured.name)!
  const clients = await openClients(deployment, workspace, system.hosts, CLIENTS)
  let refused = 0
  const send = async (index: number): Promise<void> => {
    try {
      await clients[index % CLIENTS]!.query('SELECT id FROM orders WHERE id = $1', ['none'])
    } catch (error) {
      if ((error as { readonly code?: string }).code === RATE_EXCEEDED) refused += 1
      throw error
    }
  }
  const load = await runLoad({ rate: configured.rate * times, seconds: SECONDS, send })
  await closeClients(clients)
  return { workspace: configured, asked: load.asked, answered: load.answered, refused, seconds: load.seconds }
}

function addAll<T> (items: readonly T[], read: (item: T) => number): number {
  return items.reduce((total, item) => total + read(item), 0)
}

/** Failover: the interruption of writes after the loss of a primary. */
import { join } from 'node:path'
import { mkdir } from 'node:fs/promises'
import { readDeployment, type Deployment } from '../demo/deployment.js'
import { startFault, type FaultName } from '../demo/fault.js'
import { startSystem, type RunningSystem } from '../demo/system.js'
import { findLongestGap, type AcknowledgedWrite } from '../demo/statistics.js'
import { verifyWrites } from '../demo/verify.js'
import { closeClients, openClients } from './clients.js'
import type { Row } from './report.js'
import { sleep } from '../demo/sleep.js'

const RUNS = 5
const WRITERS = 6
const WRITE_INTERVAL_MS = 15
const LOAD_BEFORE_FAULT_MS = 1_000
const LOAD_AFTER_FAULT_MS = 5_000
const FAULTS: readonly FaultName[] = ['kill', 'freeze', 'cut']

/** Injects each of three faults into a primary, in several runs. */
export async function runFailover (directory: string): Promise<readonly Row[]> {
  const rows: Row[] = []
  for (const fault of FAULTS) {
    const runs: Array<{ readonly gapMs: number, readonly lost: number }> = []
    for (let run = 0; run < RUNS; run++) runs.push(await runOnce(fault, join(directory, `${fault}-${run}`)))
    const gaps = runs.map(run => run.gapMs).sort((a, b) => a - b)
    rows.push({
      fault,
      runs: RUNS,
      medianGapMs: Math.round(gaps[Math.floor(RUNS / 2)]!),
      worstGapMs: Math.round(gaps[RUNS - 1]!),
      lost: runs.reduce((sum, run) => sum + run.lost, 0)
    })
  }
  return rows
}

async function runOnce (name: FaultName, directory: string): Promise<{ readonly gapMs: number, readonly lost: number }> {
  await mkdir(directory, { recursive: true })
  const deployment = await readDeployment('ramillete')
  await using system = await startSystem(deployment, directory)
  const writes: AcknowledgedWrite[] = []
  let stopped = false
  const writers = runWriters(deployment, system, writes, () => stopped)
  await sleep(LOAD_BEFORE_FAULT_MS)
  const fault = startFault(name, system.databases)!
  await sleep(LOAD_AFTER_FAULT_MS)
  stopped = true
  const endedAtMs = performance.now()
  await writers
  fault.end()
  const verdict = await verifyWrites(deployment, system.hosts, writes)
  return { gapMs: findLongestGap(writes, fault.group, fault.atMs, endedAtMs), lost: verdict.lost + verdict.doubled }
}

async function runWriters (deployment: Deployment, system: RunningSystem, writes: AcknowledgedWrite[], stopped: () => boolean): Promise<void> {
  const group = system.databases.find(database => database.plan.primary)!.plan.group
  const workspace = deployment.workspaces.find(candidate => candidate.group === group)!
  const clients = await openClients(deployment, workspace, system.hosts, WRITERS)
  await Promise.all(clients.map(async (client, writer) => {
    for (let number = 0; !stopped(); number++) {
      const id = `writer-${writer}-${number}`
      const answered = client.query('INSERT INTO orders (id, session) VALUES ($1, $2)', [id, 'bench'])
      await answered.then(() => writes.push({ group, workspace: workspace.name, id, atMs: performance.now() }), () => undefined)
      await sleep(WRITE_INTERVAL_MS * WRITERS)
    }
  }))
  await closeClients(clients)
}

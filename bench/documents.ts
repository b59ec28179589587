/** Documents: time until a change is accepted, and until it is in force on every host. */
import { readDeployment } from '../demo/deployment.js'
import { startSystem } from '../demo/system.js'
import { sendCommand } from '../src/operations/client.js'
import { roundFigure } from './openloop.js'
import type { Row } from './report.js'

const CHANGES = 60

/** Applies versions one after another: first waits until each is accepted, then until each is in force on every host. */
export async function runDocuments (directory: string): Promise<readonly Row[]> {
  const deployment = await readDeployment('ramillete')
  await using system = await startSystem(deployment, directory)
  const accepted = await observeChanges(system.hosts[4]!.addresses.operators, deployment.documentText, 1, false)
  const inForce = await observeChanges(system.hosts[4]!.addresses.operators, deployment.documentText, CHANGES + 1, true)
  return [{ until: 'accepted', ...accepted }, { until: 'in force on all 9 hosts', ...inForce }]
}

async function observeChanges (operators: string, text: string, from: number, wait: boolean): Promise<Row> {
  const times: number[] = []
  for (let version = from; version < from + CHANGES; version++) {
    const startedAtMs = performance.now()
    const outcome = await sendCommand<{ readonly accepted?: boolean }>(operators, { name: 'document/apply', text, version, wait })
    if (outcome.accepted !== true) throw new Error(`version ${version} was not accepted: ${JSON.stringify(outcome)}`)
    times.push(performance.now() - startedAtMs)
  }
  times.sort((a, b) => a - b)
  return { changes: CHANGES, medianMs: roundFigure(times[CHANGES / 2]!), worstMs: roundFigure(times[CHANGES - 1]!) }
}

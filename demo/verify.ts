/** Compares what was acknowledged with what the databases hold at the end. */
import pg from 'pg'
import type { Deployment } from './deployment.js'
import type { StartedHost } from './processes.js'
import type { AcknowledgedWrite } from './tally.js'

const TRY_AGAIN_MS = 200
const TRIES = 50

/** What was found at the end. */
export interface Verdict {
  readonly lost: number
  readonly doubled: number
}

/**
 * Reads all rows at the primaries and looks for acknowledged writes that are missing or there twice.
 * @example await checkWrites(deployment, hosts, tally.writes)
 */
export async function checkWrites (deployment: Deployment, hosts: readonly StartedHost[], writes: readonly AcknowledgedWrite[]): Promise<Verdict> {
  let lost = 0
  let doubled = 0
  for (const group of new Set(writes.map(write => write.group))) {
    const counts = await countRows(deployment, hosts, group)
    doubled += [...counts.values()].filter(count => count > 1).length
    lost += writes.filter(write => write.group === group && !counts.has(write.id)).length
  }
  return { lost, doubled }
}

async function countRows (deployment: Deployment, hosts: readonly StartedHost[], group: string): Promise<ReadonlyMap<string, number>> {
  const counts = new Map<string, number>()
  for (const id of await readIds(deployment, hosts, group)) counts.set(id, (counts.get(id) ?? 0) + 1)
  return counts
}

async function readIds (deployment: Deployment, hosts: readonly StartedHost[], group: string): Promise<readonly string[]> {
  const workspace = deployment.workspaces.find(candidate => candidate.group === group)!
  let last: unknown
  for (let attempt = 0; attempt < TRIES; attempt++) {
    const [host, port] = hosts[attempt % hosts.length]!.addresses.callers.split(':')
    const client = new pg.Client({ host, port: Number(port), database: deployment.service, user: workspace.name, password: workspace.key })
    client.on('error', () => undefined)
    try {
      await client.connect()
      const result = await client.query<{ id: string }>('SELECT id FROM orders')
      return result.rows.map(row => row.id)
    } catch (error) {
      last = error
      await new Promise(resolve => setTimeout(resolve, TRY_AGAIN_MS))
    } finally {
      await client.end().catch(() => undefined)
    }
  }
  throw new Error(`group ${group} can not be read`, { cause: last })
}

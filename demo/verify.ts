/** Verifies after the load that the databases contain each acknowledged write exactly once. */
import pg from 'pg'
import type { Deployment } from './deployment.js'
import type { StartedHost } from './processes.js'
import type { AcknowledgedWrite } from './statistics.js'

const RETRY_INTERVAL_MS = 200
const MAX_ATTEMPTS = 50

/** The number of lost and duplicated writes. */
export interface VerificationResult {
  readonly lost: number
  readonly doubled: number
}

/**
 * Reads all rows from the primaries and counts acknowledged writes that are missing and rows that occur more than once.
 * @example await verifyWrites(deployment, hosts, statistics.writes)
 * @throws Error when a group cannot be read.
 */
export async function verifyWrites (deployment: Deployment, hosts: readonly StartedHost[], writes: readonly AcknowledgedWrite[]): Promise<VerificationResult> {
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
  let lastError: unknown
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const [host, port] = hosts[attempt % hosts.length]!.addresses.callers.split(':')
    const client = new pg.Client({ host, port: Number(port), database: deployment.service, user: workspace.name, password: workspace.key })
    client.on('error', () => undefined)
    try {
      await client.connect()
      const result = await client.query<{ id: string }>('SELECT id FROM orders')
      return result.rows.map(row => row.id)
    } catch (error) {
      lastError = error
      await new Promise(resolve => setTimeout(resolve, RETRY_INTERVAL_MS))
    } finally {
      await client.end().catch(() => undefined)
    }
  }
  throw new Error(`group ${group} cannot be read`, { cause: lastError })
}

/** Rate limits across processes: one workspace sends several times its rate through three hosts, another stays within its own. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import type pg from 'pg'
import { endProcesses, restartHost, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { sendCommand } from '../src/operations/client.js'
import { connectCaller } from './support/caller.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const GREEDY = { name: 'greedy', rate: 60, burst: 20, key: createKey() }
const MODEST = { name: 'modest', rate: 100, burst: 50, key: createKey() }
const RUN_MS = 6_000
/** Callers of a workspace per host, and the minimum interval between two requests of one caller. */
const GREEDY_CALLERS = 10
const MODEST_CALLERS = 1
const GREEDY_INTERVAL_MS = 50
const MODEST_INTERVAL_MS = 100
const RATE_EXCEEDED = '53400'

interface Counts {
  sent: number
  admitted: number
  refused: number
}

describe('rate limits across processes', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []

  const connect = async (host: StartedHost, workspace: typeof GREEDY): Promise<pg.Client> => await connectCaller(host, { workspace: workspace.name, key: workspace.key.key })

  const send = async (client: pg.Client, counts: Counts): Promise<void> => {
    counts.sent += 1
    try {
      await client.query('SELECT 1')
      counts.admitted += 1
    } catch (error) {
      if ((error as pg.DatabaseError).code === RATE_EXCEEDED) counts.refused += 1
    }
  }

  const runLoad = async (host: StartedHost, workspace: typeof GREEDY, counts: Counts): Promise<void> => {
    const callers = workspace === GREEDY ? GREEDY_CALLERS : MODEST_CALLERS
    await Promise.all(Array.from({ length: callers }, async () => await runCaller(host, workspace, counts)))
  }

  const runCaller = async (host: StartedHost, workspace: typeof GREEDY, counts: Counts): Promise<void> => {
    const client = await connect(host, workspace)
    const intervalMs = workspace === GREEDY ? GREEDY_INTERVAL_MS : MODEST_INTERVAL_MS
    const connection = { open: true }
    client.once('end', () => { connection.open = false })
    const endsAt = performance.now() + RUN_MS
    while (connection.open && performance.now() < endsAt) await Promise.all([send(client, counts), sleep(intervalMs)])
    await client.end()
  }

  const awaitModestRequests = async (): Promise<void> => {
    for (const host of hosts) {
      await pollUntil('a request of the modest workspace', async () => {
        const client = await connect(host, MODEST)
        await client.query('SELECT 1').finally(async () => await client.end())
        return true
      })
    }
  }

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    const plans = DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 }))
    databases = await startDatabases(plans, hosts, [GREEDY.key.key, MODEST.key.key], directory)
    const workspaces = [GREEDY, MODEST].map(({ name, rate, burst, key }) => ({ name, rate, burst, group: 'a', keys: [{ id: 'k1', sha256: key.sha256 }] }))
    const text = JSON.stringify({ service: 'rota', owners: ['ana'], groups: [{ name: 'a', databases: 3 }], workspaces })
    await pollUntil('the document to be accepted', async () => (await sendCommand<{ accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text, version: 0 })).accepted)
    await awaitModestRequests()
  })

  after(async () => {
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('admits at most burst plus rate through three hosts while one restarts, and does not affect another workspace', async function () {
    const greedy: Counts = { sent: 0, admitted: 0, refused: 0 }
    const modest: Counts = { sent: 0, admitted: 0, refused: 0 }
    const startedAt = performance.now()
    const loads = hosts.slice(0, 2).flatMap(host => [runLoad(host, GREEDY, greedy), runLoad(host, MODEST, modest)])
    const thirdLoad = runLoad(hosts[2]!, GREEDY, greedy).catch(() => undefined)
    await sleep(RUN_MS / 3)
    await endProcesses([hosts[2]!.process])
    await restartHost(hosts[2]!, directory)
    await pollUntil('a connection through the restarted host', async () => {
      const client = await connect(hosts[2]!, GREEDY)
      await client.end()
      return true
    })
    await runLoad(hosts[2]!, GREEDY, greedy)
    await Promise.all([...loads, thirdLoad])
    const elapsedMs = performance.now() - startedAt
    const most = GREEDY.burst + GREEDY.rate * elapsedMs / 1_000
    this.test!.title += ` (greedy: ${greedy.admitted} of ${greedy.sent} admitted, at most ${Math.floor(most)}; modest: ${modest.refused} of ${modest.sent} refused)`
    expect(greedy.admitted).to.be.at.most(most)
    expect(greedy.refused).to.be.above(0)
    expect(modest.refused / modest.sent).to.be.at.most(0.01)
  })
})

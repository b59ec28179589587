/** Graceful stop: a rolling restart of all hosts under load interrupts no request. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import type pg from 'pg'
import { endProcesses, restartHost, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { sendCommand } from '../src/operations/client.js'
import { connectCaller } from './support/caller.js'
import { pollUntil } from './support/poll.js'

const KEY = createKey()
const DOMAINS = ['north', 'east', 'south']
const CALLERS = 6
const WRITE_INTERVAL_MS = 20
/** The host is stopping: the request did not run, and the caller reconnects to another host. */
const STOPPING = '57P01'
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 3_000, burst: 3_000, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }]
}

interface CallerResults {
  readonly acknowledged: string[]
  readonly interrupted: string[]
  reconnects: number
}

describe('graceful stop', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []

  const connect = async (host: StartedHost): Promise<pg.Client> => await connectCaller(host, { workspace: 'parish', key: KEY.key })

  const writeRows = async (name: string, results: CallerResults, stopped: () => boolean): Promise<void> => {
    let client: pg.Client | undefined
    for (let number = 0; !stopped(); number++) {
      const id = `${name}-${number}`
      client ??= await connect(hosts[(number + results.reconnects) % hosts.length]!).catch(() => undefined)
      if (client === undefined || !await sendRequest(client, id, number, results)) {
        results.reconnects += 1
        await client?.end().catch(() => undefined)
        client = undefined
      }
      await new Promise(resolve => setTimeout(resolve, WRITE_INTERVAL_MS))
    }
    await client?.end()
  }

  // Returns false when the caller has to reconnect to another host.
  const sendRequest = async (client: pg.Client, id: string, number: number, results: CallerResults): Promise<boolean> => {
    try {
      await runRequest(client, id, number)
      results.acknowledged.push(id)
      return true
    } catch (error) {
      const { code = 'no code', message } = error as pg.DatabaseError
      // pg rejects a query locally when the connection ended before anything was sent.
      const unsent = message.includes('is not queryable')
      if (code !== STOPPING && !unsent) results.interrupted.push(`${id}: ${code} ${message}`)
      return false
    }
  }

  const runRequest = async (client: pg.Client, id: string, number: number): Promise<void> => {
    const insert = 'INSERT INTO swaps (id) VALUES ($1)'
    const autocommit = number % 3 > 0
    if (!autocommit) await client.query('BEGIN')
    await client.query(insert, [id])
    if (!autocommit) await client.query('COMMIT')
  }

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    const plans = DOMAINS.flatMap((failureDomain, domain) => [1, 2].map(number => ({ name: `host-${domain * 2 + number}`, failureDomain, control: number === 1 })))
    hosts = await startHosts(plans, directory)
    databases = await startDatabases(DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 })), hosts, [KEY.key], directory)
    await pollUntil('the document to be accepted', async () => (await sendCommand<{ accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text: JSON.stringify(DOCUMENT), version: 0 }, 'stopping')).accepted)
    for (const host of hosts) {
      await pollUntil(`a query through ${host.plan.name}`, async () => {
        const client = await connect(host)
        await client.query('CREATE TABLE IF NOT EXISTS swaps (id text)').finally(() => client.end())
        return true
      })
    }
  })

  after(async () => {
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('restarts each host in turn under load without interrupting a request or losing a write', async () => {
    const results: CallerResults = { acknowledged: [], interrupted: [], reconnects: 0 }
    let stopped = false
    const writing = Promise.all(Array.from({ length: CALLERS }, (_, index) => writeRows(`caller-${index}`, results, () => stopped)))
    for (const host of hosts) {
      const { child } = host.process
      const ended = new Promise<number | null>(resolve => child.once('exit', resolve))
      child.kill('SIGTERM')
      child.kill('SIGTERM')
      expect(await ended, `exit code of ${host.plan.name}`).to.equal(0)
      await restartHost(host, directory)
      await pollUntil(`${host.plan.name} to be ready`, async () => (await fetch(`http://${host.addresses.operators}/ready`)).ok)
    }
    stopped = true
    await writing
    const client = await connect(hosts[0]!)
    const rows = (await client.query<{ id: string }>('SELECT id FROM swaps')).rows.map(row => row.id)
    await client.end()
    expect(results.interrupted).to.deep.equal([])
    expect(results.acknowledged.filter(id => !rows.includes(id))).to.deep.equal([])
    expect(rows.length).to.equal(new Set(rows).size)
    expect(results.acknowledged.length).to.be.greaterThan(100)
  }).timeout(180_000)
})

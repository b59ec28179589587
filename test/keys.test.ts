/** Withdrawn keys across processes: idle connections, running requests, open transactions, and hosts partitioned from the leader. */
import { mkdtemp, readFile, readdir, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import pg from 'pg'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { sendCommand } from '../src/operations/client.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const REMAINING_KEY = createKey()
const WITHDRAWN_KEY = createKey()

function createDocument (hashes: readonly string[]): string {
  return JSON.stringify({
    service: 'rota',
    owners: ['ana'],
    authorityLeaseMs: 1_000,
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', rate: 3_000, burst: 300, group: 'a', keys: hashes.map((sha256, index) => ({ id: `k${index}`, sha256 })) }],
    routes: [{ name: 'slots.view', access: 'open', action: 'read', maxStalenessMs: 60_000, group: 'a' }]
  })
}

interface WatchedClient {
  readonly client: pg.Client
  /** The error that ended the connection. */
  readonly ended: Promise<pg.DatabaseError>
}

describe('withdrawn keys across processes', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []
  const clients: pg.Client[] = []

  const connect = async (host: StartedHost, options: Partial<pg.ClientConfig> = {}): Promise<WatchedClient> => {
    const [ip, port] = host.addresses.callers.split(':')
    const client = new pg.Client({ host: ip, port: Number(port), database: 'rota', user: 'parish', password: WITHDRAWN_KEY.key, ...options })
    const ended = new Promise<pg.DatabaseError>(resolve => client.once('error', error => resolve(error as pg.DatabaseError)))
    client.on('error', () => {})
    await client.connect()
    clients.push(client)
    return { client, ended }
  }

  const applyDocument = async (version: number, hashes: readonly string[]): Promise<boolean> => {
    const outcome = await sendCommand<{ readonly accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text: createDocument(hashes), version })
    return outcome.accepted
  }

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    const plans = DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 }))
    databases = await startDatabases(plans, hosts, [REMAINING_KEY.key, WITHDRAWN_KEY.key], directory)
    await pollUntil('the document to be accepted', async () => await applyDocument(0, [REMAINING_KEY.sha256, WITHDRAWN_KEY.sha256]))
    for (const host of hosts) {
      await pollUntil('a query through the host', async () => {
        const { client } = await connect(host)
        await client.query('CREATE TABLE IF NOT EXISTS swaps (id text, name text)')
        await client.end()
        return true
      })
    }
  })

  after(async () => {
    await Promise.all(clients.map(async client => await client.end().catch(() => undefined)))
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('ends idle connections and open transactions on all hosts, and keeps serving the remaining key', async () => {
    const idle = await Promise.all(hosts.map(async host => await connect(host)))
    const inTransaction = await connect(hosts[1]!)
    await inTransaction.client.query('BEGIN')
    await inTransaction.client.query("INSERT INTO swaps (id, name) VALUES ('w1', 'rolled back')")
    const open = await connect(hosts[2]!, { user: 'open', password: undefined })
    const stays = await connect(hosts[2]!, { password: REMAINING_KEY.key })
    const busy = await connect(hosts[0]!)
    const outcomes = sendUntilFailure(busy.client)
    expect(await applyDocument(1, [REMAINING_KEY.sha256])).to.equal(true)
    for (const { ended } of [...idle, inTransaction]) expect(await ended).to.include({ code: '28P01', detail: 'not run' })
    // If the connection ends between two requests, pg fails the next one with its own error, which has no SQLSTATE.
    const requestError = await outcomes as pg.DatabaseError
    expect(requestError.code === undefined ? await busy.ended : requestError).to.include({ code: '28P01', detail: 'not run' })
    const found = await stays.client.query("SELECT id FROM swaps WHERE id = 'w1'")
    expect(found.rowCount).to.equal(0)
    await open.client.query("/*route='slots.view'*/ SELECT 1")
    for (const host of hosts) {
      const refused = await connect(host).catch((error: pg.DatabaseError) => error)
      expect(refused).to.include({ code: '28P01', detail: 'not run' })
    }
  })

  it('writes no key into any log', async () => {
    const logs = (await readdir(directory)).filter(file => file.endsWith('.log'))
    expect(logs).to.have.length(hosts.length + databases.length)
    for (const file of logs) {
      const text = await readFile(join(directory, file), 'utf8')
      for (const { key, sha256 } of [REMAINING_KEY, WITHDRAWN_KEY]) {
        expect(text.includes(key), file).to.equal(false)
        expect(text.includes(sha256), file).to.equal(false)
      }
    }
  })

  it('refuses keyed requests and serves open routes on a host without a reachable leader', async () => {
    const keyed = await connect(hosts[1]!, { password: REMAINING_KEY.key })
    const open = await connect(hosts[1]!, { user: 'open', password: undefined })
    await keyed.client.query('SELECT 1')
    for (const index of [0, 2]) hosts[index]!.process.child.kill('SIGSTOP')
    try {
      await pollUntil('the refusal', async () => {
        const refused = await keyed.client.query('SELECT 1').then(() => undefined, (error: pg.DatabaseError) => error)
        return refused?.code === '57P03' && refused.message.includes('that its documents are current') && refused.detail === 'not run'
      })
      await open.client.query("/*route='slots.view'*/ SELECT 1")
    } finally {
      for (const index of [0, 2]) hosts[index]!.process.child.kill('SIGCONT')
    }
    await pollUntil('keyed requests to be served again', async () => (await keyed.client.query('SELECT 1')).rowCount === 1)
  })
})

// Sends requests one after another; returns the error of the first that fails.
async function sendUntilFailure (client: pg.Client): Promise<pg.DatabaseError> {
  while (true) {
    try {
      await client.query('SELECT 1')
    } catch (error) {
      return error as pg.DatabaseError
    }
  }
}

/** End-to-end tests with callers, hosts and databases in separate processes. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import pg from 'pg'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { sendCommand } from '../src/operations/client.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const GROUPS = ['a', 'b']
const KEY = createKey()
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: GROUPS.map(name => ({ name, databases: 3 })),
  workspaces: [{ name: 'parish', rate: 3_000, burst: 300, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }],
  routes: [
    { name: 'slots.view', access: 'open', action: 'read', maxStalenessMs: 2_000, group: 'a' },
    { name: 'slots.list', action: 'read', maxStalenessMs: 2_000 }
  ]
}

describe('end to end', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []

  const connect = async (host: StartedHost, options: Partial<pg.ClientConfig> = {}): Promise<pg.Client> => {
    const [ip, port] = host.addresses.callers.split(':')
    const client = new pg.Client({ host: ip, port: Number(port), database: 'rota', user: 'parish', password: KEY.key, ...options })
    await client.connect()
    return client
  }

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    const plans = GROUPS.flatMap(group => DOMAINS.map((failureDomain, index) => ({ name: `${group}${index + 1}`, group, failureDomain, primary: index === 0 })))
    databases = await startDatabases(plans, hosts, [KEY.key], directory)
    const text = JSON.stringify(DOCUMENT)
    await pollUntil('the document to be accepted', async () => (await sendCommand<{ accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text, version: 0 })).accepted)
    await pollUntil('a query through a host', async () => {
      const client = await connect(hosts[2]!)
      try {
        await client.query('CREATE TABLE IF NOT EXISTS swaps (id text, name text)')
        return true
      } finally {
        await client.end()
      }
    })
  })

  after(async () => {
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('serves simple and parameterised queries, and issues a session token', async () => {
    const client = await connect(hosts[0]!)
    await client.query("INSERT INTO swaps (id, name) VALUES ('1', 'ana')")
    const found = await client.query('SELECT name FROM swaps WHERE id = $1', ['1'])
    const token = await client.query('SHOW fulmartally.session')
    await client.end()
    expect(found.rows).to.deep.equal([{ name: 'ana' }])
    expect(token.rows[0]['fulmartally.session']).to.match(/^v1:rota:a=\d+\.\d+$/)
  })

  it('runs transactions and rolls them back', async () => {
    const client = await connect(hosts[1]!)
    await client.query('BEGIN')
    await client.query("INSERT INTO swaps (id, name) VALUES ('2', 'kept')")
    await client.query('COMMIT')
    await client.query('BEGIN')
    await client.query("INSERT INTO swaps (id, name) VALUES ('3', 'dropped')")
    await client.query('ROLLBACK')
    const found = await client.query("SELECT id FROM swaps WHERE id = '2' ")
    const dropped = await client.query("SELECT id FROM swaps WHERE id = '3' ")
    await client.end()
    expect(found.rowCount).to.equal(1)
    expect(dropped.rowCount).to.equal(0)
  })

  it('lets a session read its writes through another host', async () => {
    const first = await connect(hosts[0]!)
    await first.query("INSERT INTO swaps (id, name) VALUES ('4', 'roams')")
    const token = (await first.query('SHOW fulmartally.session')).rows[0]['fulmartally.session']
    await first.end()
    const second = await connect(hosts[2]!, { options: `-c fulmartally.session=${token}` })
    const found = await second.query("/*route='slots.list'*/ SELECT name FROM swaps WHERE id = '4'")
    await second.end()
    expect(found.rows).to.deep.equal([{ name: 'roams' }])
  })

  it('serves an open route without a key, and refuses a wrong key', async () => {
    const open = await connect(hosts[1]!, { user: 'open', password: undefined })
    await open.query("/*route='slots.view'*/ SELECT 1")
    const refused = await open.query('SELECT 1').catch((error: pg.DatabaseError) => error)
    await open.end()
    expect(refused).to.include({ code: '28000', detail: 'not run' })
    const wrong = await connect(hosts[1]!, { password: 'wrong' }).catch((error: pg.DatabaseError) => error)
    expect(wrong).to.include({ code: '28P01' })
  })
})

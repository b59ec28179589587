/** Guards against withdrawn keys whose refusal a PostgreSQL driver does not take for the answer to its next statement. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import pg from 'pg'
import { endProcesses, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { sendCommand } from '../src/operations/client.js'
import { connectCaller } from './support/caller.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const REMAINING_KEY = createKey()
const WITHDRAWN_KEYS = [createKey(), createKey(), createKey(), createKey()] as const
const REFUSAL = { code: '28P01', detail: 'not run' }

function createDocument (hashes: readonly string[]): string {
  return JSON.stringify({
    service: 'rota',
    owners: ['ana'],
    authorityLeaseMs: 1_000,
    groups: [{ name: 'a', databases: 3 }],
    workspaces: [{ name: 'parish', rate: 3_000, burst: 300, group: 'a', keys: hashes.map((sha256, index) => ({ id: `k${index}`, sha256 })) }]
  })
}

describe('a PostgreSQL driver whose key is withdrawn', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []
  let validHashes = [REMAINING_KEY, ...WITHDRAWN_KEYS].map(({ sha256 }) => sha256)
  let version = 0
  const clients: pg.Client[] = []

  const connect = async (key: string): Promise<pg.Client> => {
    const client = await connectCaller(hosts[0]!, { workspace: 'parish', key })
    clients.push(client)
    return client
  }

  const applyDocument = async (): Promise<boolean> => {
    const outcome = await sendCommand<{ readonly accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text: createDocument(validHashes), version })
    if (outcome.accepted) version += 1
    return outcome.accepted
  }

  /** Withdraws a key; returns once it is refused at the host of the callers. */
  const withdrawKey = async ({ key, sha256 }: typeof REMAINING_KEY): Promise<void> => {
    validHashes = validHashes.filter(hash => hash !== sha256)
    expect(await applyDocument()).to.equal(true)
    await pollUntil('the key to be refused', async () => await connect(key).then(() => false, (error: pg.DatabaseError) => error.code === REFUSAL.code))
  }

  const beginTransaction = async (key: string, row: string): Promise<pg.Client> => {
    const client = await connect(key)
    await client.query('BEGIN')
    await client.query(`INSERT INTO swaps (id, name) VALUES ('${row}', 'rolled back')`)
    return client
  }

  const countRows = async (row: string): Promise<number> => {
    const client = await connect(REMAINING_KEY.key)
    return (await client.query(`SELECT id FROM swaps WHERE id = '${row}'`)).rowCount ?? 0
  }

  const readError = async (sent: Promise<unknown>): Promise<unknown> => await sent.then(() => 'no error', (error: unknown) => error)

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    const plans = DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 }))
    databases = await startDatabases(plans, hosts, [REMAINING_KEY, ...WITHDRAWN_KEYS].map(({ key }) => key), directory)
    await pollUntil('the document to be accepted', applyDocument)
    await pollUntil('a query through the host', async () => {
      const client = await connect(REMAINING_KEY.key)
      await client.query('CREATE TABLE IF NOT EXISTS swaps (id text, name text)')
      return true
    })
  })

  after(async () => {
    await Promise.all(clients.map(async client => await client.end().catch(() => undefined)))
    await endProcesses([...hosts, ...databases].map(started => started.process))
    await rm(directory, { recursive: true, force: true })
  })

  it('gets the refusal as the answer to the next statement of its transaction, of which nothing is kept', async () => {
    const client = await beginTransaction(WITHDRAWN_KEYS[0].key, 'simple')
    await withdrawKey(WITHDRAWN_KEYS[0])
    expect(await readError(client.query("INSERT INTO swaps (id, name) VALUES ('simple', 'refused')"))).to.include(REFUSAL)
    expect(await countRows('simple')).to.equal(0)
  })

  it('gets the refusal as the answer to the next statement with parameters of its transaction, of which nothing is kept', async () => {
    const client = await beginTransaction(WITHDRAWN_KEYS[1].key, 'extended')
    await withdrawKey(WITHDRAWN_KEYS[1])
    expect(await readError(client.query('INSERT INTO swaps (id, name) VALUES ($1, $2)', ['extended', 'refused']))).to.include(REFUSAL)
    expect(await countRows('extended')).to.equal(0)
  })

  it('may roll its transaction back', async () => {
    const client = await beginTransaction(WITHDRAWN_KEYS[2].key, 'ended')
    await withdrawKey(WITHDRAWN_KEYS[2])
    expect(await client.query('ROLLBACK')).to.include({ command: 'ROLLBACK' })
    expect(await countRows('ended')).to.equal(0)
  })

  it('gets the refusal as the answer to its next statement when it was idle', async () => {
    const client = await connect(WITHDRAWN_KEYS[3].key)
    await client.query('SELECT 1')
    await withdrawKey(WITHDRAWN_KEYS[3])
    expect(await readError(client.query('SELECT 1'))).to.include(REFUSAL)
  })
})

/** Changes of primary with real processes: a primary is killed, frozen or moved, and returns, while callers keep writing. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect } from 'chai'
import type pg from 'pg'
import { endProcesses, restartDatabase, startDatabases, startHosts, type StartedDatabase, type StartedHost } from '../demo/processes.js'
import { createKey } from '../src/admission/keys.js'
import { ControlConnection, type ReportedStatus } from '../src/databases/postgres/control.js'
import { sendCommand } from '../src/operations/client.js'
import { connectCaller } from './support/caller.js'
import { pollUntil } from './support/poll.js'

const DOMAINS = ['north', 'east', 'south']
const KEY = createKey()
const WRITE_INTERVAL_MS = 10
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 5_000, burst: 5_000, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }],
  routes: []
}

interface WriteOutcomes {
  readonly acknowledged: string[]
  readonly refused: string[]
  readonly failed: string[]
  readonly acknowledgedAtMs: number[]
}

describe('changes of primary', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []
  let lastId = 0

  const connect = async (host: StartedHost): Promise<pg.Client> => await connectCaller(host, { workspace: 'parish', key: KEY.key })

  const write = async (host: StartedHost, outcomes: WriteOutcomes, isStopped: () => boolean): Promise<void> => {
    const client = await connect(host)
    while (!isStopped()) {
      const id = String(++lastId)
      const outcome = await client.query(`INSERT INTO swaps (id, name) VALUES ('${id}', 'x')`).then(() => undefined, (error: pg.DatabaseError) => error)
      if (outcome === undefined) {
        outcomes.acknowledged.push(id)
        outcomes.acknowledgedAtMs.push(performance.now())
      } else if (outcome.detail === 'not run') outcomes.refused.push(id)
      else outcomes.failed.push(`${id}: ${outcome.message}`)
      await new Promise(resolve => setTimeout(resolve, WRITE_INTERVAL_MS))
    }
    await client.end()
  }

  const writeDuring = async (action: () => Promise<void>): Promise<WriteOutcomes> => {
    const outcomes: WriteOutcomes = { acknowledged: [], refused: [], failed: [], acknowledgedAtMs: [] }
    let stopped = false
    const writers = hosts.map(async host => await write(host, outcomes, () => stopped))
    await pollUntil('the first writes', async () => outcomes.acknowledged.length > 20)
    await action()
    const countBefore = outcomes.acknowledged.length
    await pollUntil('writes after the action', async () => outcomes.acknowledged.length > countBefore + 20)
    stopped = true
    await Promise.all(writers)
    return outcomes
  }

  const readStatus = async (database: StartedDatabase): Promise<ReportedStatus> => {
    const control = ControlConnection.create(database.address)
    try {
      return await control.readStatus()
    } finally {
      await control[Symbol.asyncDispose]()
    }
  }

  const findPrimary = async (): Promise<StartedDatabase> => {
    const statuses = await Promise.all(databases.map(async database => ({ database, status: await readStatus(database).catch(() => undefined) })))
    const primaries = statuses.filter(({ status }) => status?.primary === true).sort((a, b) => b.status!.position.term - a.status!.position.term)
    if (primaries[0] === undefined) throw new Error('no database is primary')
    return primaries[0].database
  }

  const expectConsistentWrites = async (outcomes: WriteOutcomes): Promise<void> => {
    const client = await connect(hosts[1]!)
    const rows = (await client.query('SELECT id FROM swaps')).rows.map(row => row.id as string)
    await client.end()
    expect(outcomes.acknowledged.filter(id => !rows.includes(id)), 'lost').to.deep.equal([])
    expect(rows.filter((id, index) => rows.indexOf(id) !== index), 'duplicated').to.deep.equal([])
    expect(outcomes.refused.filter(id => rows.includes(id)), 'refused as not run, but present').to.deep.equal([])
  }

  const countRows = async (host: StartedHost): Promise<number> => {
    const client = await connect(host)
    const { rowCount } = await client.query('SELECT id FROM swaps')
    await client.end()
    return rowCount ?? 0
  }

  const awaitOtherPrimary = async (former: StartedDatabase): Promise<void> => {
    await pollUntil('another primary', async () => (await findPrimary()) !== former)
  }

  const awaitReplication = async (): Promise<void> => {
    await pollUntil('one primary and equal log positions', async () => {
      const statuses = await Promise.all(databases.map(readStatus))
      const positions = new Set(statuses.map(({ position }) => `${position.term}/${position.offset}`))
      return statuses.filter(status => status.primary).length === 1 && positions.size === 1
    })
  }

  before(async () => {
    directory = await mkdtemp(join(tmpdir(), 'fulmartally-'))
    hosts = await startHosts(DOMAINS.map((failureDomain, index) => ({ name: `host-${index + 1}`, failureDomain, control: true })), directory)
    const plans = DOMAINS.map((failureDomain, index) => ({ name: `a${index + 1}`, group: 'a', failureDomain, primary: index === 0 }))
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

  const reportGap = (what: string, outcomes: WriteOutcomes): void => {
    const gaps = outcomes.acknowledgedAtMs.slice(1).map((time, index) => time - outcomes.acknowledgedAtMs[index]!)
    if (process.env.FULMARTALLY_GAPS !== undefined) process.stderr.write(`${JSON.stringify({ what, gapMs: Math.round(Math.max(...gaps)), refused: outcomes.refused.length, unknown: outcomes.failed.length })}\n`)
  }

  it('keeps each acknowledged write when the primary is killed, and when it returns', async () => {
    const former = await findPrimary()
    const outcomes = await writeDuring(async () => {
      await endProcesses([former.process])
      await awaitOtherPrimary(former)
    })
    reportGap('kill', outcomes)
    await expectConsistentWrites(outcomes)
    await restartDatabase(former, directory)
    await awaitReplication()
    await expectConsistentWrites(outcomes)
  })

  it('moves a primary on command without losing or refusing a write', async () => {
    const former = await findPrimary()
    const next = databases.find(database => database !== former)!
    const outcomes = await writeDuring(async () => {
      await sendCommand(hosts[2]!.addresses.operators, { name: 'primary/move', group: 'a', database: next.plan.name })
      await pollUntil('the new primary', async () => (await readStatus(next)).primary)
    })
    reportGap('move', outcomes)
    await awaitReplication()
    await expectConsistentWrites(outcomes)
    expect({ failed: outcomes.failed, refused: outcomes.refused.length }).to.deep.equal({ failed: [], refused: 0 })
  })

  it('keeps each acknowledged write when the failure domain of the primary freezes, and fences it when it resumes', async () => {
    const [, second] = databases
    if (await findPrimary() !== second) {
      await sendCommand(hosts[0]!.addresses.operators, { name: 'primary/move', group: 'a', database: second!.plan.name })
      await pollUntil('the new primary', async () => (await readStatus(second!)).primary)
    }
    const domain = [hosts[1]!.process, second!.process]
    const outcomes = await writeDuring(async () => {
      for (const { child } of domain) child.kill('SIGSTOP')
      await awaitOtherPrimary(second!)
      await pollUntil('a query through a host outside the frozen domain', async () => await countRows(hosts[2]!) > 0)
      for (const { child } of domain) child.kill('SIGCONT')
      await pollUntil('the deposed primary to step down', async () => !(await readStatus(second!)).primary)
    })
    reportGap('domain', outcomes)
    await awaitReplication()
    await expectConsistentWrites(outcomes)
  })

  it('keeps each acknowledged write when the primary freezes, and fences it when it resumes', async () => {
    const former = await findPrimary()
    const outcomes = await writeDuring(async () => {
      former.process.child.kill('SIGSTOP')
      await awaitOtherPrimary(former)
      former.process.child.kill('SIGCONT')
      await pollUntil('the deposed primary to step down', async () => !(await readStatus(former)).primary)
    })
    reportGap('freeze', outcomes)
    await awaitReplication()
    await expectConsistentWrites(outcomes)
  })
})

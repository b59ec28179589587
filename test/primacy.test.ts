/** Changes of primary with real processes: kill, freeze and return, with callers that write all the time. */
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
const WRITE_EVERY_MS = 10
const DOCUMENT = {
  service: 'rota',
  owners: ['ana'],
  groups: [{ name: 'a', databases: 3 }],
  workspaces: [{ name: 'parish', rate: 5_000, burst: 5_000, group: 'a', keys: [{ id: 'k1', sha256: KEY.sha256 }] }],
  routes: []
}

interface Tally {
  readonly acknowledged: string[]
  readonly refused: string[]
  readonly failed: string[]
  readonly times: number[]
}

describe('changes of primary', () => {
  let directory: string
  let hosts: readonly StartedHost[] = []
  let databases: readonly StartedDatabase[] = []
  let written = 0

  const connect = async (host: StartedHost): Promise<pg.Client> => await connectCaller(host, { workspace: 'parish', key: KEY.key })

  const write = async (host: StartedHost, tally: Tally, isOver: () => boolean): Promise<void> => {
    const client = await connect(host)
    while (!isOver()) {
      const id = String(++written)
      const outcome = await client.query(`INSERT INTO swaps (id, name) VALUES ('${id}', 'x')`).then(() => undefined, (error: pg.DatabaseError) => error)
      if (outcome === undefined) {
        tally.acknowledged.push(id)
        tally.times.push(performance.now())
      } else if (outcome.detail === 'not run') tally.refused.push(id)
      else tally.failed.push(`${id}: ${outcome.message}`)
      await new Promise(resolve => setTimeout(resolve, WRITE_EVERY_MS))
    }
    await client.end()
  }

  const writeDuring = async (step: () => Promise<void>): Promise<Tally> => {
    const tally: Tally = { acknowledged: [], refused: [], failed: [], times: [] }
    let over = false
    const writers = hosts.map(async host => await write(host, tally, () => over))
    await pollUntil('the first writes', async () => tally.acknowledged.length > 20)
    await step()
    const before = tally.acknowledged.length
    await pollUntil('writes after the step', async () => tally.acknowledged.length > before + 20)
    over = true
    await Promise.all(writers)
    return tally
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

  const expectKept = async (tally: Tally): Promise<void> => {
    const client = await connect(hosts[1]!)
    const rows = (await client.query('SELECT id FROM swaps')).rows.map(row => row.id as string)
    await client.end()
    expect(tally.acknowledged.filter(id => !rows.includes(id)), 'lost').to.deep.equal([])
    expect(rows.filter((id, index) => rows.indexOf(id) !== index), 'doubled').to.deep.equal([])
    expect(tally.refused.filter(id => rows.includes(id)), 'refused as not run, yet there').to.deep.equal([])
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

  const awaitReplicas = async (): Promise<void> => {
    await pollUntil('one primary and equal logs', async () => {
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
    await pollUntil('the document', async () => (await sendCommand<{ accepted: boolean }>(hosts[0]!.addresses.operators, { name: 'document/apply', text, version: 0 })).accepted)
    await pollUntil('the group', async () => {
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

  const reportGap = (what: string, tally: Tally): void => {
    const gaps = tally.times.slice(1).map((time, index) => time - tally.times[index]!)
    if (process.env.FULMARTALLY_GAPS !== undefined) process.stderr.write(`${JSON.stringify({ what, gapMs: Math.round(Math.max(...gaps)), refused: tally.refused.length, unknown: tally.failed.length })}\n`)
  }

  it('keeps each acknowledged write when the primary is killed, and when it comes back', async () => {
    const former = await findPrimary()
    const tally = await writeDuring(async () => {
      await endProcesses([former.process])
      await awaitOtherPrimary(former)
    })
    reportGap('kill', tally)
    await expectKept(tally)
    await restartDatabase(former, directory)
    await awaitReplicas()
    await expectKept(tally)
  })

  it('moves a primary on command without losing or refusing a write', async () => {
    const former = await findPrimary()
    const next = databases.find(database => database !== former)!
    const tally = await writeDuring(async () => {
      await sendCommand(hosts[2]!.addresses.operators, { name: 'primary/move', group: 'a', database: next.plan.name })
      await pollUntil('the moved primary', async () => (await readStatus(next)).primary)
    })
    reportGap('move', tally)
    await awaitReplicas()
    await expectKept(tally)
    expect({ failed: tally.failed, refused: tally.refused.length }).to.deep.equal({ failed: [], refused: 0 })
  })

  it('keeps each acknowledged write when the whole domain of the primary freezes, and shuts it out when it thaws', async () => {
    const [, second] = databases
    if (await findPrimary() !== second) {
      await sendCommand(hosts[0]!.addresses.operators, { name: 'primary/move', group: 'a', database: second!.plan.name })
      await pollUntil('the moved primary', async () => (await readStatus(second!)).primary)
    }
    const domain = [hosts[1]!.process, second!.process]
    const tally = await writeDuring(async () => {
      for (const { child } of domain) child.kill('SIGSTOP')
      await awaitOtherPrimary(second!)
      await pollUntil('writes without the domain', async () => await countRows(hosts[2]!) > 0)
      for (const { child } of domain) child.kill('SIGCONT')
      await pollUntil('the deposed primary to step down', async () => !(await readStatus(second!)).primary)
    })
    reportGap('domain', tally)
    await awaitReplicas()
    await expectKept(tally)
  })

  it('keeps each acknowledged write when the primary freezes, and shuts it out when it thaws', async () => {
    const former = await findPrimary()
    const tally = await writeDuring(async () => {
      former.process.child.kill('SIGSTOP')
      await awaitOtherPrimary(former)
      former.process.child.kill('SIGCONT')
      await pollUntil('the deposed primary to step down', async () => !(await readStatus(former)).primary)
    })
    reportGap('freeze', tally)
    await awaitReplicas()
    await expectKept(tally)
  })
})

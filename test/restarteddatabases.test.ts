/** Guards against a database that starts again under its id and then never leaves (docs/incidents/restarted-databases.md). */
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import type { WireDatabase } from '../standin/wire/database.js'
import { pollUntil } from './support/poll.js'
import { Requester, WireDeployment } from './support/wire.js'

const KEY = 'k-parish-1'
const DOWN_MS = 300
const PAUSE_MS = 20
/** The time that hosts need to move the primary and to direct reads elsewhere; the platform allows 7 s. */
const LEAVES_WITHIN_MS = 4_000
const WATCHED_MS = 2_000
const CONFIGURATION = {
  version: 3,
  routes: [
    { name: 'r1', host: 'orders', path_prefix: '/', type: 'primary', timeout_ms: 2_000, target_latency_ms: 150, priority: 0, service: 'rota', public: false },
    { name: 'r2', host: 'views', path_prefix: '/', type: 'bounded_staleness', timeout_ms: 2_000, target_latency_ms: 500, priority: 1, service: 'rota', max_staleness_ms: 1_500, public: false }
  ],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [{ name: 'parish', api_keys: [KEY], priority: 1, rate_per_s: 2_000, burst: 2_000 }]
}

describe('a database that starts again under its id', () => {
  let deployment: WireDeployment
  let stopped: boolean
  let load: ReadonlyArray<Promise<void>>
  const isStopped = (): boolean => stopped

  // Sends statements until stopped, through a new session whenever one ended.
  const sendStatements = async (address: string, route: string, text: string): Promise<void> => {
    for (let count = 0; !isStopped();) {
      const [requester, started] = await Requester.create(address, route, KEY)
      let failed = started.error !== undefined
      while (!isStopped() && !failed) {
        failed = (await requester.query(`${route}${count++}`, text)).error === 'closed'
        await sleep(PAUSE_MS)
      }
      requester.close()
      await sleep(PAUSE_MS)
    }
  }
  const findPrimary = (): WireDatabase => deployment.databases.find(({ member }) => member.id === deployment.group.primary)!
  const findReplica = (): WireDatabase => deployment.databases.find(({ member }) => member.id !== deployment.group.primary)!
  const restart = async (database: WireDatabase, downMs = DOWN_MS): Promise<void> => {
    database.stop()
    await sleep(downMs)
    await database.restart()
  }
  const listRuns = (database: WireDatabase): readonly unknown[] => deployment.runs.filter(run => run.database === database.member.id)
  const expectLeft = async (database: WireDatabase): Promise<void> => {
    await sleep(LEAVES_WITHIN_MS)
    const before = listRuns(database).length
    const others = deployment.runs.length - before
    await sleep(WATCHED_MS)
    expect(listRuns(database).length - before, 'statements that still come').to.equal(0)
    expect(deployment.runs.length - before - others, 'statements at the others').to.be.greaterThan(0)
  }

  beforeEach(async () => {
    stopped = false
    deployment = await WireDeployment.create()
    await pollUntil('the configuration', async () => await deployment.putConfiguration(CONFIGURATION) === 200)
    load = deployment.callers.flatMap(address => [sendStatements(address, 'orders', 'WRITE a one'), sendStatements(address, 'views', 'READ a')])
    await pollUntil('writes and reads at all databases', async () => deployment.databases.every(database => listRuns(database).length > 0))
  })

  afterEach(async () => {
    stopped = true
    await Promise.all(load)
    await deployment[Symbol.asyncDispose]()
  })

  it('leaves as a primary, which another database becomes, once it says that it departs', async () => {
    const database = findPrimary()
    await restart(database)
    await pollUntil('statements at the new start', async () => listRuns(database).length > 100)
    await database.drain()
    await expectLeft(database)
    expect(deployment.group.primary).to.not.equal(database.member.id)
  })

  it('leaves as a primary once it deregisters, though it answers on', async () => {
    const database = findPrimary()
    await restart(database)
    await sleep(1_000)
    await database.withdraw()
    await expectLeft(database)
    expect(deployment.group.primary).to.not.equal(database.member.id)
  })

  it('leaves as a replica that started several times', async () => {
    const database = findReplica()
    for (let count = 0; count < 2; count++) {
      await restart(database)
      await sleep(500)
    }
    await database.drain()
    await expectLeft(database)
  })

  it('is still primary after several short absences, and no other database is promoted', async () => {
    const database = findPrimary()
    for (let count = 0; count < 3; count++) {
      await restart(database, 200)
      await sleep(200)
    }
    const before = listRuns(database).length
    await sleep(WATCHED_MS)
    expect(listRuns(database).length).to.be.greaterThan(before)
    expect(deployment.appointedGroups).to.deep.equal([])
  })
})

/** Operators' orders on a zone over the platform's protocols: hosts, databases and the stand-in of the platform. */
import { expect } from 'chai'
import { createDesiredState, KEY, pollUntil } from './support/wireservice.js'
import { Requester, WireDeployment } from './support/wire.js'

const ZONE_BY_DATABASE: ReadonlyMap<string, string> = new Map([['i-0', 'zone-a'], ['i-1', 'zone-b'], ['i-2', 'zone-c']])
/** The promised time from the acknowledgement of an order until it is in force at every host. */
const EVACUATE_MS = 5_000

// Opens a session at each host, once its first statement is answered.
async function connectToAll (deployment: WireDeployment, database: string, text: string): Promise<readonly Requester[]> {
  const requesters: Requester[] = []
  for (const address of deployment.callers) {
    await pollUntil(async () => {
      const [requester, answer] = await Requester.create(address, database, KEY)
      const isServed = answer.error === undefined && (await requester.query('s', text)).error === undefined
      if (isServed) requesters.push(requester)
      else requester.close()
      return isServed
    })
  }
  return requesters
}

async function writeUntilServed (requesters: readonly Requester[], text: string): Promise<void> {
  for (const [index, requester] of requesters.entries()) await pollUntil(async () => (await requester.query(`s${index}`, text)).error === undefined)
}

describe('an evacuation on the platform\'s protocols', () => {
  it('moves the primary out of the zone, keeps all requests from its databases, and is taken back', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const [writers, readers] = [await connectToAll(deployment, 'orders', 'WRITE a one'), await connectToAll(deployment, 'views', 'READ a')]
    const former = deployment.group.primary
    const zone = ZONE_BY_DATABASE.get(former)!
    expect((await deployment.sendOrder(zone, 'begin')).status).to.equal(200)
    const acknowledgedAtMs = performance.now()
    expect((await deployment.sendOrder(zone, 'begin', 1)).status).to.equal(200)
    // Until the order is in force at its owner, the former primary may serve.
    await pollUntil(async () => deployment.group.primary !== former)
    await writeUntilServed(writers, 'WRITE a two')
    expect(deployment.group.primary).not.to.equal(former)
    expect(performance.now() - acknowledgedAtMs).to.be.below(EVACUATE_MS)
    const before = deployment.runs.length
    for (let round = 0; round < 20; round++) {
      for (const requester of [...writers, ...readers]) await requester.query('r', 'READ a')
    }
    const used = new Set(deployment.runs.slice(before).map(({ database }) => database))
    expect(used.size).to.be.above(0)
    expect([...used]).not.to.include(former)
    expect((await deployment.sendOrder(zone, 'end')).status).to.equal(200)
    await pollUntil(async () => {
      for (const requester of readers) await requester.query('r', 'READ a')
      return deployment.runs.slice(before).some(({ database }) => database === former)
    })
  })

  it('refuses at once what only an evacuated zone can run, and rolls transactions back that do not end', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const writers = await connectToAll(deployment, 'orders', 'WRITE a one')
    const [first, second] = writers
    expect((await first!.query('t1', 'BEGIN')).status).to.equal('open')
    expect((await first!.query('t2', 'WRITE a lost')).error).to.equal(undefined)
    const zones = [...ZONE_BY_DATABASE.values()]
    for (const zone of zones) expect((await deployment.sendOrder(zone, 'begin')).status).to.equal(200)
    await pollUntil(async () => (await second!.query('w', 'WRITE a two')).error === 'BUSY')
    const startedAtMs = performance.now()
    expect((await second!.query('w', 'WRITE a two')).error).to.equal('BUSY')
    expect(performance.now() - startedAtMs).to.be.below(150)
    await new Promise(resolve => setTimeout(resolve, 2_200))
    const before = deployment.runs.length
    expect((await first!.query('t3', 'COMMIT')).error).to.equal('ABORTED')
    expect(deployment.runs.length).to.equal(before)
    for (const zone of zones) expect((await deployment.sendOrder(zone, 'end')).status).to.equal(200)
    await writeUntilServed([second!], 'WRITE a three')
    await pollUntil(async () => (await second!.query('r', 'READ a')).lines[0] === 'ROW three')
  })

  it('keeps an acknowledged order when all control hosts restart at once, and a withdrawal', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const readers = await connectToAll(deployment, 'views', 'READ a')
    const former = deployment.group.primary
    const zone = ZONE_BY_DATABASE.get(former)!
    expect((await deployment.sendOrder(zone, 'begin')).status).to.equal(200)
    await deployment.restartControl()
    await pollUntil(async () => deployment.group.primary !== former)
    await new Promise(resolve => setTimeout(resolve, EVACUATE_MS))
    const before = deployment.runs.length
    for (let round = 0; round < 20; round++) {
      for (const requester of readers) await requester.query('r', 'READ a')
    }
    const used = new Set(deployment.runs.slice(before).map(({ database }) => database))
    expect(used.size).to.be.above(0)
    expect([...used]).not.to.include(former)
    await pollUntil(async () => (await deployment.sendOrder(zone, 'end')).status === 200)
    await deployment.restartControl()
    await pollUntil(async () => {
      for (const requester of readers) await requester.query('r', 'READ a')
      return deployment.runs.slice(before).some(({ database }) => database === former)
    })
  })

  it('refuses an unknown zone with its place, and knows the zones of the settings', async () => {
    await using deployment = await WireDeployment.create({ zoneLines: ['zones.zone-d=area'] })
    await pollUntil(async () => (await deployment.sendOrder('zone-d', 'begin')).status === 200)
    await pollUntil(async () => (await deployment.sendOrder('nowhere', 'begin')).status === 404)
    const refused = await deployment.sendOrder('nowhere', 'begin')
    expect(refused.body).to.include('zone').and.to.include('nowhere')
    expect((await deployment.sendOrder('a%20b', 'begin')).status).to.equal(400)
    expect((await deployment.sendOrder('zone-d', 'begin', 2)).status).to.equal(200)
    expect((await deployment.sendOrder('zone-d', 'end', 1)).status).to.equal(200)
    expect((await deployment.sendOrder('nowhere', 'end')).status).to.equal(200)
  })
})

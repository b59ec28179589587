import { expect } from 'chai'
import { createDesiredState, KEY, OTHER_KEY, pollUntil } from './support/wireservice.js'
import { WireDeployment, Requester } from './support/wire.js'

const POLL_INTERVAL_MS = 50
/** The promised time from the acknowledgement of a version until it is in force at every host. */
const CONFIG_APPLY_MS = 3_000

async function connectWhenReady (deployment: WireDeployment, callerIndex = 0, database = 'orders'): Promise<Requester> {
  let requester: Requester | undefined
  await pollUntil(async () => {
    const [session, answer] = await Requester.create(deployment.callers[callerIndex]!, database, KEY)
    const served = answer.error === undefined && (await session.query('w0', 'READ a')).error === undefined
    if (served) requester = session
    else session.close()
    return served
  })
  return requester!
}

// Opens a session and closes it; returns the error code of a refusal.
async function openSession (address: string, key: string): Promise<string | undefined> {
  const [session, answer] = await Requester.create(address, 'orders', key)
  session.close()
  return answer.error
}

describe('a deployment on the platform\'s protocols', () => {
  it('serves statements and transactions, isolates session values and statement names, and passes no key to a database', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const first = await connectWhenReady(deployment, 0)
    const [second] = await Requester.create(deployment.callers[1]!, 'views', OTHER_KEY)
    expect((await first.query('q1', 'SET colour red')).lines).to.deep.equal(['DONE -'])
    expect((await first.query('q2', 'PREPARE s WRITE shape-1')).error).to.equal(undefined)
    expect((await second.query('q3', 'PREPARE s READ shape-2')).error).to.equal(undefined)
    expect((await first.query('q4', 'EXECUTE s a one')).error).to.equal(undefined)
    expect((await second.query('q5', 'EXECUTE s a')).error).to.equal(undefined)
    expect((await first.query('q6', 'READ a')).lines[0]).to.equal('ROW one')
    expect((await first.query('q7', 'BEGIN')).status).to.equal('open')
    await first.query('q8', 'WRITE a two')
    expect((await first.query('q9', 'READ a')).lines[0]).to.equal('ROW two')
    expect((await first.query('q10', 'ROLLBACK')).status).to.equal('idle')
    expect((await first.query('q11', 'READ a')).lines[0]).to.equal('ROW one')
    expect((await first.query('q12', 'EXECUTE unknown a')).error).to.equal('NOSTMT')
    const run = (id: string) => deployment.runs.find(candidate => candidate.id === id)!
    expect(run('q4').values).to.deep.equal({ colour: 'red' })
    expect(run('q4').text).to.include('WRITE shape-1')
    expect(run('q5').values).to.deep.equal({})
    expect(run('q5').text).to.include('READ shape-2')
    expect([run('q4').workspace, run('q5').workspace]).to.deep.equal(['parish', 'school'])
    expect(JSON.stringify(deployment.runs)).not.to.include(KEY)
    const [, unknown] = await Requester.create(deployment.callers[0]!, 'orders', 'no-such-key')
    expect(unknown.error).to.equal('UNAUTH')
    const [, missing] = await Requester.create(deployment.callers[0]!, 'no-such-database', KEY)
    expect(missing.error).to.equal('NODB')
  })

  it('keeps the highest version, acknowledges lower ones, and refuses invalid states', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(7)) === 200)
    expect(await deployment.putConfiguration(createDesiredState(5), 1)).to.equal(200)
    expect(await deployment.putConfiguration(createDesiredState(7, { routes: [] }), 2)).to.equal(200)
    expect(await deployment.readConfiguration(1)).to.deep.equal({ status: 200, version: 7 })
    const shared = { tenants: [{ name: 'a', api_keys: ['k'], rate_per_s: 1, burst: 1 }, { name: 'b', api_keys: ['k'], rate_per_s: 1, burst: 1 }] }
    expect(await deployment.putConfiguration(createDesiredState(9, shared))).to.equal(400)
    expect(await deployment.putConfiguration(createDesiredState(9, { services: [] }))).to.equal(400)
    expect(await deployment.putConfiguration(createDesiredState(11), 2)).to.equal(200)
    expect(await deployment.readConfiguration(0)).to.deep.equal({ status: 200, version: 11 })
  })

  it('fails over when the primary stops, with fences that never decrease and no lost session', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const requester = await connectWhenReady(deployment, 1)
    const formerPrimary = deployment.group.primary
    expect((await requester.query('q1', 'WRITE a one')).error).to.equal(undefined)
    await pollUntil(async () => [...deployment.group.members.values()].every(member => member.log.length === 1))
    deployment.databases.find(database => database.member.id === formerPrimary)!.stop()
    let attempts = 0
    await pollUntil(async () => {
      attempts += 1
      return (await requester.query(`w${attempts}`, 'WRITE a two')).error === undefined
    })
    expect(deployment.group.primary).not.to.equal(formerPrimary)
    expect((await requester.query('r1', 'READ a')).lines[0]).to.equal('ROW two')
    expect(deployment.group.fencingTokens.every((fence, index) => index === 0 || fence >= deployment.group.fencingTokens[index - 1]!)).to.equal(true)
  })

  it('closes the sessions of a key that is taken away', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    const requester = await connectWhenReady(deployment, 2)
    const tenants = [{ name: 'parish', api_keys: ['k-parish-2'], priority: 1, rate_per_s: 500, burst: 500 }]
    expect(await deployment.putConfiguration(createDesiredState(4, { tenants }))).to.equal(200)
    await pollUntil(async () => ['UNAUTH', 'closed'].includes((await requester.query('q1', 'READ a')).error ?? ''))
    // Hosts learn of a version one after the other, so another host may still accept the key at this moment.
    await pollUntil(async () => await openSession(deployment.callers[0]!, KEY) === 'UNAUTH')
  })

  it('refuses a withdrawn key at every host within the promised time, and never accepts it again', async () => {
    await using deployment = await WireDeployment.create()
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3)) === 200)
    for (const address of deployment.callers) await pollUntil(async () => await openSession(address, KEY) === undefined)
    const tenants = [{ name: 'parish', api_keys: ['k-parish-2'], priority: 1, rate_per_s: 500, burst: 500 }]
    expect(await deployment.putConfiguration(createDesiredState(4, { tenants }))).to.equal(200)
    const acknowledgedAtMs = performance.now()
    const outcomes = await Promise.all(deployment.callers.map(async address => {
      const errors: Array<string | undefined> = []
      while (performance.now() - acknowledgedAtMs < CONFIG_APPLY_MS + POLL_INTERVAL_MS) errors.push(await openSession(address, KEY))
      return errors
    }))
    for (const errors of outcomes) {
      const firstRefusal = errors.indexOf('UNAUTH')
      expect(firstRefusal).to.be.above(-1)
      expect(new Set(errors.slice(firstRefusal))).to.deep.equal(new Set(['UNAUTH']))
    }
  })
})

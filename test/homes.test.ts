/** Homes over the platform's protocols: hosts, databases and the stand-in of the platform. */
import { expect } from 'chai'
import { createDesiredState, KEY, OTHER_KEY, pollUntil } from './support/wireservice.js'
import { Requester, WireDeployment } from './support/wire.js'

const ZONE_LINES = ['zones.zone-a=east', 'zones.zone-b=east', 'zones.zone-c=west']
const DATABASE_IN_WEST = 'i-2'
const QUERIES = 30

interface Route { readonly name: string }

describe('homes on the platform\'s protocols', () => {
  it('keep requests at databases of the regions that route and tenant both allow', async () => {
    await using deployment = await WireDeployment.create({ zoneLines: ZONE_LINES })
    const { routes, tenants } = createDesiredState(3) as { readonly routes: readonly Route[], readonly tenants: ReadonlyArray<{ readonly name: string }> }
    const change = {
      routes: routes.map(route => (route.name === 'r2' ? { ...route, allowed_regions: ['east', 'west'] } : route)),
      tenants: tenants.map(tenant => (tenant.name === 'parish' ? { ...tenant, allowed_regions: ['west'] } : tenant))
    }
    await pollUntil(async () => await deployment.putConfiguration(createDesiredState(3, change)) === 200)
    const connect = async (address: string, database: string, key: string): Promise<Requester> => {
      let opened: Requester | undefined
      await pollUntil(async () => {
        const [requester, answer] = await Requester.create(address, database, key)
        if (answer.error === undefined) opened = requester
        return answer.error === undefined
      })
      return opened!
    }
    const free = await connect(deployment.callers[0]!, 'orders', OTHER_KEY)
    await pollUntil(async () => (await free.query('w1', 'WRITE a one')).error === undefined)
    expect(deployment.group.primary).not.to.equal(DATABASE_IN_WEST)
    for (const address of deployment.callers) {
      const reader = await connect(address, 'views', KEY)
      await pollUntil(async () => (await reader.query('r', 'READ a')).error === undefined)
      for (let query = 0; query < QUERIES; query++) await reader.query('r', 'READ a')
      const writer = await connect(address, 'orders', KEY)
      expect((await writer.query('w2', 'WRITE a two')).error).to.equal('BUSY')
    }
    const used = new Set(deployment.runs.filter(({ workspace }) => workspace === 'parish').map(({ database }) => database))
    expect(used).to.deep.equal(new Set([DATABASE_IN_WEST]))
    expect((await free.query('w3', 'WRITE a three')).error).to.equal(undefined)
  })
})

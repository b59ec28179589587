/** Announcements that no database of the deployment sent end no host, and the others hold. */
import { expect } from 'chai'
import { pollUntil } from './support/poll.js'
import { Requester, WireDeployment } from './support/wire.js'

const KEY = 'k-parish-1'
const BAD_REQUEST = 400
const TOO_LARGE = 413
/** Many times deeper than a recursive parser goes, within the size of a heartbeat. */
const NESTING = 30_000
/** Several checks of all groups and probes of all databases. */
const WATCHED_MS = 1_500
const STATE = {
  version: 3,
  routes: [{ name: 'r1', host: 'orders', path_prefix: '/', type: 'primary', timeout_ms: 2_000, target_latency_ms: 150, priority: 0, service: 'rota', public: false }],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [{ name: 'parish', api_keys: [KEY], priority: 1, rate_per_s: 500, burst: 500 }]
}
const HEARTBEAT = { service: 'rota', address: '127.0.0.1:9', zone: 'zone-a', version: 'v1', slots: 3, state: 'ready', cold_left_ms: 0, db_role: 'replica', sequence: 1, born: 1_700_000_000_000 }
const DEEP = '['.repeat(NESTING) + ']'.repeat(NESTING)

const INVALID: ReadonlyArray<readonly [what: string, body: string, id?: string]> = [
  ['a port out of range', JSON.stringify({ ...HEARTBEAT, address: '127.0.0.1:99999' })],
  ['port 0', JSON.stringify({ ...HEARTBEAT, address: '127.0.0.1:0' })],
  ['an address out of range', JSON.stringify({ ...HEARTBEAT, address: '127.0.0.999:80' })],
  ['a number of slots that is too large', JSON.stringify({ ...HEARTBEAT, slots: 1e300 })],
  ['a number that no program can hold', JSON.stringify(HEARTBEAT).replace('"sequence":1', '"sequence":1e999')],
  ['a sequence number that loses digits', JSON.stringify(HEARTBEAT).replace('"sequence":1', '"sequence":9007199254740993')],
  ['a start time that is no time', JSON.stringify({ ...HEARTBEAT, born: -1 })],
  ['a name of a group that is a member of every object', JSON.stringify({ ...HEARTBEAT, service: 'constructor' })],
  ['a name of a group that breaks a line', JSON.stringify({ ...HEARTBEAT, service: 'rota\r\nQUERY - STEPDOWN 9' })],
  ['a name of a failure domain that is too long', JSON.stringify({ ...HEARTBEAT, zone: 'z'.repeat(10_000) })],
  ['very deep nesting in place of the entry', DEEP],
  ['very deep nesting in a field', `{"service":"rota","address":${DEEP}}`],
  ['an id that breaks a line', JSON.stringify(HEARTBEAT), 'i%0D%0AQUERY'],
  ['bytes that can\'t be read', '{"service":"rota', 'i-9']
]

/** Valid in form, but no database of the deployment. */
const FOREIGN: ReadonlyArray<readonly [what: string, body: object]> = [
  ['a group that no document names', { ...HEARTBEAT, service: 'elsewhere', db_role: 'primary' }],
  ['an address at which nothing listens', { ...HEARTBEAT, address: '127.0.0.1:1' }],
  ['a failure domain without hosts', { ...HEARTBEAT, zone: 'nowhere' }]
]

describe('an announcement by another writer', () => {
  let deployment: WireDeployment
  let requester: Requester
  let count = 0

  const announce = async (body: string, id = `i-odd-${++count}`): Promise<number> => {
    const response = await fetch(`http://${deployment.control[count % deployment.control.length]}/-/instances/${id}/heartbeat`, { method: 'POST', body })
    await response.text()
    return response.status
  }
  const expectServed = async (): Promise<void> => {
    const startedAtMs = performance.now()
    while (performance.now() - startedAtMs < WATCHED_MS) {
      expect((await requester.query(`q${++count}`, 'READ a')).error).to.equal(undefined)
      await new Promise(resolve => setTimeout(resolve, 50))
    }
    expect(await deployment.readConfiguration()).to.deep.equal({ status: 200, version: 3 })
  }

  before(async () => {
    deployment = await WireDeployment.create()
    await pollUntil('the configuration', async () => await deployment.putConfiguration(STATE) === 200)
    await pollUntil('a served request', async () => {
      const [session, answer] = await Requester.create(deployment.callers[0]!, 'orders', KEY)
      requester = session
      return answer.error === undefined && (await session.query('w0', 'READ a')).error === undefined
    })
  })

  after(async () => await deployment[Symbol.asyncDispose]())

  for (const [what, body, id] of INVALID) {
    it(`is refused with ${what}`, async () => {
      expect(await announce(body, id)).to.equal(BAD_REQUEST)
    })
  }

  it('is refused with more bytes than any heartbeat has', async () => {
    expect(await announce('['.repeat(1_000_000))).to.equal(TOO_LARGE)
  })

  it('ends no host after all of these', async () => await expectServed())

  for (const [what, body] of FOREIGN) {
    it(`changes nothing for callers with ${what}`, async () => {
      for (let repeated = 0; repeated < 3; repeated++) await announce(JSON.stringify({ ...body, sequence: repeated + 1 }), `i-foreign-${what.length}`)
      await expectServed()
      expect(deployment.appointedGroups).to.deep.equal([])
    })
  }
})

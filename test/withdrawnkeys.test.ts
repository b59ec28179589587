/** Guards against connections that end amid the operations of callers whose key is withdrawn (docs/incidents/connections-ended-in-transactions.md). */
import { expect } from 'chai'
import { formatLines } from '../platform/lines.js'
import { pollUntil } from './support/poll.js'
import { RawCaller } from './support/rawcaller.js'
import { Requester, WireDeployment, type WireDeploymentOptions } from './support/wire.js'

const KEY = 'k-parish-1'
const OTHER_KEY = 'k-school-1'
const createConfiguration = (version: number, keys: readonly string[]): object => ({
  version,
  routes: [{ name: 'r1', host: 'orders', path_prefix: '/', type: 'primary', timeout_ms: 5_000, target_latency_ms: 150, priority: 0, service: 'rota', public: false }],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [
    { name: 'parish', api_keys: keys, priority: 1, rate_per_s: 500, burst: 500 },
    { name: 'school', api_keys: [OTHER_KEY], priority: 1, rate_per_s: 500, burst: 500 }
  ]
})

/** Sends a line and returns what arrives until an answer is complete or the connection is closed. */
async function sendLine (caller: RawCaller, line: string): Promise<string> {
  caller.received = ''
  caller.send(Buffer.from(formatLines(line)))
  await pollUntil(`the answer to ${line}`, async () => caller.closed || /(^|\r\n)READY [^\r]*\r\n$/.test(caller.received))
  return caller.received
}

async function connectCaller (address: string, key: string): Promise<RawCaller> {
  let connected: RawCaller | undefined
  await pollUntil('the key to be accepted', async () => {
    const caller = RawCaller.create(address)
    const served = (await sendLine(caller, `START orders ${key}`)).startsWith('READY') && (await sendLine(caller, 'QUERY w0 READ a')).includes('DONE')
    if (served) connected = caller
    else caller.socket.destroy()
    return served
  })
  return connected!
}

async function createDeployment (options?: WireDeploymentOptions): Promise<WireDeployment> {
  const deployment = await WireDeployment.create(options)
  await pollUntil('the configuration to be acknowledged', async () => await deployment.putConfiguration(createConfiguration(3, [KEY])) === 200)
  return deployment
}

/** Withdraws all keys of the workspace; returns once they are refused at the host of the callers. */
async function withdrawKeys (deployment: WireDeployment): Promise<void> {
  expect(await deployment.putConfiguration(createConfiguration(4, []))).to.equal(200)
  await pollUntil('the key to be refused', async () => {
    const [requester, { error }] = await Requester.create(deployment.callers[0]!, 'orders', KEY)
    requester.close()
    return error === 'UNAUTH'
  })
}

const listWritten = (deployment: WireDeployment): readonly string[] => [...deployment.group.members.values()].flatMap(({ log }) => log.map(({ data }) => data))

describe('the withdrawal of all keys of a workspace', () => {
  it('answers the next statement of an open transaction with a complete refusal before it ends the connection, and keeps nothing', async () => {
    await using deployment = await createDeployment()
    const caller = await connectCaller(deployment.callers[0]!, KEY)
    expect(await sendLine(caller, 'QUERY q1 BEGIN')).to.match(/^DONE -\r\nREADY T /)
    expect(await sendLine(caller, 'QUERY q2 WRITE a one')).to.match(/^DONE [^\r]+\r\nREADY T /)
    await withdrawKeys(deployment)
    expect(caller.received, 'nothing is sent that no statement asked for').to.match(/^DONE [^\r]+\r\nREADY T [^\r]+\r\n$/)
    expect(await sendLine(caller, 'QUERY q3 WRITE a two')).to.match(/^ERROR ABORTED [^\r]+\r\nREADY I [^\r]+\r\n$/)
    await pollUntil('the end of the connection', async () => caller.closed)
    expect(listWritten(deployment)).to.deep.equal([])
    expect(deployment.runs.some(({ id }) => id === 'q3')).to.equal(false)
  })

  it('lets a transaction be rolled back by its caller', async () => {
    await using deployment = await createDeployment()
    const caller = await connectCaller(deployment.callers[0]!, KEY)
    await sendLine(caller, 'QUERY q1 BEGIN')
    await sendLine(caller, 'QUERY q2 WRITE a one')
    await withdrawKeys(deployment)
    expect(await sendLine(caller, 'QUERY q3 ROLLBACK')).to.match(/^DONE -\r\nREADY I [^\r]+\r\n$/)
    await pollUntil('the end of the connection', async () => caller.closed)
    expect(listWritten(deployment)).to.deep.equal([])
  })

  it('answers the next statement of an idle caller with a complete refusal before it ends the connection', async () => {
    await using deployment = await createDeployment()
    const caller = await connectCaller(deployment.callers[0]!, KEY)
    await withdrawKeys(deployment)
    expect(await sendLine(caller, 'QUERY q1 WRITE a one')).to.match(/^ERROR UNAUTH [^\r]+\r\nREADY I [^\r]+\r\n$/)
    await pollUntil('the end of the connection', async () => caller.closed)
    expect(listWritten(deployment)).to.deep.equal([])
  })

  it('answers a COMMIT that runs meanwhile with its real outcome', async () => {
    let releaseCommit = (): void => {}
    const released = new Promise<void>(resolve => { releaseCommit = resolve })
    let commits = 0
    const holdStatement = (text: string): Promise<void> | undefined => {
      if (text !== 'COMMIT') return undefined
      commits += 1
      return released
    }
    await using deployment = await createDeployment({ holdStatement })
    const caller = await connectCaller(deployment.callers[0]!, KEY)
    await sendLine(caller, 'QUERY q1 BEGIN')
    await sendLine(caller, 'QUERY q2 WRITE a one')
    const committed = sendLine(caller, 'QUERY q3 COMMIT')
    await pollUntil('the commit to reach the database', async () => commits === 1)
    await withdrawKeys(deployment)
    releaseCommit()
    expect(await committed).to.match(/^DONE [^\r]+\r\nREADY I [^\r]+\r\n$/)
    expect(listWritten(deployment)).to.include('one')
    await pollUntil('the end of the connection', async () => caller.closed)
  })

  it('ends the connection of a caller that sends nothing, without an answer to nothing', async () => {
    await using deployment = await createDeployment()
    const callers = [await connectCaller(deployment.callers[0]!, KEY), await connectCaller(deployment.callers[0]!, KEY)]
    expect(await sendLine(callers[1]!, 'QUERY q1 BEGIN')).to.match(/^DONE -\r\nREADY T /)
    for (const caller of callers) caller.received = ''
    await withdrawKeys(deployment)
    await pollUntil('the ends of the connections', async () => callers.every(({ closed }) => closed))
    expect(callers.map(({ received }) => received)).to.deep.equal(['', ''])
  })

  it('does not touch the callers of another workspace', async () => {
    await using deployment = await createDeployment()
    await connectCaller(deployment.callers[0]!, KEY)
    const caller = await connectCaller(deployment.callers[0]!, OTHER_KEY)
    await sendLine(caller, 'QUERY q1 BEGIN')
    await sendLine(caller, 'QUERY q2 WRITE a one')
    await withdrawKeys(deployment)
    expect(await sendLine(caller, 'QUERY q3 WRITE b two')).to.match(/^DONE [^\r]+\r\nREADY T /)
    expect(await sendLine(caller, 'QUERY q4 COMMIT')).to.match(/^DONE [^\r]+\r\nREADY I /)
    expect(await sendLine(caller, 'QUERY q5 READ a')).to.match(/^ROW one\r\nDONE [^\r]+\r\nREADY I /)
    expect(caller.closed).to.equal(false)
  })
})

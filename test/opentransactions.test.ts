/** Guards against a stop that cuts statements of open transactions without an answer (docs/incidents/open-transactions-at-a-stop.md). */
import { setTimeout as sleep } from 'node:timers/promises'
import { expect } from 'chai'
import { pollUntil } from './support/poll.js'
import { Requester, WireDeployment } from './support/wire.js'

const KEY = 'k-parish-1'
const WORK_MS = 150
const STEP_MS = 350
const STATEMENTS = 12
const SESSIONS = 6
/** When the first transactions begin, after the stop did. */
const BEGIN_MS = 1_500
/** Longer than the answer to any statement takes, and than a stopped process goes on. */
const SILENCE_MS = 1_000
const CONFIGURATION = {
  version: 3,
  routes: [{ name: 'r1', host: 'views', path_prefix: '/', type: 'bounded_staleness', timeout_ms: 2_000, target_latency_ms: 500, priority: 1, service: 'rota', max_staleness_ms: 1_500, public: false }],
  services: [{ name: 'rota', max_conns: 20, sync_replicas: 0 }],
  limits: { txn_idle_ms: 3_000 },
  tenants: [{ name: 'parish', api_keys: [KEY], priority: 1, rate_per_s: 500, burst: 500 }]
}

interface Outcome {
  readonly id: string
  readonly error?: string
  readonly status: string
}

/** Runs one transaction, a statement each step, until one fails. */
async function runTransaction (requester: Requester, name: string, beginsAtMs: number): Promise<readonly Outcome[]> {
  const outcomes: Outcome[] = []
  for (let count = 0; count < STATEMENTS; count++) {
    await sleep(Math.max(0, beginsAtMs + count * STEP_MS - performance.now()))
    const id = `${name}-${count}`
    const text = count === 0 ? 'BEGIN READ' : count === STATEMENTS - 1 ? 'COMMIT' : 'READ a'
    const answer = await Promise.race([requester.query(id, text), sleep(SILENCE_MS, { error: 'none', status: 'none' })])
    outcomes.push({ id, error: answer.error, status: answer.status })
    if (answer.error !== undefined) return outcomes
  }
  return outcomes
}

describe('open transactions at a graceful stop', () => {
  it('get an answer to each statement, and an end that tells that nothing was kept where they can not commit in time', async () => {
    await using deployment = await WireDeployment.create({ workMs: WORK_MS })
    await pollUntil('the configuration to be acknowledged', async () => await deployment.putConfiguration(CONFIGURATION) === 200)
    const requesters: Requester[] = []
    while (requesters.length < SESSIONS) {
      const [requester, started] = await Requester.create(deployment.callers[0]!, 'views', KEY)
      if (started.error === undefined && (await requester.query(`w${requesters.length}`, 'READ a')).error === undefined) requesters.push(requester)
    }
    const stopsAtMs = performance.now()
    const stopped = deployment.stopHost(0)
    const outcomes = await Promise.all(requesters.map(async (requester, index) => await runTransaction(requester, `t${index}`, stopsAtMs + BEGIN_MS + index * STEP_MS / SESSIONS)))
    await stopped
    const runs = new Set(deployment.runs.map(run => run.id))
    for (const transaction of outcomes) {
      expect(transaction.length).to.be.greaterThan(STATEMENTS / 2)
      const last = transaction[transaction.length - 1]!
      expect(transaction.slice(0, -1).map(({ error }) => error)).to.deep.equal(transaction.slice(0, -1).map(() => undefined))
      if (last.error === undefined) continue
      expect(last, last.id).to.include({ error: 'BUSY', status: 'idle' })
      expect(runs.has(last.id), last.id).to.equal(false)
    }
    expect(outcomes.flat().some(({ error }) => error === 'BUSY')).to.equal(true)
  })
})

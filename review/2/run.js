/**
 * An entry machine gets SIGTERM while requesters are in the middle of transactions. Each of them goes on as pages allow: at
 * most 12 statements, with pauses. Counts the statements that were passed on to a database and got no whole answer.
 */
import { fileURLToPath } from 'node:url'
import { Client } from '../client.js'
import { createState, KEY, sleep } from '../deployment.js'
import { runCase } from '../record.js'
import { sendStatements, startScene } from '../scene.js'

const GRACE_MS = 6_000
const EXCUSED_UNTIL_MS = 3_000
const ROUTE_TIMEOUT_MS = 2_000
const TIME_BUDGET_MS = 5_000
const WORK_MS = 150
/** From one statement of a transaction to the next; the rest is a pause. */
const STEP_MS = 370
const STATEMENTS = 12
const SESSIONS = 6
/** When the transactions begin, after the signal: the machine still serves requesters. */
const BEGIN_MS = 1_400

const cleanUps = []

await runCase({ trouble: process.env.TROUBLE !== '0', recordPath: fileURLToPath(new URL('record.txt', import.meta.url)) }, async (record, trouble) => {
  let stopped = false
  cleanUps.push(() => { stopped = true })
  const { group, deployment } = await startScene(record, cleanUps, { state: createState(7, { staleTimeoutMs: ROUTE_TIMEOUT_MS }), database: { workMs: WORK_MS } })
  sendStatements(deployment.fronts[1], 'orders', count => `WRITE 1a${count % 50} w${count}`, { isStopped: () => stopped, pauseMs: 200, name: 'b' })
  const clients = []
  for (let index = 0; index < SESSIONS; index++) clients.push((await Client.create(deployment.fronts[0], 'views', KEY))[0])
  const [machine] = deployment.entryMachines
  const signalledAtMs = performance.now()
  if (trouble) {
    record.write(machine.name, 'SIGTERM')
    machine.send('SIGTERM')
  }
  setTimeout(() => machine.send('SIGKILL'), GRACE_MS)
  const outcomes = (await Promise.all(clients.map(async (client, index) => await runTransaction(client, index, signalledAtMs + BEGIN_MS + index * STEP_MS / SESSIONS)))).flat()
  for (const { id, text, sentAtMs, endedAtMs, answer } of outcomes) {
    record.write('requester', `${id} ${text} sent ${Math.round(sentAtMs - signalledAtMs)} ms after the signal: ${answer.closed ? 'no whole answer' : answer.lines.at(-1)} after ${Math.round(endedAtMs - sentAtMs)} ms`)
  }
  const cut = outcomes.filter(({ id, sentAtMs, endedAtMs, beganAtMs, answer }) => answer.closed &&
    group.arrivals.has(id) &&
    sentAtMs - signalledAtMs > EXCUSED_UNTIL_MS &&
    endedAtMs - sentAtMs < ROUTE_TIMEOUT_MS &&
    endedAtMs - beganAtMs < TIME_BUDGET_MS &&
    endedAtMs - signalledAtMs < GRACE_MS + 1_000)
  for (const { id, sentAtMs } of cut) record.write('database', `${id} arrived at ${group.arrivals.get(id).database} ${Math.round(group.arrivals.get(id).atMs - sentAtMs)} ms after it was sent, and its requester got no whole answer`)
  return cut.length > 0
}, cleanUps)

// Begins at a time, and sends one statement each step.
async function runTransaction (client, index, beginsAtMs) {
  const outcomes = []
  let beganAtMs
  for (let count = 0; count < STATEMENTS; count++) {
    await sleep(beginsAtMs + count * STEP_MS - performance.now())
    if (client.closed) break
    beganAtMs ??= performance.now()
    const id = `t${index}s${count.toString(16).padStart(8, '0')}`
    const text = count === 0 ? 'BEGIN READ' : count === STATEMENTS - 1 ? 'COMMIT' : `READ 1a${count}`
    const sentAtMs = performance.now()
    const answer = await client.query(id, text)
    outcomes.push({ id, text, beganAtMs, sentAtMs, endedAtMs: performance.now(), answer })
    if (answer.error !== undefined) break
  }
  return outcomes
}

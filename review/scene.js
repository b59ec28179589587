/** The usual start of a case: a group of three databases, the platform, and a deployment with a desired state in force. */
import { Client } from './client.js'
import { Database, Group } from './database.js'
import { awaitCondition, createState, Deployment, KEY, sleep } from './deployment.js'
import { Platform } from './platform.js'

const ZONES = ['quimper', 'brest', 'lorient']
/** Time for the links and the first proofs of the primary's role. */
const SETTLE_MS = 3_000

/** Starts everything, and adds to the clean-ups what ends it. */
export async function startScene (record, cleanUps, { state = createState(7), database = {}, deployment: options = {} } = {}) {
  const group = Group.create('dele69a', record)
  const platform = await Platform.create([group], record)
  cleanUps.push(() => platform.stop())
  const onExit = (machine, code, signal, expected) => record.write(machine.name, expected ? `ended after a signal: ${code ?? signal}` : `ended by itself: ${code ?? signal}`)
  const deployment = await Deployment.create({ platform: platform.address, onExit, ...options })
  cleanUps.push(async () => await deployment.stop())
  const databases = []
  for (const [index, zone] of ZONES.entries()) databases.push(await Database.create(group, `i-7f3a91c${index}`, zone, { control: deployment.control, ...database }))
  const status = await deployment.putState(state)
  if (status !== 200) throw new Error(`the desired state was answered ${status}`)
  await awaitCondition('all entry machines are ready', 20_000, async () => (await Promise.all(deployment.fronts.map(async (_, index) => await deployment.isReady(index)))).every(Boolean))
  await sleep(SETTLE_MS)
  return { group, databases, deployment }
}

/** Sends single statements one after the other until stopped; a session that ended is opened again. */
export async function sendStatements (address, route, createText, { isStopped, onAnswer = () => undefined, pauseMs = 40, key = KEY, name = 'a' }) {
  let count = 0
  while (!isStopped()) {
    const [client, started] = await Client.create(address, route, key)
    if (started.closed) onAnswer({ id: '', text: 'START', answer: started })
    while (!isStopped() && !client.closed) {
      count += 1
      const id = `${name}${count.toString(16).padStart(10, '0')}`
      const text = createText(count)
      const sentAtMs = performance.now()
      onAnswer({ id, text, sentAtMs, answer: await client.query(id, text) })
      await sleep(pauseMs)
    }
    client.close()
    await sleep(pauseMs)
  }
}

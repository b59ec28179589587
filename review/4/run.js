/**
 * A database restarts under its id and, some seconds later, says that it leaves. Counts the statements that reach it
 * later than `drain_ms` after a control machine acknowledged that.
 */
import { fileURLToPath } from 'node:url'
import { sleep } from '../deployment.js'
import { runCase } from '../record.js'
import { sendStatements, startScene } from '../scene.js'

const DRAIN_MS = 7_000
const DOWN_MS = 400
const SETTLE_MS = 6_000
/** How long the database serves after the acknowledgement, longer than `drain_ms`. */
const SERVES_AFTER_ACK_MS = 12_000
const AFTERMATH_MS = 4_000

const cleanUps = []

await runCase({ trouble: process.env.TROUBLE !== '0', recordPath: fileURLToPath(new URL('record.txt', import.meta.url)) }, async (record, trouble) => {
  let stopped = false
  cleanUps.push(() => { stopped = true })
  const { group, databases, deployment } = await startScene(record, cleanUps)
  const answers = []
  const options = { isStopped: () => stopped, onAnswer: answer => answers.push({ ...answer, atMs: performance.now() }) }
  const load = deployment.fronts.flatMap((address, index) => [
    sendStatements(address, 'views', count => `READ 1a${count % 50}`, { ...options, name: `${index}a` }),
    sendStatements(address, 'orders', count => `WRITE 1a${count % 50} ${index}w${count}`, { ...options, name: `${index}b` })
  ])
  await sleep(2_000)

  const leaving = databases.find(({ id }) => id === group.primary)
  record.write(leaving.id, 'it is the primary')
  if (trouble) {
    record.write(leaving.id, 'it ends without a word')
    await leaving.abort()
    await sleep(DOWN_MS)
    await leaving.start()
    record.write(leaving.id, `it starts again under its id at 127.0.0.1:${leaving.port}, born ${leaving.born}`)
  }
  await sleep(SETTLE_MS)
  const countRuns = (fromMs, untilMs) => group.runs.filter(({ database, id, atMs }) => database === leaving.id && id !== '-' && atMs > fromMs && atMs <= untilMs)
  record.write(leaving.id, `${countRuns(-Infinity, Infinity).length} statements ran here so far, it is ${leaving.role}, and says that it leaves`)
  await leaving.drain()
  const acknowledgedAtMs = leaving.acknowledgedDrainAtMs
  await sleep(SERVES_AFTER_ACK_MS)
  const late = countRuns(acknowledgedAtMs + DRAIN_MS, Infinity)
  record.write(leaving.id, `${countRuns(acknowledgedAtMs, acknowledgedAtMs + DRAIN_MS).length} statements ran here within ${DRAIN_MS} ms after the acknowledgement, and ${late.length} later`)
  for (const { id, text, atMs } of late.slice(0, 10)) record.write(leaving.id, `ran ${id} ${text} ${Math.round(atMs - acknowledgedAtMs)} ms after the acknowledgement`)
  const endedAtMs = performance.now()
  record.write(leaving.id, `it is ${leaving.role}, withdraws itself and ends`)
  await leaving.withdraw()
  await leaving.abort()
  await sleep(AFTERMATH_MS)
  stopped = true
  await Promise.all(load)
  const failures = answers.filter(({ answer, atMs }) => atMs > endedAtMs && (answer.error !== undefined || answer.closed))
  const kept = new Set(databases.find(({ id }) => id === group.primary).log.flatMap(({ writes }) => writes.map(([, data]) => data)))
  const lost = answers.filter(({ text, answer }) => text.startsWith('WRITE') && !answer.closed && answer.error === undefined && !kept.has(text.split(' ')[2]))
  record.write('requesters', `${lost.length} acknowledged writes are not in the log of the primary at the end`)
  record.write('requesters', `${failures.length} statements failed after the database had ended: ${describe(failures)}`)
  return late.length > 0
}, cleanUps)

function describe (failures) {
  const counts = new Map()
  for (const { text, answer } of failures) {
    const name = `${text.split(' ')[0]} ${answer.error ?? 'closed'}`
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  return [...counts].map(([name, count]) => `${count} x ${name}`).join(', ') || 'none'
}

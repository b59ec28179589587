/**
 * A service with `sync_replicas` 1. Its primary is dark for some seconds while the platform is down, and comes back before any
 * database was promoted. Then, as the final fault, all processes of the system are killed and start again.
 */
import { Handover } from '../lab/handover.js'
import { openRecord, runScene, sleep } from '../lab/scene.js'

const TROUBLE = process.env.TROUBLE !== '0'
const PAUSE_MS = 50
const DARK_MS = 2_500
const PLATFORM_DOWN_MS = 6_000
const SETTLE_MS = 4_000
const DOWN_MS = 1_000
const RECOVERY_MS = 12_000
const JUDGED_MS = 15_000
const MIN_SHARE = 0.25

const record = openRecord(new URL('record.txt', import.meta.url))
const scene = await Handover.create({ record, fronts: 3 })

async function stopPrimary () {
  const primary = scene.find('i-a')
  scene.platform.isDown = true
  primary.cutPower()
  record('i-a is dark, the platform is down')
  await sleep(DARK_MS)
  await primary.restart()
  record('i-a is back')
  await sleep(PLATFORM_DOWN_MS - DARK_MS)
  scene.platform.isDown = false
  record('the platform is up')
}

function calculateShare (fromMs, untilMs) {
  const sent = scene.writers.outcomes.filter(({ sentAtMs }) => sentAtMs >= fromMs && sentAtMs < untilMs)
  const served = sent.filter(outcome => outcome.served).length
  record('transactions sent', sent.length, 'served', served)
  return sent.length === 0 ? 0 : served / sent.length
}

await runScene(record, async () => {
  await scene.start(PAUSE_MS)
  if (TROUBLE) await stopPrimary()
  else await sleep(PLATFORM_DOWN_MS)
  await sleep(SETTLE_MS)
  const faultAtMs = Date.now()
  await scene.restartHosts(DOWN_MS)
  const backAtMs = Date.now()
  await sleep(RECOVERY_MS + JUDGED_MS)
  await scene.writers.stop()
  record('before the final fault:')
  const before = calculateShare(0, faultAtMs)
  record('later than recovery_s after the machines are back:')
  const after = calculateShare(backAtMs + RECOVERY_MS, Infinity)
  if (before < MIN_SHARE) throw new Error('less than a quarter was served before the final fault')
  return after < MIN_SHARE
}, async () => await scene.stop())

/**
 * Two databases of a service with `sync_replicas` 1 are replaced one after the other: the second successor starts while the
 * first one's primary hands over.
 */
import { Handover } from '../lab/handover.js'
import { openRecord, runScene, sleep } from '../lab/scene.js'

const TROUBLE = process.env.TROUBLE !== '0'
const PAUSE_MS = 200
/** Between the start of a successor and the draining of the database that it replaces. */
const START_FIRST_MS = 700
/** Between the steps of the release. */
const GAP_MS = 1_000

const record = openRecord(new URL('record.txt', import.meta.url))
const scene = await Handover.create({ record })

await runScene(record, async () => {
  await scene.start(PAUSE_MS)
  await scene.addDatabase('i-d', 'zone-a')
  const second = sleep(GAP_MS).then(async () => {
    if (!TROUBLE) return
    await scene.addDatabase('i-e', 'zone-c')
    await sleep(START_FIRST_MS)
    await scene.drain('i-c')
  })
  await sleep(START_FIRST_MS)
  await scene.drain('i-a')
  await second
  await sleep(6_000)
  return await scene.checkLost()
}, async () => await scene.stop())

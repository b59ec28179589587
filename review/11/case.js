/**
 * Two databases of a group are replaced as planned, one after the other: first a replica, then the primary. Meanwhile the other
 * replica receives nothing for a while. The service has `sync_replicas` 1: what was acknowledged meanwhile is in the log of the
 * replica that left, which is transferred to the database at its address, and in that of the primary, which serves on.
 */
import { sleep, waitFor } from '../parts-3/record.js'
import { Scene, TROUBLE } from '../parts-3/scene.js'

/** `bounds.drain_ms`, and how long a replica receives nothing: 6.0 to 7.0 s on the site's sheet. */
const DRAIN_MS = 7_000
const DEAF_MS = 6_000
/** From the end of a database to the start of the one at its address: `bounds.addr_reuse_s`. */
const REPLACED_AFTER_MS = 2_000

async function run (scene) {
  const { group } = scene
  const primary = await scene.startDatabase('i-primary', 'zone-a')
  const leaving = await scene.startDatabase('i-leaving', 'zone-b')
  const other = await scene.startDatabase('i-other', 'zone-c')
  if (!await scene.startWriters()) return 2
  await leaving.drain()
  await sleep(DRAIN_MS - 2_500)
  if (TROUBLE) scene.holdReplica(other, DEAF_MS)
  await sleep(2_700)
  await leaving.withdraw()
  const replaced = replaceDatabase(scene, leaving, 'i-new-replica')
  await primary.drain()
  await replaced
  await sleep(DRAIN_MS)
  await waitFor(() => group.promotions.length > 0, 12_000)
  await primary.withdraw()
  await replaceDatabase(scene, primary, 'i-new')
  await sleep(3_000)
  await scene.stopWriters()
  return scene.checkLost()
}

async function replaceDatabase (scene, former, id) {
  await sleep(REPLACED_AFTER_MS)
  scene.record.add('replaced', { database: former.id, by: id, commits: former.log.length })
  await scene.startDatabase(id, former.zone, { log: former.log, port: former.port })
}

await Scene.run(1, run, new URL('record.txt', import.meta.url))

/**
 * A replica is lost for good while the other one receives nothing. Meanwhile the leader of the control hosts is stopped and
 * started as planned, and then the primary crashes. The service has `sync_replicas` 1: what was acknowledged before the first
 * replica was lost is in the log of the primary, which comes back with it.
 */
import { sleep, waitFor } from '../parts-3/record.js'
import { Scene, TROUBLE } from '../parts-3/scene.js'

/** How long a replica receives nothing, and the primary is down: 6.0 s (`deaf crash`) and 7.0 s (`dark primary`) on the site's sheet. */
const DEAF_MS = 6_000
const DOWN_MS = 7_000
/** `bounds.grace_s`, and the time until a process that ended is started again. */
const GRACE_MS = 6_000
const RESTART_MS = 500

async function run (scene) {
  const { deployment } = scene
  const primary = await scene.startDatabase('i-primary', 'zone-a')
  const lost = await scene.startDatabase('i-lost', 'zone-b')
  const other = await scene.startDatabase('i-other', 'zone-c')
  if (!await scene.startWriters()) return 2
  await sleep(1_000)
  if (TROUBLE) {
    scene.holdReplica(other, DEAF_MS)
    await sleep(250)
    scene.stopDatabase(lost)
  }
  await sleep(2_400)
  const leader = deployment.findLeader()
  if (leader === undefined) return 2
  leader.send('SIGTERM')
  if (!await waitFor(() => leader.ended, GRACE_MS)) return 2
  setTimeout(() => leader.start(), RESTART_MS)
  await sleep(300)
  if (TROUBLE) {
    scene.stopDatabase(primary)
    await sleep(DOWN_MS)
    await primary.start()
  }
  await sleep(4_000)
  await scene.stopWriters()
  return scene.checkLost()
}

await Scene.run(1, run, new URL('record.txt', import.meta.url))

/**
 * A replica is lost for good while the other one receives nothing. Some seconds later the leader of the control hosts is
 * killed, and the primary crashes. The service has `sync_replicas` 1: what was acknowledged before the first replica was lost
 * is in the log of the primary, which comes back with it.
 */
import { sleep } from '../parts-3/record.js'
import { Scene, TROUBLE } from '../parts-3/scene.js'

/** How long a replica receives nothing, and the primary is down: up to 7.0 s on the site's sheet. */
const DEAF_MS = 6_000
const DOWN_MS = 7_000
/** How long the killed process is down: 3.5 s on the sheet. */
const KILLED_MS = 3_000

async function run (scene) {
  const { deployment } = scene
  const primary = await scene.startDatabase('i-primary', 'zone-a')
  const lost = await scene.startDatabase('i-lost', 'zone-b')
  const other = await scene.startDatabase('i-other', 'zone-c')
  if (!await scene.startWriters()) return 2
  await sleep(1_000)
  if (TROUBLE) {
    scene.holdReplica(other, DEAF_MS)
    await sleep(500)
    scene.stopDatabase(lost)
    await sleep(5_000)
    const leader = deployment.findLeader()
    if (leader === undefined) return 2
    leader.send('SIGKILL')
    setTimeout(() => leader.start(), KILLED_MS)
    await sleep(400)
    scene.stopDatabase(primary)
    await sleep(DOWN_MS)
    await primary.start()
  }
  await sleep(4_000)
  await scene.stopWriters()
  return scene.checkLost()
}

await Scene.run(1, run, new URL('record.txt', import.meta.url))

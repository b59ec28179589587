/**
 * A service with `sync_replicas` 1. Replica C is cut off from the core, from control and from the entry host that owns it, but
 * not from its primary; meanwhile the primary leaves as planned.
 */
import { Handover } from '../lab/handover.js'
import { openRecord, runScene, sleep } from '../lab/scene.js'

const TROUBLE = process.env.TROUBLE !== '0'
const PAUSE_MS = 200
const CUT_MS = 5_000
const DRAIN_AFTER_CUT_MS = 3_600

const record = openRecord(new URL('record.txt', import.meta.url))
const scene = await Handover.create({ record })

function cutReplica () {
  const { hosts, peers } = scene
  const owners = hosts.fronts.map(({ name }) => name).filter(name => peers.get('i-c')?.has(name))
  if (owners.length !== 1) throw new Error(`${owners.length} entry hosts have connected to i-c`)
  const replica = scene.find('i-c')
  const cutOff = new Set([...hosts.list.filter(({ role }) => role === 'control').map(({ name }) => name), ...owners])
  replica.controlCut = true
  replica.isCut = peer => cutOff.has(peer)
  record('i-c is cut off from', [...cutOff])
  setTimeout(() => {
    replica.controlCut = false
    replica.isCut = () => false
    record('the cut has ended')
  }, CUT_MS)
}

await runScene(record, async () => {
  await scene.start(PAUSE_MS)
  if (TROUBLE) cutReplica()
  await sleep(DRAIN_AFTER_CUT_MS)
  await scene.drain('i-a')
  await sleep(9_000)
  return await scene.checkLost()
}, async () => await scene.stop())
